#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/overloaded.h"
#include "parsleyvane/net/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

std::string rowName(const std::string &key)
{
    return key.substr(key.find('/') + 1);
}

std::string_view stateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        break;
    }
    return "rolled_back";
}

} // namespace

FleetSync::FleetSync(ForwardContext &context, InstanceId self, SyncLimits limits)
    : context(context)
    , self(std::move(self))
    , limits(limits)
    , watch(limits.watch)
{
    this->context.fleetView.upstreamLimiter.setSelf(this->self);
}

void FleetSync::setShiftLimits(const ShiftLimits &newLimits)
{
    this->shiftLimits = newLimits;
    for (auto &[service, shift] : this->context.fleetView.shifts) {
        shift.setLimits(newLimits);
    }
}

void FleetSync::start(std::function<void()> onConfigured)
{
    this->configured = std::move(onConfigured);
    this->readers = {
        Reader{StoreTable::Orders, "orders", &FleetSync::applyOrders, &FleetSync::applyOrders},
        Reader{StoreTable::Upstreams, "upstreams", &FleetSync::replaceUpstreams, &FleetSync::applyUpstreamChanges},
        Reader{StoreTable::Status, "status", &FleetSync::replaceStatus, &FleetSync::applyStatus},
        Reader{StoreTable::Fleet, "fleet", &FleetSync::mergeReports, &FleetSync::mergeReports},
    };
    for (const Reader &reader : this->readers) {
        asio::co_spawn(this->context.io, this->readLoop(reader), asio::detached);
    }
    asio::co_spawn(this->context.io, this->tickLoop(), asio::detached);
    this->context.evidenceChanged = [this]() {
        this->publishPending = true;
        if (!this->publishing) {
            this->publishing = true;
            asio::co_spawn(this->context.io, this->publish(), asio::detached);
        }
    };
}

asio::awaitable<void> FleetSync::readLoop(Reader reader)
{
    while (true) {
        const bool wasReachable = this->watch.isReachable(reader.table);
        const auto lastAnswer = this->watch.answeredAt(reader.table);
        LastReason reason;
        const Milliseconds pause = co_await this->readOnce(reader, reason);
        this->updateReachability(reader, wasReachable, lastAnswer, reason.failure().detail);
        this->interruptReads();
        if (pause.count() > 0) {
            co_await sleepFor(pause);
        }
    }
}

asio::awaitable<Milliseconds> FleetSync::readOnce(const Reader &reader, LastReason &reason)
{
    const TableRead read = this->watch.beginRead(reader.table, bootClockNow());
    if (!read.after) {
        const auto snapshot = co_await this->context.platform.readTable(reader.table, reason);
        this->updateEra();
        if (!snapshot) {
            co_return this->onReadFailed(reader.table);
        }
        if (!this->watch.isCurrent(reader.table, snapshot->era)) {
            co_return this->watch.onOutdatedAnswer(reader.table);
        }
        const Milliseconds pause = this->watch.onAnswer(reader.table, snapshot->version, bootClockNow());
        this->updateClockOffset(*snapshot);
        (this->*reader.applyTable)(*snapshot);
        this->readEras[reader.table] = snapshot->era;
        co_return pause;
    }
    const ChangesOutcome outcome = co_await this->context.platform.readChanges(reader.table, *read.after, read.wait);
    this->updateEra();
    if (const auto *snapshot = std::get_if<TableSnapshot>(&outcome)) {
        if (!this->watch.isCurrent(reader.table, snapshot->era)) {
            co_return this->watch.onOutdatedAnswer(reader.table);
        }
        const Milliseconds pause = this->watch.onAnswer(reader.table, snapshot->version, bootClockNow());
        this->updateClockOffset(*snapshot);
        (this->*reader.applyChanges)(*snapshot);
        co_return pause;
    }
    if (std::holds_alternative<HistoryLost>(outcome)) {
        this->context.log.line("history_lost",
                               {{"table", reader.name}, {"after", static_cast<std::int64_t>(*read.after)}});
        co_return this->watch.onHistoryLost(reader.table, bootClockNow());
    }
    reason.fail(std::get<Failure>(outcome));
    co_return this->onReadFailed(reader.table);
}

void FleetSync::updateEra()
{
    const std::uint64_t era = this->context.platform.storeEra();
    if (!this->watch.onEra(era)) {
        return;
    }
    this->context.metrics.countEvent("store_restored");
    this->context.log.line("store_restored", {{"era", static_cast<std::int64_t>(era)}});
    this->published = FleetReport();
    this->context.evidenceChanged();
    this->interruptReads();
}

bool FleetSync::isRestored(StoreTable table, const TableSnapshot &snapshot) const
{
    const auto found = this->readEras.find(table);
    return found != this->readEras.end() && found->second < snapshot.era;
}

Milliseconds FleetSync::onReadFailed(StoreTable table)
{
    // The jitter keeps the instances from retrying at the same moment when the store is reachable again.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return this->watch.onFailure(table, jitter(this->context.random));
}

void FleetSync::updateReachability(const Reader &reader, bool wasReachable, std::optional<TimePoint> lastAnswer,
                                   const std::string &detail)
{
    const bool isReachable = this->watch.isReachable(reader.table);
    if (isReachable == wasReachable) {
        return;
    }
    const TimePoint now = bootClockNow();
    this->context.metrics.countEvent(isReachable ? "store_regained" : "store_lost");
    this->context.log.line(isReachable ? "store_regained" : "store_lost",
                           {{"table", reader.name},
                            {"detail", detail},
                            {"pending", (now - this->watch.begunAt(reader.table)).count()},
                            {"wait", this->watch.latestWait(reader.table).count()},
                            {"age", lastAnswer ? std::to_string((now - *lastAnswer).count()) : "never"}});
    if (reader.table != StoreTable::Upstreams) {
        return;
    }
    if (isReachable) {
        this->context.fleetView.upstreams.onStoreReachable(now);
    } else {
        this->context.fleetView.upstreams.onStoreUnreachable();
    }
}

void FleetSync::interruptReads()
{
    for (const StoreTable table : this->watch.takeInterrupts(bootClockNow())) {
        this->context.platform.interruptRead(table);
    }
}

void FleetSync::updateMetrics()
{
    const TimePoint now = bootClockNow();
    for (const Reader &reader : this->readers) {
        if (const auto answeredAt = this->watch.answeredAt(reader.table)) {
            this->context.metrics.setGauge("store_age_ms_" + reader.name,
                                           static_cast<double>((now - *answeredAt).count()));
        }
    }
}

void FleetSync::setBounds(const WatchBounds &bounds)
{
    this->watch.setLimits(withBounds(this->limits.watch, bounds));
}

void FleetSync::updateClockOffset(const TableSnapshot &snapshot)
{
    const Milliseconds offset = snapshot.storeTime - bootClockNow().time_since_epoch();
    // Network latency only lowers the measured offset, so the largest one is the most accurate.
    this->storeClockOffset = this->isClockOffsetKnown ? std::max(this->storeClockOffset, offset) : offset;
    this->isClockOffsetKnown = true;
    this->latestStoreTime = std::max(this->latestStoreTime, snapshot.storeTime);
}

Milliseconds FleetSync::storeTimeNow() const
{
    // During an outage the store's time stands still, so that no instance takes the others for gone.
    constexpr Milliseconds maxExtrapolation{2000};
    const Milliseconds extrapolated = bootClockNow().time_since_epoch() + this->storeClockOffset;
    return std::min(extrapolated, this->latestStoreTime + maxExtrapolation);
}

TimePoint FleetSync::localTime(Milliseconds storeTime) const
{
    return TimePoint(storeTime - this->storeClockOffset);
}

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
                                {"state", stateName(status->state)},
                                {"order", static_cast<std::int64_t>(status->order)},
                                {"row_version", static_cast<std::int64_t>(row.version)}});
    }
}

void FleetSync::mergeReports(const TableSnapshot &snapshot)
{
    const TimePoint now = bootClockNow();
    std::map<InstanceId, LimitReport> limitReports;
    for (const TableRow &row : snapshot.rows) {
        const InstanceId from(rowName(row.key));
        if (from == this->self && this->isOwnReportKnown) {
            continue;
        }
        LastReason reason;
        const auto report = parseFleetReport(row.value, reason);
        if (!report) {
            this->context.log.line("report_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        limitReports[from] = shifted(report->limits, -this->storeClockOffset);
        const CrashEvidence crashes = shifted(report->crashes, -this->storeClockOffset);
        if (from == this->self) {
            this->context.fleetView.crashes.restore(crashes, now);
            this->isOwnReportKnown = true;
            continue;
        }
        this->context.fleetView.crashes.merge(crashes, now);
        for (const VersionReport &version : report->versions) {
            shiftOf(this->context, version.service).merge(from, version);
            this->logEvidence(from, version);
        }
    }
    this->mergeLimits(limitReports);
}

void FleetSync::mergeLimits(const std::map<InstanceId, LimitReport> &reports)
{
    UpstreamLimiter &limiter = this->context.fleetView.upstreamLimiter;
    const TimePoint now = bootClockNow();
    const std::vector<LimitNotice> changed = limiter.merge(reports, now);
    for (const LimitNotice &notice : changed) {
        this->context.log.line(
            "upstream_limit",
            {{"from", "reports"},
             {"upstream", notice.process},
             {"per_second", notice.rate ? std::to_string(notice.rate->perSecond) : std::string("none")},
             {"members", static_cast<std::int64_t>(limiter.members())},
             {"age", (now - notice.at).count()}});
    }
    if (!changed.empty() && this->context.evidenceChanged) {
        // The demand that this instance reports from now on.
        this->context.evidenceChanged();
    }
}

void FleetSync::leave()
{
    this->context.fleetView.upstreamLimiter.leave(bootClockNow());
    if (this->context.evidenceChanged) {
        this->context.evidenceChanged();
    }
}

void FleetSync::logBlocks()
{
    for (const BlockChange &change : this->context.fleetView.crashes.takeChanges()) {
        std::string sites;
        for (const std::string &site : change.sites) {
            sites.append(sites.empty() ? "" : ",").append(site);
        }
        this->context.metrics.countEvent(change.isBlocked ? "suspect_blocked" : "suspect_unblocked");
        this->context.log.line(change.isBlocked ? "suspect_blocked" : "suspect_unblocked",
                               {{"suspect", change.print.str()}, {"crashes", sites}, {"age", change.age.count()}});
    }
}

void FleetSync::logEvidence(const InstanceId &from, const VersionReport &version)
{
    for (const auto &[route, answers] : version.routes) {
        this->context.log.line("evidence",
                               {{"from", from.str()},
                                {"service", version.service.str()},
                                {"version", version.version.str()},
                                {"route", route.str()},
                                {"bad", static_cast<std::int64_t>(answers.candidate.bad)},
                                {"served", static_cast<std::int64_t>(answers.candidate.served)},
                                {"predecessor_bad", static_cast<std::int64_t>(answers.predecessor.bad)},
                                {"predecessor_served", static_cast<std::int64_t>(answers.predecessor.served)},
                                {"start_answers", static_cast<std::int64_t>(version.firstEventEvidence.answers)},
                                {"start_log_odds", std::to_string(version.firstEventEvidence.logOdds())},
                                {"pace_answers", static_cast<std::int64_t>(version.latencyEvidence.answers)},
                                {"pace_log_odds", std::to_string(version.latencyEvidence.logOdds())}});
    }
}

FleetReport FleetSync::report() const
{
    FleetReport own{.crashes = this->context.fleetView.crashes.report(),
                    .limits = this->context.fleetView.upstreamLimiter.report()};
    for (const auto &[service, shift] : this->context.fleetView.shifts) {
        if (shift.hasEvidence()) {
            own.versions.push_back(shift.report());
        }
    }
    return own;
}

asio::awaitable<void> FleetSync::publish()
{
    Milliseconds backoff = this->limits.publishDelay;
    while (this->publishPending) {
        this->publishPending = false;
        co_await sleepFor(backoff);
        const FleetReport current = this->report();
        if (current == this->published) {
            continue;
        }
        FleetReport onStoreClock = current;
        onStoreClock.crashes = shifted(current.crashes, this->storeClockOffset);
        onStoreClock.limits = shifted(current.limits, this->storeClockOffset);
        Transaction transaction;
        transaction.puts.push_back(
            {this->context.platform.rowKey(StoreTable::Fleet, this->self.str()), serialise(onStoreClock)});
        const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
        if (std::holds_alternative<TransactionCommitted>(outcome)) {
            this->published = current;
            this->isOwnReportKnown = true;
            backoff = this->limits.publishDelay;
            this->updateEra();
        } else {
            this->context.metrics.countEvent("report_not_written");
            this->publishPending = true;
            backoff = std::min(backoff * 2, std::max(this->limits.publishDelay, this->limits.watch.maxBackoff));
        }
    }
    this->publishing = false;
}

asio::awaitable<void> FleetSync::tickLoop()
{
    while (true) {
        co_await sleepFor(this->limits.tickInterval);
        const TimePoint now = bootClockNow();
        this->interruptReads();
        for (const UpstreamId &id : this->context.fleetView.upstreams.expire(now)) {
            this->context.log.line("upstream", {{"change", id.str() + " gone after its lapse"}});
        }
        this->context.fleetView.crashes.expire(now);
        this->logBlocks();
        if (this->context.fleetView.upstreamLimiter.update(this->storeTimeNow(), now)) {
            this->context.evidenceChanged();
        }
        this->context.pool.expire(now);
        for (auto &[service, shift] : this->context.fleetView.shifts) {
            shift.expire(now);
            if (shift.order() && !this->advancingRollouts[service]) {
                this->advancingRollouts[service] = true;
                asio::co_spawn(this->context.io, this->advanceRollout(service), asio::detached);
            }
        }
    }
}

asio::awaitable<void> FleetSync::advanceRollout(ServiceName service)
{
    const VersionShift &shift = shiftOf(this->context, service);
    const RolloutOrder order = *shift.order();
    if (!shift.state()) {
        co_await this->startRollout(order);
    } else if (this->isStatusMissing(service)) {
        co_await this->restoreStatus(order);
    } else {
        this->evaluateVersion(order);
    }
    if (shift.order() == order && shift.state() == RolloutState::Running
        && (shift.isBad() || shift.mayComplete(bootClockNow()))) {
        co_await this->endRollout(order);
    }
    this->advancingRollouts[service] = false;
}

void FleetSync::evaluateVersion(const RolloutOrder &order)
{
    if (const auto found = shiftOf(this->context, order.service).evaluate(bootClockNow())) {
        this->context.log.line("version_bad",
                               {{"service", order.service.str()}, {"version", order.to.str()}, {"evidence", *found}});
    }
}

bool FleetSync::isStatusMissing(const ServiceName &service) const
{
    const auto orderEra = this->orderEras.find(service);
    const auto statusEra = this->readEras.find(StoreTable::Status);
    const std::uint64_t era = this->context.platform.storeEra();
    const bool isKnown = orderEra != this->orderEras.end() && orderEra->second == era
        && statusEra != this->readEras.end() && statusEra->second == era;
    if (!isKnown) {
        return false;
    }
    const auto recorded = this->recordedStatus.find(service);
    return recorded == this->recordedStatus.end()
        || !this->context.fleetView.shifts.at(service).isRecordedBy(recorded->second);
}

asio::awaitable<void> FleetSync::restoreStatus(RolloutOrder order)
{
    // The instance with the shortest random delay writes.
    co_await sleepFor(this->writeDelay());
    const VersionShift &shift = shiftOf(this->context, order.service);
    const auto agreed = shift.agreed();
    if (shift.order() != order || !agreed || !this->isStatusMissing(order.service)) {
        co_return;
    }
    RolloutStatus status{.service = order.service, .to = order.to, .state = agreed->first, .order = order.number};
    status.startedAt = agreed->second.time_since_epoch() + this->storeClockOffset;
    co_await this->writeStatus(std::move(status));
}

asio::awaitable<void> FleetSync::startRollout(RolloutOrder order)
{
    const VersionShift &shift = shiftOf(this->context, order.service);
    // The instance with the shortest random delay writes; the others see its row and need no call.
    co_await sleepFor(this->writeDelay());
    if (shift.order() == order && !shift.state()) {
        RolloutStatus status{.service = order.service, .to = order.to, .order = order.number};
        status.startedAt = bootClockNow().time_since_epoch() + this->storeClockOffset;
        co_await this->writeStatus(std::move(status));
    }
}

asio::awaitable<void> FleetSync::endRollout(RolloutOrder order)
{
    const VersionShift &shift = shiftOf(this->context, order.service);
    if (!shift.isBad()) {
        co_await sleepFor(this->writeDelay());
    }
    if (shift.order() != order) {
        co_return;
    }
    // Evidence may have arrived during the delay.
    this->evaluateVersion(order);
    if (shift.state() == RolloutState::Running) {
        RolloutStatus status{.service = order.service, .to = order.to, .order = order.number};
        status.state = shift.isBad() ? RolloutState::RolledBack : RolloutState::Completed;
        co_await this->writeStatus(std::move(status));
    }
}

Milliseconds FleetSync::writeDelay()
{
    std::uniform_int_distribution<int> delay(0, 400);
    return Milliseconds(delay(this->context.random));
}

asio::awaitable<void> FleetSync::writeStatus(RolloutStatus status)
{
    auto [name, text] = this->context.platform.writeStatus(status);
    const std::string key = this->context.platform.rowKey(StoreTable::Status, name);
    Transaction transaction;
    transaction.checks.push_back({key, this->statusVersions[key]});
    transaction.puts.push_back({key, std::move(text)});
    const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
    this->updateEra();
    const std::string result = std::visit(
        Overloaded{[](const TransactionCommitted &) { return std::string("written"); },
                   [](const TransactionConflict &) { return std::string("another instance was first"); },
                   [](const TransactionIndeterminate &unknown) { return "unknown: " + unknown.failure.detail; },
                   [](const TransactionNotSent &failed) {
                       return "not written: " + failed.failure.detail;
                   }},
        outcome);
    this->context.log.line("rollout_decision",
                           {{"service", status.service.str()},
                            {"to", status.to.str()},
                            {"state", stateName(status.state)},
                            {"outcome", result}});
    if (const auto *conflict = std::get_if<TransactionConflict>(&outcome)) {
        // Without a row in the answer, the store has none.
        this->statusVersions[key] = 0;
        TableSnapshot current{.rows = conflict->rows};
        this->applyStatus(current);
        co_return;
    }
    if (std::holds_alternative<TransactionCommitted>(outcome)) {
        this->recordedStatus[status.service] = status;
        shiftOf(this->context, status.service).onStatus(status, this->localTime(status.startedAt));
        // The row's new version arrives with the table's changes; no further decision is made before that.
        co_await sleepFor(this->limits.tickInterval);
    }
}

} // namespace parsleyvane
