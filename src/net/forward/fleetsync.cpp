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
{
}

void FleetSync::setShiftLimits(const ShiftLimits &newLimits)
{
    this->shiftLimits = newLimits;
    for (auto &[service, shift] : this->context.beliefs.shifts) {
        shift.setLimits(newLimits);
    }
}

void FleetSync::start(std::function<void()> onConfigured)
{
    this->configured = std::move(onConfigured);
    const std::array readers = {
        Reader{StoreTable::Orders, "orders", &FleetSync::takeOrders, &FleetSync::takeOrders},
        Reader{StoreTable::Upstreams, "upstreams", &FleetSync::takeAllUpstreams, &FleetSync::takeUpstreams},
        Reader{StoreTable::Status, "status", &FleetSync::takeStatus, &FleetSync::takeStatus},
        Reader{StoreTable::Fleet, "fleet", &FleetSync::takeReports, &FleetSync::takeReports},
    };
    for (const Reader &reader : readers) {
        asio::co_spawn(this->context.io, this->readLoop(reader), asio::detached);
    }
    asio::co_spawn(this->context.io, this->tickLoop(), asio::detached);
    this->context.evidenceChanged = [this]() {
        this->publishAgain = true;
        if (!this->publishing) {
            this->publishing = true;
            asio::co_spawn(this->context.io, this->publish(), asio::detached);
        }
    };
}

asio::awaitable<void> FleetSync::readLoop(Reader reader)
{
    std::optional<std::uint64_t> version; // nothing before the table was read whole
    Milliseconds pause = this->limits.firstRetry;
    while (true) {
        LastReason reason;
        if (co_await this->readOnce(reader, version, reason)) {
            this->noteStore(reader, true, {});
            pause = this->limits.firstRetry;
            if (this->pace(reader.table).count() > 0) {
                co_await sleepFor(this->pace(reader.table));
            }
            continue;
        }
        this->noteStore(reader, false, reason.failure().detail);
        // The draw keeps the instances from asking at the same moment when the store returns.
        std::uniform_real_distribution<double> draw(0.5, 1.0);
        const double drawn = draw(this->context.random) * static_cast<double>(pause.count());
        co_await sleepFor(Milliseconds(static_cast<std::int64_t>(drawn)));
        pause = std::min(pause * 2, this->limits.longestRetry);
    }
}

asio::awaitable<bool> FleetSync::readOnce(const Reader &reader, std::optional<std::uint64_t> &version,
                                          LastReason &reason)
{
    if (!version) {
        const auto snapshot = co_await this->context.platform.readTable(reader.table, reason);
        if (!snapshot) {
            co_return false;
        }
        this->noteTime(*snapshot);
        (this->*reader.whole)(*snapshot);
        version = snapshot->version;
        co_return true;
    }
    const ChangesOutcome outcome = co_await this->context.platform.readChanges(
        reader.table, *version, reader.table == StoreTable::Orders ? this->limits.ordersWait : this->limits.wait);
    if (const auto *snapshot = std::get_if<TableSnapshot>(&outcome)) {
        this->noteTime(*snapshot);
        (this->*reader.changes)(*snapshot);
        version = std::max(*version, snapshot->version);
        co_return true;
    }
    if (std::holds_alternative<HistoryLost>(outcome)) {
        this->context.log.line("history_lost",
                               {{"table", reader.name}, {"after", static_cast<std::int64_t>(*version)}});
        version.reset();
        co_return true;
    }
    reason.fail(std::get<Failure>(outcome));
    co_return false;
}

void FleetSync::noteStore(const Reader &reader, bool answers, const std::string &detail)
{
    bool &wasAway = this->away[reader.name];
    if (answers == !wasAway) {
        return;
    }
    wasAway = !answers;
    this->context.metrics.countEvent(answers ? "store_regained" : "store_lost");
    this->context.log.line(answers ? "store_regained" : "store_lost", {{"table", reader.name}, {"detail", detail}});
    if (reader.table == StoreTable::Orders && !answers) {
        this->context.platform.interruptReads();
    }
    if (reader.table == StoreTable::Upstreams) {
        if (answers) {
            this->context.beliefs.upstreams.onStoreReachable(bootClockNow());
        } else {
            this->context.beliefs.upstreams.onStoreUnreachable();
        }
    }
}

Milliseconds FleetSync::pace(StoreTable table) const
{
    switch (table) {
    case StoreTable::Upstreams:
        return this->limits.upstreamPace;
    case StoreTable::Fleet:
        return this->limits.fleetPace;
    default:
        return Milliseconds(0);
    }
}

void FleetSync::setBounds(Milliseconds change, Milliseconds leaving)
{
    // A read that was lost with the store ends after its wait and margin; the next one needs some ms.
    constexpr Milliseconds readMargin{900};
    constexpr Milliseconds leastWait{500};
    constexpr int paceParts = 3;
    this->limits.ordersWait = std::max(leastWait, std::min(change, leaving) - readMargin);
    this->limits.upstreamPace = leaving / paceParts;
}

void FleetSync::noteTime(const TableSnapshot &snapshot)
{
    const Milliseconds offset = snapshot.storeTime - bootClockNow().time_since_epoch();
    // Answers come late, never early: the largest offset is the nearest to the truth.
    this->storeOffset = this->timeKnown ? std::max(this->storeOffset, offset) : offset;
    this->timeKnown = true;
}

TimePoint FleetSync::localTime(Milliseconds storeTime) const
{
    return TimePoint(storeTime - this->storeOffset);
}

void FleetSync::takeOrders(const TableSnapshot &snapshot)
{
    FleetBeliefs &beliefs = this->context.beliefs;
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        const auto order = this->context.platform.readOrder(row, reason);
        if (!order) {
            this->context.log.line("order_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        if (const auto *table = std::get_if<std::shared_ptr<const RouteTable>>(&*order)) {
            if (beliefs.table && (*table)->revision() < beliefs.table->revision()) {
                continue;
            }
            beliefs.table = *table;
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
            if (shift.onOrder(rollout)) {
                this->context.log.line("rollout_order",
                                       {{"service", rollout.service.str()},
                                        {"to", rollout.to.str()},
                                        {"duration", rollout.duration.count()},
                                        {"number", static_cast<std::int64_t>(rollout.number)}});
            }
        }
    }
    beliefs.tableAt = bootClockNow();
}

void FleetSync::takeAllUpstreams(const TableSnapshot &snapshot)
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
        this->context.beliefs.upstreamsKnown = true;
    }
    this->context.beliefs.upstreamsAt = now;
    for (const std::string &change : this->context.beliefs.upstreams.replace(entries, now)) {
        this->context.log.line("upstream",
                               {{"change", change}, {"list_version", static_cast<std::int64_t>(snapshot.version)}});
    }
}

void FleetSync::takeUpstreams(const TableSnapshot &snapshot)
{
    UpstreamList &upstreams = this->context.beliefs.upstreams;
    const TimePoint now = bootClockNow();
    const auto version = static_cast<std::int64_t>(snapshot.version);
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        const auto entry = this->context.platform.readUpstream(row, reason);
        if (!entry) {
            this->context.log.line("upstream_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        this->context.beliefs.upstreamsKnown = true;
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
    this->context.beliefs.upstreamsAt = now;
}

void FleetSync::takeStatus(const TableSnapshot &snapshot)
{
    for (const TableRow &row : snapshot.rows) {
        LastReason reason;
        this->statusVersions[row.key] = row.version;
        const auto status = this->context.platform.readStatus(row, reason);
        if (!status) {
            this->context.log.line("status_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
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

void FleetSync::takeReports(const TableSnapshot &snapshot)
{
    const TimePoint now = bootClockNow();
    for (const TableRow &row : snapshot.rows) {
        const InstanceId from(rowName(row.key));
        if (from == this->self) {
            continue;
        }
        LastReason reason;
        const auto told = parseFleetReport(row.value, reason);
        if (!told) {
            this->context.log.line("report_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
            continue;
        }
        this->context.beliefs.crashes.merge(told->crashes, now);
        for (const VersionReport &version : told->versions) {
            shiftOf(this->context, version.service).merge(from, version);
            this->logEvidence(from, version);
        }
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
    FleetReport told{.crashes = this->context.beliefs.crashes.report()};
    for (const auto &[service, shift] : this->context.beliefs.shifts) {
        if (shift.hasEvidence()) {
            told.versions.push_back(shift.report());
        }
    }
    return told;
}

asio::awaitable<void> FleetSync::publish()
{
    while (this->publishAgain) {
        this->publishAgain = false;
        co_await sleepFor(this->limits.publishPause);
        const FleetReport told = this->report();
        if (told == this->published) {
            continue;
        }
        Transaction transaction;
        transaction.puts.push_back(
            {this->context.platform.rowKey(StoreTable::Fleet, this->self.str()), serialise(told)});
        const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
        if (std::holds_alternative<TransactionCommitted>(outcome)) {
            this->published = told;
        } else {
            this->context.metrics.countEvent("report_not_written");
        }
    }
    this->publishing = false;
}

asio::awaitable<void> FleetSync::tickLoop()
{
    while (true) {
        co_await sleepFor(this->limits.tick);
        const TimePoint now = bootClockNow();
        for (const UpstreamId &id : this->context.beliefs.upstreams.expire(now)) {
            this->context.log.line("upstream", {{"change", id.str() + " gone after its lapse"}});
        }
        this->context.beliefs.crashes.expire(now);
        this->context.pool.expire(now);
        for (auto &[service, shift] : this->context.beliefs.shifts) {
            shift.expire(now);
            if (shift.order() && !this->steering[service]) {
                this->steering[service] = true;
                asio::co_spawn(this->context.io, this->steer(service), asio::detached);
            }
        }
    }
}

asio::awaitable<void> FleetSync::steer(ServiceName service)
{
    VersionShift &shift = shiftOf(this->context, service);
    const RolloutOrder order = *shift.order();
    RolloutStatus status{.service = service, .to = order.to, .order = order.number};
    const TimePoint now = bootClockNow();
    std::uniform_int_distribution<int> draw(0, 400);
    if (!shift.state()) {
        // Whoever draws the shortest pause writes; the others see the row and need no call.
        co_await sleepFor(Milliseconds(draw(this->context.random)));
        if (!shift.state()) {
            status.startedAt = bootClockNow().time_since_epoch() + this->storeOffset;
            co_await this->writeStatus(status);
        }
    } else if (const auto found = shift.evaluate(now)) {
        this->context.log.line("version_bad",
                               {{"service", service.str()}, {"version", order.to.str()}, {"evidence", *found}});
    }
    if (shift.state() == RolloutState::Running && (shift.isBad() || shift.mayComplete(now))) {
        status.state = shift.isBad() ? RolloutState::RolledBack : RolloutState::Completed;
        if (!shift.isBad()) {
            co_await sleepFor(Milliseconds(draw(this->context.random)));
        }
        if (shift.state() == RolloutState::Running && shift.order() == order) {
            co_await this->writeStatus(status);
        }
    }
    this->steering[service] = false;
}

asio::awaitable<void> FleetSync::writeStatus(RolloutStatus status)
{
    auto [name, text] = this->context.platform.writeStatus(status);
    const std::string key = this->context.platform.rowKey(StoreTable::Status, name);
    Transaction transaction;
    transaction.checks.push_back({key, this->statusVersions[key]});
    transaction.puts.push_back({key, std::move(text)});
    const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
    const std::string told
        = std::visit(Overloaded{[](const TransactionCommitted &) { return std::string("written"); },
                                [](const TransactionConflict &) { return std::string("another instance was first"); },
                                [](const TransactionIndeterminate &lost) { return "unknown: " + lost.failure.detail; },
                                [](const TransactionNotSent &failed) {
                                    return "not written: " + failed.failure.detail;
                                }},
                     outcome);
    this->context.log.line("rollout_decision",
                           {{"service", status.service.str()},
                            {"to", status.to.str()},
                            {"state", stateName(status.state)},
                            {"outcome", told}});
    if (const auto *conflict = std::get_if<TransactionConflict>(&outcome)) {
        TableSnapshot current{.rows = conflict->rows};
        this->takeStatus(current);
        co_return;
    }
    if (std::holds_alternative<TransactionCommitted>(outcome)) {
        shiftOf(this->context, status.service).onStatus(status, this->localTime(status.startedAt));
        // The row's new version comes with the changes; until then nothing else is decided here.
        co_await sleepFor(this->limits.tick);
    }
}

} // namespace parsleyvane
