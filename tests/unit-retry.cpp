#include "suite.h"

#include "parsleyvane/retry/attempts.h"

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000}};

RetryContext refusedQuestion()
{
    return {.repeatable = false,
            .combinedRunState = RunState::NotRun,
            .now = start,
            .deadline = start + Milliseconds{1000},
            .latest = {.id = ErrorId::UpstreamRefused, .step = Step::Answer, .peer = "engine-1"}};
}

RetryContext arbitraryQuestion()
{
    RetryContext question = refusedQuestion();
    question.repeatable = *rc::gen::arbitrary<bool>();
    question.combinedRunState = *rc::gen::element(RunState::NotRun, RunState::Ran, RunState::Unknown);
    question.attempts = *rc::gen::inRange(1U, 5U);
    question.now = start + Milliseconds{*rc::gen::inRange(0, 1500)};
    question.latest.id = *rc::gen::element(ErrorId::UpstreamRefused, ErrorId::NoCapacity, ErrorId::ConnectFailed,
                                           ErrorId::UpstreamLost, ErrorId::UpstreamSilent);
    if (*rc::gen::arbitrary<bool>()) {
        question.latest.retryAfter = Milliseconds{*rc::gen::inRange(0, 1500)};
    }
    return question;
}

} // namespace

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(nothingHandedToTheConnectionHasNotRun);
    CPPUNIT_TEST(oneByteHandedToTheConnectionMayHaveRun);
    CPPUNIT_TEST(explicitRefusalHasNotRun);
    CPPUNIT_TEST(otherStatusSaysNothingOfTheRun);
    CPPUNIT_TEST(successStatusHasRun);
    CPPUNIT_TEST(contradictoryEvidenceIsUnknown);
    CPPUNIT_TEST(ranBeatsUnknownBeatsNotRun);
    CPPUNIT_TEST(unrunRequestIsTriedAtOnceElsewhere);
    CPPUNIT_TEST(unknownOutcomeIsTriedAgainOnlyWhenRepeatable);
    CPPUNIT_TEST(loadRefusalWaitsForItsHint);
    CPPUNIT_TEST(loadRefusalWithoutAHintIsNotTriedAgain);
    CPPUNIT_TEST(hintPastTheDeadlineGivesUp);
    CPPUNIT_TEST(spentBudgetGivesUp);
    CPPUNIT_TEST(decisionsKeepTheRules);
    CPPUNIT_TEST(retriesStayWithinTheirShareOfFirstTries);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingHandedToTheConnectionHasNotRun()
    {
        CPPUNIT_ASSERT(inferRunState({.step = Step::Connect}) == RunState::NotRun);
        CPPUNIT_ASSERT(inferRunState({.step = Step::Send}) == RunState::NotRun);
    }

    void oneByteHandedToTheConnectionMayHaveRun()
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

    void otherStatusSaysNothingOfTheRun()
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

    void ranBeatsUnknownBeatsNotRun()
    {
        CPPUNIT_ASSERT(combine(RunState::Unknown, RunState::Ran) == RunState::Ran);
        CPPUNIT_ASSERT(combine(RunState::Ran, RunState::NotRun) == RunState::Ran);
        CPPUNIT_ASSERT(combine(RunState::Unknown, RunState::NotRun) == RunState::Unknown);
        CPPUNIT_ASSERT(combine(RunState::NotRun, RunState::Unknown) == RunState::Unknown);
        CPPUNIT_ASSERT(combine(RunState::NotRun, RunState::NotRun) == RunState::NotRun);
    }

    void unrunRequestIsTriedAtOnceElsewhere()
    {
        RetryBudget budget;
        RetryContext question = refusedQuestion();
        question.latest.id = ErrorId::ConnectFailed;
        const auto decision = decideRetry(question, budget);
        CPPUNIT_ASSERT(std::get<RetryAllowed>(decision).notBefore == start);
    }

    void unknownOutcomeIsTriedAgainOnlyWhenRepeatable()
    {
        RetryBudget budget;
        RetryContext question = refusedQuestion();
        question.combinedRunState = RunState::Unknown;
        const auto decision = decideRetry(question, budget);
        CPPUNIT_ASSERT(std::get<GiveUp>(decision).failure.runState == RunState::Unknown);
        question.repeatable = true;
        CPPUNIT_ASSERT(std::holds_alternative<RetryAllowed>(decideRetry(question, budget)));
    }

    void loadRefusalWaitsForItsHint()
    {
        RetryBudget budget;
        RetryContext question = refusedQuestion();
        question.latest.retryAfter = Milliseconds{400};
        CPPUNIT_ASSERT(std::get<RetryAllowed>(decideRetry(question, budget)).notBefore == start + Milliseconds{400});
    }

    void loadRefusalWithoutAHintIsNotTriedAgain()
    {
        RetryBudget budget;
        RetryContext question = refusedQuestion();
        question.latest.id = ErrorId::NoCapacity;
        CPPUNIT_ASSERT(std::holds_alternative<GiveUp>(decideRetry(question, budget)));
    }

    void hintPastTheDeadlineGivesUp()
    {
        RetryBudget budget;
        RetryContext question = refusedQuestion();
        question.latest.retryAfter = Milliseconds{1000};
        CPPUNIT_ASSERT(std::holds_alternative<GiveUp>(decideRetry(question, budget)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10, budget.remaining(), 1e-9);
    }

    void spentBudgetGivesUp()
    {
        RetryBudget budget(0.1, 1);
        CPPUNIT_ASSERT(std::holds_alternative<RetryAllowed>(decideRetry(refusedQuestion(), budget)));
        const auto decision = decideRetry(refusedQuestion(), budget);
        CPPUNIT_ASSERT(std::get<GiveUp>(decision).failure.id == ErrorId::RetryBudgetSpent);
    }

    void decisionsKeepTheRules()
    {
        test::property("no retry past the deadline, before the hint, or of a run that may not be repeated", []() {
            const RetryContext question = arbitraryQuestion();
            RetryBudget budget;
            const auto decision = decideRetry(question, budget);
            if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
                RC_ASSERT(giveUp->failure.runState == question.combinedRunState);
                return;
            }
            const TimePoint notBefore = std::get<RetryAllowed>(decision).notBefore;
            RC_ASSERT((question.repeatable || question.combinedRunState == RunState::NotRun));
            RC_ASSERT(question.now < question.deadline);
            RC_ASSERT(notBefore < question.deadline);
            RC_ASSERT(notBefore >= question.now + question.latest.retryAfter.value_or(Milliseconds{0}));
            RC_ASSERT(question.attempts < question.maxAttempts);
            RC_ASSERT((question.latest.id != ErrorId::NoCapacity || question.latest.retryAfter));
        });
    }

    void retriesStayWithinTheirShareOfFirstTries()
    {
        test::property("retries never exceed the reserve and a tenth of the first tries", []() {
            const auto tries = *rc::gen::container<std::vector<bool>>(2000, rc::gen::arbitrary<bool>());
            RetryBudget budget;
            double first = 0;
            double retries = 0;
            for (const bool isFirst : tries) {
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
