#include "fakefleet.h"
#include "suite.h"

namespace parsleyvane {

namespace {

using test::FakeFleet;
using test::FakeInstance;

constexpr std::size_t fleetSize = 7;
constexpr std::size_t zoneCount = 4;
constexpr Milliseconds inForceLimit{5000};
constexpr Milliseconds settleTime{6000};
constexpr Milliseconds faultPhase{14000};
constexpr unsigned seedsPerCase = 4;

/// @brief One fault: its kind, the instances affected, its start and its duration.
struct Fault
{
    unsigned kind = 0;
    unsigned victims = 0; ///< one bit for each instance
    Milliseconds from{0};
    Milliseconds length{0};
};

enum FaultKind : unsigned {
    StoreDown,
    StoreSilent,
    StaleReads,
    RepliesLost,
    SlowStore,
    CutFromStore,
    Partition,
    Restart,
    Freeze,
    Kinds
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << "{kind " << fault.kind << " victims " << fault.victims << " from " << fault.from.count() << " for "
               << fault.length.count() << "}";
}

bool affects(const Fault &fault, std::size_t index)
{
    return ((fault.victims >> index) & 1U) != 0;
}

rc::Gen<Fault> anyFault(unsigned kinds = Kinds)
{
    return rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind, rc::gen::inRange<unsigned>(0, kinds)),
        rc::gen::set(&Fault::victims, rc::gen::inRange<unsigned>(0, 1U << fleetSize)),
        rc::gen::set(&Fault::from, rc::gen::map(rc::gen::inRange(0, 8000), [](int ms) { return Milliseconds(ms); })),
        rc::gen::set(&Fault::length,
                     rc::gen::map(rc::gen::inRange(100, 6000), [](int ms) { return Milliseconds(ms); })));
}

/// @brief Times of commits, relative to the start of the faults; commits fail while the store is unavailable.
rc::Gen<std::vector<int>> anyCommits()
{
    return rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 13000));
}

/// @brief Applies the faults that are active at the current time to the fleet.
class FaultSchedule
{
public:
    FaultSchedule(FakeFleet &fleet, std::vector<Fault> faults)
        : fleet(fleet)
        , faults(std::move(faults))
        , restarted(this->faults.size())
        , begin(fleet.now)
    {
    }

    void apply()
    {
        auto &store = this->fleet.store;
        store.down = this->active(StoreDown);
        store.silent = this->active(StoreSilent);
        store.stale = this->active(StaleReads);
        store.loss = this->active(RepliesLost) ? 0.5 : 0;
        store.delay = this->active(SlowStore) ? Milliseconds(1200) : Milliseconds(0);
        for (std::size_t index = 0; index < this->fleet.instances.size(); ++index) {
            FakeInstance &instance = this->fleet.instances[index];
            instance.cutFromStore = this->activeAt(CutFromStore, index);
            instance.side = this->activeAt(Partition, index) ? 1 : 0;
            const bool frozen = this->activeAt(Freeze, index);
            if (frozen != instance.frozen) {
                this->fleet.freeze(index, frozen);
            }
        }
        this->restartDue();
    }

    bool storeReachable() const
    {
        return !this->active(StoreDown) && !this->active(StoreSilent);
    }
    /// @brief Whether an outage of the store for the whole fleet starts within this time.
    bool outageStartsWithin(Milliseconds time) const
    {
        for (const Fault &fault : this->faults) {
            const bool outage = fault.kind == StoreDown || fault.kind == StoreSilent;
            const Milliseconds left = this->begin + fault.from - this->fleet.now;
            if (outage && left > Milliseconds(0) && left <= time) {
                return true;
            }
        }
        return false;
    }

private:
    bool isActive(const Fault &fault) const
    {
        const Milliseconds passed = this->fleet.now - this->begin;
        return passed >= fault.from && passed < fault.from + fault.length;
    }
    bool active(unsigned kind) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(),
                           [&](const Fault &fault) { return fault.kind == kind && this->isActive(fault); });
    }
    bool activeAt(unsigned kind, std::size_t index) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(), [&](const Fault &fault) {
            return fault.kind == kind && this->isActive(fault) && affects(fault, index);
        });
    }
    void restartDue()
    {
        for (std::size_t place = 0; place < this->faults.size(); ++place) {
            const Fault &fault = this->faults[place];
            if (fault.kind != Restart || this->restarted[place] || !this->isActive(fault)) {
                continue;
            }
            this->restarted[place] = true;
            for (std::size_t index = 0; index < this->fleet.instances.size(); ++index) {
                if (affects(fault, index) && !this->fleet.instances[index].frozen) {
                    this->fleet.restart(index);
                }
            }
        }
    }

    FakeFleet &fleet;
    std::vector<Fault> faults;
    std::vector<bool> restarted;
    TimePoint begin;
};

/// @brief Records whether an instance's revision in force ever failed to increase between two restarts.
class RevisionMonitor
{
public:
    explicit RevisionMonitor(FakeFleet &fleet)
    {
        fleet.onInForce = [this, &fleet](std::size_t index, Revision revision) {
            const std::uint64_t start = fleet.instances[index].start;
            LastChange &lastChange = this->lastChanges[index];
            this->hasFailedToIncrease
                = this->hasFailedToIncrease || (lastChange.start == start && revision <= lastChange.revision);
            lastChange = {start, revision};
        };
    }
    bool onlyIncreased() const
    {
        return !this->hasFailedToIncrease;
    }

private:
    struct LastChange
    {
        std::uint64_t start = 0;
        Revision revision;
    };
    std::map<std::size_t, LastChange> lastChanges;
    bool hasFailedToIncrease = false;
};

/// @brief Runs the faults and commits, then checks that the fleet has recovered.
void runPlan(FakeFleet &fleet, const std::vector<Fault> &faults, const std::vector<int> &commits,
             const std::function<void(const FaultSchedule &)> &check)
{
    const RevisionMonitor monitor(fleet);
    fleet.runUntil(fleet.now + settleTime);
    FaultSchedule schedule(fleet, faults);
    const TimePoint begin = fleet.now;
    std::multiset<int> due(commits.begin(), commits.end());
    fleet.runUntil(begin + faultPhase, [&]() {
        schedule.apply();
        while (!due.empty() && begin + Milliseconds(*due.begin()) <= fleet.now) {
            due.erase(due.begin());
            // A revision that no instance could read before an outage is not guaranteed to be distributed.
            if (schedule.storeReachable() && !schedule.outageStartsWithin(inForceLimit)) {
                fleet.commit();
            }
        }
        check(schedule);
    });
    fleet.runUntil(fleet.now + inForceLimit, [&]() { check(schedule); });
    for (const FakeInstance &instance : fleet.instances) {
        RC_ASSERT(instance.spread->revision() == fleet.store.newest());
        RC_ASSERT(instance.takesWork(fleet.now));
    }
    RC_ASSERT(monitor.onlyIncreased());
}

/// @brief Asserts that each instance that accepts work has every revision committed at least 5 s ago.
void assertNoneBehind(const FakeFleet &fleet)
{
    const Revision least = fleet.store.newestAt(fleet.now - inForceLimit);
    for (const FakeInstance &instance : fleet.instances) {
        RC_ASSERT(!instance.takesWork(fleet.now) || instance.spread->revision() >= least);
    }
}

} // namespace

class SpreadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpreadTest);
    CPPUNIT_TEST(revisionsOnlyIncreaseUnderAnyTwoFaults);
    CPPUNIT_TEST(acceptingInstancesHaveTheConfigurationOfFiveSecondsAgo);
    CPPUNIT_TEST(staleReadsNeverRevertTheRevision);
    CPPUNIT_TEST(thawedInstanceRefusesWorkUntilItHasTheChange);
    CPPUNIT_TEST(isolatedInstanceBecomesStale);
    CPPUNIT_TEST(peersConfirmTheConfigurationOfAnInstanceCutOffFromTheStore);
    CPPUNIT_TEST(fleetAcceptsWorkDuringAStoreOutage);
    CPPUNIT_TEST(instanceStartedInAnOutageGetsTheHighestRevision);
    CPPUNIT_TEST(minorityStartedInAnOutageGetsNoConfiguration);
    CPPUNIT_TEST(wrongRevisionFromAPeerStopsNoInstance);
    CPPUNIT_TEST(lateAnswersConfirmAsOfTheirRequestTime);
    CPPUNIT_TEST(currentAnswerOverridesARevisionReportedByAPeer);
    CPPUNIT_TEST(majorityConfirmsNothingWhileAPeerReachesTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void revisionsOnlyIncreaseUnderAnyTwoFaults()
    {
        test::property("with any two faults revisions only increase; all have the newest 5 s after the end", []() {
            const std::vector<Fault> faults = {*anyFault(), *anyFault()};
            const std::vector<int> commits = *anyCommits();
            for (unsigned seed = 0; seed < seedsPerCase; ++seed) {
                FakeFleet fleet(fleetSize, zoneCount, seed);
                runPlan(fleet, faults, commits, [](const FaultSchedule &) {});
            }
        });
    }

    void acceptingInstancesHaveTheConfigurationOfFiveSecondsAgo()
    {
        test::property("an instance that accepts work has every revision committed 5 s ago", []() {
            std::vector<Fault> faults = {*anyFault(), *anyFault()};
            unsigned cut = 0;
            for (Fault &fault : faults) {
                // At most a minority is cut off from the store while it accepts commits.
                const bool isMinority = fault.kind != CutFromStore || __builtin_popcount(cut | fault.victims) <= 3;
                fault.victims = isMinority ? fault.victims : fault.victims & 3U & ~cut;
                cut |= fault.kind == CutFromStore ? fault.victims : 0;
            }
            RC_PRE(__builtin_popcount(cut) <= 3);
            const std::vector<int> commits = *anyCommits();
            for (unsigned seed = 0; seed < seedsPerCase; ++seed) {
                FakeFleet fleet(fleetSize, zoneCount, seed);
                runPlan(fleet, faults, commits, [&](const FaultSchedule &) { assertNoneBehind(fleet); });
            }
        });
    }

    void staleReadsNeverRevertTheRevision()
    {
        test::property("with stale unchecked reads and another fault, revisions only increase and all catch up", []() {
            Fault stale = *anyFault();
            stale.kind = StaleReads;
            const std::vector<Fault> faults = {stale, *anyFault()};
            const std::vector<int> commits = *anyCommits();
            FakeFleet fleet(fleetSize, zoneCount, 1, false);
            runPlan(fleet, faults, commits, [](const FaultSchedule &) {});
        });
    }

    void thawedInstanceRefusesWorkUntilItHasTheChange()
    {
        test::property("an instance frozen during a change accepts no work before it has the change", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settleTime);
            fleet.freeze(0, true);
            fleet.commit();
            fleet.runUntil(fleet.now + Milliseconds(*rc::gen::inRange(3100, 60000)));
            // Thawing delivers all buffered events at once.
            fleet.freeze(0, false);
            fleet.runUntil(
                fleet.now + settleTime,
                [&]() {
                    const FakeInstance &thawed = fleet.instances[0];
                    RC_ASSERT(!thawed.takesWork(fleet.now) || thawed.spread->revision() == fleet.store.newest());
                },
                Milliseconds(1));
            RC_ASSERT(fleet.instances[0].takesWork(fleet.now));
        });
    }

    void isolatedInstanceBecomesStale()
    {
        FakeFleet fleet(fleetSize, zoneCount, 1);
        fleet.runUntil(fleet.now + settleTime);
        fleet.instances[0].cutFromStore = true;
        fleet.instances[0].side = 1;
        fleet.runUntil(fleet.now + configurationStalenessLimit + Milliseconds(50));
        CPPUNIT_ASSERT(!fleet.instances[0].takesWork(fleet.now));
        CPPUNIT_ASSERT(fleet.instances[1].takesWork(fleet.now));
        fleet.runUntil(fleet.now + Milliseconds(600000));
        CPPUNIT_ASSERT(!fleet.instances[0].takesWork(fleet.now));
    }

    void peersConfirmTheConfigurationOfAnInstanceCutOffFromTheStore()
    {
        test::property("an instance cut off from the store and one peer keeps accepting work and gets changes", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settleTime);
            fleet.instances[0].cutFromStore = true;
            fleet.instances[1].side = 1;
            for (unsigned change = 0; change < 3; ++change) {
                fleet.commit();
                const auto check = [&]() {
                    RC_ASSERT(fleet.instances[0].takesWork(fleet.now));
                };
                fleet.runUntil(fleet.now + inForceLimit, check);
                RC_ASSERT(fleet.instances[0].spread->revision() == fleet.store.newest());
            }
        });
    }

    void fleetAcceptsWorkDuringAStoreOutage()
    {
        test::property("while the store is down and one instance is unreachable, the others keep accepting work", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settleTime);
            const bool silent = *rc::gen::arbitrary<bool>();
            fleet.store.down = !silent;
            fleet.store.silent = silent;
            fleet.instances[0].side = 1;
            const auto check = [&]() {
                for (std::size_t index = 1; index < fleetSize; ++index) {
                    RC_ASSERT(fleet.instances[index].takesWork(fleet.now));
                }
            };
            fleet.runUntil(fleet.now + Milliseconds(30000), check);
            RC_ASSERT(!fleet.instances[0].takesWork(fleet.now));
            fleet.store.down = fleet.store.silent = false;
            fleet.commit();
            fleet.runUntil(fleet.now + inForceLimit, check);
            RC_ASSERT(fleet.instances[1].spread->revision() == fleet.store.newest());
        });
    }

    void instanceStartedInAnOutageGetsTheHighestRevision()
    {
        test::property("an instance started in an outage gets the highest revision of its peers", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settleTime);
            fleet.commit();
            fleet.runUntil(fleet.now + inForceLimit);
            fleet.store.down = true;
            fleet.restart(*rc::gen::inRange<std::size_t>(0, fleetSize));
            fleet.runUntil(fleet.now + inForceLimit);
            for (const FakeInstance &instance : fleet.instances) {
                RC_ASSERT(instance.spread->revision() == Revision(2));
                RC_ASSERT(instance.takesWork(fleet.now));
            }
        });
    }

    void minorityStartedInAnOutageGetsNoConfiguration()
    {
        FakeFleet fleet(fleetSize, zoneCount, 1);
        fleet.runUntil(fleet.now + settleTime);
        fleet.store.down = true;
        fleet.runUntil(fleet.now + settleTime);
        // Two restarted instances reach only a third instance that has a configuration; the others may have a newer
        // one.
        for (std::size_t index = 0; index < 3; ++index) {
            fleet.instances[index].side = 1;
        }
        fleet.restart(0);
        fleet.restart(1);
        fleet.runUntil(fleet.now + Milliseconds(30000));
        CPPUNIT_ASSERT(fleet.instances[0].spread->revision() == Revision());
        CPPUNIT_ASSERT(!fleet.instances[2].takesWork(fleet.now));
    }

    void wrongRevisionFromAPeerStopsNoInstance()
    {
        FakeFleet fleet(fleetSize, zoneCount, 1);
        fleet.runUntil(fleet.now + settleTime);
        Digest wrongReport{.instance = InstanceId("instance-6"), .zone = ZoneId("zone-2"), .address = "10.0.0.6:7300"};
        wrongReport.incarnation = Incarnation(9);
        wrongReport.revision = Revision(1ULL << 60U);
        static_cast<void>(fleet.instances[0].spread->handle(PeerCallReceived{wrongReport}, fleet.now));
        fleet.commit();
        fleet.runUntil(fleet.now + inForceLimit, [&]() { CPPUNIT_ASSERT(fleet.instances[0].takesWork(fleet.now)); });
        CPPUNIT_ASSERT(fleet.instances[0].spread->revision() == Revision(2));
    }

    void lateAnswersConfirmAsOfTheirRequestTime()
    {
        constexpr TimePoint start{Milliseconds(1000000)};
        constexpr Milliseconds late{5000};
        ConfigurationSpread spread(start);
        static_cast<void>(spread.handle(StoreAnswered{start, Revision(1), "a"}, start + late));
        CPPUNIT_ASSERT(spread.confirmations().storeConfirmedAt == start);
        const Digest digest = peerDigest("a", Revision(1), Milliseconds(10));
        static_cast<void>(spread.handle(PeerReplied{digest, start + Milliseconds(100)}, start + late));
        CPPUNIT_ASSERT(spread.confirmations().storeConfirmedAt == start + Milliseconds(90));
        static_cast<void>(spread.handle(PeerCallReceived{digest}, start + late));
        CPPUNIT_ASSERT_MESSAGE("a peer's call may have waited in a buffer, so it confirms nothing",
                               spread.confirmations().storeConfirmedAt == start + Milliseconds(90));
    }

    void currentAnswerOverridesARevisionReportedByAPeer()
    {
        constexpr TimePoint start{Milliseconds(1000000)};
        ConfigurationSpread spread(start);
        static_cast<void>(spread.handle(StoreAnswered{start, Revision(1), "a"}, start));
        static_cast<void>(spread.handle(PeerCallReceived{peerDigest("a", Revision(9), Milliseconds(0))}, start));
        const TimePoint later = start + Milliseconds(500);
        static_cast<void>(spread.handle(StoreAnswered{later, Revision(1), "a", false}, later));
        CPPUNIT_ASSERT_MESSAGE("an answer that may be stale does not override a higher revision reported by a peer",
                               spread.confirmations().storeConfirmedAt == start);
        static_cast<void>(spread.handle(StoreAnswered{later, Revision(1), "a", true}, later));
        CPPUNIT_ASSERT(spread.confirmations().storeConfirmedAt == later);
    }

    void majorityConfirmsNothingWhileAPeerReachesTheStore()
    {
        constexpr TimePoint start{Milliseconds(1000000)};
        for (const bool reaches : {false, true}) {
            ConfigurationSpread spread(start);
            static_cast<void>(spread.handle(StoreAnswered{start, Revision(2), "a"}, start));
            static_cast<void>(spread.handle(SpreadTick{true, {.peers = {InstanceId("a"), InstanceId("b")}}}, start));
            const TimePoint later = start + Milliseconds(4000);
            static_cast<void>(spread.handle(StoreFailed{later}, later));
            Digest digest = peerDigest("a", Revision(1), std::nullopt);
            digest.isStoreReachable = reaches;
            static_cast<void>(spread.handle(PeerReplied{digest, later}, later));
            CPPUNIT_ASSERT_EQUAL(!reaches, spread.confirmations().majorityConfirmedAt == later);
        }
    }

private:
    static Digest peerDigest(const std::string &name, Revision revision, std::optional<Milliseconds> age)
    {
        Digest digest{.instance = InstanceId(name), .zone = ZoneId("zone-1"), .address = name + ":1"};
        digest.revision = revision;
        digest.confirmedAge = age;
        return digest;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

} // namespace parsleyvane
