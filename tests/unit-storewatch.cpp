#include "suite.h"

#include "parsleyvane/store/storewatch.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <tuple>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000000}};
constexpr std::array tables = {StoreTable::Orders, StoreTable::Upstreams, StoreTable::Status, StoreTable::Fleet};

/// One instance that follows a store on a virtual clock, with random outages, lost answers and dead connections.
class WatchWorld
{
public:
    struct Options
    {
        double changesPerSecond = 0.3; ///< of each table
        bool hasTrouble = true;
    };

    WatchWorld(std::uint64_t seed, const Options &options)
        : options(options)
        , random(seed)
        , watch(withBounds(WatchLimits(), this->bounds))
    {
        for (const StoreTable table : tables) {
            this->readers[table].nextReadAt = start;
        }
    }

    void run()
    {
        for (this->now = start; this->now < start + length; this->now += step) {
            this->changeAtRandom();
            if (this->options.hasTrouble) {
                this->troubleAtRandom();
            }
            for (auto &[table, reader] : this->readers) {
                this->advance(table, reader);
            }
            for (const StoreTable table : this->watch.takeInterrupts(this->now)) {
                this->end(table, this->readers[table], false);
            }
            this->check();
        }
    }

    /// The longest time, by table, that a change was unknown after the last fault of its table and the operator's.
    std::map<StoreTable, Milliseconds> blindFor;
    std::size_t reads = 0;

    static constexpr WatchBounds bounds{};

private:
    static constexpr Milliseconds step{10};
    static constexpr Milliseconds length{60000};
    static constexpr Milliseconds latency{10};
    static constexpr Milliseconds callTimeout{1500};
    static constexpr Milliseconds longPollMargin{700};

    struct Reader
    {
        TimePoint nextReadAt{};
        bool isPending = false;
        TableRead read;
        TimePoint begunAt{};
        std::optional<TimePoint> answerAt; ///< the store has sent the answer
        std::uint64_t answerVersion = 0;
        std::uint64_t answerEra = 0;
        std::uint64_t answerContent = 0;
        bool isHistoryLost = false;
        bool isAnswerLost = false;
        std::uint64_t knownContent = 0;
        // the store's side
        std::uint64_t content = 0; ///< identifies the table's latest change
        std::uint64_t changedVersion = 0; ///< of that change
        std::deque<std::pair<std::uint64_t, TimePoint>> unknown; ///< changes that are not known yet, and their times
        TimePoint silentUntil{};
        TimePoint refusedUntil{};
        TimePoint lastFault = start - Milliseconds(10000);
    };

    /// A copy of the store.
    struct Copy
    {
        std::uint64_t version = 0;
        std::map<StoreTable, std::pair<std::uint64_t, std::uint64_t>> tables; ///< content and version of its change
    };

    bool chance(double perSecond)
    {
        return std::bernoulli_distribution(perSecond * static_cast<double>(step.count()) / 1000.0)(this->random);
    }

    Milliseconds between(int low, int high)
    {
        return Milliseconds(std::uniform_int_distribution<int>(low, high)(this->random));
    }

    void changeAtRandom()
    {
        for (auto &[table, reader] : this->readers) {
            if (this->chance(this->options.changesPerSecond)) {
                reader.changedVersion = ++this->version;
                reader.content = ++this->lastContent;
                reader.unknown.emplace_back(reader.content, this->now);
            }
        }
        this->copyAtRandom();
    }

    void copyAtRandom()
    {
        if (this->chance(1)) {
            this->copy.version = this->version;
            for (const auto &[table, reader] : this->readers) {
                this->copy.tables[table] = {reader.content, reader.changedVersion};
            }
        }
        if (!this->options.hasTrouble || this->copy.tables.empty() || !this->chance(0.05)) {
            return;
        }
        ++this->era;
        this->version = this->copy.version;
        for (auto &[table, reader] : this->readers) {
            std::tie(reader.content, reader.changedVersion) = this->copy.tables.at(table);
            reader.unknown = {{reader.content, this->now}};
            reader.lastFault = this->now;
        }
    }

    void troubleAtRandom()
    {
        const bool isWhole = this->chance(0.05);
        const bool isSilent = std::bernoulli_distribution(0.6)(this->random);
        const Milliseconds duration = this->between(10, 6000);
        for (auto &[table, reader] : this->readers) {
            const bool isPartial = this->chance(0.03);
            if (isWhole || isPartial) {
                TimePoint &until = isSilent ? reader.silentUntil : reader.refusedUntil;
                until = std::max(until, this->now + (isWhole ? duration : this->between(10, 6000)));
            }
            if (this->now < reader.silentUntil || this->now < reader.refusedUntil) {
                reader.lastFault = this->now;
            }
            if (this->chance(0.03)) {
                // The connection is silent from now on; a new one works.
                reader.isAnswerLost = true;
                reader.lastFault = this->now;
            }
        }
    }

    void advance(StoreTable table, Reader &reader)
    {
        if (!reader.isPending) {
            if (this->now < reader.nextReadAt) {
                return;
            }
            reader.isPending = true;
            reader.read = this->watch.beginRead(table, this->now);
            reader.begunAt = this->now;
            reader.answerAt.reset();
            reader.isAnswerLost = false;
            ++this->reads;
        }
        if (this->now < reader.refusedUntil) {
            this->end(table, reader, false);
            return;
        }
        reader.isAnswerLost = reader.isAnswerLost || this->now < reader.silentUntil;
        const Milliseconds pending = this->now - reader.begunAt;
        const Milliseconds timeout = reader.read.wait.count() > 0 ? reader.read.wait + longPollMargin : callTimeout;
        if (reader.isAnswerLost) {
            if (pending >= timeout) {
                this->end(table, reader, false);
            }
            return;
        }
        const bool isGone = reader.read.after && *reader.read.after > this->version;
        const bool hasChanges = !reader.read.after || reader.changedVersion > *reader.read.after;
        if (!reader.answerAt && (isGone || hasChanges || pending >= reader.read.wait)) {
            reader.answerAt = this->now + latency;
            reader.answerVersion = this->version;
            reader.answerEra = this->era;
            reader.answerContent = hasChanges ? reader.content : reader.knownContent;
            reader.isHistoryLost = isGone;
        }
        if (reader.answerAt && this->now >= *reader.answerAt) {
            this->end(table, reader, true);
        }
    }

    void end(StoreTable table, Reader &reader, bool isAnswered)
    {
        reader.isPending = false;
        const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(this->random);
        reader.nextReadAt
            = this->now + (isAnswered ? this->apply(table, reader) : this->watch.onFailure(table, jitter));
    }

    Milliseconds apply(StoreTable table, Reader &reader)
    {
        this->watch.onEra(reader.answerEra);
        if (reader.isHistoryLost) {
            return this->watch.onHistoryLost(table, this->now);
        }
        if (!this->watch.isCurrent(table, reader.answerEra)) {
            return this->watch.onOutdatedAnswer(table);
        }
        reader.knownContent = reader.answerContent;
        const auto known = std::find_if(reader.unknown.begin(), reader.unknown.end(),
                                        [&](const auto &change) { return change.first == reader.knownContent; });
        if (known != reader.unknown.end()) {
            reader.unknown.erase(reader.unknown.begin(), known + 1);
        }
        return this->watch.onAnswer(table, reader.answerVersion, this->now);
    }

    void check()
    {
        // The operator's table tells the others of newer versions and eras.
        const TimePoint ordersFault = this->readers.at(StoreTable::Orders).lastFault;
        for (const auto &[table, reader] : this->readers) {
            if (!reader.unknown.empty()) {
                Milliseconds &longest = this->blindFor[table];
                longest = std::max(
                    longest,
                    Milliseconds(this->now - std::max({reader.unknown.front().second, reader.lastFault, ordersFault})));
            }
        }
    }

    Options options;
    std::mt19937_64 random;
    StoreWatch watch;
    TimePoint now = start;
    std::map<StoreTable, Reader> readers;
    std::uint64_t version = 0;
    std::uint64_t lastContent = 0;
    std::uint64_t era = 1;
    Copy copy;
};

} // namespace

class StoreWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreWatchTest);
    CPPUNIT_TEST(noTableIsHiddenForLongerThanItsBoundAfterAFault);
    CPPUNIT_TEST(aReadThatFollowsAFailureDoesNotWaitForChanges);
    CPPUNIT_TEST(theReturnOfOneTableIsNoSignForTheOthers);
    CPPUNIT_TEST(aLongReadIsRepeatedOnceAnotherTableShowsANewerVersion);
    CPPUNIT_TEST(aQuietStoreIsReadLittleMoreThanTheOperatorsTableAlone);
    CPPUNIT_TEST(anInterruptedReadIsNotAnOutage);
    CPPUNIT_TEST(whileTheOperatorsTableIsLostNoReadIsIdle);
    CPPUNIT_TEST(aNewEraHasAllTablesReadInFull);
    CPPUNIT_TEST(waitsFollowTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void noTableIsHiddenForLongerThanItsBoundAfterAFault()
    {
        std::map<StoreTable, Milliseconds> longest;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            WatchWorld world(seed, {.changesPerSecond = seed % 3 == 0 ? 0.02 : 0.3});
            world.run();
            for (const auto &[table, blindFor] : world.blindFor) {
                longest[table] = std::max(longest[table], blindFor);
            }
        }
        const WatchBounds &bounds = WatchWorld::bounds;
        CPPUNIT_ASSERT(longest.at(StoreTable::Orders) <= bounds.stable);
        CPPUNIT_ASSERT(longest.at(StoreTable::Upstreams) <= bounds.stable);
        CPPUNIT_ASSERT(longest.at(StoreTable::Status) <= bounds.evidence);
        CPPUNIT_ASSERT(longest.at(StoreTable::Fleet) <= bounds.evidence);
    }

    void aReadThatFollowsAFailureDoesNotWaitForChanges()
    {
        StoreWatch watch = watchAfterFullReads();
        CPPUNIT_ASSERT(watch.beginRead(StoreTable::Orders, start).wait.count() > 0);
        watch.onFailure(StoreTable::Orders, 1);
        CPPUNIT_ASSERT(!watch.isReachable(StoreTable::Orders));
        CPPUNIT_ASSERT((watch.beginRead(StoreTable::Orders, start) == TableRead{.after = 7}));
        watch.onAnswer(StoreTable::Orders, 8, start);
        CPPUNIT_ASSERT(watch.isReachable(StoreTable::Orders));
        CPPUNIT_ASSERT(watch.beginRead(StoreTable::Orders, start).wait.count() > 0);
    }

    void theReturnOfOneTableIsNoSignForTheOthers()
    {
        StoreWatch watch = watchAfterFullReads();
        watch.beginRead(StoreTable::Orders, start);
        watch.beginRead(StoreTable::Upstreams, start);
        watch.onFailure(StoreTable::Orders, 1);
        CPPUNIT_ASSERT((watch.takeInterrupts(start) == std::vector{StoreTable::Upstreams}));
        CPPUNIT_ASSERT(watch.takeInterrupts(start).empty());
        CPPUNIT_ASSERT(watch.onFailure(StoreTable::Upstreams, 1) == Milliseconds(0));
        watch.beginRead(StoreTable::Orders, start);
        watch.onAnswer(StoreTable::Orders, 8, start);
        CPPUNIT_ASSERT((watch.beginRead(StoreTable::Upstreams, start) == TableRead{.after = 7}));
    }

    void aLongReadIsRepeatedOnceAnotherTableShowsANewerVersion()
    {
        StoreWatch watch = watchAfterFullReads();
        const Milliseconds idleWait = watch.beginRead(StoreTable::Upstreams, start).wait;
        const TimePoint later = start + Milliseconds(3000);
        CPPUNIT_ASSERT(watch.takeInterrupts(later).empty());
        const Milliseconds boundedWait = watch.beginRead(StoreTable::Orders, start).wait;
        CPPUNIT_ASSERT(boundedWait < idleWait);
        watch.onAnswer(StoreTable::Orders, 8, start);
        CPPUNIT_ASSERT(watch.takeInterrupts(start + Milliseconds(100)).empty());
        CPPUNIT_ASSERT((watch.takeInterrupts(later) == std::vector{StoreTable::Upstreams}));
        CPPUNIT_ASSERT(watch.onFailure(StoreTable::Upstreams, 1) == Milliseconds(0));
        CPPUNIT_ASSERT(watch.isReachable(StoreTable::Upstreams));
        CPPUNIT_ASSERT((watch.beginRead(StoreTable::Upstreams, later) == TableRead{.after = 7, .wait = boundedWait}));
        watch.onAnswer(StoreTable::Upstreams, 8, later);
        CPPUNIT_ASSERT((watch.beginRead(StoreTable::Upstreams, later) == TableRead{.after = 8, .wait = idleWait}));
    }

    void aQuietStoreIsReadLittleMoreThanTheOperatorsTableAlone()
    {
        WatchWorld world(1, {.changesPerSecond = 0, .hasTrouble = false});
        world.run();
        CPPUNIT_ASSERT(world.reads <= 30 + 4 + 3 * 3);
    }

    void anInterruptedReadIsNotAnOutage()
    {
        StoreWatch watch = watchAfterFullReads();
        watch.beginRead(StoreTable::Upstreams, start);
        watch.beginRead(StoreTable::Orders, start);
        watch.onFailure(StoreTable::Orders, 1);
        watch.takeInterrupts(start);
        watch.onFailure(StoreTable::Upstreams, 1);
        CPPUNIT_ASSERT(watch.isReachable(StoreTable::Upstreams));
        watch.beginRead(StoreTable::Upstreams, start);
        CPPUNIT_ASSERT(watch.onFailure(StoreTable::Upstreams, 1).count() > 0);
        CPPUNIT_ASSERT(!watch.isReachable(StoreTable::Upstreams));
    }

    void whileTheOperatorsTableIsLostNoReadIsIdle()
    {
        StoreWatch watch = watchAfterFullReads();
        const Milliseconds idleWait = watch.beginRead(StoreTable::Upstreams, start).wait;
        watch.onAnswer(StoreTable::Upstreams, 7, start);
        watch.beginRead(StoreTable::Orders, start);
        watch.onFailure(StoreTable::Orders, 1);
        watch.beginRead(StoreTable::Upstreams, start);
        watch.onAnswer(StoreTable::Upstreams, 7, start);
        CPPUNIT_ASSERT(watch.beginRead(StoreTable::Upstreams, start).wait < idleWait);
    }

    void aNewEraHasAllTablesReadInFull()
    {
        StoreWatch watch = watchAfterFullReads();
        CPPUNIT_ASSERT(!watch.onEra(1));
        for (const StoreTable table : tables) {
            watch.beginRead(table, start);
        }
        CPPUNIT_ASSERT(watch.isCurrent(StoreTable::Orders, 1));
        CPPUNIT_ASSERT(watch.onEra(2));
        CPPUNIT_ASSERT(!watch.isCurrent(StoreTable::Orders, 2));
        CPPUNIT_ASSERT_EQUAL(tables.size(), watch.takeInterrupts(start).size());
        watch.onOutdatedAnswer(StoreTable::Orders);
        CPPUNIT_ASSERT((watch.beginRead(StoreTable::Orders, start) == TableRead()));
        CPPUNIT_ASSERT(!watch.isCurrent(StoreTable::Orders, 1));
        CPPUNIT_ASSERT(watch.isCurrent(StoreTable::Orders, 2));
    }

    void waitsFollowTheBounds()
    {
        const WatchLimits limits = withBounds(WatchLimits(),
                                              {.change = Milliseconds(10000),
                                               .leaving = Milliseconds(900),
                                               .evidence = Milliseconds(60000),
                                               .stable = Milliseconds(1500)});
        CPPUNIT_ASSERT(limits.ordersWait + Milliseconds(700) <= Milliseconds(1500));
        CPPUNIT_ASSERT(limits.upstreamsWait <= Milliseconds(900));
        CPPUNIT_ASSERT(limits.upstreamsInterval * 3 <= Milliseconds(900));
        CPPUNIT_ASSERT(limits.maxBackoff * 3 <= Milliseconds(1500));
        CPPUNIT_ASSERT(limits.evidenceWait + Milliseconds(700) <= Milliseconds(60000));
    }

private:
    static StoreWatch watchAfterFullReads()
    {
        StoreWatch watch;
        for (const StoreTable table : tables) {
            CPPUNIT_ASSERT((watch.beginRead(table, start) == TableRead()));
            watch.onAnswer(table, 7, start);
        }
        return watch;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWatchTest);

} // namespace parsleyvane
