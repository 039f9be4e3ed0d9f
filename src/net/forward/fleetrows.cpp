#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/overloaded.h"

#include <set>
#include <utility>

namespace parsleyvane {

void FleetSync::applyOrders(const TableSnapshot &snapshot)
{
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        const auto order = this->context.platform.readOrder(row, reason);
        if (!order) {
            this->context.log.line("order_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        std::visit(Overloaded{[&](const std::shared_ptr<const RouteTable> &table) {
                                  this->applyConfiguration(table, row.version);
                              },
                              [&](const RolloutOrder &rollout) { this->applyRolloutOrder(rollout, snapshot.era); },
                              [&](const EvacuationOrder &evacuation) {
                                  this->beginEvacuation(evacuation.zone, row.version);
                              }},
                   *order);
    }
    for (const std::string &key : snapshot.removed) {
        if (const auto evacuated = this->context.platform.readEvacuatedZone(key)) {
            this->endEvacuation(*evacuated);
        }
    }
    this->context.fleetView.tableConfirmedAt = bootClockNow();
}

void FleetSync::replaceOrders(const TableSnapshot &snapshot)
{
    std::set<ZoneId> evacuated;
    for (const TableRow &row : snapshot.rows) {
        if (auto zone = this->context.platform.readEvacuatedZone(row.key)) {
            evacuated.insert(std::move(*zone));
        }
    }
    for (const ZoneId &zone : this->context.fleetView.evacuatedZones.absentFrom(evacuated)) {
        this->endEvacuation(zone);
    }
    this->applyOrders(snapshot);
}

void FleetSync::applyConfiguration(std::shared_ptr<const RouteTable> table, std::uint64_t rowVersion)
{
    FleetView &fleetView = this->context.fleetView;
    if (fleetView.table && table->revision() < fleetView.table->revision()) {
        return;
    }
    fleetView.table = std::move(table);
    this->context.metrics.setGauge("revision", static_cast<double>(fleetView.table->revision().value()));
    this->context.log.line("configuration",
                           {{"revision", static_cast<std::int64_t>(fleetView.table->revision().value())},
                            {"row_version", static_cast<std::int64_t>(rowVersion)},
                            {"routes", static_cast<std::int64_t>(fleetView.table->routeCount())}});
    for (const ServiceName &service : fleetView.table->unreadableColdStarts()) {
        this->context.log.line("cold_start_unreadable", {{"service", service.str()}});
    }
    this->configured();
}

void FleetSync::applyRolloutOrder(const RolloutOrder &rollout, std::uint64_t era)
{
    VersionShift &shift = shiftOf(this->context, rollout.service);
    shift.setLimits(this->shiftLimits);
    const auto orderEra = this->orderEras.find(rollout.service);
    const bool isRestored = orderEra != this->orderEras.end() && orderEra->second < era;
    if (isRestored ? shift.onRestoredOrder(rollout) : shift.onOrder(rollout)) {
        this->context.log.line("rollout_order",
                               {{"service", rollout.service.str()},
                                {"to", rollout.to.str()},
                                {"duration", rollout.duration.count()},
                                {"number", static_cast<std::int64_t>(rollout.number)}});
    }
    if (shift.order() == rollout) {
        this->orderEras[rollout.service] = era;
    }
}

void FleetSync::beginEvacuation(const ZoneId &evacuated, std::uint64_t rowVersion)
{
    if (!this->context.fleetView.evacuatedZones.add(evacuated)) {
        return;
    }
    this->context.metrics.countEvent("evacuation_begun");
    this->context.metrics.setGauge("evacuated_zones",
                                   static_cast<double>(this->context.fleetView.evacuatedZones.size()));
    this->context.log.line(
        "evacuation",
        {{"zone", evacuated.str()}, {"state", "begun"}, {"row_version", static_cast<std::int64_t>(rowVersion)}});
}

void FleetSync::endEvacuation(const ZoneId &evacuated)
{
    if (!this->context.fleetView.evacuatedZones.remove(evacuated)) {
        return;
    }
    this->context.fleetView.coldUpstreams.onZoneReturned(evacuated, bootClockNow());
    this->context.metrics.countEvent("evacuation_ended");
    this->context.metrics.setGauge("evacuated_zones",
                                   static_cast<double>(this->context.fleetView.evacuatedZones.size()));
    this->context.log.line("evacuation", {{"zone", evacuated.str()}, {"state", "ended"}});
}

void FleetSync::replaceUpstreams(const TableSnapshot &snapshot)
{
    std::vector<UpstreamEntry> entries;
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        if (auto entry = this->context.platform.readUpstream(row, reason)) {
            entries.push_back(std::move(*entry));
        } else {
            this->context.log.line("upstream_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
        }
    }
    const TimePoint now = bootClockNow();
    this->recordColdUpstreams(entries, now);
    if (!entries.empty()) {
        this->context.fleetView.upstreamsKnown = true;
    }
    this->context.fleetView.upstreamsReadAt = now;
    UpstreamList &upstreams = this->context.fleetView.upstreams;
    const bool restored = this->isRestored(StoreTable::Upstreams, snapshot);
    for (const std::string &change :
         restored ? upstreams.replaceRestored(entries, now) : upstreams.replace(entries, now)) {
        this->context.log.line("upstream",
                               {{"change", change}, {"list_version", static_cast<std::int64_t>(snapshot.version)}});
    }
}

void FleetSync::recordColdUpstreams(const std::vector<UpstreamEntry> &entries, TimePoint now)
{
    FleetView &fleetView = this->context.fleetView;
    for (const UpstreamEntry &entry : entries) {
        if (!entry.isColdReadable) {
            this->context.log.line("cold_time_unreadable", {{"upstream", processName(entry)}});
        }
        const RegisteredUpstream *known = fleetView.upstreams.find(entry.id);
        const bool isNew = known == nullptr || !isSameProcess(known->entry, entry);
        fleetView.coldUpstreams.onRegistered(entry, isNew && fleetView.upstreamsKnown, now);
    }
}

void FleetSync::applyUpstreamChanges(const TableSnapshot &snapshot)
{
    UpstreamList &upstreams = this->context.fleetView.upstreams;
    const TimePoint now = bootClockNow();
    const auto version = static_cast<std::int64_t>(snapshot.version);
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        const auto entry = this->context.platform.readUpstream(row, reason);
        if (!entry) {
            this->context.log.line("upstream_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        this->recordColdUpstreams({*entry}, now);
        this->context.fleetView.upstreamsKnown = true;
        const std::string change = upstreams.update(*entry);
        if (!change.empty()) {
            this->context.log.line("upstream",
                                   {{"change", entry->id.str() + " " + change},
                                    {"service", entry->service.str()},
                                    {"software", entry->version.str()},
                                    {"list_version", version}});
        }
    }
    for (const std::string &key : snapshot.removed) {
        const std::string change = upstreams.remove(UpstreamId(rowName(key)), now);
        if (!change.empty()) {
            this->context.log.line("upstream", {{"change", rowName(key) + " " + change}, {"list_version", version}});
        }
    }
    this->context.fleetView.upstreamsReadAt = now;
}

void FleetSync::replaceStatus(const TableSnapshot &snapshot)
{
    this->statusVersions.clear();
    this->recordedStatus.clear();
    this->applyStatus(snapshot);
}

void FleetSync::applyStatus(const TableSnapshot &snapshot)
{
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        this->statusVersions[row.key] = row.version;
        const auto status = this->context.platform.readStatus(row, reason);
        if (!status) {
            this->context.log.line("status_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        this->recordedStatus[status->service] = *status;
        VersionShift &shift = shiftOf(this->context, status->service);
        shift.setLimits(this->shiftLimits);
        shift.onStatus(*status, this->localTime(status->startedAt));
        this->context.log.line("rollout_status",
                               {{"service", status->service.str()},
                                {"to", status->to.str()},
                                {"state", rolloutStateName(status->state)},
                                {"order", static_cast<std::int64_t>(status->order)},
                                {"row_version", static_cast<std::int64_t>(row.version)}});
    }
}

} // namespace parsleyvane
