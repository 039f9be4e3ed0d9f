#include "suite.h"

#include "rig/scenario.h"

namespace parsleyvane::rig {

namespace {

constexpr Milliseconds lateAttemptWindow{3000};

void assertNotRun(const Answer &answer)
{
    CPPUNIT_ASSERT(answer.error.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.error->name + " at " + answer.error->step + ": " + answer.error->message,
                                 std::string("not_run"), answer.error->run);
    CPPUNIT_ASSERT(!answer.error->step.empty());
}

void assertMayHaveRun(const Answer &answer)
{
    CPPUNIT_ASSERT(answer.error.has_value());
    CPPUNIT_ASSERT_MESSAGE(answer.error->name + " at " + answer.error->step + ": " + answer.error->message,
                           answer.error->run != "not_run");
}

void assertNoViolations(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

/// @brief Whether any engine has started a run.
bool anyRun(const Scenario &scenario)
{
    return !scenario.fleet.records().runs.empty();
}

} // namespace

class NotRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NotRunTest);
    CPPUNIT_TEST(reportsNotRunWhenNoEngineIsReachable);
    CPPUNIT_TEST(reportsNotRunWhenAllEnginesRefuse);
    CPPUNIT_TEST(reportsThatARequestMayHaveRunOnSilentEngines);
    CPPUNIT_TEST(resumesTheAnswerWhenItsEngineIsKilled);
    CPPUNIT_TEST(reportsThatARequestMayHaveRunWhenAllEnginesAreKilled);
    CPPUNIT_TEST(reportsThatARequestMayHaveRunAfterAConnectionReset);
    CPPUNIT_TEST(invariantsHoldForADeadlineAtAnyStep);
    CPPUNIT_TEST(invariantsHoldWhenAnInstanceIsKilledUnderLoad);
    CPPUNIT_TEST(refusesOnlyRequestsThatNeedAClaimDuringAStoreOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsNotRunWhenNoEngineIsReachable()
    {
        Scenario scenario({.name = "notrun-gone"});
        scenario.fleet.engine(0).process->kill();
        scenario.fleet.engine(1).process->kill();
        Ask request = scenario.ask("ask", "Is anyone there?");
        request.deadline = Milliseconds(1500);
        assertNotRun(scenario.chat(0, request));
        scenario.fleet.restart(scenario.fleet.engine(0));
        scenario.fleet.restart(scenario.fleet.engine(1));
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.chat(1, scenario.ask("ask", "Again?")).succeeded(); }));
        assertNoViolations(scenario);
    }

    void reportsNotRunWhenAllEnginesRefuse()
    {
        Scenario scenario({.name = "notrun-refuse"});
        scenario.fleet.fault(scenario.fleet.engine(0), {{"refuse", true}});
        scenario.fleet.fault(scenario.fleet.engine(1), {{"refuse", true}});
        Ask request = scenario.ask("ask", "Is there room?");
        request.deadline = Milliseconds(1500);
        assertNotRun(scenario.chat(0, request));
        CPPUNIT_ASSERT(!anyRun(scenario));
        scenario.fleet.fault(scenario.fleet.engine(0), {{"refuse", false}});
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.chat(0, request).succeeded(); }));
        assertNoViolations(scenario);
    }

    void reportsThatARequestMayHaveRunOnSilentEngines()
    {
        Scenario scenario({.name = "notrun-silent", .settings = "[limits]\nsilence-ms = 500"});
        for (std::size_t index : {0U, 1U}) {
            scenario.fleet.fault(scenario.fleet.engine(index), {{"silentAfter", 0}});
        }
        Ask request = scenario.ask("ask", "Are you listening?");
        request.deadline = Milliseconds(3000);
        assertMayHaveRun(scenario.chat(0, request));
        CPPUNIT_ASSERT(anyRun(scenario));
        for (std::size_t index : {0U, 1U}) {
            scenario.fleet.fault(scenario.fleet.engine(index), {{"silentAfter", -1}});
        }
        assertNoViolations(scenario);
    }

    /// The answer resumes on the other engine at the byte where it broke off.
    void resumesTheAnswerWhenItsEngineIsKilled()
    {
        Scenario scenario({.name = "notrun-resumed", .tokenDelayUs = 5000});
        Ask request = scenario.ask("long", "[[tokens=300]] Write at length.");
        request.stream = true;
        Answer answer;
        {
            const std::jthread caller([&] { answer = scenario.chat(0, request); });
            CPPUNIT_ASSERT(waitUntil([&] { return anyRun(scenario); }));
            const UpstreamId running = scenario.fleet.records().runs.front().upstream;
            const std::size_t index = running.str() == scenario.fleet.engine(0).id ? 0 : 1;
            scenario.fleet.engine(index).process->kill();
        }
        CPPUNIT_ASSERT(answer.succeeded());
        CPPUNIT_ASSERT(scenario.fleet.records().runs.size() >= 2);
        assertNoViolations(scenario);
    }

    void reportsThatARequestMayHaveRunWhenAllEnginesAreKilled()
    {
        Scenario scenario({.name = "notrun-cut", .tokenDelayUs = 5000});
        Ask request = scenario.ask("long", "[[tokens=300]] Write at length.");
        request.stream = true;
        request.deadline = Milliseconds(3000);
        Answer answer;
        {
            const std::jthread caller([&] { answer = scenario.chat(0, request); });
            CPPUNIT_ASSERT(waitUntil([&] { return anyRun(scenario); }));
            scenario.fleet.engine(0).process->kill();
            scenario.fleet.engine(1).process->kill();
        }
        CPPUNIT_ASSERT(!answer.done);
        assertMayHaveRun(answer);
        assertNoViolations(scenario);
    }

    void reportsThatARequestMayHaveRunAfterAConnectionReset()
    {
        Scenario scenario({.name = "notrun-resets"});
        // An instance that lost a connection avoids the service for a while, so each fault uses another instance.
        std::size_t instance = 0;
        for (const char *fault : {"resetBefore", "resetAfter"}) {
            scenario.fleet.fault(scenario.fleet.service(0), {{fault, true}});
            // The connection closed after the request was sent, so the router cannot tell whether it ran.
            assertMayHaveRun(scenario.credit(instance++, fault));
            scenario.fleet.fault(scenario.fleet.service(0), {{fault, false}});
            assertMayHaveRun(scenario.credit(2, fault));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scenario.timesApplied("resetBefore"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("resetAfter"));
        assertNoViolations(scenario);
    }

    void invariantsHoldForADeadlineAtAnyStep()
    {
        constexpr int lastDeadlineMs = 900;
        constexpr int stepMs = 20;
        Scenario scenario({.name = "notrun-deadline", .tokenDelayUs = 10000});
        scenario.fleet.fault(scenario.fleet.platform(), {{"delayMs", 150}});
        scenario.fleet.fault(scenario.fleet.service(0), {{"delayMs", 200}});
        std::vector<std::jthread> callers;
        for (int deadline = 1; deadline < lastDeadlineMs; deadline += stepMs) {
            callers.emplace_back([&scenario, deadline] {
                Ask credit = scenario.ask("unlock-credit", "{}");
                credit.idempotencyKey = "k" + std::to_string(deadline);
                credit.deadline = Milliseconds(deadline);
                scenario.operate(0, credit);
                Ask chat = scenario.ask("ask", "[[tokens=30]] Quick, within " + std::to_string(deadline));
                chat.deadline = Milliseconds(deadline);
                scenario.chat(1, chat);
            });
        }
        callers.clear();
        std::this_thread::sleep_for(lateAttemptWindow);
        assertNoViolations(scenario);
    }

    void invariantsHoldWhenAnInstanceIsKilledUnderLoad()
    {
        Scenario scenario({.name = "notrun-instance", .tokenDelayUs = 5000});
        constexpr int callerCount = 12;
        std::vector<std::jthread> callers;
        callers.reserve(callerCount);
        for (int number = 0; number < callerCount; ++number) {
            callers.emplace_back([&scenario, number] {
                Ask request = scenario.ask("long", "[[tokens=100]] Number " + std::to_string(number));
                request.stream = true;
                scenario.chat(0, request);
            });
        }
        CPPUNIT_ASSERT(waitUntil([&] { return anyRun(scenario); }));
        scenario.fleet.instance(0).process->kill();
        callers.clear();
        CPPUNIT_ASSERT(scenario.chat(1, scenario.ask("ask", "Still there?")).succeeded());
        assertNoViolations(scenario);
    }

    /// While the store is down, model requests still succeed, and operations that need a claim are refused.
    void refusesOnlyRequestsThatNeedAClaimDuringAStoreOutage()
    {
        Scenario scenario({.name = "notrun-platform"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        assertNotRun(scenario.credit(0, "k"));
        CPPUNIT_ASSERT(scenario.chat(1, scenario.ask("ask", "Does it go on?")).succeeded());
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        CPPUNIT_ASSERT(scenario.creditSucceeds("k"));
        assertNoViolations(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTest);

} // namespace parsleyvane::rig
