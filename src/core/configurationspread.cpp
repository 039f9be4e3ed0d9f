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
        this->spread.onPeerAsked(event.digest, this->now);
    }
    void operator()(const DocumentFetched &event) const
    {
        this->spread.onFetched(event, this->now, this->actions);
    }
    void operator()(const FetchFailed &event) const
    {
        this->spread.fetchingSince.reset();
        this->spread.fetchNotBefore = this->now + this->spread.limits.fetchPause;
        this->spread.failedFetch[event.peer] = this->now;
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
    const auto lost = [&](TimePoint requestedAt) {
        return now - requestedAt > this->limits.readLost;
    };
    if (std::erase_if(this->openReads, lost) > 0) {
        ++this->failedReads;
    }
    std::erase_if(this->heard, [&](const auto &row) { return now - row.second.at > this->limits.heardWindow; });
    if (this->isStoreReachable && now - *this->answeredAt > this->limits.reachAge) {
        // A reader misses an answer; another instance has only not asked for a while, which is no news.
        this->isStoreReachable = false;
        this->announceIf(!this->openReads.empty(), actions);
    }
    this->readIfDue(tick.reader, now, actions);
}

void ConfigurationSpread::onStoreAnswered(const StoreAnswered &answer, TimePoint now, SpreadActions &actions)
{
    std::erase(this->openReads, answer.requestedAt);
    this->announceIf(!this->isStoreReachable && this->failedReads > 0, actions);
    this->failedReads = 0;
    this->answeredAt = now;
    this->isStoreReachable = true;
    if (answer.revision == Revision()) {
        return;
    }
    if (answer.current) {
        // Nothing above it was committed when it was asked: a claim of more, heard before that, was wrong.
        const bool claimIsOlder = this->highestHeardAt < answer.requestedAt;
        const Revision least = claimIsOlder ? this->inForce : this->highestHeard;
        this->highestHeard = std::max(least, answer.revision);
    }
    const bool starting = this->inForce == Revision();
    const bool listening = starting && !answer.current && now - this->startedAt < this->limits.startPatience;
    const bool old = starting && answer.revision < this->highestHeard;
    if (listening || old) {
        return;
    }
    if (answer.revision > this->inForce) {
        this->raise(answer.revision, answer.changeId, actions);
    }
    if (this->inForce != Revision() && this->inForce >= this->highestHeard) {
        this->fresh.storeConfirmedAt = std::max(this->fresh.storeConfirmedAt, answer.requestedAt);
        this->everConfirmed = true;
    }
}

void ConfigurationSpread::onStoreFailed(const StoreFailed &failure, SpreadActions &actions)
{
    std::erase(this->openReads, failure.requestedAt);
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
    Heard &heard = this->heard[digest.instance];
    if (heard.at > reply.requestedAt) {
        return;
    }
    heard = {.at = reply.requestedAt, .revision = digest.revision, .isStoreReachable = digest.isStoreReachable};
    if (digest.confirmedAge) {
        // The digest was made after the call was sent, so this is never too late.
        heard.confirmedAt = reply.requestedAt - *digest.confirmedAge;
    }
    this->onPeerAsked(digest, now);
}

void ConfigurationSpread::onPeerAsked(const Digest &digest, TimePoint now)
{
    this->hints[digest.instance] = digest.revision;
    if (digest.revision >= this->highestHeard) {
        this->highestHeard = digest.revision;
        this->highestHeardAt = now;
    }
}

void ConfigurationSpread::onFetched(const DocumentFetched &document, TimePoint now, SpreadActions &actions)
{
    this->fetchingSince.reset();
    this->fetchNotBefore = now;
    if (document.revision > this->inForce) {
        this->raise(document.revision, document.changeId, actions);
    }
}

void ConfigurationSpread::raise(Revision revision, const std::string &changeId, SpreadActions &actions)
{
    this->inForce = revision;
    this->inForceChange = changeId;
    this->highestHeard = std::max(this->highestHeard, revision);
    actions.emplace_back(PutInForce{revision});
    actions.emplace_back(Announce{});
}

void ConfigurationSpread::confirmFromPeers()
{
    if (this->inForce == Revision()) {
        return;
    }
    for (const auto &[peer, word] : this->heard) {
        if (word.revision != this->inForce || !word.confirmedAt) {
            continue;
        }
        this->fresh.storeConfirmedAt = std::max(this->fresh.storeConfirmedAt, *word.confirmedAt);
        this->everConfirmed = true;
    }
}

bool ConfigurationSpread::isStoreUnresponsive(TimePoint now) const
{
    const auto overdue = [&](TimePoint requestedAt) {
        return now - requestedAt >= this->limits.silentAfter;
    };
    const bool anyOverdue = std::any_of(this->openReads.begin(), this->openReads.end(), overdue);
    return !this->isStoreReachable && (this->failedReads > 0 || anyOverdue);
}

std::size_t ConfigurationSpread::othersNeeded() const
{
    // With this instance itself, that is more than half of the fleet.
    return (this->electorate.peers.size() + this->electorate.unknown + 1) / 2;
}

void ConfigurationSpread::confirmFromMajority(TimePoint now)
{
    if (this->inForce == Revision() || !this->isStoreUnresponsive(now)) {
        return;
    }
    std::vector<TimePoint> times;
    std::size_t farHeard = 0;
    for (const InstanceId &peer : this->electorate.peers) {
        const auto place = this->heard.find(peer);
        if (place == this->heard.end()) {
            continue;
        }
        const Heard &word = place->second;
        if (word.revision > this->inForce || this->someoneReachesStore(word, now)) {
            return;
        }
        times.push_back(word.at);
        farHeard += this->electorate.otherZones.contains(peer) ? 1 : 0;
    }
    const std::size_t needed = this->othersNeeded();
    // A sample of a large fleet lies mostly in the own zone; a zone that is cut off must notice.
    const bool cutOff = this->electorate.sampled && farHeard * 2 < this->electorate.otherZones.size();
    if (times.size() < needed || cutOff) {
        return;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    const TimePoint heardSince = needed == 0 ? now : times[needed - 1];
    this->fresh.majorityConfirmedAt = std::max(this->fresh.majorityConfirmedAt, heardSince);
}

bool ConfigurationSpread::someoneReachesStore(const Heard &word, TimePoint now) const
{
    const bool itself = word.isStoreReachable && now - word.at <= this->limits.reachWindow;
    const bool another = word.confirmedAt && now - *word.confirmedAt <= this->limits.reachWindow;
    return itself || another;
}

std::optional<Revision> ConfigurationSpread::startingRevision(TimePoint now) const
{
    Revision highest;
    std::size_t configured = 0;
    std::size_t answered = 0;
    for (const InstanceId &peer : this->electorate.peers) {
        const auto place = this->heard.find(peer);
        if (place == this->heard.end()) {
            continue;
        }
        const Heard &word = place->second;
        ++answered;
        configured += word.revision > Revision() ? 1 : 0;
        highest = std::max(highest, word.revision);
        if (word.confirmedAt && now - *word.confirmedAt <= configurationStalenessLimit
            && word.revision >= this->highestHeard) {
            return word.revision;
        }
    }
    // A peer without a configuration may have lost a newer one, so it says nothing unless all have answered.
    const bool all = this->electorate.unknown == 0 && answered == this->electorate.peers.size();
    const bool enough = configured >= std::max<std::size_t>(this->othersNeeded(), 1) || all;
    if (!this->isStoreUnresponsive(now) || !enough || highest == Revision()) {
        return std::nullopt;
    }
    return highest;
}

void ConfigurationSpread::fetchIfBehind(TimePoint now, SpreadActions &actions)
{
    if (this->fetchingSince && now - *this->fetchingSince <= this->limits.fetchLost) {
        return;
    }
    const bool starting = this->inForce == Revision();
    const std::optional<Revision> wanted = starting ? this->startingRevision(now) : this->highestHeard;
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
    std::erase_if(this->failedFetch, [&](const auto &row) { return now - row.second > this->limits.fetchFailedFor; });
    for (const auto &[peer, revision] : this->hints) {
        if (revision >= wanted && !this->failedFetch.contains(peer)) {
            return peer;
        }
    }
    return std::nullopt;
}

Milliseconds ConfigurationSpread::readPause(bool reader) const
{
    if (reader) {
        return this->limits.readInterval;
    }
    constexpr unsigned maxDoublings = 3;
    const unsigned doublings = std::min(this->failedReads, maxDoublings);
    return std::min(this->limits.selfReadPause * (1U << doublings), this->limits.selfReadPauseMost);
}

TimePoint ConfigurationSpread::readDueAt(bool reader) const
{
    if (!this->readAt) {
        return this->startedAt;
    }
    const bool behind = this->inForce == Revision() || this->highestHeard > this->inForce;
    const bool often = reader || behind;
    const TimePoint next = *this->readAt + this->readPause(often);
    return often ? next : std::max(next, this->fresh.storeConfirmedAt + this->limits.selfReadAge);
}

void ConfigurationSpread::readIfDue(bool reader, TimePoint now, SpreadActions &actions)
{
    if (now < this->readDueAt(reader) || this->openReads.size() >= this->limits.openReads) {
        return;
    }
    this->readAt = now;
    this->openReads.push_back(now);
    actions.emplace_back(ReadStore{});
}

void ConfigurationSpread::announceIf(bool news, SpreadActions &actions)
{
    // The others count on this instance's word when they judge whether the store is down for all.
    if (news) {
        actions.emplace_back(Announce{});
    }
}

Revision ConfigurationSpread::revision() const noexcept
{
    return this->inForce;
}

const ConfigurationConfirmations &ConfigurationSpread::confirmations() const noexcept
{
    return this->fresh;
}

void ConfigurationSpread::describe(Digest &digest, TimePoint now) const
{
    digest.revision = this->inForce;
    digest.changeId = this->inForceChange;
    digest.isStoreReachable = this->isStoreReachable;
    digest.confirmedAge.reset();
    if (this->everConfirmed) {
        digest.confirmedAge = now - this->fresh.storeConfirmedAt;
    }
}

TimePoint ConfigurationSpread::nextDue(bool reader, TimePoint now) const
{
    const TimePoint latest = now + this->limits.readInterval;
    const bool full = this->openReads.size() >= this->limits.openReads;
    return full ? latest : std::clamp(this->readDueAt(reader), now, latest);
}

} // namespace parsleyvane
