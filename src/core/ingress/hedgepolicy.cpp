#include "parsleyvane/ingress/hedgepolicy.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace parsleyvane {

std::string_view verdictName(HedgeVerdict verdict)
{
    constexpr std::array<std::string_view, 10> names
        = {"send",        "off",         "not_repeatable",    "few_samples", "suspected_prompt",
           "no_attempts", "little_time", "short_of_capacity", "limit",       "retry_budget"};
    return names.at(static_cast<std::size_t>(verdict));
}

std::string hedgeKind(const std::string &routeAndModel, std::int64_t promptTokens)
{
    constexpr std::uint64_t shortPrompt = 256;
    constexpr int longestClass = 4;
    const auto tokens = static_cast<std::uint64_t>(std::max<std::int64_t>(0, promptTokens));
    const int doublings = static_cast<int>(std::bit_width(tokens / shortPrompt));
    return routeAndModel + "/" + std::to_string(std::min((doublings + 1) / 2, longestClass));
}

HedgePolicy::HedgePolicy(HedgeLimits limits)
    : limits(limits)
{
    this->setShare(limits.maxShare, limits.window);
}

void HedgePolicy::setShare(double maxShare, Milliseconds window)
{
    this->limits.maxShare = maxShare;
    this->limits.window = window;
    this->share.setBounds({.ratio = maxShare, .window = window, .slack = 0});
}

void HedgePolicy::onRequest(const ServiceName &service, TimePoint now)
{
    if (this->isEnabled()) {
        this->share.onRequest(service, now);
    }
}

void HedgePolicy::onAttempt(const ServiceName &service, bool refused, TimePoint now)
{
    if (!this->isEnabled()) {
        return;
    }
    Attempts &counts = this->services[service];
    const double kept = this->decay(counts, now);
    counts
        = {.attempts = counts.attempts * kept + 1, .refusals = counts.refusals * kept + (refused ? 1 : 0), .at = now};
}

void HedgePolicy::onResponse(const std::string &kind, Milliseconds time, TimePoint now)
{
    if (!this->isEnabled()) {
        return;
    }
    if (!this->kinds.contains(kind)) {
        this->makeRoom();
    }
    Times &times = this->kinds[kind];
    if (now - times.newest > this->limits.retention) {
        times = Times();
    }
    times.newest = now;
    const double position = std::log2(std::max(1.0, static_cast<double>(time.count()))) * bucketsPerDoubling;
    times.buckets.at(std::min(static_cast<std::size_t>(position), times.buckets.size() - 1)) += 1;
    ++times.total;
    if (times.total >= this->limits.maxSamples) {
        times.total /= 2;
        for (float &bucket : times.buckets) {
            bucket /= 2;
        }
    }
}

void HedgePolicy::onHedge(const ServiceName &service, TimePoint now)
{
    this->share.spend(service, now);
}

std::optional<Milliseconds> HedgePolicy::delay(const std::string &kind, Milliseconds objective, TimePoint now) const
{
    if (!this->isEnabled()) {
        return std::nullopt;
    }
    std::optional<Milliseconds> delay = this->usualTime(kind, now);
    if (!delay && objective > Milliseconds(0)) {
        delay = Milliseconds(std::llround(this->limits.defaultDelay * static_cast<double>(objective.count())));
    }
    return delay ? std::optional(std::max(this->limits.minDelay, *delay)) : std::nullopt;
}

double HedgePolicy::quantile() const
{
    return std::clamp(1 - RepeatBudget::usedRatioFraction * this->limits.maxShare, this->limits.minQuantile,
                      this->limits.maxQuantile);
}

std::optional<Milliseconds> HedgePolicy::usualTime(const std::string &kind, TimePoint now) const
{
    const auto found = this->kinds.find(kind);
    if (found == this->kinds.end()) {
        return std::nullopt;
    }
    const Times &times = found->second;
    if (times.total < this->limits.minSamples || now - times.newest > this->limits.retention) {
        return std::nullopt;
    }
    double below = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < times.buckets.size(); ++bucket) {
        below += times.buckets.at(bucket);
        if (below >= this->quantile() * times.total) {
            break;
        }
    }
    // The bucket's upper end, so that a hedge is rather late than early.
    const double upperEnd = std::exp2(static_cast<double>(bucket + 1) / bucketsPerDoubling);
    return Milliseconds(static_cast<std::int64_t>(std::ceil(upperEnd)));
}

HedgeVerdict HedgePolicy::decide(const HedgeFacts &facts, TimePoint now) const
{
    if (!this->isEnabled()) {
        return HedgeVerdict::Off;
    }
    if (!facts.mayRepeat) {
        return HedgeVerdict::NotRepeatable;
    }
    if (!this->delay(facts.kind, facts.objective, now)) {
        return HedgeVerdict::FewSamples;
    }
    if (facts.isSuspected) {
        return HedgeVerdict::SuspectedPrompt;
    }
    const auto timeLeft = static_cast<double>(facts.timeLeft.count());
    if (timeLeft < this->limits.minTimeLeft * static_cast<double>(facts.objective.count())) {
        return HedgeVerdict::LittleTime;
    }
    if (!facts.hasAttemptLeft) {
        return HedgeVerdict::NoAttempts;
    }
    const auto known = this->services.find(facts.service);
    const Attempts counts = known != this->services.end() ? known->second : Attempts();
    const double kept = this->decay(counts, now);
    const ServiceLoad shared = facts.sharedLoad.value_or(ServiceLoad());
    if (this->isShort(counts.attempts * kept, counts.refusals * kept)
        || this->isShort(shared.attempts, shared.refusals)) {
        return HedgeVerdict::ShortOfCapacity;
    }
    if (this->share.remaining(facts.service, now) < 1) {
        return HedgeVerdict::Limit;
    }
    const double needed = 1 + (facts.mayNeedLargerModel ? this->limits.cascadeReserve : 0);
    return facts.retriesLeft < needed ? HedgeVerdict::RetryBudget : HedgeVerdict::Send;
}

bool HedgePolicy::isShort(double attempts, double refusals) const
{
    return attempts >= this->limits.minAttempts && refusals > this->limits.maxRefusalRate * attempts;
}

double HedgePolicy::decay(const Attempts &counts, TimePoint now) const
{
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - counts.at).count()));
    return std::exp(-age / static_cast<double>(this->limits.loadTime.count()));
}

void HedgePolicy::makeRoom()
{
    if (this->kinds.size() < this->limits.maxKinds) {
        return;
    }
    const auto oldest = std::min_element(this->kinds.begin(), this->kinds.end(), [](const auto &a, const auto &b) {
        return a.second.newest < b.second.newest;
    });
    this->kinds.erase(oldest);
}

} // namespace parsleyvane
