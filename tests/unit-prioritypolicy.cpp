#include "suite.h"

#include "parsleyvane/priority/prioritypolicy.h"

namespace parsleyvane {

namespace {

constexpr TimePoint now{Milliseconds(100000)};

InterruptCandidate writeUp(const std::string &id, unsigned interruptions = 0, Milliseconds ran = Milliseconds(30000))
{
    return {AttemptId(id), true, true, false, interruptions, now - ran};
}

EngineCapacity room(const std::string &id, unsigned load, std::vector<InterruptCandidate> work = {})
{
    return {UpstreamId(id), 8, load, false, std::move(work)};
}

} // namespace

class PriorityPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PriorityPolicyTest);
    CPPUNIT_TEST(claimsGoFirstHoweverLongOthersWait);
    CPPUNIT_TEST(writeUpAgesToJustAboveInteractiveWork);
    CPPUNIT_TEST(freeSlotComesBeforeAnInterruption);
    CPPUNIT_TEST(disprovedSlotIsNotTriedAgain);
    CPPUNIT_TEST(queuedOrProtectedWorkMakesNoRoom);
    CPPUNIT_TEST(leastInterruptedThenLatestMakesRoom);
    CPPUNIT_TEST(noWriteUpIsInterruptedForEver);
    CPPUNIT_TEST(claimsKeepToTheBoughtShare);
    CPPUNIT_TEST(warmEnginesHoldTheShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void claimsGoFirstHoweverLongOthersWait()
    {
        test::property("no waiting time lifts other work to a claim's number", []() {
            const Milliseconds waited(*rc::gen::inRange<std::int64_t>(0, 1000000000));
            const PriorityPolicy policy;
            const int claim = policy.enginePriority({.claimed = true});
            RC_ASSERT(policy.enginePriority({.resumable = true, .waited = waited}) < claim);
            RC_ASSERT(policy.enginePriority({.waited = waited}) < claim);
        });
    }

    void writeUpAgesToJustAboveInteractiveWork()
    {
        const PriorityPolicy policy;
        const int interactive = policy.enginePriority({});
        CPPUNIT_ASSERT(policy.enginePriority({.resumable = true}) < interactive);
        const Milliseconds left = policy.requeueAfter({.resumable = true, .waited = Milliseconds(7000)});
        const PriorityInput aged{.resumable = true, .waited = Milliseconds(7000) + left};
        CPPUNIT_ASSERT_EQUAL(interactive + 1, policy.enginePriority(aged));
        CPPUNIT_ASSERT(policy.requeueAfter(aged) == Milliseconds(0));
        CPPUNIT_ASSERT(policy.requeueAfter({}) == Milliseconds(0));
    }

    void freeSlotComesBeforeAnInterruption()
    {
        const PriorityPolicy policy;
        const auto decision = policy.chooseSlot({room("a", 8, {writeUp("w")}), room("b", 7), room("c", 2)}, now);
        CPPUNIT_ASSERT(std::get<UseFreeSlot>(decision).upstream == UpstreamId("c"));
        CPPUNIT_ASSERT(std::get<UseFreeSlot>(decision).recheckAfter > Milliseconds(0));
    }

    void disprovedSlotIsNotTriedAgain()
    {
        const PriorityPolicy policy;
        EngineCapacity stale = room("a", 2, {writeUp("w")});
        stale.reportIsStale = true;
        const auto decision = policy.chooseSlot({stale}, now);
        CPPUNIT_ASSERT(std::get<InterruptAttempt>(decision).attempt == AttemptId("w"));
        // The claim has to wait in the queue before the slot is free.
        CPPUNIT_ASSERT(std::get<InterruptAttempt>(decision).after > Milliseconds(0));
    }

    void queuedOrProtectedWorkMakesNoRoom()
    {
        const PriorityPolicy policy;
        InterruptCandidate queued = writeUp("queued");
        queued.running = false;
        InterruptCandidate hit = writeUp("hit");
        hit.interrupted = true;
        InterruptCandidate chat = writeUp("chat");
        chat.resumable = false;
        const InterruptCandidate young = writeUp("young", 3, Milliseconds(1499));
        CPPUNIT_ASSERT(
            std::holds_alternative<AskPeers>(policy.chooseSlot({room("a", 8, {queued, hit, chat, young})}, now)));
    }

    void leastInterruptedThenLatestMakesRoom()
    {
        const PriorityPolicy policy;
        const auto victim = policy.chooseVictim({room("a", 8, {writeUp("twice", 2), writeUp("old")}),
                                                 room("b", 8, {writeUp("late", 0, Milliseconds(100))})},
                                                now);
        CPPUNIT_ASSERT(victim->attempt == AttemptId("late"));
        CPPUNIT_ASSERT(victim->upstream == UpstreamId("b"));
    }

    void noWriteUpIsInterruptedForEver()
    {
        test::property("each run of an interrupted write-up is longer than the one before, and their number is bounded",
                       []() {
                           const PriorityOptions options;
                           const PriorityPolicy policy(options);
                           const auto before = *rc::gen::inRange<unsigned>(0, 40);
                           const Milliseconds ran(*rc::gen::inRange<std::int64_t>(0, 60000));
                           const auto victim = policy.chooseVictim({room("a", 8, {writeUp("w", before, ran)})}, now);
                           if (victim) {
                               RC_ASSERT(before < options.maxInterruptions);
                               RC_ASSERT(ran >= options.minRunPerInterruption * before);
                           }
                       });
    }

    void claimsKeepToTheBoughtShare()
    {
        const PriorityTerms terms{true, 0.2};
        CPPUNIT_ASSERT(PriorityPolicy::withinShare(terms, 15, 80));
        CPPUNIT_ASSERT(!PriorityPolicy::withinShare(terms, 16, 80));
        CPPUNIT_ASSERT(PriorityPolicy::withinShare(terms, 0, 2));
        CPPUNIT_ASSERT(!PriorityPolicy::withinShare({false, 0.2}, 0, 80));
    }

    void warmEnginesHoldTheShare()
    {
        CPPUNIT_ASSERT_EQUAL(5U, PriorityPolicy::warmEngines({true, 0.075}, 8));
        CPPUNIT_ASSERT_EQUAL(8U, PriorityPolicy::warmEngines({true, 0.9}, 8));
        CPPUNIT_ASSERT_EQUAL(2U, PriorityPolicy::warmEngines({true, 0.01}, 8));
        CPPUNIT_ASSERT_EQUAL(0U, PriorityPolicy::warmEngines({false, 0.2}, 8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityPolicyTest);

} // namespace parsleyvane
