#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

bool isPassedOn(StoreTable table, const std::string &key)
{
    // Gathered evidence is for the instances that read for themselves.
    return table != StoreTable::Fleet || !isGatheredRow(key);
}

} // namespace

bool FleetSync::startRelay(const RelaySettings &settings, LastReason &reason)
{
    const auto endpoint = parseEndpoint(settings.address, reason);
    if (!endpoint) {
        return false;
    }
    this->relaySettings = settings;
    this->relay = std::make_unique<StoreRelay>(this->context, this->self, static_cast<RelayKnowledge &>(*this));
    this->relay->setAge(this->watch.relayAge());
    this->watch.expectRelay(bootClockNow());
    return this->relay->listen(*endpoint, reason);
}

asio::awaitable<void> FleetSync::waitForOwnRead(StoreTable table)
{
    while (true) {
        const Milliseconds spared = this->watch.untilOwnRead(table, bootClockNow());
        if (spared == Milliseconds(0)) {
            co_return;
        }
        // The jitter keeps the instances that lost the same reader from reading at the same moment.
        std::uniform_real_distribution<double> jitter(0, static_cast<double>(this->watch.relayAge().count()) / 4);
        boost::system::error_code cancelled;
        asio::steady_timer &timer = this->waits.at(table);
        timer.expires_after(spared + Milliseconds(static_cast<std::int64_t>(jitter(this->context.random))));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

void FleetSync::endRelay()
{
    this->watch.endRelay();
    for (auto &[table, timer] : this->waits) {
        timer.cancel();
    }
}

void FleetSync::applyRead(const Reader &reader, const TableSnapshot &snapshot, bool isFull)
{
    if (isFull) {
        (this->*reader.applyTable)(snapshot);
        this->readEras[reader.table] = snapshot.era;
    } else {
        (this->*reader.applyChanges)(snapshot);
    }
    if (!this->relay) {
        return;
    }
    std::vector<TableRow> rows = snapshot.rows;
    std::erase_if(rows, [&](const TableRow &row) { return !isPassedOn(reader.table, row.key); });
    if (isFull) {
        this->mirrors[reader.table].replace(rows, snapshot.version);
    } else {
        this->mirrors[reader.table].apply(rows, snapshot.removed, snapshot.version);
    }
    if (reader.table == StoreTable::Orders) {
        this->confirmed = std::max(this->confirmed, snapshot.storeTime);
    } else if (reader.table == StoreTable::Upstreams) {
        this->upstreamsConfirmed = std::max(this->upstreamsConfirmed, snapshot.storeTime);
    }
    // Reports, and confirmations of the other tables, wait for the next confirmation of the operator's table.
    const bool hasChanges = isFull || !snapshot.rows.empty() || !snapshot.removed.empty();
    if (reader.table == StoreTable::Orders || (reader.table != StoreTable::Fleet && hasChanges)) {
        this->relay->notify();
    }
}

RelayPoll FleetSync::makePoll()
{
    RelayPoll poll{.from = this->self, .era = this->context.platform.storeEra(), .confirmed = this->confirmed};
    for (const Reader &reader : this->readers) {
        poll.versions[reader.table] = this->watch.versionOf(reader.table).value_or(0);
    }
    FleetReport evidence = this->report();
    evidence.limits = {};
    evidence.crashes = shifted(evidence.crashes, this->storeClockOffset);
    if (evidence != FleetReport()) {
        poll.report = serialise(evidence);
    }
    if (poll.report == this->deliveredReport) {
        poll.report.clear();
    }
    if (this->context.sharesLoad) {
        poll.load = this->context.fleetView.load.report(bootClockNow());
    }
    return poll;
}

bool FleetSync::applyOffer(const InstanceId &from, const RelayPoll &asked, const RelayOffer &offer)
{
    const std::uint64_t era = this->context.platform.storeEra();
    if (offer.era > era) {
        // The store was restored: it tells itself what holds now.
        this->endRelay();
    }
    if (offer.era == era && this->isClockOffsetKnown) {
        this->updateClockOffset(offer.confirmed);
    }
    const TimePoint now = bootClockNow();
    const TimePoint confirmedAt = std::min(this->localTime(offer.confirmed), now);
    const bool isUseful = offer.era == era && this->isClockOffsetKnown && now - confirmedAt <= this->watch.relayAge();
    if (!isUseful) {
        this->deliveredReport.clear();
        return false;
    }
    if (this->deliveredTo != from) {
        this->deliveredReport.clear();
        this->deliveredTo = from;
    }
    if (!asked.report.empty()) {
        this->deliveredReport = asked.report;
    }
    this->confirmed = std::max(this->confirmed, offer.confirmed);
    this->updateInstanceShare(offer.members);
    this->countInvalidLoads(from, offer.invalidLoads);
    if (this->context.sharesLoad && asked.load && offer.load) {
        this->context.fleetView.load.apply(*offer.load, asked.load->number, confirmedAt, now);
    }
    for (auto &[service, shift] : this->context.fleetView.shifts) {
        shift.setEvidenceWanted(offer.wantsEvidence);
    }
    for (const Reader &reader : this->readers) {
        const auto relayed = offer.tables.find(reader.table);
        if (relayed != offer.tables.end()) {
            this->applyRelayed(reader, relayed->second, offer);
        }
    }
    return true;
}

void FleetSync::applyRelayed(const Reader &reader, const RelayedTable &relayed, const RelayOffer &offer)
{
    const auto known = this->watch.versionOf(reader.table);
    const TimePoint now = bootClockNow();
    const bool isNews = !known || relayed.version > *known;
    if (isNews && relayed.isLeftOut) {
        this->watch.endRelay(reader.table);
        this->waits.at(reader.table).cancel();
        return;
    }
    if (isNews && !relayed.isFull && known != relayed.since) {
        return;
    }
    const bool wasReachable = this->watch.isReachable(reader.table);
    const auto lastAnswer = this->watch.answeredAt(reader.table);
    // The reader's read of the upstreams may hang while that of the operator's table is answered.
    const Milliseconds confirmedTime = std::min(offer.confirmed, relayed.confirmed.value_or(offer.confirmed));
    const TimePoint confirmedAt = std::min(this->localTime(confirmedTime), now);
    if (reader.table == StoreTable::Upstreams) {
        this->upstreamsConfirmed = std::max(this->upstreamsConfirmed, confirmedTime);
    }
    this->watch.onRelayed(reader.table, relayed.version, confirmedAt, now);
    if (isNews) {
        this->applyRead(reader,
                        {.rows = relayed.rows,
                         .removed = relayed.removed,
                         .version = relayed.version,
                         .storeTime = confirmedTime,
                         .era = offer.era},
                        relayed.isFull);
        if (!relayed.rows.empty() || !relayed.removed.empty()) {
            this->context.metrics.countEvent("relayed_" + reader.name);
            this->context.log.line("relayed",
                                   {{"table", reader.name},
                                    {"reader", this->deliveredTo.str()},
                                    {"rows", static_cast<std::int64_t>(relayed.rows.size())},
                                    {"removed", static_cast<std::int64_t>(relayed.removed.size())},
                                    {"list_version", static_cast<std::int64_t>(relayed.version)},
                                    {"age", (now - confirmedAt).count()}});
        }
    }
    if (reader.table == StoreTable::Orders) {
        this->context.fleetView.tableConfirmedAt = confirmedAt;
    } else if (reader.table == StoreTable::Upstreams) {
        this->context.fleetView.upstreamsReadAt = confirmedAt;
    }
    this->updateReachability(reader, wasReachable, lastAnswer, "relayed");
}

void FleetSync::onAsked()
{
    this->watch.setRelaying(true);
    this->interruptReads();
}

void FleetSync::onLoad(const RelayPoll &poll)
{
    this->countInvalidLoads(poll.from, poll.invalidLoads);
    if (this->context.sharesLoad && poll.load) {
        this->context.fleetView.load.merge(poll.from, *poll.load, bootClockNow());
    }
}

void FleetSync::countInvalidLoads(const InstanceId &from, std::size_t invalid)
{
    if (invalid == 0) {
        return;
    }
    this->context.metrics.countEvent("load_invalid");
    if (!std::exchange(this->isInvalidLoadLogged, true)) {
        this->context.log.line("load_invalid", {{"from", from.str()}, {"entries", static_cast<std::int64_t>(invalid)}});
    }
}

void FleetSync::logLoadView(TimePoint now)
{
    const LoadView &load = this->context.fleetView.load;
    const bool isShared = this->context.sharesLoad && load.isShared(now);
    if (isShared == std::exchange(this->wasLoadShared, isShared)) {
        return;
    }
    this->context.metrics.countEvent(isShared ? "load_shared" : "load_shared_lost");
    this->context.log.line("load_view",
                           {{"source", isShared ? "reader" : "own"},
                            {"reader", this->deliveredTo.str()},
                            {"upstreams", static_cast<std::int64_t>(load.size(now))}});
}

bool FleetSync::isOffered(StoreTable table) const
{
    return this->mirrors.contains(table) && this->watch.isReachable(table);
}

bool FleetSync::hasNews(const RelayPoll &poll) const
{
    if (poll.era != this->context.platform.storeEra()) {
        return true;
    }
    // The read that is made for the asker confirms in a few ms what would be of no use to it soon.
    const bool isYoung = bootClockNow() - this->localTime(this->confirmed) <= this->watch.relayAge() / 2;
    if (!isYoung) {
        return false;
    }
    if (this->confirmed > poll.confirmed) {
        return true;
    }
    return std::any_of(poll.versions.begin(), poll.versions.end(), [&](const auto &known) {
        return known.first != StoreTable::Fleet && this->isOffered(known.first)
            && this->mirrors.at(known.first).changedAt() > known.second;
    });
}

RelayOffer FleetSync::makeOffer(const RelayPoll &poll) const
{
    RelayOffer offer{.era = this->context.platform.storeEra(), .confirmed = this->confirmed};
    for (const auto &[service, shift] : this->context.fleetView.shifts) {
        offer.wantsEvidence = offer.wantsEvidence || shift.hasEvidence();
    }
    for (const auto &[table, known] : poll.versions) {
        if (this->isOffered(table)) {
            offer.tables[table] = this->mirrors.at(table).since(poll.era == offer.era ? known : 0);
            if (table == StoreTable::Upstreams) {
                offer.tables[table].confirmed = this->upstreamsConfirmed;
            }
        }
    }
    if (this->context.sharesLoad && poll.load) {
        offer.load = this->context.fleetView.load.gathered(bootClockNow());
    }
    return offer;
}

bool FleetSync::mayDecide() const
{
    return !this->relay || !this->watch.isTold(bootClockNow());
}

void FleetSync::updateInstanceShare(std::size_t zoneMembers)
{
    // Each zone has an equal part, so that the members of the others need not be known.
    const std::size_t instances = zoneMembers * std::max<std::size_t>(1, this->relaySettings.zones.size());
    this->context.budget.setInstances(instances);
    this->context.fleetView.coldUpstreams.setInstances(instances);
    this->context.prefixDemand.setInstances(instances);
    this->context.metrics.setGauge("zone_members", static_cast<double>(zoneMembers));
}

asio::awaitable<void> FleetSync::join()
{
    const PeerMember own{this->self, this->relaySettings.address, this->relaySettings.processorShare};
    Milliseconds backoff = this->limits.watch.initialBackoff;
    while (true) {
        Transaction transaction{.part = this->context.zone.str()};
        transaction.puts.push_back(
            {this->context.platform.rowKey(StoreTable::Members, this->self.str()), serialise(own)});
        const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
        if (std::holds_alternative<TransactionCommitted>(outcome)) {
            break;
        }
        this->endRelay();
        co_await sleepFor(backoff);
        backoff = std::min(backoff * 2, this->limits.watch.maxBackoff);
    }
    this->updateEra();
    if (this->relaySettings.isFirstStart) {
        co_await sleepFor(this->limits.membersDelay);
    }
    Milliseconds interval = this->limits.membersInterval;
    while (true) {
        const std::size_t before = this->relay->members();
        const bool isKnown = co_await this->readMembers();
        if (isKnown && before == this->relay->members()) {
            interval *= 2;
        }
        if (this->relay->isReader(bootClockNow())) {
            this->endRelay();
        }
        // Those who are told what was read are told the number of members too.
        do {
            co_await sleepFor(isKnown ? interval : this->limits.watch.maxBackoff);
        } while (!this->relay->isReader(bootClockNow()));
    }
}

asio::awaitable<bool> FleetSync::readMembers()
{
    LastReason reason;
    const auto snapshot
        = co_await this->context.platform.readPart(StoreTable::Members, this->context.zone.str(), reason);
    this->updateEra();
    if (!snapshot) {
        this->endRelay();
        co_return false;
    }
    this->updateClockOffset(snapshot->storeTime);
    std::vector<PeerMember> members;
    for (const TableRow &row : snapshot->rows) {
        if (auto member = parsePeerMember(InstanceId(rowName(row.key)), row.value)) {
            members.push_back(std::move(*member));
        }
    }
    TrialPeers peers{.self = this->self, .zone = this->context.zone, .zones = this->relaySettings.zones};
    for (const PeerMember &member : members) {
        peers.zoneMembers.push_back(member.id);
    }
    this->context.fleetView.crashes.setTrialPeers(std::move(peers));
    this->relay->setMembers(std::move(members));
    this->updateInstanceShare(this->relay->members());
    this->context.log.line("members",
                           {{"zone", this->context.zone.str()},
                            {"members", static_cast<std::int64_t>(this->relay->members())},
                            {"reads_for_itself", this->relay->isReader(bootClockNow()) ? "true" : "false"}});
    co_return true;
}

asio::awaitable<void> FleetSync::removeMember()
{
    Transaction transaction{.part = this->context.zone.str()};
    transaction.removals.push_back(this->context.platform.rowKey(StoreTable::Members, this->self.str()));
    co_await this->context.platform.transact(std::move(transaction));
}

} // namespace parsleyvane
