#include "parsleyvane/retry/attempts.h"

#include <algorithm>

namespace parsleyvane {

namespace {

// How far unused retries may add up, in multiples of the reserve.
constexpr double capInReserves = 10;
constexpr double oneRetry = 1;
constexpr int firstSuccess = 200;
constexpr int firstRedirection = 300;

bool isSuccess(const std::optional<int> &status)
{
    return status && *status >= firstSuccess && *status < firstRedirection;
}

/// Refused for want of room, with no hint when there will be some.
bool isHopelesslyFull(const Failure &failure)
{
    const bool full = failure.id == ErrorId::NoCapacity || failure.id == ErrorId::RateLimited;
    return full && !failure.retryAfter;
}

GiveUp giveUp(const RetryContext &question, ErrorId id)
{
    Failure failure = question.latest;
    failure.id = id;
    failure.runState = question.combinedRunState;
    return GiveUp{std::move(failure)};
}

bool mayRunAgain(const RetryContext &question)
{
    return question.repeatable || question.combinedRunState == RunState::NotRun;
}

} // namespace

RunState inferRunState(const AttemptEnd &end) noexcept
{
    if (isSuccess(end.status)) {
        return end.refusedBeforeRun ? RunState::Unknown : RunState::Ran;
    }
    if (end.refusedBeforeRun) {
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
    , cap(reserve * capInReserves)
    , balance(reserve)
{
}

void RetryBudget::onFirstAttempt() noexcept
{
    this->balance = std::min(this->balance + this->ratio, this->cap);
}

bool RetryBudget::spend() noexcept
{
    if (this->balance < oneRetry) {
        return false;
    }
    this->balance -= oneRetry;
    return true;
}

double RetryBudget::remaining() const noexcept
{
    return this->balance;
}

RetryDecision decideRetry(const RetryContext &question, RetryBudget &budget)
{
    if (question.now >= question.deadline) {
        return giveUp(question, ErrorId::DeadlineExceeded);
    }
    if (!mayRunAgain(question) || question.attempts >= question.maxAttempts || isHopelesslyFull(question.latest)) {
        return giveUp(question, question.latest.id);
    }
    const TimePoint notBefore = question.now + question.latest.retryAfter.value_or(Milliseconds{0});
    if (notBefore >= question.deadline) {
        return giveUp(question, question.latest.id);
    }
    if (!budget.spend()) {
        return giveUp(question, ErrorId::RetryBudgetSpent);
    }
    return RetryAllowed{notBefore};
}

} // namespace parsleyvane
