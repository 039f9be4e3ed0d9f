#include "suite.h"

#include "rig/scenario.h"

#include <atomic>

namespace parsleyvane::rig {

namespace {

/// @brief Submits the same configuration again; only the revision changes.
Acceptance acceptNext(Scenario &scenario)
{
    return scenario.accept(scenario.configuration);
}

void assertRevisionsHold(const std::vector<RevisionSeen> &seen, const std::vector<Acceptance> &acceptances)
{
    CPPUNIT_ASSERT(!seen.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkRevisions(seen, acceptances)));
}

void waitForAll(Scenario &scenario, const Acceptance &accepted)
{
    CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
}

constexpr Milliseconds waitBeyondBound = acceptanceBound + Milliseconds(1000);

} // namespace

class ConfigurationInForceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationInForceTest);
    CPPUNIT_TEST(everyChangeReachesAllInstances);
    CPPUNIT_TEST(submissionIsAppliedOnceWhenTheReplyIsLost);
    CPPUNIT_TEST(onlyOneOfSeveralConcurrentSubmissionsIsAccepted);
    CPPUNIT_TEST(instanceWithoutTheStoreGetsNewRevisions);
    CPPUNIT_TEST(instancesWithoutPeersGetNewRevisions);
    CPPUNIT_TEST(instanceRestartedDuringAStoreOutageLoadsFromItsPeers);
    CPPUNIT_TEST(restartedInstanceIgnoresStaleReads);
    CPPUNIT_TEST(fleetServesThroughAStoreOutageAndThenCatchesUp);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyChangeReachesAllInstances()
    {
        Scenario scenario({.name = "configuration-all", .instances = 7});
        RevisionWatch watch(scenario);
        std::vector<Acceptance> accepted;
        for (int change = 0; change < 5; ++change) {
            accepted.push_back(acceptNext(scenario));
            waitForAll(scenario, accepted.back());
        }
        assertRevisionsHold(watch.stop(), accepted);
    }

    void submissionIsAppliedOnceWhenTheReplyIsLost()
    {
        Scenario scenario({.name = "configuration-lost"});
        RevisionWatch watch(scenario);
        scenario.fleet.fault(scenario.fleet.platform(), {{"loseReplies", 1}});
        const Acceptance accepted = acceptNext(scenario);
        waitForAll(scenario, accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, scenario.fleet.countRows("audit/"));
        assertRevisionsHold(watch.stop(), {accepted});
    }

    void onlyOneOfSeveralConcurrentSubmissionsIsAccepted()
    {
        constexpr int operators = 4;
        Scenario scenario({.name = "configuration-race"});
        const auto file = scenario.fleet.plan().runDirectory / "configuration.json";
        std::atomic<int> accepted = 0;
        std::vector<std::jthread> threads;
        threads.reserve(operators);
        for (int number = 0; number < operators; ++number) {
            threads.emplace_back([&, number] {
                try {
                    scenario.fleet.submit(file, Revision(1), "operator-" + std::to_string(number));
                    ++accepted;
                } catch (const std::runtime_error &) {
                    // Expected for all but one submission.
                }
            });
        }
        threads.clear();
        CPPUNIT_ASSERT_EQUAL(1, accepted.load());
        waitForAll(scenario, {Revision(2), bootMilliseconds()});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, scenario.fleet.countRows("audit/"));
    }

    void instanceWithoutTheStoreGetsNewRevisions()
    {
        Scenario scenario({.name = "configuration-no-store", .relayed = true});
        RevisionWatch watch(scenario);
        std::vector<Acceptance> accepted;
        for (const RelayMode mode : {RelayMode::Drop, RelayMode::Cut}) {
            scenario.fleet.instance(0).toPlatform->setMode(mode);
            accepted.push_back(acceptNext(scenario));
            std::this_thread::sleep_for(waitBeyondBound);
        }
        assertRevisionsHold(watch.stop(), accepted);
    }

    void instancesWithoutPeersGetNewRevisions()
    {
        Scenario scenario({.name = "configuration-no-peers", .relayed = true});
        RevisionWatch watch(scenario);
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            scenario.fleet.instance(index).front->setMode(RelayMode::Drop);
        }
        const Acceptance accepted = acceptNext(scenario);
        std::this_thread::sleep_for(waitBeyondBound);
        assertRevisionsHold(watch.stop(), {accepted});
    }

    /// The restarted instance has no configuration, and only its peers can send it one.
    void instanceRestartedDuringAStoreOutageLoadsFromItsPeers()
    {
        Scenario scenario({.name = "configuration-outage"});
        const Acceptance accepted = acceptNext(scenario);
        waitForAll(scenario, accepted);
        RevisionWatch watch(scenario);
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        Member &restarted = scenario.fleet.instance(0);
        restarted.process->kill();
        scenario.fleet.restart(restarted);
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(restarted); }));
        CPPUNIT_ASSERT(scenario.chat(0, scenario.ask("ask", "Are you back?")).succeeded());
        assertRevisionsHold(watch.stop(), {accepted});
    }

    void restartedInstanceIgnoresStaleReads()
    {
        Scenario scenario({.name = "configuration-stale"});
        const Acceptance accepted = acceptNext(scenario);
        waitForAll(scenario, accepted);
        RevisionWatch watch(scenario);
        scenario.fleet.fault(scenario.fleet.platform(), {{"staleReads", true}});
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            Member &restarted = scenario.fleet.instance(index);
            restarted.process->kill();
            scenario.fleet.restart(restarted);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(restarted); }));
            CPPUNIT_ASSERT(scenario.fleet.status(restarted).value("revision", 0U) >= accepted.revision.value());
        }
        assertRevisionsHold(watch.stop(), {accepted});
    }

    void fleetServesThroughAStoreOutageAndThenCatchesUp()
    {
        constexpr Milliseconds outage{12000};
        Scenario scenario({.name = "configuration-down"});
        RevisionWatch watch(scenario);
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        std::this_thread::sleep_for(outage);
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            CPPUNIT_ASSERT(scenario.chat(index, scenario.ask("ask", "Do you go on?")).succeeded());
        }
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        const Acceptance accepted = acceptNext(scenario);
        std::this_thread::sleep_for(waitBeyondBound);
        assertRevisionsHold(watch.stop(), {accepted});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationInForceTest);

} // namespace parsleyvane::rig
