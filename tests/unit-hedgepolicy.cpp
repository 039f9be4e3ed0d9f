#include "suite.h"

#include "parsleyvane/ingress/hedgepolicy.h"

#include <deque>
#include <random>

namespace parsleyvane {

namespace {

constexpr Milliseconds noObjective(0);
constexpr TimePoint start{Milliseconds{1000000}};
constexpr Milliseconds window{10000};
const ServiceName service("s");
const std::string kind = "route/0/1";

HedgePolicy policyOf(double maxShare)
{
    return HedgePolicy({.maxShare = maxShare, .window = window});
}

/// A policy that has seen enough requests and times for a hedge to be sent at the start.
HedgePolicy preparedPolicy()
{
    HedgePolicy policy = policyOf(0.1);
    for (int number = 0; number < 100; ++number) {
        policy.onRequest(service, start);
        policy.onResponse(kind, Milliseconds(100), start);
        policy.onAttempt(service, false, start);
    }
    return policy;
}

HedgeFacts favourableFacts()
{
    return {.service = service,
            .kind = kind,
            .mayRepeat = true,
            .hasAttemptLeft = true,
            .retriesLeft = 1,
            .timeLeft = Milliseconds(500),
            .objective = Milliseconds(1000)};
}

void expect(HedgeVerdict expected, const HedgePolicy &policy, const HedgeFacts &facts, TimePoint now = start)
{
    CPPUNIT_ASSERT_EQUAL(std::string(verdictName(expected)), std::string(verdictName(policy.decide(facts, now))));
}

/// Hedges that are sent, as a share of the requests, at upstreams that refuse what exceeds their slots.
double hedgedShare(double load)
{
    constexpr std::size_t slots = 40;
    constexpr std::int64_t usualTime = 200;
    constexpr int requests = 20000;
    std::mt19937_64 random(1);
    std::exponential_distribution<double> gap(load * slots / usualTime);
    std::vector<TimePoint> running;
    HedgePolicy policy = policyOf(0.1);
    double hedges = 0;
    double at = 0;
    const auto send = [&](TimePoint now) {
        std::erase_if(running, [&](TimePoint end) { return end <= now; });
        const bool refused = running.size() >= slots;
        policy.onAttempt(service, refused, now);
        const Milliseconds took(random() % 10 == 0 ? usualTime * 4 : usualTime * 2 / 3);
        running.resize(running.size() + (refused ? 0 : 1), now + took);
        return refused ? Milliseconds(0) : took;
    };
    for (int number = 0; number < requests; ++number) {
        at += gap(random);
        const TimePoint now = start + Milliseconds(static_cast<std::int64_t>(at));
        policy.onRequest(service, now);
        const Milliseconds took = send(now);
        policy.onResponse(kind, took, now);
        if (took > Milliseconds(usualTime) && policy.decide(favourableFacts(), now) == HedgeVerdict::Send) {
            policy.onHedge(service, now);
            ++hedges;
            send(now);
        }
    }
    return hedges / requests;
}

} // namespace

class HedgePolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgePolicyTest);
    CPPUNIT_TEST(eachReasonWithholdsTheHedge);
    CPPUNIT_TEST(aPolicyThatIsOffRecordsNothing);
    CPPUNIT_TEST(theDelayIsTheQuantileOfTheKind);
    CPPUNIT_TEST(theObjectiveGivesTheDelayWhileTimesAreUnknown);
    CPPUNIT_TEST(theDelayUsesTheShare);
    CPPUNIT_TEST(onlyRecentKindsAreKept);
    CPPUNIT_TEST(theInstancesTogetherKeepTheLimit);
    CPPUNIT_TEST(hedgingFallsSilentWhenCapacityIsShort);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a hedge that is sent in spite of one of the reasons, or a reason that is reported wrongly.
    void eachReasonWithholdsTheHedge()
    {
        const HedgePolicy policy = preparedPolicy();
        const auto expectWithout = [&](HedgeVerdict expected, auto change) {
            HedgeFacts facts = favourableFacts();
            change(facts);
            expect(expected, policy, facts);
        };
        expectWithout(HedgeVerdict::Send, [](HedgeFacts &) {});
        expectWithout(HedgeVerdict::NotRepeatable, [](HedgeFacts &facts) { facts.mayRepeat = false; });
        expectWithout(HedgeVerdict::FewSamples, [](HedgeFacts &facts) {
            facts.kind = "other";
            facts.objective = noObjective;
        });
        expectWithout(HedgeVerdict::Send, [](HedgeFacts &facts) { facts.kind = "other"; });
        expectWithout(HedgeVerdict::SuspectedPrompt, [](HedgeFacts &facts) { facts.isSuspected = true; });
        expectWithout(HedgeVerdict::NoAttempts, [](HedgeFacts &facts) { facts.hasAttemptLeft = false; });
        expectWithout(HedgeVerdict::LittleTime, [](HedgeFacts &facts) { facts.timeLeft = Milliseconds(499); });
        expectWithout(HedgeVerdict::ShortOfCapacity,
                      [](HedgeFacts &facts) { facts.sharedLoad = ServiceLoad{.attempts = 100, .refusals = 11}; });
        expectWithout(HedgeVerdict::Limit, [](HedgeFacts &facts) { facts.service = ServiceName("other"); });
        expectWithout(HedgeVerdict::RetryBudget, [](HedgeFacts &facts) { facts.retriesLeft = 0.9; });
        expectWithout(HedgeVerdict::Send, [](HedgeFacts &facts) { facts.retriesLeft = 4.9; });
        expectWithout(HedgeVerdict::RetryBudget, [](HedgeFacts &facts) {
            facts.retriesLeft = 4.9;
            facts.mayNeedLargerModel = true;
        });
        expectWithout(HedgeVerdict::Send, [](HedgeFacts &facts) {
            facts.sharedLoad = ServiceLoad{.attempts = std::nan(""), .refusals = std::nan("")};
        });
        HedgePolicy refused = preparedPolicy();
        for (int number = 0; number < 20; ++number) {
            refused.onAttempt(service, true, start);
        }
        expect(HedgeVerdict::ShortOfCapacity, refused, favourableFacts());
    }

    /// Guards against work and memory for a feature that is off.
    void aPolicyThatIsOffRecordsNothing()
    {
        HedgePolicy policy = policyOf(0);
        policy.onResponse(kind, Milliseconds(100), start);
        expect(HedgeVerdict::Off, policy, favourableFacts());
        policy.setShare(0.1, window);
        for (int number = 0; number < 19; ++number) {
            policy.onResponse(kind, Milliseconds(100), start);
        }
        CPPUNIT_ASSERT(!policy.delay(kind, noObjective, start));
    }

    /// Guards against hedges before the quantile or long after it, and a slow phase that is never forgotten.
    void theDelayIsTheQuantileOfTheKind()
    {
        HedgePolicy policy = policyOf(0.05);
        for (int number = 1; number <= 200; ++number) {
            policy.onResponse(kind, Milliseconds(number * 5), start);
            policy.onResponse("short", Milliseconds(2), start);
            policy.onResponse("long", Milliseconds::max(), start);
        }
        CPPUNIT_ASSERT(policy.delay(kind, noObjective, start).value() >= Milliseconds(950));
        CPPUNIT_ASSERT(policy.delay(kind, noObjective, start).value() <= Milliseconds(1045));
        CPPUNIT_ASSERT(policy.delay("short", noObjective, start) == Milliseconds(20));
        CPPUNIT_ASSERT(policy.delay("long", noObjective, start) > Milliseconds(600000));
        CPPUNIT_ASSERT(!policy.delay(kind, noObjective, start + Milliseconds(300001)));
        for (int number = 0; number < 1000; ++number) {
            policy.onResponse(kind, Milliseconds(100), start);
        }
        CPPUNIT_ASSERT(policy.delay(kind, noObjective, start).value() < Milliseconds(120));
        CPPUNIT_ASSERT(hedgeKind("r/0", 100) == hedgeKind("r/0", -1));
        CPPUNIT_ASSERT(hedgeKind("r/0", 100) != hedgeKind("r/0", 300));
        CPPUNIT_ASSERT(hedgeKind("r/0", 100000) == hedgeKind("r/0", std::numeric_limits<std::int64_t>::max()));
    }

    /// Guards against no hedges at all at an instance with few requests.
    void theObjectiveGivesTheDelayWhileTimesAreUnknown()
    {
        constexpr Milliseconds objective(2000);
        HedgePolicy policy = policyOf(0.1);
        CPPUNIT_ASSERT(policy.delay(kind, objective, start) == Milliseconds(400));
        CPPUNIT_ASSERT(policy.delay(kind, Milliseconds(40), start) == Milliseconds(20));
        for (int number = 0; number < 20; ++number) {
            policy.onResponse(kind, Milliseconds(100), start);
        }
        CPPUNIT_ASSERT(policy.delay(kind, objective, start).value() < Milliseconds(120));
        CPPUNIT_ASSERT(!policyOf(0).delay(kind, objective, start));
    }

    /// Guards against a share that is spent on requests which are not among the slowest, or is not used.
    void theDelayUsesTheShare()
    {
        const auto delayAt = [](double share) {
            HedgePolicy policy = policyOf(share);
            for (int number = 1; number <= 200; ++number) {
                policy.onResponse(kind, Milliseconds(number * 5), start);
            }
            return policy.delay(kind, noObjective, start).value().count();
        };
        // A bucket is a twelfth wide.
        CPPUNIT_ASSERT(delayAt(0.01) >= 950 && delayAt(0.01) <= 1045);
        CPPUNIT_ASSERT(delayAt(0.2) >= 840 && delayAt(0.2) <= 925);
        CPPUNIT_ASSERT(delayAt(0.4) >= 680 && delayAt(0.4) <= 748);
        CPPUNIT_ASSERT(delayAt(0.5) >= 600 && delayAt(0.5) <= 660);
    }

    /// Guards against memory that grows with the kinds of work.
    void onlyRecentKindsAreKept()
    {
        HedgePolicy policy = preparedPolicy();
        for (int number = 0; number < 255; ++number) {
            policy.onResponse("kind" + std::to_string(number), Milliseconds(1), start + Milliseconds(1));
        }
        CPPUNIT_ASSERT(policy.delay(kind, noObjective, start));
        policy.onResponse("another", Milliseconds(1), start + Milliseconds(1));
        CPPUNIT_ASSERT(!policy.delay(kind, noObjective, start));
    }

    /// Guards against a limit that holds at each instance but not for all of them.
    void theInstancesTogetherKeepTheLimit()
    {
        rc::check([]() {
            const auto count = *rc::gen::inRange<std::size_t>(1, 80);
            const double maxShare = *rc::gen::inRange(1, 6) / 20.0;
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            std::vector<HedgePolicy> instances(count, policyOf(maxShare));
            std::deque<TimePoint> requests;
            std::deque<TimePoint> hedges;
            for (std::int64_t ms = 0; ms < 30000; ms += 10) {
                const TimePoint now = start + Milliseconds(ms);
                HedgePolicy &instance = instances[random() % (random() % count + 1)];
                instance.onRequest(service, now);
                instance.onResponse(kind, Milliseconds(100), now);
                requests.push_back(now);
                if (instance.decide(favourableFacts(), now) == HedgeVerdict::Send) {
                    instance.onHedge(service, now);
                    hedges.push_back(now);
                }
                const auto isPast = [&](TimePoint at) {
                    return at <= now - window;
                };
                std::erase_if(requests, isPast);
                std::erase_if(hedges, isPast);
                RC_ASSERT(static_cast<double>(hedges.size()) <= maxShare * static_cast<double>(requests.size()));
            }
        });
    }

    /// Guards against hedges that add load to a service that already refuses requests.
    void hedgingFallsSilentWhenCapacityIsShort()
    {
        CPPUNIT_ASSERT(hedgedShare(0.4) > 0.03);
        CPPUNIT_ASSERT(hedgedShare(0.7) > 0.03);
        CPPUNIT_ASSERT(hedgedShare(1.5) < 0.005);
        CPPUNIT_ASSERT(hedgedShare(3) < 0.005);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgePolicyTest);

} // namespace parsleyvane
