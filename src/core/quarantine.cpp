#include "parsleyvane/quarantine/quarantine.h"

#include "parsleyvane/core/digest.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Returns whether `known` had cleared crashes that `reported` has not.
bool mergeInto(CrashTimes &known, const CrashTimes &reported)
{
    const bool clearedMore = known.clearedUpTo > reported.clearedUpTo;
    known.open.insert(reported.open.begin(), reported.open.end());
    known.clearedUpTo = std::max(known.clearedUpTo, reported.clearedUpTo);
    std::erase_if(known.open, [&](TimePoint crash) { return crash <= known.clearedUpTo; });
    return clearedMore;
}

Failure refusal(std::string detail, std::optional<Milliseconds> retryAfter)
{
    return {.id = ErrorId::Quarantined,
            .step = Step::Admit,
            .runState = RunState::NotRun,
            .detail = std::move(detail),
            .retryAfter = retryAfter};
}

} // namespace

Fingerprint fingerprint(const AccountId &account, std::string_view content)
{
    // The account's hash has a fixed length, so that different pairs of account and content cannot collide.
    return Fingerprint(sha256Hex(sha256Hex(account.str()).append(content)));
}

Quarantine::Quarantine(InstanceId self, QuarantineLimits limits)
    : self(std::move(self))
    , limits(limits)
{
}

void Quarantine::onDispatch(const Fingerprint &print, const UpstreamId &upstream, const AttemptId &attempt,
                            TimePoint now)
{
    const Suspect *suspect = this->findUnexpired(print, now);
    const bool isolated = suspect != nullptr && openCrashes(*suspect) > 0;
    if (!this->attempts.emplace(attempt, InFlightAttempt{print, upstream, isolated}).second) {
        return;
    }
    UpstreamUse &use = this->uses[upstream];
    ++use.inFlight;
    use.isolated += isolated ? 1 : 0;
}

void Quarantine::onFinished(const AttemptId &attempt, TimePoint now)
{
    const auto entry = this->attempts.find(attempt);
    if (entry == this->attempts.end()) {
        return;
    }
    const Fingerprint print = entry->second.print;
    this->removeAttempt(entry);
    this->recordCompletion(print, now);
    const auto suspect = this->suspects.find(print);
    if (suspect != this->suspects.end()) {
        clear(suspect->second, now);
    }
}

void Quarantine::onEnded(const AttemptId &attempt)
{
    const auto entry = this->attempts.find(attempt);
    if (entry != this->attempts.end()) {
        this->removeAttempt(entry);
    }
}

std::vector<Fingerprint> Quarantine::onUpstreamCrash(const UpstreamId &upstream, TimePoint now)
{
    std::set<Fingerprint> prints;
    for (const auto &[id, attempt] : this->attempts) {
        if (attempt.upstream == upstream
            && !this->completedSince(attempt.print, now - this->limits.completionRetention)) {
            prints.insert(attempt.print);
        }
    }
    std::erase_if(this->attempts, [&](const auto &entry) { return entry.second.upstream == upstream; });
    this->uses.erase(upstream);
    for (const Fingerprint &print : prints) {
        Suspect &suspect = this->suspects[print];
        suspect.sites[{upstream, this->self}].open.insert(now);
        suspect.lastCrash = now;
        updateClearedAt(suspect, now);
    }
    this->evictExcess();
    return {prints.begin(), prints.end()};
}

bool Quarantine::merge(const std::vector<SuspectReport> &reports, TimePoint now)
{
    bool clearedMore = false;
    for (const SuspectReport &report : reports) {
        if (report.sinceLastCrash >= this->limits.evidenceLifetime) {
            continue;
        }
        Suspect &suspect = this->suspects[report.fingerprint];
        suspect.lastCrash = std::max(suspect.lastCrash, now - report.sinceLastCrash);
        for (const auto &[site, reported] : report.sites) {
            clearedMore |= mergeInto(suspect.sites[site], reported);
        }
        if (this->completedSince(report.fingerprint, suspect.lastCrash - this->limits.completionRetention)) {
            clearedMore |= openCrashes(suspect) > 0;
            clear(suspect, now);
        }
        updateClearedAt(suspect, now);
    }
    this->evictExcess();
    return clearedMore;
}

void Quarantine::expire(TimePoint now)
{
    std::erase_if(this->suspects, [&](const auto &entry) { return this->isExpired(entry.second, now); });
}

RunDecision Quarantine::decideRun(const Fingerprint &print, TimePoint now) const
{
    const Suspect *suspect = this->findUnexpired(print, now);
    if (suspect == nullptr) {
        return RunUnrestricted{};
    }
    const std::size_t crashes = openCrashes(*suspect);
    if (crashes == 0) {
        return RunUnrestricted{};
    }
    if (crashes >= this->limits.crashesToQuarantine) {
        return RefuseRun{refusal("this request has crashed upstreams", std::nullopt)};
    }
    if (isolatedRunOwner(*suspect) != this->self || this->isRunningInIsolation(print)) {
        return RefuseRun{refusal("this request is suspected of crashing an upstream; its run in isolation is pending",
                                 this->limits.suspectRetryAfter)};
    }
    return RunInIsolation{suspect->lastCrash + this->limits.propagationTime};
}

std::optional<TimePoint> Quarantine::failureWithheldUntil(const Fingerprint &print, TimePoint now) const
{
    const Suspect *suspect = this->findUnexpired(print, now);
    if (suspect == nullptr || openCrashes(*suspect) == 0) {
        return std::nullopt;
    }
    const TimePoint known = suspect->lastCrash + this->limits.propagationTime;
    return known > now ? std::optional(known) : std::nullopt;
}

bool Quarantine::isReserved(const UpstreamId &upstream) const
{
    const auto use = this->uses.find(upstream);
    return use != this->uses.end() && use->second.isolated > 0;
}

bool Quarantine::isBusy(const UpstreamId &upstream) const
{
    return this->uses.contains(upstream);
}

std::vector<SuspectReport> Quarantine::report(TimePoint now) const
{
    std::vector<SuspectReport> reports;
    for (const auto &[print, suspect] : this->suspects) {
        if (this->isExpired(suspect, now)) {
            continue;
        }
        reports.push_back({print, suspect.sites, now - suspect.lastCrash});
    }
    return reports;
}

std::set<Fingerprint> Quarantine::quarantined(TimePoint now) const
{
    std::set<Fingerprint> prints;
    for (const auto &[print, suspect] : this->suspects) {
        if (now - suspect.lastCrash < this->limits.evidenceLifetime
            && openCrashes(suspect) >= this->limits.crashesToQuarantine) {
            prints.insert(print);
        }
    }
    return prints;
}

std::size_t Quarantine::size() const noexcept
{
    return this->suspects.size();
}

/// Several witnesses of one upstream report the same crashes, so the largest number from one witness counts.
std::size_t Quarantine::openCrashes(const Suspect &suspect)
{
    std::map<UpstreamId, std::size_t> byUpstream;
    for (const auto &[site, times] : suspect.sites) {
        std::size_t &maxCrashes = byUpstream[site.upstream];
        maxCrashes = std::max(maxCrashes, times.open.size());
    }
    std::size_t sum = 0;
    for (const auto &[upstream, crashes] : byUpstream) {
        sum += crashes;
    }
    return sum;
}

void Quarantine::clear(Suspect &suspect, TimePoint now)
{
    for (auto &[site, times] : suspect.sites) {
        if (times.open.empty()) {
            continue;
        }
        times.clearedUpTo = std::max(times.clearedUpTo, *times.open.rbegin());
        times.open.clear();
    }
    updateClearedAt(suspect, now);
}

void Quarantine::recordCompletion(const Fingerprint &print, TimePoint now)
{
    this->completedAt[print] = now;
    this->completions.push_back({now, print});
    const TimePoint oldest = now - this->limits.completionRetention - this->limits.propagationTime;
    while (this->completions.size() > this->limits.maxCompletions || this->completions.front().at < oldest) {
        const Completion &first = this->completions.front();
        const auto latest = this->completedAt.find(first.print);
        if (latest != this->completedAt.end() && latest->second == first.at) {
            this->completedAt.erase(latest);
        }
        this->completions.pop_front();
    }
}

bool Quarantine::completedSince(const Fingerprint &print, TimePoint since) const
{
    const auto found = this->completedAt.find(print);
    return found != this->completedAt.end() && found->second >= since;
}

void Quarantine::updateClearedAt(Suspect &suspect, TimePoint now)
{
    if (openCrashes(suspect) > 0) {
        suspect.clearedAt.reset();
        return;
    }
    suspect.clearedAt = suspect.clearedAt.value_or(now);
}

bool Quarantine::isExpired(const Suspect &suspect, TimePoint now) const
{
    const bool clearedLongAgo = suspect.clearedAt && now - *suspect.clearedAt >= this->limits.clearedLifetime;
    return clearedLongAgo || now - suspect.lastCrash >= this->limits.evidenceLifetime;
}

/// The one instance that may run the suspect: the witness of an open crash whose name sorts first.
std::optional<InstanceId> Quarantine::isolatedRunOwner(const Suspect &suspect)
{
    std::optional<InstanceId> owner;
    for (const auto &[site, times] : suspect.sites) {
        if (!times.open.empty() && (!owner || site.witness < *owner)) {
            owner = site.witness;
        }
    }
    return owner;
}

const Quarantine::Suspect *Quarantine::findUnexpired(const Fingerprint &print, TimePoint now) const
{
    const auto found = this->suspects.find(print);
    if (found == this->suspects.end() || this->isExpired(found->second, now)) {
        return nullptr;
    }
    return &found->second;
}

void Quarantine::removeAttempt(std::map<AttemptId, InFlightAttempt>::iterator entry)
{
    const auto use = this->uses.find(entry->second.upstream);
    use->second.isolated -= entry->second.isolated ? 1 : 0;
    if (--use->second.inFlight == 0) {
        this->uses.erase(use);
    }
    this->attempts.erase(entry);
}

bool Quarantine::isRunningInIsolation(const Fingerprint &print) const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [&](const auto &entry) { return entry.second.isolated && entry.second.print == print; });
}

/// Drops suspects above the capacity: those with the fewest open crashes first, and of these the oldest.
void Quarantine::evictExcess()
{
    while (this->suspects.size() > this->limits.capacity) {
        const auto firstToEvict
            = std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto &a, const auto &b) {
                  const std::size_t crashesOfA = openCrashes(a.second);
                  const std::size_t crashesOfB = openCrashes(b.second);
                  return crashesOfA != crashesOfB ? crashesOfA < crashesOfB : a.second.lastCrash < b.second.lastCrash;
              });
        this->suspects.erase(firstToEvict);
    }
}

} // namespace parsleyvane
