#include "controldriver.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/membership/rendezvous.h"
#include "parsleyvane/net/endpoint.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

namespace parsleyvane {

namespace asio = boost::asio;

struct ControlPlane::Driver::ActionVisitor
{
    Driver &driver;
    TimePoint now;

    void operator()(const ReadStore &) const
    {
        ++this->driver.counted.storeReads;
        asio::co_spawn(this->driver.executor, Driver::readStore(this->driver.shared_from_this(), this->now),
                       asio::detached);
    }
    void operator()(const FetchDocument &action) const
    {
        this->driver.fetch(action.peer, action.revision);
    }
    void operator()(const PutInForce &action) const
    {
        this->driver.putInForce(action.revision);
    }
    void operator()(const Announce &) const
    {
        this->driver.membership->announce();
    }
};

struct ControlPlane::Driver::CallVisitor
{
    Driver &driver;

    std::optional<PeerAnswer> operator()(const ExchangeCall &call) const
    {
        return this->driver.serveExchange(call.digest);
    }
    std::optional<PeerAnswer> operator()(const FetchCall &call) const
    {
        const LoadedConfiguration &current = this->driver.inForce;
        if (!current.configuration || current.configuration->revision < call.revision) {
            return std::nullopt;
        }
        return current.document;
    }
    std::optional<PeerAnswer> operator()(const HoldBillsCall &call) const
    {
        const auto &handler = this->driver.handlers.holdBills;
        if (!handler || !handler(call.bills)) {
            return std::nullopt;
        }
        return BillsHeld{};
    }
    std::optional<PeerAnswer> operator()(const FreeSlotsCall &call) const
    {
        const auto &handler = this->driver.handlers.freeSlots;
        return SlotsFreed{handler ? handler(call.upstream, call.account, call.count) : 0};
    }
};

ControlPlane::Driver::Driver(const asio::any_io_executor &executor, Blackboard &blackboard, ControlSettings settings)
    : executor(executor)
    , blackboard(blackboard)
    , settings(std::move(settings))
    , spread(bootClockNow())
    , network(executor, [this](const PeerCall &call) { return this->serve(call); })
    , timer(executor)
{
}

bool ControlPlane::Driver::start(LastReason &reason)
{
    const auto endpoint = parseEndpoint(this->settings.platformEndpoint, reason);
    if (!endpoint || !this->network.start(this->settings.peersListen, reason)) {
        return false;
    }
    this->platform = *endpoint;
    if (this->settings.incarnation == Incarnation()) {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto count = std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
        this->settings.incarnation = Incarnation(static_cast<std::uint64_t>(count));
    }
    this->blackboard.instance = this->settings.instance;
    this->blackboard.zone = this->settings.zone;
    this->blackboard.incarnation = this->settings.incarnation;
    this->membership.emplace(this->settings.instance, this->settings.zone, this->network.address(),
                             this->settings.incarnation);
    this->membership->setSeeds(this->settings.seeds);
    this->stopped = false;
    this->runPeriodicWork();
    return true;
}

void ControlPlane::Driver::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->network.stop();
}

void ControlPlane::Driver::runPeriodicWork()
{
    const TimePoint now = bootClockNow();
    const MembershipActions actions = this->membership->tick(now);
    for (const std::string &address : actions.close) {
        this->network.close(address);
        this->deliveredEvidence.erase(address);
    }
    for (const std::string &address : actions.call) {
        this->exchange(address);
    }
    this->handleSpreadEvent(SpreadTick{this->membership->isReader(), this->membership->electorate()});
    if (now >= this->listDue && !this->isListReadInFlight) {
        this->isListReadInFlight = true;
        ++this->counted.listReads;
        asio::co_spawn(this->executor, Driver::readList(this->shared_from_this()), asio::detached);
    }
    this->armTimer(now);
}

void ControlPlane::Driver::armTimer(TimePoint now)
{
    TimePoint next = std::min(this->membership->nextDue(), this->spread.nextDue(this->membership->isReader(), now));
    if (!this->isListReadInFlight) {
        next = std::min(next, this->listDue);
    }
    this->timer.expires_after(std::max(next - now, this->limits.minTimerDelay));
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->stopped) {
            self->runPeriodicWork();
        }
    });
}

void ControlPlane::Driver::handleSpreadEvent(const SpreadEvent &event)
{
    const TimePoint now = bootClockNow();
    const SpreadActions actions = this->spread.handle(event, now);
    for (const SpreadAction &action : actions) {
        std::visit(ActionVisitor{*this, now}, action);
    }
    this->membership->setUrgent(this->spread.isStoreUnresponsive(now));
    this->updateBlackboard(now);
    const bool announced = std::any_of(actions.begin(), actions.end(), [](const SpreadAction &action) {
        return std::holds_alternative<Announce>(action);
    });
    if (announced) {
        this->armTimer(now);
    }
}

void ControlPlane::Driver::updateBlackboard(TimePoint now)
{
    this->blackboard.confirmations = this->spread.confirmations();
    this->updatePeerViews();
    if (this->blackboard.phase != InstancePhase::Starting || !this->blackboard.configuration) {
        return;
    }
    const ConfigurationConfirmations &confirmed = this->blackboard.confirmations;
    if (now - std::max(confirmed.storeConfirmedAt, confirmed.majorityConfirmedAt) <= configurationStalenessLimit) {
        this->blackboard.phase = InstancePhase::Ready;
        LOG(INFO) << "ready with revision " << this->spread.revision();
    }
}

void ControlPlane::Driver::updatePeerViews()
{
    std::map<InstanceId, PeerView> peers;
    for (const auto &[id, member] : this->membership->members()) {
        peers[id] = {.address = member.address,
                     .zone = member.zone,
                     .incarnation = member.incarnation,
                     .revision = member.revision,
                     .lastReceivedAt = member.lastReceivedAt.value_or(TimePoint()),
                     .leaving = member.leaving};
    }
    this->blackboard.peers = std::move(peers);
}

Digest ControlPlane::Driver::ownDigest(TimePoint now) const
{
    Digest digest{.instance = this->settings.instance,
                  .zone = this->settings.zone,
                  .address = this->network.address(),
                  .incarnation = this->settings.incarnation,
                  .leaving = this->leaving};
    this->spread.describe(digest, now);
    return digest;
}

void ControlPlane::Driver::exchange(const std::string &address)
{
    const TimePoint requestedAt = bootClockNow();
    Digest digest = this->ownDigest(requestedAt);
    const std::uint64_t number = this->evidenceNumber;
    if (this->deliveredEvidence[address] != number) {
        digest.evidence = this->evidence;
        digest.evidence->leavingUpstreams.assign(this->leavingUpstreams.begin(), this->leavingUpstreams.end());
    }
    this->network.call(address, ExchangeCall{std::move(digest)},
                       [this, address, requestedAt, number](const std::optional<PeerAnswer> &answer) {
                           this->onExchanged(address, requestedAt, number, answer);
                       });
}

void ControlPlane::Driver::onExchanged(const std::string &address, TimePoint requestedAt, std::uint64_t evidenceSent,
                                       const std::optional<PeerAnswer> &answer)
{
    const Digest *reply = answer ? std::get_if<Digest>(&*answer) : nullptr;
    if (!reply) {
        this->membership->onCallFailed(address);
        return;
    }
    if (reply->instance == this->settings.instance) {
        this->membership->dropSeed(address);
        return;
    }
    Digest digest = *reply;
    digest.address = address;
    const auto known = this->membership->members().find(digest.instance);
    const bool sameIncarnation
        = known != this->membership->members().end() && known->second.incarnation == digest.incarnation;
    if (!this->membership->onDigest(digest, bootClockNow())) {
        return;
    }
    // A restarted peer has lost the evidence that its previous incarnation received.
    this->deliveredEvidence[address] = sameIncarnation ? evidenceSent : 0;
    this->handleSpreadEvent(PeerReplied{std::move(digest), requestedAt});
}

void ControlPlane::Driver::fetch(const InstanceId &peer, Revision revision)
{
    const auto member = this->membership->members().find(peer);
    if (member == this->membership->members().end()) {
        this->onFetched(peer, std::nullopt);
        return;
    }
    this->network.call(member->second.address, FetchCall{revision},
                       [this, peer](const std::optional<PeerAnswer> &answer) { this->onFetched(peer, answer); });
}

void ControlPlane::Driver::onFetched(const InstanceId &peer, const std::optional<PeerAnswer> &answer)
{
    const auto *document = answer ? std::get_if<ConfigurationDocument>(&*answer) : nullptr;
    LastReason reason;
    auto loaded = document ? loadConfiguration(*document, reason) : std::nullopt;
    if (!loaded) {
        this->handleSpreadEvent(FetchFailed{peer});
        return;
    }
    const Revision revision = loaded->configuration->revision;
    const std::string changeId = loaded->configuration->change.id;
    this->candidates[revision] = std::move(*loaded);
    this->handleSpreadEvent(DocumentFetched{revision, changeId});
}

void ControlPlane::Driver::putInForce(Revision revision)
{
    const auto place = this->candidates.find(revision);
    if (place == this->candidates.end()) {
        LOG(ERROR) << "no configuration document for revision " << revision;
        return;
    }
    this->inForce = std::move(place->second);
    this->candidates.erase(this->candidates.begin(), std::next(place));
    this->blackboard.configuration = this->inForce.configuration;
    this->blackboard.confirmations = this->spread.confirmations();
    LOG(INFO) << "revision " << revision << " in force";
    if (this->configurationCallback) {
        this->configurationCallback(*this->inForce.configuration);
    }
}

std::optional<PeerAnswer> ControlPlane::Driver::serve(const PeerCall &call)
{
    if (this->stopped) {
        return std::nullopt;
    }
    return std::visit(CallVisitor{*this}, call);
}

std::optional<PeerAnswer> ControlPlane::Driver::serveExchange(const Digest &digest)
{
    const TimePoint now = bootClockNow();
    if (this->membership->onDigest(digest, now)) {
        this->handleSpreadEvent(PeerCallReceived{digest});
        if (digest.evidence) {
            this->applyEvidence(digest.instance, *digest.evidence);
        }
    }
    return this->ownDigest(now);
}

void ControlPlane::Driver::applyEvidence(const InstanceId &from, const Evidence &evidence)
{
    for (const UpstreamId &upstream : evidence.leavingUpstreams) {
        this->markLeaving(upstream);
    }
    if (this->handlers.evidence) {
        this->handlers.evidence(from, evidence);
    }
}

bool ControlPlane::Driver::markLeaving(const UpstreamId &upstream)
{
    this->blackboard.upstreams[upstream].leaving = true;
    if (!this->leavingUpstreams.insert(upstream).second) {
        return false;
    }
    ++this->evidenceNumber;
    this->membership->announce();
    LOG(INFO) << "upstream " << upstream << " is leaving";
    return true;
}

std::vector<std::string> ControlPlane::Driver::livePeers() const
{
    std::vector<std::string> addresses;
    for (const auto &[id, member] : this->membership->members()) {
        if (!member.leaving && !member.suspected && member.lastReceivedAt) {
            addresses.push_back(member.address);
        }
    }
    return addresses;
}

std::string ControlPlane::Driver::chooseBillPeer() const
{
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    for (const auto &[id, member] : this->membership->members()) {
        if (!member.leaving && !member.suspected && member.lastReceivedAt) {
            (member.zone == this->settings.zone ? sameZone : otherZones).push_back(member.address);
        }
    }
    const auto chosen
        = chooseByRendezvous(this->settings.instance.str(), otherZones.empty() ? sameZone : otherZones, 1);
    return chosen.empty() ? std::string() : chosen.front();
}

void ControlPlane::Driver::sendBills(std::string bills, std::function<void(bool)> done)
{
    const std::string address = this->stopped ? std::string() : this->chooseBillPeer();
    if (address.empty()) {
        done(false);
        return;
    }
    this->network.call(address, HoldBillsCall{std::move(bills)},
                       [done = std::move(done)](const std::optional<PeerAnswer> &answer) { done(answer.has_value()); });
}

void ControlPlane::Driver::requestSlots(const UpstreamId &upstream, const AccountId &account, unsigned count,
                                        const std::function<void(unsigned)> &onFreed)
{
    if (this->stopped) {
        return;
    }
    for (const std::string &address : this->livePeers()) {
        this->network.call(address, FreeSlotsCall{upstream, account, count},
                           [onFreed](const std::optional<PeerAnswer> &answer) {
                               const auto *slots = answer ? std::get_if<SlotsFreed>(&*answer) : nullptr;
                               if (onFreed) {
                                   onFreed(slots ? slots->freed : 0);
                               }
                           });
    }
}

void ControlPlane::Driver::setLeaving()
{
    if (!this->leaving && !this->stopped) {
        this->leaving = true;
        this->membership->announce();
        this->armTimer(bootClockNow());
    }
}

void ControlPlane::Driver::setEvidence(Evidence evidence, bool urgent)
{
    for (const UpstreamId &upstream : evidence.leavingUpstreams) {
        this->leavingUpstreams.insert(upstream);
    }
    evidence.leavingUpstreams.clear();
    if (evidence != this->evidence) {
        this->evidence = std::move(evidence);
        ++this->evidenceNumber;
    }
    if (urgent && !this->stopped) {
        this->membership->announce();
        this->armTimer(bootClockNow());
    }
}

ControlCounters ControlPlane::Driver::counters() const
{
    ControlCounters counters = this->counted;
    const PeerTraffic traffic = this->network.traffic();
    counters.peerMessagesSent = traffic.callsSent;
    counters.peerMessagesReceived = traffic.callsReceived;
    counters.peerBytesSent = traffic.bytesSent;
    counters.peerBytesReceived = traffic.bytesReceived;
    counters.peerCallsFailed = traffic.callsFailed;
    return counters;
}

std::string ControlPlane::Driver::peersAddress() const
{
    return this->network.address();
}

} // namespace parsleyvane
