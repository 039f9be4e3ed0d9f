#include "suite.h"

#include "parsleyvane/retry/attempts.h"

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000}};

RetryContext refusedContext()
{
    return {.repeatable = false,
            .combinedRunState = RunState::NotRun,
            .now = start,
            .deadline = start + Milliseconds{1000},
            .latest = {.id = ErrorId::UpstreamRefused, .step = Step::Answer, .peer = "engine-1"}};
}

RetryContext arbitraryContext()
{
    RetryContext context = refusedContext();
    context.repeatable = *rc::gen::arbitrary<bool>();
    context.combinedRunState = *rc::gen::element(RunState::NotRun, RunState::Ran, RunState::Unknown);
    context.attempts = *rc::gen::inRange(1U, 5U);
    context.now = start + Milliseconds{*rc::gen::inRange(0, 1500)};
    context.latest.id = *rc::gen::element(ErrorId::UpstreamRefused, ErrorId::NoCapacity, ErrorId::ConnectFailed,
                                          ErrorId::UpstreamLost, ErrorId::UpstreamSilent);
    if (*rc::gen::arbitrary<bool>()) {
        context.latest.retryAfter = Milliseconds{*rc::gen::inRange(0, 1500)};
    }
    return context;
}

} // namespace

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(requestWithNoByteSentHasNotRun);
    CPPUNIT_TEST(requestWithOneByteSentMayHaveRun);
    CPPUNIT_TEST(explicitRefusalHasNotRun);
    CPPUNIT_TEST(errorStatusLeavesTheRunStateUnknown);
    CPPUNIT_TEST(successStatusHasRun);
    CPPUNIT_TEST(contradictoryEvidenceIsUnknown);
    CPPUNIT_TEST(ranTakesPrecedenceOverUnknownAndUnknownOverNotRun);
    CPPUNIT_TEST(requestThatDidNotRunIsRetriedImmediately);
    CPPUNIT_TEST(unknownOutcomeIsRetriedOnlyWhenRepeatable);
    CPPUNIT_TEST(refusalIsRetriedAfterItsDelay);
    CPPUNIT_TEST(overloadRefusalWithoutADelayIsNotRetried);
    CPPUNIT_TEST(delayPastTheDeadlineGivesUp);
    CPPUNIT_TEST(exhaustedBudgetGivesUp);
    CPPUNIT_TEST(decisionsRespectDeadlineDelayAndRepeatability);
    CPPUNIT_TEST(retriesStayWithinTheirShareOfFirstAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestWithNoByteSentHasNotRun()
    {
        CPPUNIT_ASSERT(inferRunState({.step = Step::Connect}) == RunState::NotRun);
        CPPUNIT_ASSERT(inferRunState({.step = Step::Send}) == RunState::NotRun);
    }

    void requestWithOneByteSentMayHaveRun()
    {
        CPPUNIT_ASSERT(inferRunState({.step = Step::Send, .bytesSent = 1}) == RunState::Unknown);
        CPPUNIT_ASSERT(inferRunState({.step = Step::Answer, .bytesSent = 300}) == RunState::Unknown);
        CPPUNIT_ASSERT(inferRunState({.step = Step::Answer}) == RunState::Unknown);
    }

    void explicitRefusalHasNotRun()
    {
        CPPUNIT_ASSERT(inferRunState({.step = Step::Answer, .bytesSent = 300, .refusedBeforeRun = true, .status = 503})
                       == RunState::NotRun);
    }

    void errorStatusLeavesTheRunStateUnknown()
    {
        for (const int status : {400, 404, 429, 500, 502, 503, 504}) {
            CPPUNIT_ASSERT(inferRunState({.step = Step::Answer, .bytesSent = 300, .status = status})
                           == RunState::Unknown);
        }
    }

    void successStatusHasRun()
    {
        CPPUNIT_ASSERT(inferRunState({.step = Step::Answer, .bytesSent = 300, .status = 200}) == RunState::Ran);
    }

    void contradictoryEvidenceIsUnknown()
    {
        CPPUNIT_ASSERT(inferRunState({.step = Step::Answer, .refusedBeforeRun = true, .status = 200})
                       == RunState::Unknown);
        CPPUNIT_ASSERT(inferRunState({.step = Step::Connect, .bytesSent = 1}) == RunState::Unknown);
        CPPUNIT_ASSERT(inferRunState({.step = Step::Send, .status = 500}) == RunState::Unknown);
    }

    void ranTakesPrecedenceOverUnknownAndUnknownOverNotRun()
    {
        CPPUNIT_ASSERT(combine(RunState::Unknown, RunState::Ran) == RunState::Ran);
        CPPUNIT_ASSERT(combine(RunState::Ran, RunState::NotRun) == RunState::Ran);
        CPPUNIT_ASSERT(combine(RunState::Unknown, RunState::NotRun) == RunState::Unknown);
        CPPUNIT_ASSERT(combine(RunState::NotRun, RunState::Unknown) == RunState::Unknown);
        CPPUNIT_ASSERT(combine(RunState::NotRun, RunState::NotRun) == RunState::NotRun);
    }

    void requestThatDidNotRunIsRetriedImmediately()
    {
        RetryBudget budget;
        RetryContext context = refusedContext();
        context.latest.id = ErrorId::ConnectFailed;
        const auto decision = decideRetry(context, budget);
        CPPUNIT_ASSERT(std::get<RetryAllowed>(decision).notBefore == start);
    }

    void unknownOutcomeIsRetriedOnlyWhenRepeatable()
    {
        RetryBudget budget;
        RetryContext context = refusedContext();
        context.combinedRunState = RunState::Unknown;
        const auto decision = decideRetry(context, budget);
        CPPUNIT_ASSERT(std::get<GiveUp>(decision).failure.runState == RunState::Unknown);
        context.repeatable = true;
        CPPUNIT_ASSERT(std::holds_alternative<RetryAllowed>(decideRetry(context, budget)));
    }

    void refusalIsRetriedAfterItsDelay()
    {
        RetryBudget budget;
        RetryContext context = refusedContext();
        context.latest.retryAfter = Milliseconds{400};
        CPPUNIT_ASSERT(std::get<RetryAllowed>(decideRetry(context, budget)).notBefore == start + Milliseconds{400});
    }

    void overloadRefusalWithoutADelayIsNotRetried()
    {
        RetryBudget budget;
        RetryContext context = refusedContext();
        context.latest.id = ErrorId::NoCapacity;
        CPPUNIT_ASSERT(std::holds_alternative<GiveUp>(decideRetry(context, budget)));
    }

    void delayPastTheDeadlineGivesUp()
    {
        RetryBudget budget;
        RetryContext context = refusedContext();
        context.latest.retryAfter = Milliseconds{1000};
        CPPUNIT_ASSERT(std::holds_alternative<GiveUp>(decideRetry(context, budget)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, budget.remaining(), 1e-9);
    }

    void exhaustedBudgetGivesUp()
    {
        RetryBudget budget(0.1, 1);
        CPPUNIT_ASSERT(std::holds_alternative<RetryAllowed>(decideRetry(refusedContext(), budget)));
        const auto decision = decideRetry(refusedContext(), budget);
        CPPUNIT_ASSERT(std::get<GiveUp>(decision).failure.id == ErrorId::RetryBudgetSpent);
    }

    void decisionsRespectDeadlineDelayAndRepeatability()
    {
        test::property(
            "no retry past the deadline, before its delay, or of a request that may have run and is not repeatable",
            []() {
                const RetryContext context = arbitraryContext();
                RetryBudget budget;
                const auto decision = decideRetry(context, budget);
                if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
                    RC_ASSERT(giveUp->failure.runState == context.combinedRunState);
                    return;
                }
                const TimePoint notBefore = std::get<RetryAllowed>(decision).notBefore;
                RC_ASSERT((context.repeatable || context.combinedRunState == RunState::NotRun));
                RC_ASSERT(context.now < context.deadline);
                RC_ASSERT(notBefore < context.deadline);
                RC_ASSERT(notBefore >= context.now + context.latest.retryAfter.value_or(Milliseconds{0}));
                RC_ASSERT(context.attempts < context.maxAttempts);
                RC_ASSERT((context.latest.id != ErrorId::NoCapacity || context.latest.retryAfter));
            });
    }

    void retriesStayWithinTheirShareOfFirstAttempts()
    {
        test::property("retries never exceed the reserve plus a tenth of the first attempts", []() {
            const auto attempts = *rc::gen::container<std::vector<bool>>(2000, rc::gen::arbitrary<bool>());
            RetryBudget budget;
            double first = 0;
            double retries = 0;
            for (const bool isFirst : attempts) {
                if (isFirst) {
                    budget.onFirstAttempt();
                    ++first;
                    continue;
                }
                retries += budget.spend() ? 1 : 0;
            }
            RC_ASSERT(retries <= 10 + (first * 0.1) + 1e-6);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace parsleyvane
