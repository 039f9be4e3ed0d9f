#include "suite.h"

#include "parsleyvane/routing/placement.h"

namespace parsleyvane {

namespace {

const ModelVersion wattle{ModelName("wattle"), VersionName("3.1")};
constexpr TimePoint now{Milliseconds(1000000)};

UpstreamId engine(std::size_t number)
{
    return UpstreamId("engine-" + std::to_string(number));
}

Blackboard blackboardWith(std::size_t engines)
{
    auto configuration = std::make_shared<Configuration>();
    for (std::size_t i = 0; i < engines; ++i) {
        configuration->upstreams.push_back({engine(i), "", ZoneId("zone-1"), Engine{{wattle}, 8, true}});
    }
    Blackboard blackboard;
    blackboard.configuration = std::move(configuration);
    return blackboard;
}

std::optional<UpstreamId> choose(Placement &placement, const Blackboard &blackboard, const std::string &prefix,
                                 const std::set<UpstreamId> &tried = {}, TimePoint at = now)
{
    LastReason reason;
    return placement.chooseEngine(blackboard, {wattle, prefix, tried}, at, reason);
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(unavailableEnginesAreNeverChosen);
    CPPUNIT_TEST(withoutAnAvailableEngineNoCapacityIsReported);
    CPPUNIT_TEST(instancesChooseTheSameEngineForAPrefix);
    CPPUNIT_TEST(prefixOfAnOverloadedEngineMovesToTheNextEngine);
    CPPUNIT_TEST(drainingEngineMovesOnlyItsOwnPrefixes);
    CPPUNIT_TEST(leastLoadedEngineIsChosenAtRandomAmongEquals);
    CPPUNIT_TEST(weightOfAReportDecreasesWithItsAge);
    CPPUNIT_TEST(learnedReplicaIsPreferredUntilItEvictsThePrefix);
    CPPUNIT_TEST(prefixIndexEvictsByAgeAndSize);
    CPPUNIT_TEST_SUITE_END();

public:
    void unavailableEnginesAreNeverChosen()
    {
        test::property("an engine that is draining, avoided or already tried is not chosen", []() {
            Blackboard blackboard = blackboardWith(6);
            blackboard.upstreams[engine(0)].leaving = true;
            blackboard.upstreams[engine(1)].avoidUntil = now + Milliseconds(1);
            Placement placement(test::seed());
            const auto prefix = *rc::gen::arbitrary<std::string>();
            const auto chosen = choose(placement, blackboard, prefix, {engine(2)});
            RC_ASSERT(chosen.has_value());
            RC_ASSERT(*chosen != engine(0));
            RC_ASSERT(*chosen != engine(1));
            RC_ASSERT(*chosen != engine(2));
        });
    }

    void withoutAnAvailableEngineNoCapacityIsReported()
    {
        Placement placement(4744);
        LastReason reason;
        const Blackboard blackboard = blackboardWith(1);
        CPPUNIT_ASSERT(!placement.chooseEngine(blackboard, {wattle, "p", {engine(0)}}, now, reason));
        CPPUNIT_ASSERT(reason.failure().id == ErrorId::NoCapacity);
        const ModelVersion other{ModelName("wattle"), VersionName("4")};
        CPPUNIT_ASSERT(!placement.chooseEngine(blackboard, {other, "p", {}}, now, reason));
    }

    void instancesChooseTheSameEngineForAPrefix()
    {
        const Blackboard blackboard = blackboardWith(20);
        Placement first(1);
        Placement second(2);
        for (const char *prefix : {"balance", "triage", "kit return"}) {
            CPPUNIT_ASSERT(choose(first, blackboard, prefix) == choose(second, blackboard, prefix));
        }
    }

    void prefixOfAnOverloadedEngineMovesToTheNextEngine()
    {
        Blackboard blackboard = blackboardWith(20);
        Placement placement(4744);
        const auto preferred = choose(placement, blackboard, "triage");
        blackboard.upstreams[*preferred].inFlightHere = 3;
        const auto next = choose(placement, blackboard, "triage");
        CPPUNIT_ASSERT(next != preferred);
        CPPUNIT_ASSERT(choose(placement, blackboard, "triage") == next);
    }

    void drainingEngineMovesOnlyItsOwnPrefixes()
    {
        const Blackboard before = blackboardWith(10);
        Blackboard after = blackboardWith(10);
        after.upstreams[engine(4)].leaving = true;
        Placement placement(4744);
        for (int i = 0; i < 100; ++i) {
            const std::string prefix = "prefix " + std::to_string(i);
            const auto preferred = choose(placement, before, prefix);
            const auto now = choose(placement, after, prefix);
            CPPUNIT_ASSERT(preferred == engine(4) ? now != preferred : now == preferred);
        }
    }

    void leastLoadedEngineIsChosenAtRandomAmongEquals()
    {
        Blackboard blackboard = blackboardWith(3);
        blackboard.upstreams[engine(0)].inFlightHere = 2;
        Placement placement(4744, {.affinity = NoAffinity()});
        std::set<UpstreamId> chosen;
        for (int i = 0; i < 50; ++i) {
            chosen.insert(*choose(placement, blackboard, "p"));
        }
        CPPUNIT_ASSERT((chosen == std::set<UpstreamId>{engine(1), engine(2)}));
    }

    void weightOfAReportDecreasesWithItsAge()
    {
        Blackboard blackboard = blackboardWith(2);
        UpstreamView &reported = blackboard.upstreams[engine(0)];
        reported.reportedRunning = 8;
        reported.reportedAt = now;
        blackboard.upstreams[engine(1)].inFlightHere = 1;
        Placement placement(4744, {.affinity = NoAffinity(), .reportWeight = 1});
        CPPUNIT_ASSERT(choose(placement, blackboard, "p") == engine(1));
        CPPUNIT_ASSERT(choose(placement, blackboard, "p", {}, now + Milliseconds(10000)) == engine(0));
    }

    void learnedReplicaIsPreferredUntilItEvictsThePrefix()
    {
        const Blackboard blackboard = blackboardWith(20);
        Placement placement(4744, {.affinity = LearnedAffinity()});
        placement.onCacheEvent("p", engine(7), true, now);
        CPPUNIT_ASSERT(choose(placement, blackboard, "p") == engine(7));
        placement.onCacheEvent("p", engine(7), false, now);
        placement.onCacheEvent("p", engine(9), true, now);
        CPPUNIT_ASSERT(choose(placement, blackboard, "p") == engine(9));
    }

    void prefixIndexEvictsByAgeAndSize()
    {
        PrefixIndex index;
        index.onCached("old", engine(1), now);
        CPPUNIT_ASSERT(index.replicas("old", now + Milliseconds(299999)).contains(engine(1)));
        CPPUNIT_ASSERT(index.replicas("old", now + Milliseconds(300000)).empty());
        for (int i = 0; i < 20000; ++i) {
            index.onCached(std::to_string(i), engine(1), now + Milliseconds(1 + i));
        }
        CPPUNIT_ASSERT(index.replicas("old", now).empty());
        CPPUNIT_ASSERT(!index.replicas("19999", now).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace parsleyvane
