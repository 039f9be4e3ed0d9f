#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"

namespace parsleyvane {

void FleetSync::applyOrders(const TableSnapshot &snapshot)
{
    FleetView &fleetView = this->context.fleetView;
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        const auto order = this->context.platform.readOrder(row, reason);
        if (!order) {
            this->context.log.line("order_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        if (const auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&*order)) {
            if (fleetView.table && (*table)->revision() < fleetView.table->revision()) {
                continue;
            }
            fleetView.table = *table;
            this->context.metrics.setGauge("revision", static_cast<double>((*table)->revision().value()));
            this->context.log.line("configuration",
                                   {{"revision", static_cast<std::int64_t>((*table)->revision().value())},
                                    {"row_version", static_cast<std::int64_t>(row.version)},
                                    {"routes", static_cast<std::int64_t>((*table)->routeCount())}});
            this->configured();
        } else {
            const auto &rollout = std::get<RolloutOrder>(*order);
            VersionShift &shift = shiftOf(this->context, rollout.service);
            shift.setLimits(this->shiftLimits);
            const auto orderEra = this->orderEras.find(rollout.service);
            const bool isRestored = orderEra != this->orderEras.end() && orderEra->second < snapshot.era;
            if (isRestored ? shift.onRestoredOrder(rollout) : shift.onOrder(rollout)) {
                this->context.log.line("rollout_order",
                                       {{"service", rollout.service.str()},
                                        {"to", rollout.to.str()},
                                        {"duration", rollout.duration.count()},
                                        {"number", static_cast<std::int64_t>(rollout.number)}});
            }
            if (shift.order() == rollout) {
                this->orderEras[rollout.service] = snapshot.era;
            }
        }
    }
    fleetView.tableConfirmedAt = bootClockNow();
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
