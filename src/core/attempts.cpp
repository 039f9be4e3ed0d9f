#include "parsleyvane/retry/attempts.h"

#include <algorithm>

namespace parsleyvane {

namespace {

// Upper bound of the unspent retries, in multiples of the reserve.
constexpr double maxBalanceInReserves = 10;
constexpr double retryCost = 1;
constexpr int firstSuccessStatus = 200;
constexpr int firstRedirectionStatus = 300;

bool isSuccess(const std::optional<int> &status)
{
    return status && *status >= firstSuccessStatus && *status < firstRedirectionStatus;
}

/// Refused for overload, without a hint when to retry.
bool isOverloadedWithoutHint(const Failure &failure)
{
    const bool full = failure.id == ErrorId::NoCapacity || failure.id == ErrorId::RateLimited;
    return full && !failure.retryAfter;
}

GiveUp giveUp(const RetryQuestion &question, ErrorId id)
{
    Failure failure = question.latest;
    failure.id = id;
    failure.runState = question.soFar;
    return GiveUp{std::move(failure)};
}

bool mayRunAgain(const RetryQuestion &question)
{
    return question.repeatable || question.soFar == RunState::NotRun;
}

} // namespace

RunState judge(const AttemptEnd &end) noexcept
{
    if (isSuccess(end.status)) {
        return end.refusedUnrun ? RunState::Unknown : RunState::Ran;
    }
    if (end.refusedUnrun) {
        return RunState::NotRun;
    }
    const bool beforeAnswer = end.step == Step::Connect || end.step == Step::Send;
    return beforeAnswer && end.bytesSent == 0 && !end.status ? RunState::NotRun : RunState::Unknown;
}

RunState combine(RunState before, RunState latest) noexcept
{
    if (before == RunState::Ran || latest == RunState::Ran) {
        return RunState::Ran;
    }
    return before == RunState::NotRun ? latest : before;
}

RetryBudget::RetryBudget(double ratio, double reserve)
    : ratio(ratio)
    , maxBalance(reserve * maxBalanceInReserves)
    , balance(reserve)
{
}

void RetryBudget::onFirstTry() noexcept
{
    this->balance = std::min(this->balance + this->ratio, this->maxBalance);
}

bool RetryBudget::spend() noexcept
{
    if (this->balance < retryCost) {
        return false;
    }
    this->balance -= retryCost;
    return true;
}

double RetryBudget::left() const noexcept
{
    return this->balance;
}

RetryDecision decideRetry(const RetryQuestion &question, RetryBudget &budget)
{
    if (question.now >= question.deadline) {
        return giveUp(question, ErrorId::DeadlineExceeded);
    }
    if (!mayRunAgain(question) || question.attempts >= question.maxAttempts
        || isOverloadedWithoutHint(question.latest)) {
        return giveUp(question, question.latest.id);
    }
    const TimePoint notBefore = question.now + question.latest.retryAfter.value_or(Milliseconds{0});
    if (notBefore >= question.deadline) {
        return giveUp(question, question.latest.id);
    }
    if (!budget.spend()) {
        return giveUp(question, ErrorId::RetryBudgetSpent);
    }
    return TryAgain{notBefore};
}

} // namespace parsleyvane
