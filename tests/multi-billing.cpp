#include "suite.h"

#include "rig/scenario.h"

#include <atomic>

namespace parsleyvane::rig {

namespace {

void assertHolds(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

Ask longStream(const Scenario &scenario, const std::string &key)
{
    Ask ask = scenario.ask("long", "[[tokens=100]] Write about " + key);
    ask.stream = true;
    ask.idempotencyKey = key;
    return ask;
}

/// @brief Several long streams at once, over all instances. @return how many came whole
std::size_t streamsAtOnce(Scenario &scenario, const std::string &prefix)
{
    constexpr std::size_t count = 9;
    std::atomic<std::size_t> succeeded = 0;
    std::vector<std::jthread> callers;
    for (std::size_t number = 0; number < count; ++number) {
        callers.emplace_back([&scenario, &succeeded, &prefix, number] {
            const Ask ask = longStream(scenario, prefix + std::to_string(number));
            const Answer answer = scenario.chat(number % scenario.fleet.instanceCount(), ask);
            succeeded += answer.succeeded() ? 1 : 0;
        });
    }
    callers.clear();
    return succeeded;
}

constexpr std::size_t all = 9;

} // namespace

class BillingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BillingTest);
    CPPUNIT_TEST(instanceKilledAtManySteps);
    CPPUNIT_TEST(storeDownForTheWholeRun);
    CPPUNIT_TEST(repliesLostAfterTheWrite);
    CPPUNIT_TEST(stoppedWhileTheStoreIsDown);
    CPPUNIT_TEST(chunksDuplicatedAndReordered);
    CPPUNIT_TEST(streamCutAndResumed);
    CPPUNIT_TEST(streamSilentAndResumed);
    CPPUNIT_TEST_SUITE_END();

public:
    void instanceKilledAtManySteps()
    {
        constexpr int lastStepMs = 300;
        constexpr int stepMs = 30;
        Scenario scenario({.name = "billing-killed", .tokenDelayUs = 2000});
        for (int step = 0; step < lastStepMs; step += stepMs) {
            const Ask ask = longStream(scenario, "k" + std::to_string(step));
            Member &victim = scenario.fleet.instance(0);
            {
                const std::jthread caller([&] { scenario.chat(0, ask); });
                std::this_thread::sleep_for(Milliseconds(step));
                victim.process->kill();
            }
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.chat(1, ask).succeeded(); }));
            scenario.fleet.restart(victim);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(victim); }));
        }
        assertHolds(scenario);
    }

    void storeDownForTheWholeRun()
    {
        Scenario scenario({.name = "billing-down"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, "d"));
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        assertHolds(scenario);
    }

    void repliesLostAfterTheWrite()
    {
        Scenario scenario({.name = "billing-lost"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"loseReplies", 6}});
        CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, "l"));
        assertHolds(scenario);
    }

    /// The bills of an instance that leaves during an outage are written by those that stay.
    void stoppedWhileTheStoreIsDown()
    {
        Scenario scenario({.name = "billing-stopped", .settings = "[limits]\ndrain-linger-ms = 200"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, "s"));
        Process &leaver = *scenario.fleet.instance(0).process;
        leaver.terminate();
        CPPUNIT_ASSERT(leaver.wait() == 0);
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        assertHolds(scenario);
    }

    void chunksDuplicatedAndReordered()
    {
        Scenario scenario({.name = "answers-reordered"});
        for (const char *fault : {"duplicate", "reorder"}) {
            scenario.fleet.fault(scenario.fleet.engine(0), {{fault, true}});
            CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, fault));
            scenario.fleet.fault(scenario.fleet.engine(0), {{fault, false}});
        }
        assertHolds(scenario);
    }

    void streamCutAndResumed()
    {
        Scenario scenario({.name = "answers-cut"});
        Member &engine = scenario.fleet.engine(0);
        scenario.fleet.fault(engine, {{"cutAfter", 20}});
        CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, "cut"));
        scenario.fleet.fault(engine, {{"cutLooksFinished", true}});
        CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, "finished"));
        scenario.fleet.fault(engine, {{"cutAfter", -1}, {"cutLooksFinished", false}});
        CPPUNIT_ASSERT(scenario.fleet.records().runs.size() > 2 * all);
        assertHolds(scenario);
    }

    void streamSilentAndResumed()
    {
        Scenario scenario({.name = "answers-silent", .settings = "[limits]\nsilence-ms = 500"});
        scenario.fleet.fault(scenario.fleet.engine(0), {{"silentAfter", 20}});
        CPPUNIT_ASSERT_EQUAL(all, streamsAtOnce(scenario, "silent"));
        scenario.fleet.fault(scenario.fleet.engine(0), {{"silentAfter", -1}});
        CPPUNIT_ASSERT(scenario.fleet.records().runs.size() > all);
        assertHolds(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BillingTest);

} // namespace parsleyvane::rig
