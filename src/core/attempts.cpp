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

GiveUp giveUp(const RetryQuestion &context, ErrorId id)
{
    Failure failure = context.latest;
    failure.id = id;
    failure.runState = context.soFar;
    return GiveUp{std::move(failure)};
}

bool mayRunAgain(const RetryQuestion &context)
{
    return context.repeatable || context.soFar == RunState::NotRun;
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

RetryDecision decideRetry(const RetryQuestion &context, RetryBudget &budget)
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
    return TryAgain{notBefore};
}

} // namespace parsleyvane
