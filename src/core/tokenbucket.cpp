#include "parsleyvane/limits/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

constexpr double millisecondsPerSecond = 1000;
/// A token that lacks no more than this by rounding is whole.
constexpr double wholeToken = 1 - 1e-9;

} // namespace

void TokenBucket::configure(RequestRate newRate, double newBurst, TimePoint now)
{
    this->refill(now);
    this->rate = newRate;
    this->burst = newBurst;
    this->tokens = std::min(this->tokens, this->burst);
}

void TokenBucket::fill()
{
    this->tokens = this->burst;
}

bool TokenBucket::take(TimePoint now)
{
    this->refill(now);
    if (this->tokens < wholeToken) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void TokenBucket::giveBack()
{
    this->tokens = std::min(this->burst, this->tokens + 1);
}

double TokenBucket::level(TimePoint now) const
{
    const auto elapsed = static_cast<double>((now - this->refilledAt).count()) / millisecondsPerSecond;
    return std::min(this->burst, this->tokens + std::max(elapsed, 0.0) * this->rate.perSecond);
}

std::optional<Milliseconds> TokenBucket::untilNext(TimePoint now) const
{
    const double missing = 1 - this->level(now);
    if (missing <= 1 - wholeToken) {
        return Milliseconds(0);
    }
    if (this->rate.perSecond <= 0 || this->burst < 1) {
        return std::nullopt;
    }
    const double wait = std::ceil(missing / this->rate.perSecond * millisecondsPerSecond);
    constexpr double longestWait = 86400 * millisecondsPerSecond;
    return Milliseconds(static_cast<std::int64_t>(std::min(wait, longestWait)));
}

void TokenBucket::refill(TimePoint now)
{
    this->tokens = this->level(now);
    this->refilledAt = std::max(this->refilledAt, now);
}

} // namespace parsleyvane
