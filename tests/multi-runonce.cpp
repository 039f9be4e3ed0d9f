#include "suite.h"

#include "rig/scenario.h"

namespace parsleyvane::rig {

namespace {

/// @brief Longer than any timeout of an instance.
constexpr Milliseconds freezeDuration{12000};
constexpr unsigned allInstances = 7;

/// @brief Sends a credit from its own thread and stores the answer.
class PendingCredit
{
public:
    // constructors
    PendingCredit(Scenario &scenario, std::size_t instance, const std::string &key)
        : thread([this, &scenario, instance, key] { this->received = scenario.credit(instance, key); })
    {
    }

    // modifiers
    /// @brief Waits for the answer.
    const Answer &answer()
    {
        if (this->thread.joinable()) {
            this->thread.join();
        }
        return this->received;
    }

private:
    Answer received;
    std::jthread thread;
};

void waitForClaim(const Scenario &scenario)
{
    CPPUNIT_ASSERT(waitUntil([&scenario] { return scenario.hasRow("runonce/"); }));
}

void assertNoViolations(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

} // namespace

class RunOnceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunOnceTest);
    CPPUNIT_TEST(sameKeyAtAllInstancesAtOnceIsAppliedOnce);
    CPPUNIT_TEST(appliesAtMostOnceWhenTheClaimOwnerIsKilled);
    CPPUNIT_TEST(appliesAtMostOnceWhenTheClaimOwnerIsFrozenBeforeSending);
    CPPUNIT_TEST(appliesAtMostOnceWhenTheClaimOwnerIsFrozenDuringTheOperation);
    CPPUNIT_TEST(appliesOnceWhenTheReplyToTheClaimIsLost);
    CPPUNIT_TEST(appliesOnceWhenTheStoreFailsBeforeTheClaim);
    CPPUNIT_TEST(appliesOnceWhenTheStoreFailsAfterTheClaim);
    CPPUNIT_TEST(appliesOnceWhenTheServiceIsSilentAfterItsFirstByte);
    CPPUNIT_TEST(refusesAKeyThatIsReusedWithAnotherBody);
    CPPUNIT_TEST(refusedRequestCanBeSentAgain);
    CPPUNIT_TEST(requestToAStoppedServiceCanBeSentAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void sameKeyAtAllInstancesAtOnceIsAppliedOnce()
    {
        Scenario scenario({.name = "runonce-all", .instances = allInstances});
        for (int round = 0; round < 5; ++round) {
            const std::string key = "k" + std::to_string(round);
            {
                std::vector<std::jthread> callers;
                for (std::size_t instance = 0; instance < allInstances; ++instance) {
                    callers.emplace_back([&scenario, instance, key] { scenario.credit(instance, key); });
                }
            }
            CPPUNIT_ASSERT(scenario.creditSucceeds(key));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied(key));
        }
        assertNoViolations(scenario);
    }

    void appliesAtMostOnceWhenTheClaimOwnerIsKilled()
    {
        Scenario scenario({.name = "runonce-killed"});
        scenario.fleet.fault(scenario.fleet.service(0), {{"delayMs", 1500}});
        PendingCredit first(scenario, 0, "k");
        waitForClaim(scenario);
        scenario.fleet.instance(0).process->kill();
        CPPUNIT_ASSERT(!first.answer().succeeded());
        scenario.fleet.fault(scenario.fleet.service(0), {{"delayMs", 0}});
        scenario.creditSucceeds("k", Milliseconds(3000));
        CPPUNIT_ASSERT(scenario.timesApplied("k") <= 1);
        assertNoViolations(scenario);
    }

    /// The store has committed the claim, but the owner is frozen before it receives the reply.
    void appliesAtMostOnceWhenTheClaimOwnerIsFrozenBeforeSending()
    {
        Scenario scenario({.name = "runonce-frozen", .relayed = true});
        Member &winner = scenario.fleet.instance(0);
        winner.toPlatform->setMode(RelayMode::DropReplies);
        PendingCredit first(scenario, 0, "k");
        waitForClaim(scenario);
        winner.process->freeze();
        winner.toPlatform->setMode(RelayMode::Pass);
        scenario.credit(1, "k");
        std::this_thread::sleep_for(freezeDuration);
        scenario.credit(2, "k");
        winner.process->thaw();
        first.answer();
        scenario.creditSucceeds("k", Milliseconds(3000));
        CPPUNIT_ASSERT(scenario.timesApplied("k") <= 1);
        assertNoViolations(scenario);
    }

    void appliesAtMostOnceWhenTheClaimOwnerIsFrozenDuringTheOperation()
    {
        Scenario scenario({.name = "runonce-frozen-later"});
        scenario.fleet.fault(scenario.fleet.service(0), {{"delayMs", 1000}});
        PendingCredit first(scenario, 0, "k");
        waitForClaim(scenario);
        scenario.fleet.instance(0).process->freeze();
        scenario.credit(1, "k");
        std::this_thread::sleep_for(freezeDuration);
        scenario.credit(2, "k");
        scenario.fleet.instance(0).process->thaw();
        first.answer();
        scenario.creditSucceeds("k", Milliseconds(3000));
        CPPUNIT_ASSERT(scenario.timesApplied("k") <= 1);
        assertNoViolations(scenario);
    }

    void appliesOnceWhenTheReplyToTheClaimIsLost()
    {
        Scenario scenario({.name = "runonce-reply-lost"});
        for (int round = 0; round < 5; ++round) {
            const std::string key = "k" + std::to_string(round);
            scenario.fleet.fault(scenario.fleet.platform(), {{"loseReplies", 1}});
            scenario.credit(0, key);
            CPPUNIT_ASSERT(scenario.creditSucceeds(key));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied(key));
        }
        assertNoViolations(scenario);
    }

    void appliesOnceWhenTheStoreFailsBeforeTheClaim()
    {
        Scenario scenario({.name = "runonce-store-before"});
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        const Answer refused = scenario.credit(0, "k");
        CPPUNIT_ASSERT(!refused.succeeded());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scenario.timesApplied("k"));
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        CPPUNIT_ASSERT(scenario.creditSucceeds("k"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
        assertNoViolations(scenario);
    }

    void appliesOnceWhenTheStoreFailsAfterTheClaim()
    {
        Scenario scenario({.name = "runonce-store-after"});
        scenario.fleet.fault(scenario.fleet.service(0), {{"delayMs", 1000}});
        PendingCredit first(scenario, 0, "k");
        waitForClaim(scenario);
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        first.answer();
        CPPUNIT_ASSERT(!scenario.credit(1, "k").succeeded());
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        CPPUNIT_ASSERT(scenario.creditSucceeds("k"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
        assertNoViolations(scenario);
    }

    void appliesOnceWhenTheServiceIsSilentAfterItsFirstByte()
    {
        Scenario scenario({.name = "runonce-silent"});
        scenario.fleet.fault(scenario.fleet.service(0), {{"silentAfterFirstByte", true}});
        const Answer lost = scenario.credit(0, "k");
        CPPUNIT_ASSERT(lost.error.has_value());
        CPPUNIT_ASSERT(lost.error->run != "not_run");
        scenario.fleet.fault(scenario.fleet.service(0), {{"silentAfterFirstByte", false}});
        scenario.creditSucceeds("k", Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
        assertNoViolations(scenario);
    }

    void refusesAKeyThatIsReusedWithAnotherBody()
    {
        Scenario scenario({.name = "runonce-other-body"});
        CPPUNIT_ASSERT(scenario.credit(0, "k").succeeded());
        const Answer other = scenario.credit(1, "k", R"({"days":30})");
        CPPUNIT_ASSERT(other.error.has_value());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ErrorId::KeyBodyMismatch), other.error->id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
        CPPUNIT_ASSERT(scenario.credit(2, "k").succeeded());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
    }

    void refusedRequestCanBeSentAgain()
    {
        Scenario scenario({.name = "runonce-refused"});
        scenario.fleet.fault(scenario.fleet.service(0), {{"refuse", true}});
        const Answer refused = scenario.credit(0, "k");
        CPPUNIT_ASSERT(refused.error.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.error->run);
        scenario.fleet.fault(scenario.fleet.service(0), {{"refuse", false}});
        CPPUNIT_ASSERT(scenario.creditSucceeds("k"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
        assertNoViolations(scenario);
    }

    void requestToAStoppedServiceCanBeSentAgain()
    {
        Scenario scenario({.name = "runonce-dead-service"});
        scenario.fleet.service(0).process->kill();
        const Answer refused = scenario.credit(0, "k");
        CPPUNIT_ASSERT(refused.error.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.error->run);
        scenario.fleet.restart(scenario.fleet.service(0));
        CPPUNIT_ASSERT(scenario.creditSucceeds("k"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scenario.timesApplied("k"));
        assertNoViolations(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunOnceTest);

} // namespace parsleyvane::rig
