#include "parsleyvane/ingress/admissioncontrol.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace parsleyvane {

namespace {

constexpr std::string_view largePromptKey = "prompt/large";
/// Of the remembered prompts. The margin over a tenth covers the variation of a small sample.
constexpr double largePromptShare = 0.15;
/// Weight of the latest attempt in the average response time.
constexpr double newestTimeWeight = 0.1;
/// An account exceeds an equal share at this many standard deviations of a count above it. Without this margin an
/// instance that sees 20 requests of 20 accounts would take every account with two of them for a heavy one.
constexpr double usageDeviations = 2;
/// Lowest and highest credit: requests that were admitted for a minimum are made up for by later ones.
constexpr double maxCredit = 2;
/// A request that returns before the time that it was told counts this often in its account's usage.
constexpr double earlyReturnWeight = 2;
constexpr int remainingDivisor = 3;
constexpr Milliseconds sharedDecay = LoadLimits().decay;
/// Growth of the shared refusals, beyond their decay, that shows a new one. An offer that is a quarter of a second late
/// is 13 % less decayed than expected, and sums are rounded to thousandths per process.
constexpr double newRefusalsFactor = 1.15;
constexpr double newRefusalsRounding = 0.1;
/// Time over which the growth is measured. Constant refusals make up for a decay of 22 % in it.
constexpr Milliseconds refusalGrowthTime{500};

template<typename Entries>
void evictLeastRecentlyUsed(Entries &entries, std::size_t max)
{
    if (entries.size() >= max) {
        entries.erase(std::min_element(entries.begin(), entries.end(),
                                       [](const auto &a, const auto &b) { return a.second.usedAt < b.second.usedAt; }));
    }
}

Milliseconds rounded(double ms)
{
    return Milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace

std::string_view admissionReasonName(AdmissionReason reason)
{
    constexpr std::array<std::string_view, 6> names = {"room", "share", "minimum", "rank", "account", "late"};
    return names.at(static_cast<std::size_t>(reason));
}

double AdmissionControl::Count::value(TimePoint now, Milliseconds timeConstant) const
{
    const double age = std::max(0.0, static_cast<double>((now - this->at).count()));
    return this->sum * std::exp(-age / static_cast<double>(timeConstant.count()));
}

void AdmissionControl::Count::add(double amount, TimePoint now, Milliseconds timeConstant)
{
    this->sum = std::max(0.0, this->value(now, timeConstant) + amount);
    this->at = now;
}

AdmissionControl::AdmissionControl(AdmissionLimits limits, std::uint64_t seed)
    : limits(limits)
    , random(seed)
{
}

AdmissionDecision AdmissionControl::onRequest(const AdmissionQuery &query, TimePoint now)
{
    Service &service = this->serviceAt(query.service, now);
    service.prompts.push_back(query.promptTokens);
    if (service.prompts.size() > this->limits.maxPrompts) {
        service.prompts.pop_front();
    }
    AdmissionDecision decision = this->decide(service, query, false, now);
    const std::string account = "account/" + query.account.str();
    const bool isEarly = this->returnsEarly(query.repeatKey, now);
    if (decision.admitted || isEarly) {
        const double weight = isEarly ? (decision.admitted ? earlyReturnWeight : earlyReturnWeight - 1) : 1;
        this->keyAt(service, account, now).admitted.add(weight, now, this->limits.usageTime);
    }
    if (decision.admitted) {
        service.admitted.add(1, now, this->limits.countTime);
        service.admittedForUsage.add(1, now, this->limits.usageTime);
    } else {
        service.rejected.add(1, now, this->limits.countTime);
        decision.retryAfter = this->retryAfter(service, query, now);
        this->rememberRejection(query.repeatKey, now + decision.retryAfter, now);
    }
    return decision;
}

AdmissionDecision AdmissionControl::onRetryWanted(const AdmissionQuery &query, TimePoint now)
{
    Service &service = this->serviceAt(query.service, now);
    AdmissionDecision decision = this->decide(service, query, true, now);
    if (!decision.admitted) {
        decision.retryAfter = this->retryAfter(service, query, now);
        this->rememberRejection(query.repeatKey, now + decision.retryAfter, now);
    }
    return decision;
}

void AdmissionControl::onRetry(const ServiceName &name, TimePoint now)
{
    this->serviceAt(name, now).admitted.add(1, now, this->limits.countTime);
}

void AdmissionControl::onAccepted(const ServiceName &name, Milliseconds time, TimePoint now)
{
    this->addAttempt(name, false, now);
    Service &service = this->serviceAt(name, now);
    service.accepted.add(1, now, this->limits.countTime);
    const double ms = std::max(0.0, static_cast<double>(time.count()));
    service.responseTime += service.responseTime == 0 ? ms : newestTimeWeight * (ms - service.responseTime);
}

void AdmissionControl::onRefused(const ServiceName &name, TimePoint now)
{
    this->addAttempt(name, true, now);
    Service &service = this->serviceAt(name, now);
    service.refusedAt = now;
    service.admitted.add(-1, now, this->limits.countTime);
}

void AdmissionControl::setServiceLoad(const ServiceName &name, const ServiceLoad &load, TimePoint now)
{
    const bool isValid = std::isfinite(load.attempts) && std::isfinite(load.refusals) && load.refusals >= 0
        && load.refusals <= load.attempts && load.age >= Milliseconds(0);
    if (!isValid) {
        return;
    }
    Service &service = this->serviceAt(name, now);
    // The sums stay above 0 for seconds after a refusal; only their growth shows when the newest one was.
    const double expected = service.sharedRefusals.value(now, sharedDecay);
    const bool hasNewRefusal = load.refusals > newRefusalsFactor * expected + newRefusalsRounding;
    if (hasNewRefusal) {
        service.sharedRefusedAt = now - load.age;
    }
    if (hasNewRefusal || now - service.sharedRefusals.at > refusalGrowthTime) {
        service.sharedRefusals = {.sum = load.refusals, .at = now};
    }
    service.shared = load;
    service.sharedAt = now;
}

bool AdmissionControl::isShort(const ServiceName &name, TimePoint now) const
{
    const auto found = this->services.find(name);
    return found != this->services.end() && this->isShort(this->observe(found->second, now), now);
}

std::size_t AdmissionControl::shortServices(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(this->services.begin(), this->services.end(), [&](const auto &entry) {
        return this->isShort(this->observe(entry.second, now), now);
    }));
}

std::size_t AdmissionControl::size() const
{
    std::size_t entries = this->services.size() + this->rejections.size();
    for (const auto &[name, service] : this->services) {
        entries += service.keys.size() + service.attempts.size() + service.prompts.size();
    }
    return entries;
}

AdmissionControl::Service &AdmissionControl::serviceAt(const ServiceName &name, TimePoint now)
{
    if (now + this->limits.window < this->latest) {
        // The clock jumped back; what was counted before says nothing about the present.
        this->services.clear();
        this->rejections.clear();
        this->latest = now;
    }
    this->latest = std::max(this->latest, now);
    if (this->services.find(name) == this->services.end()) {
        evictLeastRecentlyUsed(this->services, this->limits.maxServices);
        // Random credits, so that instances don't reject the same kinds at the same time.
        for (Urgency &urgency : this->services[name].urgencies) {
            urgency.credit = this->uniform();
        }
    }
    Service &service = this->services[name];
    service.usedAt = now;
    return service;
}

AdmissionControl::Key &AdmissionControl::keyAt(Service &service, const std::string &name, TimePoint now)
{
    auto found = service.keys.find(name);
    if (found == service.keys.end()) {
        evictLeastRecentlyUsed(service.keys, this->limits.maxKeys);
        found = service.keys.emplace(name, Key{.admitted = {}, .credit = this->uniform()}).first;
    }
    found->second.usedAt = now;
    return found->second;
}

AdmissionControl::Observation AdmissionControl::observe(const Service &service, TimePoint now) const
{
    const Milliseconds sharedAge = service.shared.age + (now - service.sharedAt);
    const bool hasShared = service.shared.attempts >= static_cast<double>(this->limits.minAttempts);
    if (hasShared && sharedAge <= this->limits.window) {
        // The shared sums include this instance's attempts.
        return {.attempts = service.shared.attempts,
                .refusals = service.shared.refusals,
                .refusedAt = std::max(service.refusedAt, service.sharedRefusedAt)};
    }
    Observation observation{.refusedAt = service.refusedAt};
    std::size_t newer = 0;
    for (auto attempt = service.attempts.rbegin(); attempt != service.attempts.rend(); ++attempt, ++newer) {
        const Milliseconds age = now - attempt->at;
        if (age > this->limits.maxAttemptAge || (age > this->limits.window && newer >= this->limits.minAttempts)) {
            break;
        }
        observation.attempts += 1;
        observation.refusals += attempt->refused ? 1 : 0;
    }
    return observation;
}

bool AdmissionControl::isShort(const Observation &observation, TimePoint now) const
{
    return observation.refusedAt && now - *observation.refusedAt <= this->limits.window
        && observation.attempts >= static_cast<double>(this->limits.minAttempts)
        && observation.refusals > this->limits.maxRefusedShare * observation.attempts;
}

std::vector<std::string> AdmissionControl::keysOf(const Service &service, const AdmissionQuery &query) const
{
    std::vector<std::string> names = {"account/" + query.account.str(), "route/" + query.route.str()};
    const auto asLong = std::count_if(service.prompts.begin(), service.prompts.end(),
                                      [&](std::int64_t tokens) { return tokens >= query.promptTokens; });
    if (static_cast<double>(asLong) <= largePromptShare * static_cast<double>(service.prompts.size())) {
        names.emplace_back(largePromptKey);
    }
    return names;
}

AdmissionDecision AdmissionControl::decide(Service &service, const AdmissionQuery &query, bool isRetry, TimePoint now)
{
    const Observation observation = this->observe(service, now);
    const bool isShortNow = this->isShort(observation, now);
    AdmissionDecision decision{.attempts = observation.attempts, .refusals = observation.refusals};
    decision.refusalAge = observation.refusedAt ? now - *observation.refusedAt : Milliseconds(0);

    const Key &account = this->keyAt(service, "account/" + query.account.str(), now);
    const bool isHeavy = this->usesMoreThanEqualShare(service, account, now);
    const bool isLate = static_cast<double>(query.remaining.count()) < service.responseTime;
    const auto rank = static_cast<std::size_t>(std::clamp(query.rank, 0, static_cast<int>(ranks) - 1));
    const std::size_t index = rank * urgenciesPerRank + (isHeavy ? 2 : 0) + (isLate ? 1 : 0);
    Urgency &urgency = service.urgencies.at(index);
    if (!isRetry) {
        urgency.offered.add(1, now, this->limits.countTime);
    }
    if (isShortNow) {
        decision.admittedShare = this->admittedShare(service, index, now);
        urgency.credit = std::min(urgency.credit + decision.admittedShare, maxCredit);
        decision.admitted = decision.admittedShare >= 1 || urgency.credit >= 1;
        decision.reason = AdmissionReason::Share;
    }
    if (isRetry) {
        // A retry is no offer of its own, so that it neither uses nor earns the minimum.
        urgency.credit -= isShortNow && decision.admitted ? 1 : 0;
    } else {
        const std::vector<std::string> names = this->keysOf(service, query);
        for (const std::string &name : names) {
            Key &key = this->keyAt(service, name, now);
            key.credit += this->limits.minAdmittedShare;
            if (!decision.admitted && key.credit >= 1) {
                decision.admitted = true;
                decision.reason = AdmissionReason::Minimum;
            }
        }
        for (const std::string &name : names) {
            Key &key = this->keyAt(service, name, now);
            key.credit = std::max(0.0, key.credit - (decision.admitted ? 1 : 0));
        }
        urgency.credit = std::max(-maxCredit, urgency.credit - (isShortNow && decision.admitted ? 1 : 0));
    }
    if (!decision.admitted) {
        const auto end = service.urgencies.begin() + static_cast<std::ptrdiff_t>(rank * urgenciesPerRank);
        const bool hasMoreUrgent = std::any_of(service.urgencies.begin(), end, [&](const Urgency &other) {
            return other.offered.value(now, this->limits.countTime) >= 1;
        });
        decision.reason = isLate ? AdmissionReason::Late
            : isHeavy            ? AdmissionReason::Account
            : hasMoreUrgent      ? AdmissionReason::Rank
                                 : AdmissionReason::Share;
    }
    return decision;
}

double AdmissionControl::admittedShare(const Service &service, std::size_t index, TimePoint now) const
{
    // Requests that were refused in the meantime are no longer among the admitted ones.
    const double accepted = service.admitted.value(now, this->limits.countTime);
    double offered = 0;
    double moreUrgent = 0;
    for (std::size_t other = 0; other < service.urgencies.size(); ++other) {
        const double count = service.urgencies.at(other).offered.value(now, this->limits.countTime);
        offered += count;
        moreUrgent += other < index ? count : 0;
    }
    const double own = service.urgencies.at(index).offered.value(now, this->limits.countTime);
    const double minimum = this->limits.minAdmittedShare;
    // Everything gets the minimum first; what is left of the capacity goes to the more urgent ones.
    const double capacity = this->limits.probeFactor * accepted + this->limits.chanceRefusals;
    const double left = capacity - minimum * offered;
    const double leftForOwn = left - (1 - minimum) * moreUrgent;
    return own > 0 ? std::clamp(minimum + leftForOwn / own, minimum, 1.0) : 1.0;
}

bool AdmissionControl::usesMoreThanEqualShare(const Service &service, const Key &account, TimePoint now) const
{
    double active = 0;
    for (const auto &[name, key] : service.keys) {
        const bool isAccount = name.starts_with("account/");
        active += isAccount && now - key.usedAt <= this->limits.usageTime ? 1 : 0;
    }
    const double equalShare = service.admittedForUsage.value(now, this->limits.usageTime) / std::max(active, 1.0);
    const double margin = usageDeviations * std::sqrt(std::max(equalShare, 1.0));
    return active > 1 && account.admitted.value(now, this->limits.usageTime) > equalShare + margin;
}

Milliseconds AdmissionControl::retryAfter(const Service &service, const AdmissionQuery &query, TimePoint now)
{
    // The rejected requests of the last seconds come back, and share the rate at which requests are accepted.
    const double acceptedPerMs
        = service.accepted.value(now, this->limits.countTime) / static_cast<double>(this->limits.countTime.count());
    const double waiting = std::max(1.0, service.rejected.value(now, this->limits.countTime));
    const auto longest = static_cast<double>(this->limits.window.count());
    const double expected = acceptedPerMs > 0 ? std::min(waiting / acceptedPerMs, longest) : longest;
    const auto least = static_cast<double>(this->limits.minRetryAfter.count());
    const double most = std::max(least, static_cast<double>(query.remaining.count()) / remainingDivisor);
    // Half of the maximum at most, so that clients with short deadlines don't return all at once either.
    const double base = std::clamp(expected, least, std::max(least, most / 2));
    return rounded(std::min(most, base * (1 + this->uniform())));
}

bool AdmissionControl::returnsEarly(std::uint64_t repeatKey, TimePoint now)
{
    const auto found = this->rejections.find(repeatKey);
    if (found == this->rejections.end()) {
        return false;
    }
    const bool isEarly = now < found->second;
    this->rejections.erase(found);
    return isEarly;
}

void AdmissionControl::rememberRejection(std::uint64_t repeatKey, TimePoint until, TimePoint now)
{
    if (repeatKey == 0) {
        return;
    }
    if (this->rejections.size() >= this->limits.maxRejections) {
        std::erase_if(this->rejections, [&](const auto &entry) { return entry.second <= now; });
    }
    if (this->rejections.size() < this->limits.maxRejections) {
        this->rejections[repeatKey] = until;
    }
}

void AdmissionControl::addAttempt(const ServiceName &name, bool refused, TimePoint now)
{
    Service &service = this->serviceAt(name, now);
    service.attempts.push_back({now, refused});
    if (service.attempts.size() > this->limits.maxAttempts) {
        service.attempts.pop_front();
    }
}

double AdmissionControl::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

} // namespace parsleyvane
