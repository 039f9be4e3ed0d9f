#include "parsleyvane/quarantine/quarantine.h"

#include "parsleyvane/core/digest.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Returns whether `known` excused a crash that `told` does not.
bool mergeInto(CrashTimes &known, const CrashTimes &told)
{
    const bool better = known.clearedUpTo > told.clearedUpTo;
    known.open.insert(told.open.begin(), told.open.end());
    known.clearedUpTo = std::max(known.clearedUpTo, told.clearedUpTo);
    std::erase_if(known.open, [&](TimePoint crash) { return crash <= known.clearedUpTo; });
    return better;
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
    // The account's hash has a fixed length, so that no account and content run into each other.
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
    const Suspect *suspect = this->findLive(print, now);
    const bool alone = suspect != nullptr && openCrashes(*suspect) > 0;
    if (!this->flights.emplace(attempt, Flight{print, upstream, alone}).second) {
        return;
    }
    UpstreamUse &use = this->uses[upstream];
    ++use.inFlight;
    use.alone += alone ? 1 : 0;
}

void Quarantine::onFinished(const AttemptId &attempt, TimePoint now)
{
    const auto flight = this->flights.find(attempt);
    if (flight == this->flights.end()) {
        return;
    }
    const Fingerprint print = flight->second.print;
    this->land(flight);
    this->rememberFinish(print, now);
    const auto suspect = this->suspects.find(print);
    if (suspect != this->suspects.end()) {
        clear(suspect->second, now);
    }
}

void Quarantine::onEnded(const AttemptId &attempt)
{
    const auto flight = this->flights.find(attempt);
    if (flight != this->flights.end()) {
        this->land(flight);
    }
}

std::vector<Fingerprint> Quarantine::onUpstreamCrash(const UpstreamId &upstream, TimePoint now)
{
    std::set<Fingerprint> prints;
    for (const auto &[attempt, flight] : this->flights) {
        if (flight.upstream == upstream && !this->finishedSince(flight.print, now - this->limits.finishMemory)) {
            prints.insert(flight.print);
        }
    }
    std::erase_if(this->flights, [&](const auto &entry) { return entry.second.upstream == upstream; });
    this->uses.erase(upstream);
    for (const Fingerprint &print : prints) {
        Suspect &suspect = this->suspects[print];
        suspect.sites[{upstream, this->self}].open.insert(now);
        suspect.lastCrash = now;
        noteCleared(suspect, now);
    }
    this->makeRoom();
    return {prints.begin(), prints.end()};
}

bool Quarantine::merge(const std::vector<SuspectReport> &reports, TimePoint now)
{
    bool better = false;
    for (const SuspectReport &report : reports) {
        if (report.sinceLastCrash >= this->limits.life) {
            continue;
        }
        Suspect &suspect = this->suspects[report.fingerprint];
        suspect.lastCrash = std::max(suspect.lastCrash, now - report.sinceLastCrash);
        for (const auto &[site, told] : report.sites) {
            better |= mergeInto(suspect.sites[site], told);
        }
        if (this->finishedSince(report.fingerprint, suspect.lastCrash - this->limits.finishMemory)) {
            better |= openCrashes(suspect) > 0;
            clear(suspect, now);
        }
        noteCleared(suspect, now);
    }
    this->makeRoom();
    return better;
}

void Quarantine::expire(TimePoint now)
{
    std::erase_if(this->suspects, [&](const auto &entry) { return this->isOver(entry.second, now); });
}

RunDecision Quarantine::decideRun(const Fingerprint &print, TimePoint now) const
{
    const Suspect *suspect = this->findLive(print, now);
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
    if (trialHolder(*suspect) != this->self || this->fliesAlone(print)) {
        return RefuseRun{refusal("a crash with this request is being looked into", this->limits.askAgain)};
    }
    return RunInIsolation{suspect->lastCrash + this->limits.propagationTime};
}

std::optional<TimePoint> Quarantine::failureWithheldUntil(const Fingerprint &print, TimePoint now) const
{
    const Suspect *suspect = this->findLive(print, now);
    if (suspect == nullptr || openCrashes(*suspect) == 0) {
        return std::nullopt;
    }
    const TimePoint known = suspect->lastCrash + this->limits.propagationTime;
    return known > now ? std::optional(known) : std::nullopt;
}

bool Quarantine::isReserved(const UpstreamId &upstream) const
{
    const auto use = this->uses.find(upstream);
    return use != this->uses.end() && use->second.alone > 0;
}

bool Quarantine::isBusy(const UpstreamId &upstream) const
{
    return this->uses.contains(upstream);
}

std::vector<SuspectReport> Quarantine::report(TimePoint now) const
{
    std::vector<SuspectReport> reports;
    for (const auto &[print, suspect] : this->suspects) {
        if (this->isOver(suspect, now)) {
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
        if (now - suspect.lastCrash < this->limits.life && openCrashes(suspect) >= this->limits.crashesToQuarantine) {
            prints.insert(print);
        }
    }
    return prints;
}

std::size_t Quarantine::size() const noexcept
{
    return this->suspects.size();
}

/// Several witnesses of one upstream saw the same crashes, so that the most that one saw is their number.
std::size_t Quarantine::openCrashes(const Suspect &suspect)
{
    std::map<UpstreamId, std::size_t> byUpstream;
    for (const auto &[site, times] : suspect.sites) {
        std::size_t &most = byUpstream[site.upstream];
        most = std::max(most, times.open.size());
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
    noteCleared(suspect, now);
}

void Quarantine::rememberFinish(const Fingerprint &print, TimePoint now)
{
    this->finished[print] = now;
    this->finishes.push_back({now, print});
    const TimePoint oldest = now - this->limits.finishMemory - this->limits.propagationTime;
    while (this->finishes.size() > this->limits.finishCapacity || this->finishes.front().at < oldest) {
        const Finish &first = this->finishes.front();
        const auto latest = this->finished.find(first.print);
        if (latest != this->finished.end() && latest->second == first.at) {
            this->finished.erase(latest);
        }
        this->finishes.pop_front();
    }
}

bool Quarantine::finishedSince(const Fingerprint &print, TimePoint since) const
{
    const auto found = this->finished.find(print);
    return found != this->finished.end() && found->second >= since;
}

void Quarantine::noteCleared(Suspect &suspect, TimePoint now)
{
    if (openCrashes(suspect) > 0) {
        suspect.clearedAt.reset();
        return;
    }
    suspect.clearedAt = suspect.clearedAt.value_or(now);
}

bool Quarantine::isOver(const Suspect &suspect, TimePoint now) const
{
    const bool forgotten = suspect.clearedAt && now - *suspect.clearedAt >= this->limits.clearedLife;
    return forgotten || now - suspect.lastCrash >= this->limits.life;
}

/// The one instance that may run the suspect: the first of its witnesses by name.
std::optional<InstanceId> Quarantine::trialHolder(const Suspect &suspect)
{
    std::optional<InstanceId> holder;
    for (const auto &[site, times] : suspect.sites) {
        if (!times.open.empty() && (!holder || site.witness < *holder)) {
            holder = site.witness;
        }
    }
    return holder;
}

const Quarantine::Suspect *Quarantine::findLive(const Fingerprint &print, TimePoint now) const
{
    const auto found = this->suspects.find(print);
    if (found == this->suspects.end() || this->isOver(found->second, now)) {
        return nullptr;
    }
    return &found->second;
}

void Quarantine::land(std::map<AttemptId, Flight>::iterator flight)
{
    const auto use = this->uses.find(flight->second.upstream);
    use->second.alone -= flight->second.alone ? 1 : 0;
    if (--use->second.inFlight == 0) {
        this->uses.erase(use);
    }
    this->flights.erase(flight);
}

bool Quarantine::fliesAlone(const Fingerprint &print) const
{
    return std::any_of(this->flights.begin(), this->flights.end(),
                       [&](const auto &entry) { return entry.second.alone && entry.second.print == print; });
}

/// Drops those with the fewest open crashes first, and of these the oldest.
void Quarantine::makeRoom()
{
    while (this->suspects.size() > this->limits.capacity) {
        const auto least
            = std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto &a, const auto &b) {
                  const std::size_t crashesOfA = openCrashes(a.second);
                  const std::size_t crashesOfB = openCrashes(b.second);
                  return crashesOfA != crashesOfB ? crashesOfA < crashesOfB : a.second.lastCrash < b.second.lastCrash;
              });
        this->suspects.erase(least);
    }
}

} // namespace parsleyvane
