#include "parsleyvane/limits/accountlimiter.h"

#include <algorithm>

namespace parsleyvane {

namespace {

Failure rateLimited(std::string detail, Milliseconds retryAfter)
{
    return {.id = ErrorId::RateLimited, .step = Step::Admit, .detail = std::move(detail), .retryAfter = retryAfter};
}

} // namespace

std::optional<Failure> AccountLimiter::tryAcquire(const Account &account, std::size_t liveInstances, TimePoint now)
{
    const auto [found, isNew] = this->accounts.try_emplace(account.id);
    Usage &usage = found->second;
    const auto instances = static_cast<double>(std::max<std::size_t>(liveInstances, 1));
    const RequestRate rate{account.limits.requestsPerSecond / instances};
    usage.bucket.configure(rate, std::max(account.limits.burst / instances, 1.0), now);
    if (isNew) {
        usage.bucket.fill();
    }
    constexpr Milliseconds defaultRetryAfter{1000};
    if (usage.inFlight >= account.limits.inFlight) {
        return rateLimited("the client account's limit of requests in flight is reached", defaultRetryAfter);
    }
    if (!usage.bucket.take(now)) {
        return rateLimited("the client account's request rate is exceeded",
                           usage.bucket.untilNext(now).value_or(defaultRetryAfter));
    }
    ++usage.inFlight;
    return std::nullopt;
}

void AccountLimiter::release(const AccountId &account)
{
    Usage &usage = this->accounts[account];
    if (usage.inFlight > 0) {
        --usage.inFlight;
    }
}

} // namespace parsleyvane
