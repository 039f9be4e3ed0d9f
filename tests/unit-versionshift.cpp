#include "suite.h"

#include "parsleyvane/ingress/versionshift.h"

#include <cmath>
#include <random>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000000}};
constexpr Milliseconds duration{20000};
const ServiceName service("s");
const VersionName next("v2");
const RouteName route("r");

TimePoint at(double part)
{
    return start + Milliseconds(static_cast<std::int64_t>(part * static_cast<double>(duration.count())));
}

VersionShift running()
{
    VersionShift shift;
    shift.onOrder({.service = service, .to = next, .duration = duration, .number = 7});
    shift.onStatus({.service = service, .to = next, .order = 7}, start);
    return shift;
}

/// Latencies of one kind of work: log-normal, with the standard deviation that inter-event latency has on the simulated
/// fleet.
class LatencySource
{
public:
    explicit LatencySource(unsigned seed)
        : random(seed)
    {
    }

    Milliseconds next()
    {
        return Milliseconds(static_cast<std::int64_t>(std::exp(this->logarithms(this->random))));
    }

private:
    std::mt19937 random;
    std::normal_distribution<double> logarithms{std::log(400.0), 0.5};
};

std::string session(int number)
{
    return "session-" + std::to_string(number);
}

} // namespace

class VersionShiftTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionShiftTest);
    CPPUNIT_TEST(withoutAnOrderEveryVersionServes);
    CPPUNIT_TEST(theNewVersionWaitsForTheAgreedStart);
    CPPUNIT_TEST(sessionsStayAtTheOldVersionInTheFirstHalf);
    CPPUNIT_TEST(noSessionIsEverMovedBack);
    CPPUNIT_TEST(theCandidateShareStaysWithinTheExposureBound);
    CPPUNIT_TEST(allTrafficHasMovedBeforeCompletion);
    CPPUNIT_TEST(aBadVersionIsDetectedWithinFewAnswers);
    CPPUNIT_TEST(fourBadAnswersOfAColdStartAreNotEnough);
    CPPUNIT_TEST(aGoodVersionIsNotRolledBackForUsualFailures);
    CPPUNIT_TEST(evidenceOfOtherInstancesCounts);
    CPPUNIT_TEST(evidenceUnderAnEarlierOrderOfTheSameVersionIsIgnored);
    CPPUNIT_TEST(errorsOnOneRouteAreDetectedBesideARouteThatFailsWithBothVersions);
    CPPUNIT_TEST(aVersionTwiceAsSlowIsDetectedWithinTwentyAnswers);
    CPPUNIT_TEST(aVersionWithHalfItsAnswersEightTimesAsSlowIsDetected);
    CPPUNIT_TEST(aGoodVersionIsSeldomClassifiedAsSlow);
    CPPUNIT_TEST(aFewVerySlowAnswersAreNotEnough);
    CPPUNIT_TEST(latenciesFromTheRampOnAreIgnored);
    CPPUNIT_TEST(theBaselineIsMeasuredBeforeTheOrder);
    CPPUNIT_TEST(lateFirstEventsCountOnlyWithSlowInterEventLatency);
    CPPUNIT_TEST(latencyEvidenceIsSummedOverTheInstances);
    CPPUNIT_TEST(evidenceForASuspectedVersionIsReported);
    CPPUNIT_TEST(theAgreedOutcomeAppliesToEveryInstance);
    CPPUNIT_TEST(anOldStatusDoesNotApplyToANewOrder);
    CPPUNIT_TEST(aRolledBackVersionGetsNoRequestsUnderTheNextOrder);
    CPPUNIT_TEST(aRollBackThatIsReadAfterTheNextOrderCounts);
    CPPUNIT_TEST(aVersionThatIsOrderedAgainServesAgain);
    CPPUNIT_TEST(aCompletedVersionIsThePredecessorOfTheNextOrder);
    CPPUNIT_TEST(nothingIsReportedOnceTheRollOutHasEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutAnOrderEveryVersionServes()
    {
        VersionShift shift;
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, start));
        CPPUNIT_ASSERT(shift.allows(VersionName("v1"), false));
        CPPUNIT_ASSERT(shift.allows(next, false));
    }

    void theNewVersionWaitsForTheAgreedStart()
    {
        VersionShift shift;
        shift.onOrder({.service = service, .to = next, .duration = duration, .number = 7});
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, start));
        CPPUNIT_ASSERT(!shift.allows(next, false));
        CPPUNIT_ASSERT(!shift.state());
    }

    void sessionsStayAtTheOldVersionInTheFirstHalf()
    {
        VersionShift shift = running();
        constexpr int sessions = 500;
        for (int number = 0; number < sessions; ++number) {
            CPPUNIT_ASSERT(!shift.routesToCandidate(session(number), 0, at(0.001 * number)));
        }
    }

    void noSessionIsEverMovedBack()
    {
        test::property("over all instances, a session that reached the new version stays there", []() {
            VersionShift instances[] = {running(), running(), running()};
            std::map<std::string, bool> moved;
            double part = 0;
            while (part < 1) {
                part += 0.0001 * *rc::gen::inRange(1, 60);
                const std::string name = session(*rc::gen::inRange(0, 40));
                const bool candidate = instances[*rc::gen::inRange(0, 3)].routesToCandidate(name, 0, at(part));
                RC_ASSERT(!moved[name] || candidate);
                RC_ASSERT(!candidate || part >= 0.5);
                moved[name] = candidate;
            }
        });
    }

    void theCandidateShareStaysWithinTheExposureBound()
    {
        test::property("before the ramp, the new version gets less than its bound of all requests", []() {
            const double bound = *rc::gen::element(0.05, 0.0975, 0.15, 0.3);
            VersionShift shift = running();
            shift.setLimits({.maxExposedShare = bound});
            int exposed = 0;
            constexpr int requests = 4000;
            const double end = shift.shiftLimits().rampBegin;
            for (int number = 0; number < requests; ++number) {
                exposed += shift.routesToCandidate(session(number), 0, at(end * number / requests)) ? 1 : 0;
            }
            RC_ASSERT(exposed > 0);
            RC_ASSERT(exposed < bound * requests);
        });
    }

    void allTrafficHasMovedBeforeCompletion()
    {
        VersionShift shift = running();
        const double completion = shift.shiftLimits().completionBegin;
        CPPUNIT_ASSERT(!shift.mayComplete(at(completion - 0.01)));
        CPPUNIT_ASSERT(shift.mayComplete(at(completion)));
        constexpr int sessions = 200;
        for (int number = 0; number < sessions; ++number) {
            CPPUNIT_ASSERT(shift.routesToCandidate(session(number), 0.999, at(completion)));
        }
        CPPUNIT_ASSERT(shift.routesToCandidate("", 0.999, at(completion)));
    }

    void aBadVersionIsDetectedWithinFewAnswers()
    {
        VersionShift shift = running();
        constexpr int usual = 100;
        for (int answer = 0; answer < usual; ++answer) {
            shift.onAnswer(route, false, true);
        }
        CPPUNIT_ASSERT(!shift.evaluate(start));
        constexpr int answers = 20;
        for (int answer = 0; answer < answers && !shift.isBad(); ++answer) {
            shift.onAnswer(route, true, answer % 2 == 0);
            shift.evaluate(start);
        }
        CPPUNIT_ASSERT(shift.isBad());
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, at(0.9)));
        CPPUNIT_ASSERT(!shift.mayComplete(at(0.99)));
    }

    void fourBadAnswersOfAColdStartAreNotEnough()
    {
        VersionShift shift = running();
        constexpr int usual = 100;
        for (int answer = 0; answer < usual; ++answer) {
            shift.onAnswer(route, false, true);
        }
        for (const bool good : {false, false, true, false, true, false}) {
            shift.onAnswer(route, true, good);
        }
        CPPUNIT_ASSERT(!shift.evaluate(start));
    }

    void aGoodVersionIsNotRolledBackForUsualFailures()
    {
        VersionShift shift = running();
        constexpr int answers = 2000;
        for (int answer = 0; answer < answers; ++answer) {
            // One in seven answers fails with both versions: a service whose application fails regardless of version.
            shift.onAnswer(route, false, answer % 7 != 0);
            shift.onAnswer(route, true, answer % 7 != 3);
            CPPUNIT_ASSERT(!shift.evaluate(start));
        }
    }

    void evidenceOfOtherInstancesCounts()
    {
        VersionShift shift = running();
        const VersionReport report{.service = service,
                                   .version = next,
                                   .routes = {{route, {{40, 20}, {400, 2}}}},
                                   .firstEventEvidence = {},
                                   .latencyEvidence = {}};
        shift.merge(InstanceId("other"), report);
        CPPUNIT_ASSERT(shift.evaluate(start));
        VersionShift unrelated = running();
        VersionReport older = report;
        older.version = VersionName("v9");
        unrelated.merge(InstanceId("other"), older);
        CPPUNIT_ASSERT(!unrelated.evaluate(start));
    }

    void evidenceUnderAnEarlierOrderOfTheSameVersionIsIgnored()
    {
        VersionShift other = running();
        for (int answer = 0; answer < 400; ++answer) {
            other.onAnswer(route, false, true);
            other.onAnswer(route, true, answer % 2 == 0);
        }
        VersionShift shift = running();
        shift.merge(InstanceId("other"), other.report());
        CPPUNIT_ASSERT(shift.evaluate(start));
        shift.onOrder({.service = service, .to = next, .duration = duration, .number = 9});
        shift.onStatus({.service = service, .to = next, .order = 9}, start);
        shift.merge(InstanceId("other"), other.report());
        CPPUNIT_ASSERT(!shift.evaluate(start));
    }

    void errorsOnOneRouteAreDetectedBesideARouteThatFailsWithBothVersions()
    {
        VersionShift shift = running();
        const RouteName failing("failing");
        for (int answer = 0; answer < 400; ++answer) {
            shift.onAnswer(route, false, true);
            shift.onAnswer(failing, false, answer % 3 != 0);
        }
        constexpr int answers = 16;
        for (int answer = 0; answer < answers; ++answer) {
            shift.onAnswer(route, true, answer % 2 == 0);
            shift.onAnswer(failing, true, answer % 3 != 0);
            shift.evaluate(start);
        }
        CPPUNIT_ASSERT(shift.isBad());
    }

    void aVersionTwiceAsSlowIsDetectedWithinTwentyAnswers()
    {
        VersionShift shift = running();
        LatencySource latency(1);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", latency.next(), start);
        }
        constexpr int answers = 20;
        for (int answer = 0; answer < answers; ++answer) {
            shift.onLatency(true, "r", 2 * latency.next(), start);
        }
        CPPUNIT_ASSERT(!shift.evaluate(start));
        CPPUNIT_ASSERT(shift.evaluate(start + shift.shiftLimits().confirmTime));
        CPPUNIT_ASSERT(shift.isBad());
    }

    void aVersionWithHalfItsAnswersEightTimesAsSlowIsDetected()
    {
        VersionShift shift = running();
        LatencySource latency(2);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", latency.next(), start);
        }
        constexpr int answers = 30;
        for (int answer = 0; answer < answers; ++answer) {
            shift.onLatency(true, "r", (answer % 2 == 0 ? 8 : 1) * latency.next(), start);
        }
        shift.evaluate(start);
        CPPUNIT_ASSERT(shift.evaluate(start + shift.shiftLimits().confirmTime));
    }

    void aGoodVersionIsSeldomClassifiedAsSlow()
    {
        constexpr int rollouts = 1000;
        constexpr int maxRolledBack = rollouts / 100;
        int rolledBack = 0;
        for (int rollout = 0; rollout < rollouts; ++rollout) {
            VersionShift shift = running();
            LatencySource latency(100 + rollout);
            TimePoint now = start;
            for (int answer = 0; answer < 300 && !shift.isBad(); ++answer) {
                shift.onLatency(false, "r", latency.next(), start);
                shift.onLatency(answer % 4 == 0, "r", latency.next(), start);
                now += Milliseconds(20);
                shift.evaluate(now);
            }
            rolledBack += shift.isBad() ? 1 : 0;
        }
        CPPUNIT_ASSERT_LESSEQUAL(maxRolledBack, rolledBack);
    }

    void aFewVerySlowAnswersAreNotEnough()
    {
        VersionShift shift = running();
        LatencySource latency(3);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", latency.next(), start);
        }
        for (int answer = 0; answer < 4; ++answer) {
            shift.onLatency(true, "r", Milliseconds(60000), start);
        }
        // One answer of a kind of work without a baseline.
        shift.onLatency(true, "unknown", Milliseconds(60000), start);
        shift.evaluate(start);
        CPPUNIT_ASSERT(!shift.evaluate(start + Milliseconds(5000)));
    }

    void latenciesFromTheRampOnAreIgnored()
    {
        VersionShift shift = running();
        LatencySource latency(4);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", latency.next(), start);
        }
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(true, "r", 8 * latency.next(), at(shift.shiftLimits().rampBegin));
        }
        CPPUNIT_ASSERT(!shift.hasEvidence());
    }

    void theBaselineIsMeasuredBeforeTheOrder()
    {
        VersionShift shift;
        LatencySource latency(6);
        for (int answer = 0; answer < 20; ++answer) {
            shift.onLatency(false, "r", latency.next(), start);
        }
        shift.onOrder({.service = service, .to = next, .duration = duration, .number = 7});
        shift.onStatus({.service = service, .to = next, .order = 7}, start);
        for (int answer = 0; answer < 20; ++answer) {
            shift.onLatency(true, "r", 2 * latency.next(), at(0.1));
        }
        shift.evaluate(at(0.2));
        CPPUNIT_ASSERT(shift.evaluate(at(0.3)));
    }

    void lateFirstEventsCountOnlyWithSlowInterEventLatency()
    {
        VersionShift shift = running();
        VersionReport report{.service = service,
                             .version = next,
                             .routes = {},
                             .firstEventEvidence = {.allSlow = 20, .answers = 30},
                             .latencyEvidence = {.allSlow = 3, .someSlow = -1, .answers = 100}};
        shift.merge(InstanceId("a"), report);
        shift.evaluate(start);
        CPPUNIT_ASSERT(!shift.evaluate(start + Milliseconds(5000)));
        report.latencyEvidence.allSlow = 6;
        shift.merge(InstanceId("a"), report);
        shift.evaluate(start + Milliseconds(5000));
        CPPUNIT_ASSERT(shift.evaluate(start + Milliseconds(6000)));
    }

    void latencyEvidenceIsSummedOverTheInstances()
    {
        VersionShift shift = running();
        const VersionReport slow{.service = service,
                                 .version = next,
                                 .routes = {},
                                 .firstEventEvidence = {},
                                 .latencyEvidence = {.allSlow = 5, .answers = 8}};
        shift.merge(InstanceId("a"), slow);
        shift.evaluate(start);
        CPPUNIT_ASSERT(!shift.evaluate(start + Milliseconds(5000)));
        shift.merge(InstanceId("b"), slow);
        shift.evaluate(start + Milliseconds(5000));
        CPPUNIT_ASSERT(shift.evaluate(start + Milliseconds(6000)));
    }

    void evidenceForASuspectedVersionIsReported()
    {
        VersionShift shift = running();
        LatencySource latency(5);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", latency.next(), start);
        }
        for (int answer = 0; answer < 5; ++answer) {
            shift.onLatency(true, "r", latency.next(), start);
        }
        CPPUNIT_ASSERT(!shift.hasEvidence());
        shift.merge(InstanceId("a"),
                    {.service = service,
                     .version = next,
                     .routes = {},
                     .firstEventEvidence = {},
                     .latencyEvidence = {.allSlow = 8, .answers = 8}});
        CPPUNIT_ASSERT(shift.hasEvidence());
        CPPUNIT_ASSERT(shift.report().latencyEvidence.logOdds() < 0);
        shift.evaluate(start);
        // A report that contradicts the first one arrives within confirmTime.
        shift.merge(InstanceId("b"),
                    {.service = service,
                     .version = next,
                     .routes = {},
                     .firstEventEvidence = {},
                     .latencyEvidence = {.allSlow = -4, .answers = 8}});
        CPPUNIT_ASSERT(!shift.evaluate(start + shift.shiftLimits().confirmTime));
    }

    void theAgreedOutcomeAppliesToEveryInstance()
    {
        VersionShift shift = running();
        shift.onStatus({.service = service, .to = next, .state = RolloutState::RolledBack, .order = 7}, start);
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, at(0.99)));
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(shift.routesToCandidate("", 0.999, at(0.1)));
        CPPUNIT_ASSERT(!shift.progress(at(0.1)));
    }

    void anOldStatusDoesNotApplyToANewOrder()
    {
        VersionShift shift = running();
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(shift.onOrder({.service = service, .to = VersionName("v3"), .duration = duration, .number = 9}));
        CPPUNIT_ASSERT(!shift.state());
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(!shift.state());
    }

    static void order(VersionShift &shift, const VersionName &to, std::uint64_t number)
    {
        shift.onOrder({.service = service, .to = to, .duration = duration, .number = number});
    }

    static void decide(VersionShift &shift, const VersionName &to, RolloutState state, std::uint64_t number)
    {
        shift.onStatus({.service = service, .to = to, .state = state, .order = number}, start);
    }

    /// Guards against taking the version that was rolled back for the predecessor of the next one.
    void aRolledBackVersionGetsNoRequestsUnderTheNextOrder()
    {
        VersionShift shift = running();
        decide(shift, next, RolloutState::RolledBack, 7);
        for (const std::uint64_t number : {9, 11}) {
            order(shift, VersionName("v" + std::to_string(number)), number);
            CPPUNIT_ASSERT(!shift.allows(next, false));
            CPPUNIT_ASSERT(!shift.allows(next, true));
            CPPUNIT_ASSERT(shift.allows(VersionName("v1"), false));
        }
    }

    /// Orders and states are read from separate rows, in any order; a restarted instance knows no earlier order.
    void aRollBackThatIsReadAfterTheNextOrderCounts()
    {
        VersionShift late = running();
        order(late, VersionName("v3"), 9);
        CPPUNIT_ASSERT(late.allows(next, false));
        decide(late, next, RolloutState::RolledBack, 7);
        CPPUNIT_ASSERT(!late.allows(next, false));
        CPPUNIT_ASSERT(!late.state());
        VersionShift restarted;
        order(restarted, VersionName("v3"), 9);
        decide(restarted, next, RolloutState::RolledBack, 7);
        CPPUNIT_ASSERT(!restarted.allows(next, false));
        VersionShift early = running();
        decide(early, next, RolloutState::RolledBack, 7);
        decide(early, VersionName("v3"), RolloutState::Running, 9);
        order(early, VersionName("v3"), 9);
        CPPUNIT_ASSERT(!early.allows(next, false));
    }

    /// Guards against the opposite error: a version that was mended and completed would get no requests.
    void aVersionThatIsOrderedAgainServesAgain()
    {
        VersionShift shift = running();
        decide(shift, next, RolloutState::RolledBack, 7);
        order(shift, next, 9);
        CPPUNIT_ASSERT(shift.allows(next, true));
        decide(shift, next, RolloutState::RolledBack, 7);
        decide(shift, next, RolloutState::Completed, 9);
        CPPUNIT_ASSERT(shift.routesToCandidate("", 0.999, start));
        order(shift, VersionName("v3"), 11);
        decide(shift, next, RolloutState::RolledBack, 7);
        CPPUNIT_ASSERT(shift.allows(next, false));
    }

    /// Of two decisions about one order, completion holds: then the upstreams of the old version stop.
    void aCompletedVersionIsThePredecessorOfTheNextOrder()
    {
        VersionShift shift = running();
        decide(shift, next, RolloutState::RolledBack, 7);
        order(shift, VersionName("v3"), 9);
        decide(shift, next, RolloutState::Completed, 7);
        CPPUNIT_ASSERT(shift.allows(next, false));
        decide(shift, next, RolloutState::RolledBack, 7);
        CPPUNIT_ASSERT(shift.allows(next, false));
    }

    void nothingIsReportedOnceTheRollOutHasEnded()
    {
        VersionShift shift = running();
        for (int answer = 0; answer < 4; ++answer) {
            shift.onAnswer(route, true, false);
        }
        CPPUNIT_ASSERT(shift.hasEvidence());
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(!shift.hasEvidence());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionShiftTest);

} // namespace parsleyvane
