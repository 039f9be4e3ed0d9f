#include "suite.h"

#include "rig/scenario.h"

#include <atomic>

namespace parsleyvane::rig {

namespace {

void assertNoViolations(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

Ask longStream(const Scenario &scenario, const std::string &key)
{
    Ask request = scenario.ask("long", "[[tokens=100]] Write about " + key);
    request.stream = true;
    request.idempotencyKey = key;
    return request;
}

/// @brief Sends several long streams at once, spread over all instances. @return how many succeeded
std::size_t streamsAtOnce(Scenario &scenario, const std::string &prefix)
{
    constexpr std::size_t count = 9;
    std::atomic<std::size_t> succeeded = 0;
    std::vector<std::jthread> callers;
    for (std::size_t number = 0; number < count; ++number) {
        callers.emplace_back([&scenario, &succeeded, &prefix, number] {
            const Ask request = longStream(scenario, prefix + std::to_string(number));
            const Answer answer = scenario.chat(number % scenario.fleet.instanceCount(), request);
            succeeded += answer.succeeded() ? 1 : 0;
        });
    }
    callers.clear();
    return succeeded;
}

constexpr std::size_t streamCount = 9;

} // namespace

class BillingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BillingTest);
    CPPUNIT_TEST(requestsAreBilledOnceWhenAnInstanceIsKilledAtAnyStep);
    CPPUNIT_TEST(requestsAreBilledOnceAfterAStoreOutage);
    CPPUNIT_TEST(requestsAreBilledOnceWhenStoreRepliesAreLost);
    CPPUNIT_TEST(peersWriteTheBillsOfAnInstanceStoppedDuringAnOutage);
    CPPUNIT_TEST(answersAreCompleteWithDuplicatedAndReorderedChunks);
    CPPUNIT_TEST(truncatedStreamsAreResumed);
    CPPUNIT_TEST(silentStreamsAreResumed);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsAreBilledOnceWhenAnInstanceIsKilledAtAnyStep()
    {
        constexpr int lastStepMs = 300;
        constexpr int stepMs = 30;
        Scenario scenario({.name = "billing-killed", .tokenDelayUs = 2000});
        for (int step = 0; step < lastStepMs; step += stepMs) {
            const Ask request = longStream(scenario, "k" + std::to_string(step));
            Member &killedInstance = scenario.fleet.instance(0);
            {
                const std::jthread caller([&] { scenario.chat(0, request); });
                std::this_thread::sleep_for(Milliseconds(step));
                killedInstance.process->kill();
            }
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.chat(1, request).succeeded(); }));
            scenario.fleet.restart(killedInstance);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(killedInstance); }));
        }
        assertNoViolations(scenario);
    }

    void requestsAreBilledOnceAfterAStoreOutage()
    {
        Scenario scenario({.name = "billing-down"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, "d"));
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        assertNoViolations(scenario);
    }

    void requestsAreBilledOnceWhenStoreRepliesAreLost()
    {
        Scenario scenario({.name = "billing-lost"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"loseReplies", 6}});
        CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, "l"));
        assertNoViolations(scenario);
    }

    /// An instance that is stopped during a store outage cannot write its bills; the remaining instances write them.
    void peersWriteTheBillsOfAnInstanceStoppedDuringAnOutage()
    {
        Scenario scenario({.name = "billing-stopped", .settings = "[limits]\ndrain-linger-ms = 200"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, "s"));
        Process &stoppedProcess = *scenario.fleet.instance(0).process;
        stoppedProcess.terminate();
        CPPUNIT_ASSERT(stoppedProcess.wait() == 0);
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        assertNoViolations(scenario);
    }

    void answersAreCompleteWithDuplicatedAndReorderedChunks()
    {
        Scenario scenario({.name = "answers-reordered"});
        for (const char *fault : {"duplicate", "reorder"}) {
            scenario.fleet.fault(scenario.fleet.engine(0), {{fault, true}});
            CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, fault));
            scenario.fleet.fault(scenario.fleet.engine(0), {{fault, false}});
        }
        assertNoViolations(scenario);
    }

    void truncatedStreamsAreResumed()
    {
        Scenario scenario({.name = "answers-cut"});
        Member &engine = scenario.fleet.engine(0);
        scenario.fleet.fault(engine, {{"cutAfter", 20}});
        CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, "cut"));
        scenario.fleet.fault(engine, {{"cutLooksFinished", true}});
        CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, "finished"));
        scenario.fleet.fault(engine, {{"cutAfter", -1}, {"cutLooksFinished", false}});
        CPPUNIT_ASSERT(scenario.fleet.records().runs.size() > 2 * streamCount);
        assertNoViolations(scenario);
    }

    void silentStreamsAreResumed()
    {
        Scenario scenario({.name = "answers-silent", .settings = "[limits]\nsilence-ms = 500"});
        scenario.fleet.fault(scenario.fleet.engine(0), {{"silentAfter", 20}});
        CPPUNIT_ASSERT_EQUAL(streamCount, streamsAtOnce(scenario, "silent"));
        scenario.fleet.fault(scenario.fleet.engine(0), {{"silentAfter", -1}});
        CPPUNIT_ASSERT(scenario.fleet.records().runs.size() > streamCount);
        assertNoViolations(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BillingTest);

} // namespace parsleyvane::rig
