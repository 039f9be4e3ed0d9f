#include "fakefleet.h"
#include "suite.h"

namespace parsleyvane {

namespace {

using test::FakeFleet;
using test::FakeInstance;

constexpr std::size_t fleetSize = 7;
constexpr std::size_t zoneCount = 4;
constexpr Milliseconds inForceLimit{5000};
constexpr Milliseconds settle{6000};
constexpr Milliseconds faultPhase{14000};
constexpr unsigned seedsPerCase = 4;

/// @brief One fault: what, at whom, when, how long.
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

bool hits(const Fault &fault, std::size_t index)
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

/// @brief Times of two operators' commits; those that the store cannot take fail.
rc::Gen<std::vector<int>> anyCommits()
{
    return rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 13000));
}

/// @brief Puts a fault into the state that it has at this time.
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
    /// @brief Whether the store will be out of reach for all within this time.
    bool outageWithin(Milliseconds time) const
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
    bool covers(const Fault &fault) const
    {
        const Milliseconds passed = this->fleet.now - this->begin;
        return passed >= fault.from && passed < fault.from + fault.length;
    }
    bool active(unsigned kind) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(),
                           [&](const Fault &fault) { return fault.kind == kind && this->covers(fault); });
    }
    bool activeAt(unsigned kind, std::size_t index) const
    {
        return std::any_of(this->faults.begin(), this->faults.end(), [&](const Fault &fault) {
            return fault.kind == kind && this->covers(fault) && hits(fault, index);
        });
    }
    void restartDue()
    {
        for (std::size_t place = 0; place < this->faults.size(); ++place) {
            const Fault &fault = this->faults[place];
            if (fault.kind != Restart || this->restarted[place] || !this->covers(fault)) {
                continue;
            }
            this->restarted[place] = true;
            for (std::size_t index = 0; index < this->fleet.instances.size(); ++index) {
                if (hits(fault, index) && !this->fleet.instances[index].frozen) {
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

/// @brief Checks at each step that no instance's revision falls within one start.
class NeverFalls
{
public:
    explicit NeverFalls(FakeFleet &fleet)
    {
        fleet.onInForce = [this, &fleet](std::size_t index, Revision revision) {
            const std::uint64_t start = fleet.instances[index].start;
            Seen &seen = this->seen[index];
            this->fell = this->fell || (seen.start == start && revision <= seen.revision);
            seen = {start, revision};
        };
    }
    bool held() const
    {
        return !this->fell;
    }

private:
    struct Seen
    {
        std::uint64_t start = 0;
        Revision revision;
    };
    std::map<std::size_t, Seen> seen;
    bool fell = false;
};

/// @brief Runs a plan and checks the state after the faults.
void runPlan(FakeFleet &fleet, const std::vector<Fault> &faults, const std::vector<int> &commits,
             const std::function<void(const FaultSchedule &)> &look)
{
    const NeverFalls neverFalls(fleet);
    fleet.runUntil(fleet.now + settle);
    FaultSchedule schedule(fleet, faults);
    const TimePoint begin = fleet.now;
    std::multiset<int> due(commits.begin(), commits.end());
    fleet.runUntil(begin + faultPhase, [&]() {
        schedule.apply();
        while (!due.empty() && begin + Milliseconds(*due.begin()) <= fleet.now) {
            due.erase(due.begin());
            // A revision that no instance could read before an outage is not promised.
            if (schedule.storeReachable() && !schedule.outageWithin(inForceLimit)) {
                fleet.commit();
            }
        }
        look(schedule);
    });
    fleet.runUntil(fleet.now + inForceLimit, [&]() { look(schedule); });
    for (const FakeInstance &instance : fleet.instances) {
        RC_ASSERT(instance.spread->revision() == fleet.store.newest());
        RC_ASSERT(instance.takesWork(fleet.now));
    }
    RC_ASSERT(neverFalls.held());
}

/// @brief No instance that takes work is behind a revision committed more than 5 s ago.
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
    CPPUNIT_TEST(twoFaultsNeverRevertAndAllCatchUp);
    CPPUNIT_TEST(noneTakesWorkBehindWhileMostReachTheStore);
    CPPUNIT_TEST(staleReadsNeverRevert);
    CPPUNIT_TEST(thawedInstanceTakesNoWorkAtFirst);
    CPPUNIT_TEST(instanceCutFromAllBecomesStale);
    CPPUNIT_TEST(instanceCutFromTheStoreIsRefreshedByPeers);
    CPPUNIT_TEST(fleetOutlivesTheStore);
    CPPUNIT_TEST(instanceStartedInAnOutageTakesTheHighest);
    CPPUNIT_TEST(minorityStartedInAnOutageTakesNothing);
    CPPUNIT_TEST(wrongClaimOfAPeerStopsNobody);
    CPPUNIT_TEST(lateAnswersCountFromTheAsking);
    CPPUNIT_TEST(claimIsForgottenAtACurrentAnswer);
    CPPUNIT_TEST(majorityDoesNotCountWhileAPeerReachesTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void twoFaultsNeverRevertAndAllCatchUp()
    {
        test::property("any two faults: revisions rise, and all have the newest 5 s after the end", []() {
            const std::vector<Fault> faults = {*anyFault(), *anyFault()};
            const std::vector<int> commits = *anyCommits();
            for (unsigned seed = 0; seed < seedsPerCase; ++seed) {
                FakeFleet fleet(fleetSize, zoneCount, seed);
                runPlan(fleet, faults, commits, [](const FaultSchedule &) {});
            }
        });
    }

    void noneTakesWorkBehindWhileMostReachTheStore()
    {
        test::property("an instance that takes work has what was committed 5 s ago", []() {
            std::vector<Fault> faults = {*anyFault(), *anyFault()};
            unsigned cut = 0;
            for (Fault &fault : faults) {
                // At most a minority is cut from the store while it takes commits.
                const bool keep = fault.kind != CutFromStore || __builtin_popcount(cut | fault.victims) <= 3;
                fault.victims = keep ? fault.victims : fault.victims & 3U & ~cut;
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

    void staleReadsNeverRevert()
    {
        test::property("plain reads that are stale, and another fault: revisions rise and all catch up", []() {
            Fault stale = *anyFault();
            stale.kind = StaleReads;
            const std::vector<Fault> faults = {stale, *anyFault()};
            const std::vector<int> commits = *anyCommits();
            FakeFleet fleet(fleetSize, zoneCount, 1, false);
            runPlan(fleet, faults, commits, [](const FaultSchedule &) {});
        });
    }

    void thawedInstanceTakesNoWorkAtFirst()
    {
        test::property("frozen across a change: it takes no work before it has it", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settle);
            fleet.freeze(0, true);
            fleet.commit();
            fleet.runUntil(fleet.now + Milliseconds(*rc::gen::inRange(3100, 60000)));
            // What waited in its buffers is worked off at once.
            fleet.freeze(0, false);
            fleet.runUntil(
                fleet.now + settle,
                [&]() {
                    const FakeInstance &thawed = fleet.instances[0];
                    RC_ASSERT(!thawed.takesWork(fleet.now) || thawed.spread->revision() == fleet.store.newest());
                },
                Milliseconds(1));
            RC_ASSERT(fleet.instances[0].takesWork(fleet.now));
        });
    }

    void instanceCutFromAllBecomesStale()
    {
        FakeFleet fleet(fleetSize, zoneCount, 1);
        fleet.runUntil(fleet.now + settle);
        fleet.instances[0].cutFromStore = true;
        fleet.instances[0].side = 1;
        fleet.runUntil(fleet.now + configurationStalenessLimit + Milliseconds(50));
        CPPUNIT_ASSERT(!fleet.instances[0].takesWork(fleet.now));
        CPPUNIT_ASSERT(fleet.instances[1].takesWork(fleet.now));
        fleet.runUntil(fleet.now + Milliseconds(600000));
        CPPUNIT_ASSERT(!fleet.instances[0].takesWork(fleet.now));
    }

    void instanceCutFromTheStoreIsRefreshedByPeers()
    {
        test::property("cut from the store only, with another peer away: it follows the others without a gap", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settle);
            fleet.instances[0].cutFromStore = true;
            fleet.instances[1].side = 1;
            for (unsigned change = 0; change < 3; ++change) {
                fleet.commit();
                const auto look = [&]() {
                    RC_ASSERT(fleet.instances[0].takesWork(fleet.now));
                };
                fleet.runUntil(fleet.now + inForceLimit, look);
                RC_ASSERT(fleet.instances[0].spread->revision() == fleet.store.newest());
            }
        });
    }

    void fleetOutlivesTheStore()
    {
        test::property("the store down for all, one instance lost: the others go on without a gap", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settle);
            const bool silent = *rc::gen::arbitrary<bool>();
            fleet.store.down = !silent;
            fleet.store.silent = silent;
            fleet.instances[0].side = 1;
            const auto look = [&]() {
                for (std::size_t index = 1; index < fleetSize; ++index) {
                    RC_ASSERT(fleet.instances[index].takesWork(fleet.now));
                }
            };
            fleet.runUntil(fleet.now + Milliseconds(30000), look);
            RC_ASSERT(!fleet.instances[0].takesWork(fleet.now));
            fleet.store.down = fleet.store.silent = false;
            fleet.commit();
            fleet.runUntil(fleet.now + inForceLimit, look);
            RC_ASSERT(fleet.instances[1].spread->revision() == fleet.store.newest());
        });
    }

    void instanceStartedInAnOutageTakesTheHighest()
    {
        test::property("a start in an outage takes the highest revision", []() {
            FakeFleet fleet(fleetSize, zoneCount, *rc::gen::arbitrary<unsigned>());
            fleet.runUntil(fleet.now + settle);
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

    void minorityStartedInAnOutageTakesNothing()
    {
        FakeFleet fleet(fleetSize, zoneCount, 1);
        fleet.runUntil(fleet.now + settle);
        fleet.store.down = true;
        fleet.runUntil(fleet.now + settle);
        // Two hear each other and a third that has a configuration; the rest may have a newer one.
        for (std::size_t index = 0; index < 3; ++index) {
            fleet.instances[index].side = 1;
        }
        fleet.restart(0);
        fleet.restart(1);
        fleet.runUntil(fleet.now + Milliseconds(30000));
        CPPUNIT_ASSERT(fleet.instances[0].spread->revision() == Revision());
        CPPUNIT_ASSERT(!fleet.instances[2].takesWork(fleet.now));
    }

    void wrongClaimOfAPeerStopsNobody()
    {
        FakeFleet fleet(fleetSize, zoneCount, 1);
        fleet.runUntil(fleet.now + settle);
        Digest claim{.instance = InstanceId("instance-6"), .zone = ZoneId("zone-2"), .address = "10.0.0.6:7300"};
        claim.incarnation = Incarnation(9);
        claim.revision = Revision(1ULL << 60U);
        static_cast<void>(fleet.instances[0].spread->handle(PeerCallReceived{claim}, fleet.now));
        fleet.commit();
        fleet.runUntil(fleet.now + inForceLimit, [&]() { CPPUNIT_ASSERT(fleet.instances[0].takesWork(fleet.now)); });
        CPPUNIT_ASSERT(fleet.instances[0].spread->revision() == Revision(2));
    }

    void lateAnswersCountFromTheAsking()
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
        CPPUNIT_ASSERT_MESSAGE("a call may have waited in a buffer, so it confirms nothing",
                               spread.confirmations().storeConfirmedAt == start + Milliseconds(90));
    }

    void claimIsForgottenAtACurrentAnswer()
    {
        constexpr TimePoint start{Milliseconds(1000000)};
        ConfigurationSpread spread(start);
        static_cast<void>(spread.handle(StoreAnswered{start, Revision(1), "a"}, start));
        static_cast<void>(spread.handle(PeerCallReceived{peerDigest("a", Revision(9), Milliseconds(0))}, start));
        const TimePoint later = start + Milliseconds(500);
        static_cast<void>(spread.handle(StoreAnswered{later, Revision(1), "a", false}, later));
        CPPUNIT_ASSERT_MESSAGE("an answer that may be old confirms nothing against a claim",
                               spread.confirmations().storeConfirmedAt == start);
        static_cast<void>(spread.handle(StoreAnswered{later, Revision(1), "a", true}, later));
        CPPUNIT_ASSERT(spread.confirmations().storeConfirmedAt == later);
    }

    void majorityDoesNotCountWhileAPeerReachesTheStore()
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
