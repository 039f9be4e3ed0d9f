#include "suite.h"

#include "parsleyvane/ingress/upstreamlimiter.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000000}};
constexpr Milliseconds storeOffset{500000}; ///< the store's clock minus the instances'
const ServiceName service("s");

UpstreamEntry entryOf(std::size_t number)
{
    return {.id = UpstreamId("u-" + std::to_string(number)), .service = service, .slots = 64, .startedAtMs = 1};
}

/// A fleet on a virtual clock: instances with uneven demand that exchange reports late or not at all, and upstreams
/// that announce limits in their answers.
class LimitWorld
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t instances = 7;
        std::size_t upstreams = 12;
        double limitedShare = 0.7;
        bool hasReports = true; ///< otherwise no write arrives
        bool hasTrouble = true; ///< restarts, cuts, an outage of the store, lost writes and reads
    };

    explicit LimitWorld(const Options &options)
        : options(options)
        , random(options.seed)
        , instances(options.instances)
        , upstreams(options.upstreams)
    {
        for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
            Upstream &upstream = this->upstreams[number];
            upstream.entry = entryOf(number);
            if (this->chance(options.limitedShare)) {
                upstream.limitFrom = start + Milliseconds(this->between(4000, 6000));
                upstream.limitTo = start + Milliseconds(this->between(22000, 30000));
                upstream.changeAt = start + Milliseconds(this->between(8000, 40000));
                upstream.rates = {this->randomRate(), this->randomRate()};
            }
        }
        for (std::size_t number = 0; number < this->instances.size(); ++number) {
            Instance &instance = this->instances[number];
            instance.id = InstanceId("instance-" + std::to_string(number));
            this->weights.push_back(1.0 / static_cast<double>(number % 10 + 1));
            this->startInstance(instance);
        }
    }

    void run()
    {
        const double arrivals = 4.4 * static_cast<double>(this->upstreams.size()) * step / 1000.0;
        std::discrete_distribution<std::size_t> chooseInstance(this->weights.begin(), this->weights.end());
        std::poisson_distribution<int> count(arrivals);
        for (std::int64_t ms = 0; ms < length; ms += step) {
            this->now = start + Milliseconds(ms);
            if (this->options.hasTrouble) {
                this->troubleAtRandom();
            }
            this->readAnswers();
            for (Instance &instance : this->instances) {
                this->exchange(instance, ms);
            }
            for (int left = count(this->random); left > 0; --left) {
                this->send(this->instances[chooseInstance(this->random)]);
            }
        }
        this->check();
    }

    std::size_t violations = 0; ///< windows with more than the rule allows
    std::size_t requests = 0; ///< while all limits are in force
    std::size_t refused = 0; ///< of these
    double granted = 0; ///< sum of the limits x time, while all limits are in force
    std::size_t sentToLimited = 0; ///< in the same time

private:
    static constexpr std::int64_t step = 10;
    static constexpr std::int64_t length = 34000;
    static constexpr std::int64_t steadyFrom = 10000;
    static constexpr std::int64_t steadyTo = 22000;
    static constexpr Milliseconds stableWindow{3000};
    static constexpr Milliseconds ruleWindow{4000};
    static constexpr Milliseconds toldMargin{500};

    struct Arrival
    {
        TimePoint at;
        bool counts = false; ///< by an instance that was told, and is in touch
    };
    struct Upstream
    {
        UpstreamEntry entry;
        TimePoint limitFrom = TimePoint::max();
        TimePoint limitTo = TimePoint::max();
        TimePoint changeAt = TimePoint::max();
        std::pair<double, double> rates; ///< before and after the change
        TimePoint firstNamed = TimePoint::max();
        std::vector<Arrival> arrivals;
    };
    struct Instance
    {
        InstanceId id;
        UpstreamLimiter limiter;
        UpstreamList list;
        std::map<std::size_t, TimePoint> toldAt; ///< by upstream
        TimePoint nextReadAt{};
        TimePoint publishAt = TimePoint::max();
        std::uint64_t readVersion = 0;
        Milliseconds latestStoreTime{0};
        TimePoint cutUntil{};
        TimePoint troubledAt{};
        LimitReport published;
    };
    struct Answer
    {
        TimePoint at;
        std::size_t upstream = 0;
        Instance *instance = nullptr;
        TimePoint sentAt;
    };
    struct Row
    {
        LimitReport report;
        std::uint64_t version = 0;
    };

    std::int64_t between(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(this->random);
    }

    double randomRate()
    {
        return std::uniform_real_distribution<double>(0.5, 4)(this->random);
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    void startInstance(Instance &instance)
    {
        instance.limiter = UpstreamLimiter();
        instance.limiter.setSelf(instance.id);
        instance.list = UpstreamList();
        for (const Upstream &upstream : this->upstreams) {
            instance.list.update(upstream.entry);
        }
        instance.readVersion = 0;
        instance.published = {};
        instance.publishAt = TimePoint::max();
        instance.nextReadAt = this->now + Milliseconds(this->between(0, 400));
    }

    void troubleAtRandom()
    {
        Instance &victim
            = this->instances[std::uniform_int_distribution<std::size_t>(0, this->instances.size() - 1)(this->random)];
        const double perStep = step / 8000.0;
        if (this->chance(perStep)) {
            victim.troubledAt = this->now;
            std::erase_if(this->answers, [&](const Answer &answer) { return answer.instance == &victim; });
            this->startInstance(victim);
        } else if (this->chance(perStep)) {
            victim.cutUntil = this->now + Milliseconds(6000);
            victim.troubledAt = victim.cutUntil;
        }
        this->isStoreAway = this->now > start + Milliseconds(15000) && this->now < start + Milliseconds(19000);
    }

    std::optional<RequestRate> limitAt(const Upstream &upstream, TimePoint at) const
    {
        if (at < upstream.limitFrom || at >= upstream.limitTo) {
            return std::nullopt;
        }
        return RequestRate{at < upstream.changeAt ? upstream.rates.first : upstream.rates.second};
    }

    void send(Instance &instance)
    {
        const bool isSteady
            = this->now >= start + Milliseconds(steadyFrom) && this->now < start + Milliseconds(steadyTo);
        this->requests += isSteady ? 1 : 0;
        instance.limiter.onRequest(service, 1000, this->now);
        const auto permits = instance.limiter.filter(instance.list, {.service = service}, this->now);
        std::vector<std::size_t> candidates(this->upstreams.size());
        std::iota(candidates.begin(), candidates.end(), 0);
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        for (const std::size_t number : candidates) {
            Upstream &upstream = this->upstreams[number];
            if (!permits(*instance.list.find(upstream.entry.id)) || !instance.limiter.take(upstream.entry, this->now)) {
                continue;
            }
            const TimePoint arrival = this->now + Milliseconds(this->between(1, 100));
            const auto told = instance.toldAt.find(number);
            const bool wasTold = told != instance.toldAt.end() && told->second + toldMargin <= this->now;
            const bool isInTouch = this->now > instance.troubledAt + stableWindow;
            upstream.arrivals.push_back({arrival, wasTold && isInTouch});
            this->answers.push_back({arrival + Milliseconds(this->between(5, 1500)), number, &instance, this->now});
            this->sentToLimited += isSteady && this->limitAt(upstream, this->now) ? 1 : 0;
            return;
        }
        this->refused += isSteady ? 1 : 0;
    }

    void readAnswers()
    {
        std::vector<Answer> due;
        std::erase_if(this->answers, [&](const Answer &answer) {
            const bool isDue = answer.at <= this->now;
            if (isDue) {
                due.push_back(answer);
            }
            return isDue;
        });
        for (const Answer &answer : due) {
            Upstream &upstream = this->upstreams[answer.upstream];
            const auto rate = this->limitAt(upstream, answer.at);
            if (rate) {
                upstream.firstNamed = std::min(upstream.firstNamed, answer.at);
                answer.instance->toldAt.try_emplace(answer.upstream, this->now);
            } else {
                answer.instance->toldAt.erase(answer.upstream);
            }
            if (answer.instance->limiter.onAnswer(upstream.entry, rate, answer.sentAt, this->now)) {
                this->requestPublication(*answer.instance);
            }
        }
    }

    void requestPublication(Instance &instance) const
    {
        instance.publishAt = std::min(instance.publishAt, this->now + Milliseconds(250));
    }

    void exchange(Instance &instance, std::int64_t ms)
    {
        const Milliseconds storeTime = this->now.time_since_epoch() + storeOffset;
        const Milliseconds known = std::min(storeTime, instance.latestStoreTime + Milliseconds(2000));
        if (ms % 200 == 0 && instance.limiter.update(known, this->now)) {
            this->requestPublication(instance);
        }
        const bool isCut = this->now < instance.cutUntil || this->isStoreAway;
        if (this->now >= instance.publishAt) {
            instance.publishAt = TimePoint::max();
            const LimitReport report = instance.limiter.report();
            const bool isLost = isCut || !this->options.hasReports || (this->options.hasTrouble && this->chance(0.1));
            if (report != instance.published && !isLost) {
                instance.published = report;
                this->rows[instance.id] = {shifted(report, storeOffset), ++this->version};
            }
        }
        if (this->now >= instance.nextReadAt) {
            instance.nextReadAt = this->now + Milliseconds(400 + this->between(5, 60));
            if (!isCut && !(this->options.hasTrouble && this->chance(0.1))) {
                this->read(instance, storeTime);
            }
        }
    }

    void read(Instance &instance, Milliseconds storeTime)
    {
        std::map<InstanceId, LimitReport> reports;
        for (const auto &[id, row] : this->rows) {
            if (row.version > instance.readVersion && (id != instance.id || instance.readVersion == 0)) {
                reports[id] = shifted(row.report, -storeOffset);
            }
        }
        instance.latestStoreTime = storeTime;
        instance.readVersion = std::max<std::uint64_t>(1, this->version);
        if (!instance.limiter.merge(reports, this->now).empty()) {
            this->requestPublication(instance);
        }
    }

    void check()
    {
        for (Upstream &upstream : this->upstreams) {
            if (upstream.limitFrom == TimePoint::max()) {
                continue;
            }
            for (std::int64_t ms = steadyFrom; ms < steadyTo; ms += step) {
                this->granted += this->limitAt(upstream, start + Milliseconds(ms))->perSecond * step / 1000;
            }
            if (upstream.firstNamed == TimePoint::max()) {
                continue;
            }
            std::sort(upstream.arrivals.begin(), upstream.arrivals.end(),
                      [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
            for (TimePoint from = upstream.firstNamed + stableWindow; from + ruleWindow < upstream.limitTo;
                 from += Milliseconds(50)) {
                const double rate = std::max(this->limitAt(upstream, from)->perSecond,
                                             this->limitAt(upstream, from + ruleWindow)->perSecond);
                const auto got
                    = std::count_if(upstream.arrivals.begin(), upstream.arrivals.end(), [&](const Arrival &a) {
                          return a.counts && a.at >= from && a.at < from + ruleWindow;
                      });
                this->violations += static_cast<double>(got) > 1.5 * 4 * rate + 5 ? 1 : 0;
            }
        }
    }

    Options options;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::vector<Upstream> upstreams;
    std::vector<double> weights;
    std::deque<Answer> answers;
    std::map<InstanceId, Row> rows;
    std::uint64_t version = 0;
    TimePoint now = start;
    bool isStoreAway = false;
};

} // namespace

class UpstreamLimiterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamLimiterTest);
    CPPUNIT_TEST(allInstancesTogetherKeepToTheLimit);
    CPPUNIT_TEST(withoutReportsTheInstancesExceedTheLimit);
    CPPUNIT_TEST(mostOfTheLimitsIsUsedWhenAllUpstreamsHaveOne);
    CPPUNIT_TEST(anAnswerThatWasUnderWayDoesNotEndTheLimit);
    CPPUNIT_TEST(anAnswerWithoutLimitEndsItForAll);
    CPPUNIT_TEST(aRestartedProcessHasNoLimit);
    CPPUNIT_TEST(whatNobodyIsToldIsForgotten);
    CPPUNIT_TEST(aNewInstanceLearnsTheLimitFromTheReports);
    CPPUNIT_TEST(anInstanceThatHasNotReadTheReportsOwnsNoShares);
    CPPUNIT_TEST(aSilentMemberLosesItsShares);
    CPPUNIT_TEST(nobodyIsDroppedWhileTheStoresTimeStandsStill);
    CPPUNIT_TEST(anInstanceReportsInEachPeriodEvenAfterTheOthers);
    CPPUNIT_TEST(aReportFromTheFutureDropsNobody);
    CPPUNIT_TEST(aMemberThatLeavesGivesItsSharesToTheOthers);
    CPPUNIT_TEST(sharesFollowDemand);
    CPPUNIT_TEST(aLessUrgentRequestLeavesTokensToOthers);
    CPPUNIT_TEST(aShortPromptLeavesTokensWhereAnotherUpstreamHasRoom);
    CPPUNIT_TEST(longPromptsPreferLimitedUpstreamsWhileTheOthersAreOverloaded);
    CPPUNIT_TEST(anUpstreamWithoutLimitIsNotFloodedWithTheRest);
    CPPUNIT_TEST(inventedProcessesDoNotGrowTheTable);
    CPPUNIT_TEST_SUITE_END();

public:
    void allInstancesTogetherKeepToTheLimit()
    {
        for (const std::size_t instances : {1, 7, 70}) {
            // In 4798 an instance restarts while it is cut off from the store.
            for (const std::uint64_t seed : {4744, 4745, 4746, 4747, 4748, 4798}) {
                const std::size_t upstreams = instances < 70 ? 12 : 40;
                LimitWorld world({.seed = seed, .instances = instances, .upstreams = upstreams});
                world.run();
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.violations);
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.refused);
            }
        }
    }

    void withoutReportsTheInstancesExceedTheLimit()
    {
        LimitWorld world({.seed = 4744, .limitedShare = 1, .hasReports = false, .hasTrouble = false});
        world.run();
        CPPUNIT_ASSERT(world.violations > 0);
    }

    void mostOfTheLimitsIsUsedWhenAllUpstreamsHaveOne()
    {
        for (const std::size_t instances : {7, 70}) {
            const std::size_t upstreams = instances < 70 ? 12 : 40;
            LimitWorld world(
                {.seed = 4744, .instances = instances, .upstreams = upstreams, .limitedShare = 1, .hasTrouble = false});
            world.run();
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.violations);
            CPPUNIT_ASSERT(world.refused > 0);
            CPPUNIT_ASSERT(static_cast<double>(world.sentToLimited) > world.granted / 2);
        }
    }

    void anAnswerThatWasUnderWayDoesNotEndTheLimit()
    {
        UpstreamLimiter limiter = limiterOf("a");
        limiter.onAnswer(entryOf(0), RequestRate{1}, start, start + Milliseconds(100));
        CPPUNIT_ASSERT(
            !limiter.onAnswer(entryOf(0), std::nullopt, start + Milliseconds(50), start + Milliseconds(200)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter.limitedUpstreams());
        CPPUNIT_ASSERT(
            limiter.onAnswer(entryOf(0), std::nullopt, start + Milliseconds(150), start + Milliseconds(300)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limiter.limitedUpstreams());
    }

    void anAnswerWithoutLimitEndsItForAll()
    {
        UpstreamLimiter a = limiterOf("a");
        UpstreamLimiter b = limiterOf("b");
        a.onAnswer(entryOf(0), RequestRate{1}, start, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.merge({{InstanceId("a"), a.report()}}, start).size());
        const TimePoint later = start + Milliseconds(1000);
        CPPUNIT_ASSERT(a.onAnswer(entryOf(0), std::nullopt, later, later));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.merge({{InstanceId("a"), a.report()}}, later).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, b.limitedUpstreams());
    }

    void aRestartedProcessHasNoLimit()
    {
        UpstreamLimiter limiter = limiterOf("a");
        limiter.onAnswer(entryOf(0), RequestRate{0}, start, start);
        UpstreamEntry restarted = entryOf(0);
        restarted.startedAtMs = 2;
        limiter.take(entryOf(0), start);
        limiter.take(entryOf(0), start);
        CPPUNIT_ASSERT(limiter.take(restarted, start));
        CPPUNIT_ASSERT(limiter.take(restarted, start));
    }

    void whatNobodyIsToldIsForgotten()
    {
        UpstreamLimiter limiter = limiterOf("a");
        limiter.onAnswer(entryOf(0), RequestRate{1}, start, start);
        limiter.update(Milliseconds(0), start + Milliseconds(20000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter.limitedUpstreams());
        limiter.update(Milliseconds(0), start + Milliseconds(20001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limiter.limitedUpstreams());
    }

    void aNewInstanceLearnsTheLimitFromTheReports()
    {
        UpstreamLimiter a = limiterOf("a");
        a.onAnswer(entryOf(0), RequestRate{1}, start, start);
        UpstreamLimiter fresh = limiterOf("b");
        fresh.merge({{InstanceId("a"), a.report()}}, start + Milliseconds(9000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fresh.limitedUpstreams());
        CPPUNIT_ASSERT(!fresh.take(entryOf(0), start + Milliseconds(9000)));
    }

    void anInstanceThatHasNotReadTheReportsOwnsNoShares()
    {
        UpstreamLimiter limiter;
        limiter.setSelf(InstanceId("a"));
        limiter.onAnswer(entryOf(0), RequestRate{4}, start, start);
        CPPUNIT_ASSERT_EQUAL(0U, grantedWithin(limiter, start, Milliseconds(8000)));
        limiter.merge({}, start + Milliseconds(8000));
        CPPUNIT_ASSERT(grantedWithin(limiter, start + Milliseconds(8000), Milliseconds(8000)) > 0);
    }

    void aSilentMemberLosesItsShares()
    {
        UpstreamLimiter limiter = pairWith({100});
        CPPUNIT_ASSERT_EQUAL(0U, grantedWithin(limiter, start, Milliseconds(8000)));
        limiter.update(Milliseconds(15000), start + Milliseconds(8000));
        CPPUNIT_ASSERT(grantedWithin(limiter, start + Milliseconds(8000), Milliseconds(8000)) > 0);
    }

    void nobodyIsDroppedWhileTheStoresTimeStandsStill()
    {
        UpstreamLimiter limiter = pairWith({100});
        limiter.update(Milliseconds(2000), start + Milliseconds(15000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, limiter.members());
    }

    void anInstanceReportsInEachPeriodEvenAfterTheOthers()
    {
        UpstreamLimiter limiter = pairWith({100});
        limiter.update(Milliseconds(5000), start);
        limiter.merge({{InstanceId("b"), {.demand = {{service, {100}}}, .period = 2}}}, start);
        CPPUNIT_ASSERT(limiter.update(Milliseconds(10000), start + Milliseconds(5000)));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, limiter.report().period);
    }

    void aReportFromTheFutureDropsNobody()
    {
        UpstreamLimiter limiter = pairWith({100});
        limiter.merge({{InstanceId("c"), {.demand = {{service, {100}}}, .period = 1000}}}, start);
        limiter.update(Milliseconds(5000), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, limiter.members());
    }

    void aMemberThatLeavesGivesItsSharesToTheOthers()
    {
        UpstreamLimiter limiter = pairWith({100});
        UpstreamLimiter other = limiterOf("b");
        other.onAnswer(entryOf(0), RequestRate{4}, start, start);
        other.leave(start);
        CPPUNIT_ASSERT(!other.take(entryOf(0), start + Milliseconds(10000)));
        const UpstreamList list = listOf(2);
        const auto permits = other.filter(list, {.service = service}, start + Milliseconds(10000));
        CPPUNIT_ASSERT(!permits(*list.find(entryOf(0).id)));
        CPPUNIT_ASSERT(permits(*list.find(entryOf(1).id)));
        limiter.merge({{InstanceId("b"), other.report()}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter.members());
        CPPUNIT_ASSERT_EQUAL(32U, grantedWithin(limiter, start, Milliseconds(8000)));
    }

    void sharesFollowDemand()
    {
        UpstreamLimiter busy = limiterOf("a");
        constexpr std::size_t upstreams = 200;
        const TimePoint end = start + Milliseconds(4000);
        for (TimePoint at = start; at < end; at += Milliseconds(100)) {
            busy.onRequest(service, 1000, at);
        }
        for (std::size_t number = 0; number < upstreams; ++number) {
            busy.onAnswer(entryOf(number), RequestRate{4}, end, end);
        }
        const double own = busy.report().demand.at(service).perSecond;
        busy.merge({{InstanceId("b"), {.demand = {{service, {own * 3}}}}}}, end);
        unsigned granted = 0;
        for (std::size_t number = 0; number < upstreams; ++number) {
            granted += grantedWithin(busy, end, Milliseconds(4000), number);
        }
        // A quarter of 200 x 16 requests, and the bursts.
        CPPUNIT_ASSERT(granted > 650 && granted < 1100);
    }

    void aLessUrgentRequestLeavesTokensToOthers()
    {
        UpstreamLimiter limiter = limiterOf("a");
        limiter.onAnswer(entryOf(0), RequestRate{4}, start, start);
        const UpstreamList list = listOf(1);
        const auto permits = [&](int rank) {
            return limiter.filter(list, {.service = service, .rank = rank}, start)(*list.find(entryOf(0).id));
        };
        CPPUNIT_ASSERT(permits(2));
        limiter.take(entryOf(0), start);
        limiter.take(entryOf(0), start);
        CPPUNIT_ASSERT(!permits(2));
        CPPUNIT_ASSERT(permits(1));
        limiter.take(entryOf(0), start);
        CPPUNIT_ASSERT(!permits(1));
        CPPUNIT_ASSERT(permits(0));
        limiter.take(entryOf(0), start);
        CPPUNIT_ASSERT(!permits(0));
    }

    void aShortPromptLeavesTokensWhereAnotherUpstreamHasRoom()
    {
        UpstreamLimiter limiter = limiterOf("a");
        limiter.onRequest(service, 100, start);
        limiter.onRequest(service, 10000, start);
        limiter.onAnswer(entryOf(0), RequestRate{4}, start, start);
        limiter.take(entryOf(0), start);
        limiter.take(entryOf(0), start);
        const UpstreamList list = listOf(2);
        const auto permits = [&](std::int64_t tokens) {
            const TokenClaim claim{.service = service, .promptTokens = tokens};
            return limiter.filter(list, claim, start)(*list.find(entryOf(0).id));
        };
        CPPUNIT_ASSERT(!permits(100));
        CPPUNIT_ASSERT(permits(10000));
    }

    void longPromptsPreferLimitedUpstreamsWhileTheOthersAreOverloaded()
    {
        UpstreamLimiter limiter = limiterOf("a");
        const UpstreamList list = listOf(3);
        const auto prefersLimited = [&](std::int64_t tokens) {
            const auto prefers = limiter.preference(list, {.service = service, .promptTokens = tokens});
            return prefers && prefers(*list.find(entryOf(0).id)) && !prefers(*list.find(entryOf(2).id));
        };
        TimePoint now = start;
        for (int second = 0; second < 60; ++second, now += Milliseconds(1000)) {
            limiter.onRequest(service, 100, now);
            limiter.onRequest(service, 10000, now);
        }
        CPPUNIT_ASSERT(!prefersLimited(10000));
        limiter.onAnswer(entryOf(0), RequestRate{0.1}, now, now);
        CPPUNIT_ASSERT(prefersLimited(10000));
        CPPUNIT_ASSERT(!prefersLimited(100));
        limiter.onAnswer(entryOf(0), RequestRate{5}, now, now + Milliseconds(1));
        CPPUNIT_ASSERT(!prefersLimited(10000));
    }

    void anUpstreamWithoutLimitIsNotFloodedWithTheRest()
    {
        UpstreamLimiter limiter = limiterOf("a");
        UpstreamList list = listOf(2);
        const auto permits = [&](int rank) {
            const TokenClaim claim{.service = service, .rank = rank};
            return limiter.filter(list, claim, start)(*list.find(entryOf(1).id));
        };
        const auto admitted = [&](int rank) {
            unsigned running = 0;
            for (; permits(rank) && running < 1000; ++running) {
                list.begin(entryOf(1));
            }
            for (unsigned left = running; left > 0; --left) {
                list.end(entryOf(1));
            }
            return running;
        };
        CPPUNIT_ASSERT_EQUAL(1000U, admitted(0));
        limiter.onAnswer(entryOf(0), RequestRate{4}, start, start);
        CPPUNIT_ASSERT_EQUAL(64U, admitted(0));
        CPPUNIT_ASSERT_EQUAL(52U, admitted(2));
    }

    void inventedProcessesDoNotGrowTheTable()
    {
        UpstreamLimiter limiter(UpstreamLimiterLimits{.maxUpstreams = 10});
        LimitReport report;
        for (std::size_t number = 0; number < 100; ++number) {
            report.notices.push_back({processName(entryOf(number)), service, RequestRate{1}, start});
        }
        limiter.merge({{InstanceId("a"), report}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, limiter.limitedUpstreams());
    }

private:
    static UpstreamLimiter limiterOf(const std::string &id)
    {
        UpstreamLimiter limiter;
        limiter.setSelf(InstanceId(id));
        limiter.merge({}, start);
        return limiter;
    }

    /// An instance "a" that was told of a limit of 4 a second, with the smallest demand, and a member "b".
    static UpstreamLimiter pairWith(RequestRate othersDemand)
    {
        UpstreamLimiter limiter = limiterOf("a");
        limiter.merge({{InstanceId("b"),
                        {.notices = {{processName(entryOf(0)), service, RequestRate{4}, start}},
                         .demand = {{service, othersDemand}}}}},
                      start);
        return limiter;
    }

    static UpstreamList listOf(std::size_t upstreams)
    {
        UpstreamList list;
        for (std::size_t number = 0; number < upstreams; ++number) {
            list.update(entryOf(number));
        }
        return list;
    }

    static unsigned grantedWithin(UpstreamLimiter &limiter, TimePoint from, Milliseconds time, std::size_t number = 0)
    {
        unsigned granted = 0;
        for (TimePoint at = from + Milliseconds(10); at <= from + time; at += Milliseconds(10)) {
            granted += limiter.take(entryOf(number), at) ? 1 : 0;
        }
        return granted;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimiterTest);

} // namespace parsleyvane
