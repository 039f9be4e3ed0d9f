#include "parsleyvane/ingress/upstreamlist.h"

#include <algorithm>
#include <set>

namespace parsleyvane {

bool operator==(const UpstreamEntry &a, const UpstreamEntry &b)
{
    const auto fields = [](const UpstreamEntry &entry) {
        return std::tie(entry.id, entry.service, entry.address, entry.zone, entry.version, entry.slots, entry.draining,
                        entry.startedAtMs);
    };
    return fields(a) == fields(b);
}

bool isSameProcess(const UpstreamEntry &a, const UpstreamEntry &b)
{
    return a.id == b.id && a.startedAtMs == b.startedAtMs && a.address == b.address;
}

std::string processName(const UpstreamEntry &entry)
{
    return entry.id.str() + "@" + std::to_string(entry.startedAtMs);
}

UpstreamList::UpstreamList(UpstreamListLimits limits)
    : limits(limits)
{
}

std::string UpstreamList::update(const UpstreamEntry &written)
{
    UpstreamEntry entry = written;
    this->departed.erase(processOf(entry));
    if (const RegisteredUpstream *known = this->findProcess(entry)) {
        entry.draining = entry.draining || known->entry.draining;
    }
    const auto [found, isNew] = this->upstreams.try_emplace(entry.id);
    RegisteredUpstream &upstream = found->second;
    upstream.missingSince.reset();
    upstream.isLackedByCopy = false;
    if (!isNew && upstream.entry == entry) {
        return {};
    }
    const bool restarted = !isNew && upstream.entry.startedAtMs != entry.startedAtMs;
    const bool moved = !isNew && upstream.entry.address != entry.address;
    if (restarted || moved) {
        upstream.reportedDraining = false;
        upstream.avoidUntil = TimePoint();
        upstream.backoff = Milliseconds(0);
        upstream.failureRate = 0;
        upstream.notBefore = TimePoint();
    }
    if (entry.draining != upstream.entry.draining && !entry.draining) {
        upstream.reportedDraining = false;
    }
    upstream.entry = entry;
    upstream.running = this->attemptsAt(entry);
    if (isNew || restarted) {
        return entry.draining ? "draining" : "ready";
    }
    return entry.draining ? "draining" : "changed";
}

std::string UpstreamList::remove(const UpstreamId &id, TimePoint now)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end() || found->second.missingSince) {
        return {};
    }
    const bool mayReturn = this->storeUnreachable || now - this->storeReachableSince < this->limits.lapseGracePeriod;
    if (mayReturn && !found->second.entry.draining) {
        found->second.missingSince = now;
        return "lapsed";
    }
    this->erase(id, now);
    return "removed";
}

std::vector<std::string> UpstreamList::replace(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    std::vector<std::string> changes;
    std::set<UpstreamId> listed;
    for (const UpstreamEntry &entry : entries) {
        listed.insert(entry.id);
        if (const std::string change = this->update(entry); !change.empty()) {
            changes.push_back(entry.id.str() + " " + change);
        }
    }
    std::vector<UpstreamId> unlisted;
    for (const auto &[id, upstream] : this->upstreams) {
        if (!listed.contains(id)) {
            unlisted.push_back(id);
        }
    }
    for (const UpstreamId &id : unlisted) {
        if (const std::string change = this->remove(id, now); !change.empty()) {
            changes.push_back(id.str() + " " + change);
        }
    }
    return changes;
}

std::vector<std::string> UpstreamList::replaceRestored(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    this->storeUnreachable = false;
    this->storeReachableSince = now;
    std::vector<UpstreamEntry> listed;
    for (const UpstreamEntry &entry : entries) {
        if (!this->departed.contains(processOf(entry))) {
            listed.push_back(entry);
        }
    }
    std::vector<std::string> changes = this->replace(listed, now);
    for (auto &[id, upstream] : this->upstreams) {
        upstream.isLackedByCopy = upstream.missingSince.has_value();
    }
    return changes;
}

void UpstreamList::erase(const UpstreamId &id, TimePoint now)
{
    const auto found = this->upstreams.find(id);
    this->departed[processOf(found->second.entry)] = now;
    this->upstreams.erase(found);
}

void UpstreamList::onStoreUnreachable()
{
    this->storeUnreachable = true;
}

void UpstreamList::onStoreReachable(TimePoint now)
{
    if (this->storeUnreachable) {
        this->storeUnreachable = false;
        this->storeReachableSince = now;
    }
}

std::vector<UpstreamId> UpstreamList::expire(TimePoint now)
{
    std::vector<UpstreamId> expired;
    if (this->storeUnreachable || now - this->storeReachableSince < this->limits.lapseGracePeriod) {
        return expired;
    }
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.missingSince) {
            expired.push_back(id);
        }
    }
    for (const UpstreamId &id : expired) {
        this->erase(id, now);
    }
    std::erase_if(this->departed, [&](const auto &entry) { return now - entry.second > this->limits.departedMemory; });
    return expired;
}

UpstreamList::Process UpstreamList::processOf(const UpstreamEntry &entry)
{
    return {entry.id, entry.startedAtMs, entry.address};
}

RegisteredUpstream *UpstreamList::findProcess(const UpstreamEntry &target)
{
    const auto found = this->upstreams.find(target.id);
    const bool isRegistered = found != this->upstreams.end() && isSameProcess(found->second.entry, target);
    return isRegistered ? &found->second : nullptr;
}

unsigned UpstreamList::attemptsAt(const UpstreamEntry &target) const
{
    const auto found = this->attempts.find(processOf(target));
    return found != this->attempts.end() ? found->second : 0;
}

void UpstreamList::begin(const UpstreamEntry &target)
{
    const unsigned running = ++this->attempts[processOf(target)];
    if (RegisteredUpstream *upstream = this->findProcess(target)) {
        upstream->running = running;
    }
}

void UpstreamList::end(const UpstreamEntry &target)
{
    const auto found = this->attempts.find(processOf(target));
    if (found == this->attempts.end()) {
        return;
    }
    const unsigned running = --found->second;
    if (running == 0) {
        this->attempts.erase(found);
    }
    if (RegisteredUpstream *upstream = this->findProcess(target)) {
        upstream->running = running;
    }
}

void UpstreamList::recordOutcome(const UpstreamEntry &target, UpstreamOutcome verdict, TimePoint now)
{
    RegisteredUpstream *registered = this->findProcess(target);
    if (registered == nullptr) {
        return;
    }
    RegisteredUpstream &upstream = *registered;
    const bool failed
        = verdict == UpstreamOutcome::Failed || verdict == UpstreamOutcome::Lost || verdict == UpstreamOutcome::Silent;
    upstream.failureRate += this->limits.failureWeight * ((failed ? 1.0 : 0.0) - upstream.failureRate);
    switch (verdict) {
    case UpstreamOutcome::Answered:
        upstream.backoff = Milliseconds(0);
        upstream.avoidUntil = TimePoint();
        break;
    case UpstreamOutcome::Refused:
        upstream.avoidUntil = std::max(upstream.avoidUntil, now + this->limits.refusedBackoff);
        break;
    case UpstreamOutcome::ReportedDraining:
        upstream.reportedDraining = true;
        break;
    case UpstreamOutcome::Failed:
        break;
    case UpstreamOutcome::Unreachable:
    case UpstreamOutcome::Lost:
    case UpstreamOutcome::Silent:
        // Concurrent attempts that fail together count as one failure: the backoff doubles once.
        if (upstream.avoidUntil <= now) {
            upstream.backoff = std::clamp(upstream.backoff * 2, this->limits.initialBackoff, this->limits.maxBackoff);
            upstream.avoidUntil = now + upstream.backoff;
        }
        break;
    }
}

bool UpstreamList::postpone(const UpstreamEntry &target, TimePoint until)
{
    RegisteredUpstream *upstream = this->findProcess(target);
    if (upstream == nullptr || until <= upstream->notBefore) {
        return false;
    }
    upstream->notBefore = until;
    return true;
}

std::optional<TimePoint> UpstreamList::earliestWanted(const ServiceName &service, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    bool isWanted = false;
    this->forEachUsable(service, [&](const RegisteredUpstream &upstream) {
        isWanted = isWanted || upstream.notBefore <= now;
        earliest = std::min(earliest.value_or(upstream.notBefore), upstream.notBefore);
    });
    return isWanted ? std::nullopt : earliest;
}

const RegisteredUpstream *UpstreamList::find(const UpstreamId &id) const
{
    const auto found = this->upstreams.find(id);
    return found != this->upstreams.end() ? &found->second : nullptr;
}

void UpstreamList::forEachUsable(const ServiceName &service,
                                 const std::function<void(const RegisteredUpstream &)> &visit) const
{
    const bool usesLapsed = this->hasMostlyLapsed(service);
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.entry.service != service || upstream.entry.draining || upstream.reportedDraining) {
            continue;
        }
        if (upstream.missingSince && !upstream.isLackedByCopy && !usesLapsed) {
            continue;
        }
        visit(upstream);
    }
}

bool UpstreamList::hasMostlyLapsed(const ServiceName &service) const
{
    std::size_t listed = 0;
    std::size_t lapsed = 0;
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream.entry.service != service || upstream.entry.draining) {
            continue;
        }
        ++(upstream.missingSince ? lapsed : listed);
    }
    return lapsed > listed;
}

} // namespace parsleyvane
