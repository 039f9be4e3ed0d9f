#include "suite.h"

#include "rig/scenario.h"

#include <algorithm>

namespace parsleyvane::rig {

namespace {

constexpr unsigned slots = 8;
/// @brief Slow enough that a write-up of 1500 tokens runs for seconds.
constexpr unsigned slowTokenUs = 2000;
const std::string writeUp = "[[tokens=1500]] Write-up ";

/// @brief Sends long streams (write-ups), each from its own thread, and stores the answers.
class WriteUps
{
public:
    // constructors
    WriteUps(Scenario &scenario, std::size_t count)
        : answers(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->threads.emplace_back([this, &scenario, i]() {
                Ask request = scenario.ask("long", writeUp + std::to_string(i));
                request.stream = true;
                this->answers[i] = scenario.chat(i % scenario.fleet.instanceCount(), request);
            });
        }
    }

    // modifiers
    /// @brief Waits for all answers.
    const std::vector<Answer> &wait()
    {
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        return this->answers;
    }

private:
    std::vector<Answer> answers;
    std::vector<std::thread> threads;
};

void buyPriority(Scenario &scenario)
{
    Configuration next = scenario.configuration;
    next.accounts.front().priority.bought = true;
    const Acceptance accepted = scenario.accept(next);
    CPPUNIT_ASSERT(waitUntil([&]() { return scenario.fleet.allInstancesReport(accepted.revision); }));
}

std::size_t runsOf(const Scenario &scenario)
{
    return scenario.fleet.records().runs.size();
}

} // namespace

class PriorityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PriorityTest);
    CPPUNIT_TEST(claimTakesEffectAtOnceOnAFullPool);
    CPPUNIT_TEST(claimInterruptsAttemptsOfAnotherInstance);
    CPPUNIT_TEST(claimWithoutPurchaseIsRefusedBeforeItRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimTakesEffectAtOnceOnAFullPool()
    {
        this->assertClaimFinishesFirst(
            {.name = "priority-one", .instances = 1, .engines = 1, .tokenDelayUs = slowTokenUs}, 0);
    }

    void claimInterruptsAttemptsOfAnotherInstance()
    {
        Scenario scenario({.name = "priority-peer", .instances = 3, .engines = 1, .tokenDelayUs = slowTokenUs});
        buyPriority(scenario);
        std::vector<std::thread> senders;
        std::vector<Answer> answers(slots);
        for (unsigned i = 0; i < slots; ++i) {
            senders.emplace_back([&, i]() {
                Ask request = scenario.ask("long", writeUp + std::to_string(i));
                request.stream = true;
                answers[i] = scenario.chat(i % 2, request);
            });
        }
        this->assertFullThenClaim(scenario, 2);
        for (std::thread &sender : senders) {
            sender.join();
        }
        this->assertCompletedAfterClaim(scenario, answers);
    }

    void claimWithoutPurchaseIsRefusedBeforeItRuns()
    {
        Scenario scenario({.name = "priority-unbought", .instances = 1, .engines = 1});
        Ask request = scenario.ask("ask", "Where is tent 7?");
        request.claimsPriority = true;
        const Answer answer = scenario.chat(0, request);
        CPPUNIT_ASSERT_EQUAL(206, answer.error->id);
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.error->run);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), runsOf(scenario));
    }

private:
    void assertClaimFinishesFirst(const ScenarioPlan &plan, std::size_t claimAt)
    {
        Scenario scenario(plan);
        buyPriority(scenario);
        WriteUps writeUps(scenario, slots);
        this->assertFullThenClaim(scenario, claimAt);
        this->assertCompletedAfterClaim(scenario, writeUps.wait());
    }

    void assertFullThenClaim(Scenario &scenario, std::size_t claimAt)
    {
        CPPUNIT_ASSERT(waitUntil([&]() { return runsOf(scenario) >= slots; }));
        Ask request = scenario.ask("ask", "[[tokens=4]] Is the lantern of house 9 paid for?");
        request.claimsPriority = true;
        this->claim = scenario.chat(claimAt, request);
        CPPUNIT_ASSERT(this->claim.succeeded());
    }

    /// Asserts that the claim was answered before any write-up ended, and that every write-up succeeded.
    void assertCompletedAfterClaim(Scenario &scenario, const std::vector<Answer> &writeUps)
    {
        for (const Answer &answer : writeUps) {
            CPPUNIT_ASSERT(answer.succeeded());
            CPPUNIT_ASSERT_GREATER(this->claim.answerReceivedAt, answer.answerReceivedAt);
        }
        CPPUNIT_ASSERT_GREATER(std::size_t(slots + 1), runsOf(scenario));
        CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
    }

    Answer claim;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityTest);

} // namespace parsleyvane::rig
