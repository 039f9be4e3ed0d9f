#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/sleep.h"

#include <algorithm>

namespace parsleyvane {

namespace asio = boost::asio;

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

} // namespace parsleyvane
