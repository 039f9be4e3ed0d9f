#include "parsleyvane/ingress/coldupstreams.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

constexpr double msPerSecond = 1000;
constexpr double hashRange = 18446744073709551616.0;
/// Longer than any upstream is cold.
constexpr Milliseconds retention{3600000};
/// Bound on the search for the next permit. A longer wait would tell the client no more than to come back later.
constexpr std::int64_t maxSlotsAhead = 40;

/// Probability that a Poisson-distributed number with the given mean is larger than the maximum.
double probabilityAbove(double maximum, double mean)
{
    // In logarithms, since exp(-mean) is 0 for a large mean.
    double logTerm = -mean;
    double atMost = std::exp(logTerm);
    for (double number = 1; number <= maximum; ++number) {
        logTerm += std::log(mean / number);
        atMost += std::exp(logTerm);
    }
    return 1 - atMost;
}

} // namespace

RequestRate permitRate(RequestRate tolerated, const ColdBounds &bounds, const ColdLimits &limits)
{
    const double allowed = std::floor(tolerated.perSecond * bounds.factor + bounds.slack);
    const double seconds = 1 + static_cast<double>(limits.slot.count()) / msPerSecond;
    double safe = 0;
    double unsafe = tolerated.perSecond;
    if (allowed < 1 || !std::isfinite(allowed)) {
        return {};
    }
    if (probabilityAbove(allowed, unsafe * seconds) <= limits.maxExcessProbability) {
        return tolerated;
    }
    constexpr int bisections = 40;
    for (int step = 0; step < bisections; ++step) {
        const double middle = (safe + unsafe) / 2;
        (probabilityAbove(allowed, middle * seconds) <= limits.maxExcessProbability ? safe : unsafe) = middle;
    }
    return {safe};
}

ColdUpstreams::ColdUpstreams(ColdLimits limits)
    : limits(limits)
{
}

void ColdUpstreams::setSelf(const InstanceId &instance)
{
    this->self = instance;
}

void ColdUpstreams::setBounds(const ColdBounds &newBounds)
{
    this->bounds = newBounds;
    this->permitRates.clear();
}

void ColdUpstreams::setInstances(std::size_t number)
{
    this->instances = number;
}

void ColdUpstreams::onRegistered(const UpstreamEntry &entry, bool isNew, TimePoint now)
{
    if (entry.coldRemaining) {
        this->onReported(entry, *entry.coldRemaining, now);
    } else if (isNew) {
        this->processes[processName(entry)].startedAt = now;
    }
}

void ColdUpstreams::onReported(const UpstreamEntry &entry, Milliseconds remaining, TimePoint now)
{
    if (remaining > Milliseconds(0)) {
        this->processes[processName(entry)].coldUntil = now + remaining;
    }
}

void ColdUpstreams::onConnectionLost(const UpstreamEntry &entry, TimePoint now)
{
    this->processes[processName(entry)].startedAt = now;
}

void ColdUpstreams::onZoneReturned(const ZoneId &zone, TimePoint now)
{
    this->returnedZones[zone] = now;
}

void ColdUpstreams::expire(TimePoint now)
{
    std::erase_if(this->processes, [&](const auto &entry) {
        const State &state = entry.second;
        return now - std::max(state.coldUntil, state.startedAt.value_or(TimePoint())) > retention;
    });
    std::erase_if(this->returnedZones, [&](const auto &entry) { return now - entry.second > retention; });
}

TimePoint ColdUpstreams::coldUntil(const UpstreamEntry &entry, const ColdStart &coldStart) const
{
    TimePoint until{};
    if (const auto found = this->processes.find(processName(entry)); found != this->processes.end()) {
        until = found->second.coldUntil;
        if (found->second.startedAt) {
            until = std::max(until, *found->second.startedAt + coldStart.duration);
        }
    }
    if (const auto zone = this->returnedZones.find(entry.zone); zone != this->returnedZones.end()) {
        until = std::max(until, zone->second + coldStart.duration);
    }
    return until;
}

double ColdUpstreams::allowed(const ColdStart &coldStart) const
{
    const double rate = coldStart.rate.perSecond;
    return rate > 0 ? rate * this->bounds.factor + this->bounds.slack : 0;
}

bool ColdUpstreams::isCold(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now) const
{
    const bool hasColdPhase = coldStart.rate.perSecond > 0;
    return hasColdPhase && (!this->processes.empty() || !this->returnedZones.empty())
        && now < this->coldUntil(entry, coldStart);
}

std::int64_t ColdUpstreams::slotAt(TimePoint now) const
{
    return now.time_since_epoch() / this->limits.slot;
}

unsigned ColdUpstreams::permitsIn(std::int64_t slot, const std::string &process, const ColdStart &coldStart) const
{
    if (this->instances == 0) {
        return 0;
    }
    const auto known = this->permitRates.find(coldStart.rate.perSecond);
    const RequestRate rate
        = known != this->permitRates.end() ? known->second : permitRate(coldStart.rate, this->bounds, this->limits);
    if (known == this->permitRates.end()) {
        this->permitRates.emplace(coldStart.rate.perSecond, rate);
    }
    const double slotSeconds = static_cast<double>(this->limits.slot.count()) / msPerSecond;
    const double expected = rate.perSecond * slotSeconds / static_cast<double>(this->instances);
    const double sample
        = static_cast<double>(rendezvousWeight(process, this->self.str(), static_cast<std::uint64_t>(slot)))
        / hashRange;
    const double whole = std::floor(expected);
    return static_cast<unsigned>(whole) + (sample < expected - whole ? 1 : 0);
}

unsigned ColdUpstreams::usedIn(std::int64_t slot, const std::string &process) const
{
    const auto found = this->processes.find(process);
    return found != this->processes.end() && found->second.usedSlot == slot ? found->second.used : 0;
}

bool ColdUpstreams::permits(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now) const
{
    if (!this->isCold(entry, coldStart, now)) {
        return true;
    }
    const std::string process = processName(entry);
    const std::int64_t slot = this->slotAt(now);
    return this->usedIn(slot, process) < this->permitsIn(slot, process, coldStart);
}

bool ColdUpstreams::take(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now)
{
    if (!this->isCold(entry, coldStart, now)) {
        return true;
    }
    if (!this->permits(entry, coldStart, now)) {
        return false;
    }
    State &state = this->processes[processName(entry)];
    const std::int64_t slot = this->slotAt(now);
    state.used = state.usedSlot == slot ? state.used + 1 : 1;
    state.usedSlot = slot;
    return true;
}

bool ColdUpstreams::renew(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint takenAt, TimePoint now)
{
    return this->slotAt(takenAt) == this->slotAt(now) || this->take(entry, coldStart, now);
}

void ColdUpstreams::giveBack(const UpstreamEntry &entry, TimePoint now)
{
    const auto found = this->processes.find(processName(entry));
    if (found != this->processes.end() && found->second.usedSlot == this->slotAt(now) && found->second.used > 0) {
        --found->second.used;
    }
}

Milliseconds ColdUpstreams::untilPermitted(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now) const
{
    if (this->permits(entry, coldStart, now)) {
        return Milliseconds(0);
    }
    const Milliseconds untilWarm = this->coldUntil(entry, coldStart) - now;
    const std::string process = processName(entry);
    const std::int64_t current = this->slotAt(now);
    for (std::int64_t slot = current + 1; slot <= current + maxSlotsAhead; ++slot) {
        const Milliseconds until = slot * this->limits.slot - now.time_since_epoch();
        if (until >= untilWarm) {
            break;
        }
        if (this->permitsIn(slot, process, coldStart) > 0) {
            return until;
        }
    }
    return std::min(untilWarm, maxSlotsAhead * this->limits.slot);
}

} // namespace parsleyvane
