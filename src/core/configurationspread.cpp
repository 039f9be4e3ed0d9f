#include "parsleyvane/spread/configurationspread.h"

#include <algorithm>

namespace parsleyvane {

struct ConfigurationSpread::Visitor
{
    ConfigurationSpread &spread;
    TimePoint now;
    SpreadActions &actions;

    void operator()(const SpreadTick &event) const
    {
        this->spread.onTick(event, this->now, this->actions);
    }
    void operator()(const StoreAnswered &event) const
    {
        this->spread.onStoreAnswered(event, this->now, this->actions);
    }
    void operator()(const StoreFailed &event) const
    {
        this->spread.onStoreFailed(event, this->actions);
    }
    void operator()(const PeerReplied &event) const
    {
        this->spread.onPeerReplied(event, this->now);
    }
    void operator()(const PeerCallReceived &event) const
    {
        this->spread.onPeerCallReceived(event.digest, this->now);
    }
    void operator()(const DocumentFetched &event) const
    {
        this->spread.onFetched(event, this->now, this->actions);
    }
    void operator()(const FetchFailed &event) const
    {
        this->spread.fetchingSince.reset();
        this->spread.fetchNotBefore = this->now + this->spread.limits.fetchRetryDelay;
        this->spread.failedFetches[event.peer] = this->now;
    }
};

ConfigurationSpread::ConfigurationSpread(TimePoint startedAt, SpreadLimits limits)
    : limits(limits)
    , startedAt(startedAt)
{
}

SpreadActions ConfigurationSpread::handle(const SpreadEvent &event, TimePoint now)
{
    SpreadActions actions;
    std::visit(Visitor{*this, now, actions}, event);
    this->confirmFromPeers();
    this->confirmFromMajority(now);
    this->fetchIfBehind(now, actions);
    return actions;
}

void ConfigurationSpread::onTick(const SpreadTick &tick, TimePoint now, SpreadActions &actions)
{
    this->electorate = tick.electorate;
    const auto timedOut = [&](TimePoint requestedAt) {
        return now - requestedAt > this->limits.readTimeout;
    };
    if (std::erase_if(this->inFlightReads, timedOut) > 0) {
        ++this->failedReads;
    }
    std::erase_if(this->peerReports, [&](const auto &row) { return now - row.second.at > this->limits.replyMaxAge; });
    if (this->isStoreReachable && now - *this->answeredAt > this->limits.storeAnswerMaxAge) {
        // Announced only with a read in flight: otherwise the store was merely not read recently.
        this->isStoreReachable = false;
        this->announceIf(!this->inFlightReads.empty(), actions);
    }
    this->readIfDue(tick.reader, now, actions);
}

void ConfigurationSpread::onStoreAnswered(const StoreAnswered &answer, TimePoint now, SpreadActions &actions)
{
    std::erase(this->inFlightReads, answer.requestedAt);
    this->announceIf(!this->isStoreReachable && this->failedReads > 0, actions);
    this->failedReads = 0;
    this->answeredAt = now;
    this->isStoreReachable = true;
    if (answer.revision == Revision()) {
        return;
    }
    if (answer.current) {
        // No higher revision was committed when the read was sent: a higher one reported before that was wrong.
        const bool reportIsOlder = this->highestReportedAt < answer.requestedAt;
        const Revision lowerBound = reportIsOlder ? this->inForce : this->highestReportedRevision;
        this->highestReportedRevision = std::max(lowerBound, answer.revision);
    }
    const bool starting = this->inForce == Revision();
    const bool inGracePeriod = starting && !answer.current && now - this->startedAt < this->limits.startupGracePeriod;
    const bool isOutdated = starting && answer.revision < this->highestReportedRevision;
    if (inGracePeriod || isOutdated) {
        return;
    }
    if (answer.revision > this->inForce) {
        this->activateRevision(answer.revision, answer.changeId, actions);
    }
    if (this->inForce != Revision() && this->inForce >= this->highestReportedRevision) {
        this->newestConfirmations.storeConfirmedAt
            = std::max(this->newestConfirmations.storeConfirmedAt, answer.requestedAt);
        this->everConfirmed = true;
    }
}

void ConfigurationSpread::onStoreFailed(const StoreFailed &failure, SpreadActions &actions)
{
    std::erase(this->inFlightReads, failure.requestedAt);
    ++this->failedReads;
    const bool answeredSince = this->answeredAt && *this->answeredAt > failure.requestedAt;
    if (!answeredSince) {
        this->announceIf(this->isStoreReachable, actions);
        this->isStoreReachable = false;
    }
}

void ConfigurationSpread::onPeerReplied(const PeerReplied &reply, TimePoint now)
{
    const Digest &digest = reply.digest;
    PeerReport &report = this->peerReports[digest.instance];
    if (report.at > reply.requestedAt) {
        return;
    }
    report = {.at = reply.requestedAt, .revision = digest.revision, .isStoreReachable = digest.isStoreReachable};
    if (digest.confirmedAge) {
        // The peer made the digest after the call was sent, so this is never later than the actual confirmation.
        report.confirmedAt = reply.requestedAt - *digest.confirmedAge;
    }
    this->onPeerCallReceived(digest, now);
}

void ConfigurationSpread::onPeerCallReceived(const Digest &digest, TimePoint now)
{
    this->reportedRevisions[digest.instance] = digest.revision;
    if (digest.revision >= this->highestReportedRevision) {
        this->highestReportedRevision = digest.revision;
        this->highestReportedAt = now;
    }
}

void ConfigurationSpread::onFetched(const DocumentFetched &document, TimePoint now, SpreadActions &actions)
{
    this->fetchingSince.reset();
    this->fetchNotBefore = now;
    if (document.revision > this->inForce) {
        this->activateRevision(document.revision, document.changeId, actions);
    }
}

void ConfigurationSpread::activateRevision(Revision revision, const std::string &changeId, SpreadActions &actions)
{
    this->inForce = revision;
    this->inForceChangeId = changeId;
    this->highestReportedRevision = std::max(this->highestReportedRevision, revision);
    actions.emplace_back(PutInForce{revision});
    actions.emplace_back(Announce{});
}

void ConfigurationSpread::confirmFromPeers()
{
    if (this->inForce == Revision()) {
        return;
    }
    for (const auto &[peer, report] : this->peerReports) {
        if (report.revision != this->inForce || !report.confirmedAt) {
            continue;
        }
        this->newestConfirmations.storeConfirmedAt
            = std::max(this->newestConfirmations.storeConfirmedAt, *report.confirmedAt);
        this->everConfirmed = true;
    }
}

bool ConfigurationSpread::isStoreUnresponsive(TimePoint now) const
{
    const auto overdue = [&](TimePoint requestedAt) {
        return now - requestedAt >= this->limits.unresponsiveAfter;
    };
    const bool anyOverdue = std::any_of(this->inFlightReads.begin(), this->inFlightReads.end(), overdue);
    return !this->isStoreReachable && (this->failedReads > 0 || anyOverdue);
}

std::size_t ConfigurationSpread::peersForMajority() const
{
    // Together with this instance, more than half of the fleet.
    return (this->electorate.peers.size() + this->electorate.unmatchedSeeds + 1) / 2;
}

void ConfigurationSpread::confirmFromMajority(TimePoint now)
{
    if (this->inForce == Revision() || !this->isStoreUnresponsive(now)) {
        return;
    }
    std::vector<TimePoint> times;
    std::size_t otherZoneReports = 0;
    for (const InstanceId &peer : this->electorate.peers) {
        const auto place = this->peerReports.find(peer);
        if (place == this->peerReports.end()) {
            continue;
        }
        const PeerReport &report = place->second;
        if (report.revision > this->inForce || this->reportsReachableStore(report, now)) {
            return;
        }
        times.push_back(report.at);
        otherZoneReports += this->electorate.otherZones.contains(peer) ? 1 : 0;
    }
    const std::size_t needed = this->peersForMajority();
    // A sample of a large fleet lies mostly in this instance's zone; without replies from half of the sampled members
    // of other zones, the zone may be partitioned.
    const bool maybePartitioned = this->electorate.sampled && otherZoneReports * 2 < this->electorate.otherZones.size();
    if (times.size() < needed || maybePartitioned) {
        return;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    const TimePoint majorityReportsSince = needed == 0 ? now : times[needed - 1];
    this->newestConfirmations.majorityConfirmedAt
        = std::max(this->newestConfirmations.majorityConfirmedAt, majorityReportsSince);
}

bool ConfigurationSpread::reportsReachableStore(const PeerReport &report, TimePoint now) const
{
    const bool peerReachesStore = report.isStoreReachable && now - report.at <= this->limits.reachReportMaxAge;
    const bool peerWasConfirmed = report.confirmedAt && now - *report.confirmedAt <= this->limits.reachReportMaxAge;
    return peerReachesStore || peerWasConfirmed;
}

std::optional<Revision> ConfigurationSpread::startingRevision(TimePoint now) const
{
    Revision highest;
    std::size_t configured = 0;
    std::size_t answered = 0;
    for (const InstanceId &peer : this->electorate.peers) {
        const auto place = this->peerReports.find(peer);
        if (place == this->peerReports.end()) {
            continue;
        }
        const PeerReport &report = place->second;
        ++answered;
        configured += report.revision > Revision() ? 1 : 0;
        highest = std::max(highest, report.revision);
        if (report.confirmedAt && now - *report.confirmedAt <= configurationStalenessLimit
            && report.revision >= this->highestReportedRevision) {
            return report.revision;
        }
    }
    // A peer without a configuration may have lost a newer one, so it counts only if all peers have answered.
    const bool all = this->electorate.unmatchedSeeds == 0 && answered == this->electorate.peers.size();
    const bool enough = configured >= std::max<std::size_t>(this->peersForMajority(), 1) || all;
    if (!this->isStoreUnresponsive(now) || !enough || highest == Revision()) {
        return std::nullopt;
    }
    return highest;
}

void ConfigurationSpread::fetchIfBehind(TimePoint now, SpreadActions &actions)
{
    if (this->fetchingSince && now - *this->fetchingSince <= this->limits.fetchTimeout) {
        return;
    }
    const bool starting = this->inForce == Revision();
    const std::optional<Revision> wanted = starting ? this->startingRevision(now) : this->highestReportedRevision;
    if (!wanted || *wanted <= this->inForce || now < this->fetchNotBefore) {
        return;
    }
    const auto source = this->chooseSource(*wanted, now);
    if (!source) {
        return;
    }
    this->fetchingSince = now;
    actions.emplace_back(FetchDocument{*source, *wanted});
}

std::optional<InstanceId> ConfigurationSpread::chooseSource(Revision wanted, TimePoint now)
{
    std::erase_if(this->failedFetches,
                  [&](const auto &row) { return now - row.second > this->limits.failedSourceExclusion; });
    for (const auto &[peer, revision] : this->reportedRevisions) {
        if (revision >= wanted && !this->failedFetches.contains(peer)) {
            return peer;
        }
    }
    return std::nullopt;
}

Milliseconds ConfigurationSpread::currentReadInterval(bool reader) const
{
    if (reader) {
        return this->limits.readInterval;
    }
    constexpr unsigned maxDoublings = 3;
    const unsigned doublings = std::min(this->failedReads, maxDoublings);
    return std::min(this->limits.initialSelfReadInterval * (1U << doublings), this->limits.maxSelfReadInterval);
}

TimePoint ConfigurationSpread::readDueAt(bool reader) const
{
    if (!this->readAt) {
        return this->startedAt;
    }
    const bool behind = this->inForce == Revision() || this->highestReportedRevision > this->inForce;
    const bool readsOften = reader || behind;
    const TimePoint next = *this->readAt + this->currentReadInterval(readsOften);
    return readsOften
        ? next
        : std::max(next, this->newestConfirmations.storeConfirmedAt + this->limits.selfReadConfirmationAge);
}

void ConfigurationSpread::readIfDue(bool reader, TimePoint now, SpreadActions &actions)
{
    if (now < this->readDueAt(reader) || this->inFlightReads.size() >= this->limits.maxInFlightReads) {
        return;
    }
    this->readAt = now;
    this->inFlightReads.push_back(now);
    actions.emplace_back(ReadStore{});
}

void ConfigurationSpread::announceIf(bool stateChanged, SpreadActions &actions)
{
    // Peers use this instance's view of the store to decide whether it is unreachable for the whole fleet.
    if (stateChanged) {
        actions.emplace_back(Announce{});
    }
}

Revision ConfigurationSpread::revision() const noexcept
{
    return this->inForce;
}

const ConfigurationConfirmations &ConfigurationSpread::confirmations() const noexcept
{
    return this->newestConfirmations;
}

void ConfigurationSpread::describe(Digest &digest, TimePoint now) const
{
    digest.revision = this->inForce;
    digest.changeId = this->inForceChangeId;
    digest.isStoreReachable = this->isStoreReachable;
    digest.confirmedAge.reset();
    if (this->everConfirmed) {
        digest.confirmedAge = now - this->newestConfirmations.storeConfirmedAt;
    }
}

TimePoint ConfigurationSpread::nextDue(bool reader, TimePoint now) const
{
    const TimePoint latest = now + this->limits.readInterval;
    const bool allInFlight = this->inFlightReads.size() >= this->limits.maxInFlightReads;
    return allInFlight ? latest : std::clamp(this->readDueAt(reader), now, latest);
}

} // namespace parsleyvane
