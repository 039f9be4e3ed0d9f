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

GiveUp giveUp(const RetryContext &context, ErrorId id)
{
    Failure failure = context.latest;
    failure.id = id;
    failure.runState = context.combinedRunState;
    return GiveUp{std::move(failure)};
}

bool mayRunAgain(const RetryContext &context)
{
    return context.repeatable || context.combinedRunState == RunState::NotRun;
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
    , maxBalance(reserve * maxBalanceInReserves)
    , balance(reserve)
{
}

void RetryBudget::onFirstAttempt() noexcept
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

double RetryBudget::remaining() const noexcept
{
    return this->balance;
}

RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget)
{
    if (context.now >= context.deadline) {
        return giveUp(context, ErrorId::DeadlineExceeded);
    }
    if (!mayRunAgain(context) || context.attempts >= context.maxAttempts || isOverloadedWithoutHint(context.latest)) {
        return giveUp(context, context.latest.id);
    }
    const TimePoint notBefore = context.now + context.latest.retryAfter.value_or(Milliseconds{0});
    if (notBefore >= context.deadline) {
        return giveUp(context, context.latest.id);
    }
    if (!budget.spend()) {
        return giveUp(context, ErrorId::RetryBudgetSpent);
    }
    return RetryAllowed{notBefore};
}

} // namespace parsleyvane
