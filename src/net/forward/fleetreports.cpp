#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

void FleetSync::mergeReports(const TableSnapshot &snapshot)
{
    const TimePoint now = bootClockNow();
    std::map<InstanceId, LimitReport> limitReports;
    // The ledger compares all crashes once for all reports together.
    CrashEvidence crashes;
    for (const TableRow &row : snapshot.rows) {
        if (isGatheredRow(row.key)) {
            this->mergeGathered(row);
            continue;
        }
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
        CrashEvidence reported = shifted(report->crashes, -this->storeClockOffset);
        if (from == this->self) {
            this->context.fleetView.crashes.restore(reported, now);
            this->isOwnReportKnown = true;
            continue;
        }
        crashes.crashes.insert(crashes.crashes.end(), reported.crashes.begin(), reported.crashes.end());
        crashes.cleared.insert(crashes.cleared.end(), reported.cleared.begin(), reported.cleared.end());
        crashes.trials.insert(crashes.trials.end(), reported.trials.begin(), reported.trials.end());
        this->mergeVersions(from, report->versions);
    }
    this->context.fleetView.crashes.merge(crashes, now);
    this->mergeLimits(limitReports);
    this->logEvidence();
}

void FleetSync::mergeVersions(const InstanceId &from, const std::vector<VersionReport> &versions)
{
    for (const VersionReport &version : versions) {
        shiftOf(this->context, version.service).merge(from, version);
        this->mergedReports[version.service] += 1;
    }
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
    if (this->relay) {
        this->relay->leave();
        asio::co_spawn(this->context.io, this->removeMember(), asio::detached);
    }
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

void FleetSync::logEvidence()
{
    // One line for all reports of an answer: there may be hundreds.
    for (const auto &[service, reports] : this->mergedReports) {
        const VersionReport sum = shiftOf(this->context, service).totals();
        for (const auto &[route, answers] : sum.routes) {
            this->context.log.line("evidence",
                                   {{"reports", static_cast<std::int64_t>(reports)},
                                    {"service", service.str()},
                                    {"version", sum.version.str()},
                                    {"route", route.str()},
                                    {"bad", static_cast<std::int64_t>(answers.candidate.bad)},
                                    {"served", static_cast<std::int64_t>(answers.candidate.served)},
                                    {"predecessor_bad", static_cast<std::int64_t>(answers.predecessor.bad)},
                                    {"predecessor_served", static_cast<std::int64_t>(answers.predecessor.served)},
                                    {"start_answers", static_cast<std::int64_t>(sum.firstEventEvidence.answers)},
                                    {"start_log_odds", std::to_string(sum.firstEventEvidence.logOdds())},
                                    {"pace_answers", static_cast<std::int64_t>(sum.latencyEvidence.answers)},
                                    {"pace_log_odds", std::to_string(sum.latencyEvidence.logOdds())}});
        }
    }
    this->mergedReports.clear();
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

FleetReport FleetSync::rowReport() const
{
    FleetReport own = this->report();
    if (!this->mayDecide()) {
        // The reader has it from this instance's questions.
        own.crashes = this->published.crashes;
        own.versions = this->published.versions;
    }
    return own;
}

asio::awaitable<void> FleetSync::publish()
{
    Milliseconds backoff = this->limits.publishDelay;
    while (this->publishPending) {
        this->publishPending = false;
        co_await sleepFor(backoff);
        const FleetReport current = this->rowReport();
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

void FleetSync::onReport(const InstanceId &from, const std::string &text)
{
    LastReason reason;
    const auto report = parseFleetReport(text, reason);
    if (!report) {
        this->context.log.line("report_unreadable", {{"row", from.str()}, {"detail", reason.failure().detail}});
        return;
    }
    // This instance publishes the crashes as its own, as far as the others need to know them.
    this->context.fleetView.crashes.restore(shifted(report->crashes, -this->storeClockOffset), bootClockNow());
    this->mergeVersions(from, report->versions);
    this->gathered[from] = report->versions;
    this->isGatheredChanged = true;
    if (!this->isGathering) {
        this->isGathering = true;
        asio::co_spawn(this->context.io, this->publishGathered(), asio::detached);
    }
    if (report->crashes != CrashEvidence()) {
        this->context.evidenceChanged();
    }
}

asio::awaitable<void> FleetSync::publishGathered()
{
    std::string written;
    while (this->isGatheredChanged) {
        this->isGatheredChanged = false;
        co_await sleepFor(this->limits.gatherDelay);
        const std::string key = this->context.platform.rowKey(StoreTable::Fleet, gatheredRowName(this->self));
        Transaction transaction;
        transaction.puts.push_back({key, serialise(this->gathered)});
        const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
        if (!std::holds_alternative<TransactionCommitted>(outcome)) {
            this->context.metrics.countEvent("report_not_written");
            this->isGatheredChanged = true;
        }
    }
    this->isGathering = false;
}

void FleetSync::mergeGathered(const TableRow &row)
{
    LastReason reason;
    const auto reports = parseGathered(row.value, reason);
    if (!reports) {
        this->context.log.line("report_unreadable", {{"row", row.key}, {"detail", reason.failure().detail}});
        return;
    }
    for (const auto &[from, versions] : *reports) {
        if (from != this->self) {
            this->mergeVersions(from, versions);
        }
    }
}

} // namespace parsleyvane
