#include "parsleyvane/limits/accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

constexpr double millisecondsPerSecond = 1000;

Failure limited(std::string detail, Milliseconds retryAfter)
{
    return {.id = ErrorId::RateLimited, .step = Step::Admit, .detail = std::move(detail), .retryAfter = retryAfter};
}

} // namespace

std::optional<Failure> AccountLimiter::tryAcquire(const Account &account, std::size_t liveInstances, TimePoint now)
{
    Bucket &bucket = this->buckets[account.id];
    const auto instances = static_cast<double>(std::max<std::size_t>(liveInstances, 1));
    const double rate = account.limits.requestsPerSecond / instances;
    const double burst = std::max(account.limits.burst / instances, 1.0);
    if (bucket.fresh) {
        bucket.fresh = false;
        bucket.tokens = burst;
    } else {
        const auto elapsed = static_cast<double>((now - bucket.filledAt).count()) / millisecondsPerSecond;
        bucket.tokens = std::min(burst, bucket.tokens + elapsed * rate);
    }
    bucket.filledAt = now;
    if (bucket.inFlight >= account.limits.inFlight) {
        constexpr Milliseconds retryAfter{1000};
        return limited("too many requests of the client account are under way", retryAfter);
    }
    if (bucket.tokens < 1) {
        const double wait = rate > 0 ? (1 - bucket.tokens) / rate * millisecondsPerSecond : millisecondsPerSecond;
        return limited("the client account's rate is reached",
                       Milliseconds(static_cast<std::int64_t>(std::ceil(wait))));
    }
    bucket.tokens -= 1;
    ++bucket.inFlight;
    return std::nullopt;
}

void AccountLimiter::release(const AccountId &account)
{
    Bucket &bucket = this->buckets[account];
    if (bucket.inFlight > 0) {
        --bucket.inFlight;
    }
}

} // namespace parsleyvane
