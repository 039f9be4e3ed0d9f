#include "parsleyvane/ingress/versionshift.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace parsleyvane {

namespace {

/// Limits that separate the deployment's bad versions from its usual failures: a version is bad when it fails several
/// times as often as its predecessor, which is assumed to fail in at least 2 of 100.
JudgeLimits judgeLimits(double falseRollbackProbability)
{
    JudgeLimits limits;
    limits.falseRollbackProbability = falseRollbackProbability;
    limits.badRatio = 6;
    limits.minExpectedRate = 0.02;
    limits.minBaselineAnswers = 20;
    return limits;
}

/// Hashes the session to a uniform number in [0, 1), the same at every instance.
double sessionUniform(const std::string &session)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(rendezvousWeight("session", session)) / range;
}

/// Of two states of one order, the one with the higher finality holds: at completion the old version's upstreams stop.
int finality(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return 0;
    case RolloutState::RolledBack:
        return 1;
    case RolloutState::Completed:
        break;
    }
    return 2;
}

VersionEvidence evidenceOf(const AnswerCounts &counts)
{
    return {.served = counts.served, .errors = counts.bad};
}

void addTo(AnswerCounts &sum, const AnswerCounts &counts)
{
    sum.served += counts.served;
    sum.bad += counts.bad;
}

void addTo(RouteAnswers &sum, const RouteAnswers &answers)
{
    addTo(sum.candidate, answers.candidate);
    addTo(sum.predecessor, answers.predecessor);
}

void addTo(PaceEvidence &sum, const PaceEvidence &evidence)
{
    sum.allSlow += evidence.allSlow;
    sum.someSlow += evidence.someSlow;
    sum.answers += evidence.answers;
}

RouteAnswers sumOf(const std::map<RouteName, RouteAnswers> &routes)
{
    RouteAnswers sum;
    for (const auto &[route, answers] : routes) {
        addTo(sum, answers);
    }
    return sum;
}

/// Number of answers that the report counts; it never decreases while the instance runs.
std::uint64_t answersOf(const VersionReport &report)
{
    const RouteAnswers sum = sumOf(report.routes);
    return sum.candidate.served + sum.predecessor.served + report.firstEventEvidence.answers
        + report.latencyEvidence.answers;
}

/// Why the answers show that the new version is bad; empty while they do not.
std::string rollBackReason(VersionJudge &judge, const RouteAnswers &answers)
{
    const VersionVerdict verdict = judge.evaluate({evidenceOf(answers.candidate), evidenceOf(answers.predecessor), {}});
    const auto *rollBack = std::get_if<RollBackVersion>(&verdict);
    return rollBack != nullptr ? rollBack->reason : std::string();
}

} // namespace

std::string_view rolloutStateName(RolloutState state)
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

VersionShift::VersionShift(ShiftLimits limits)
    : limits(limits)
    , overallJudge(judgeLimits(limits.falseRollbackProbability))
{
}

void VersionShift::setLimits(const ShiftLimits &newLimits)
{
    this->limits = newLimits;
}

bool VersionShift::onOrder(const RolloutOrder &newOrder)
{
    if (this->current == newOrder) {
        return false;
    }
    if (this->bad && this->state() == RolloutState::Running) {
        // This instance has stopped sending requests to the version; others may have found it bad too.
        this->recordOutcome(this->current->to, {this->current->number, RolloutState::RolledBack});
    }
    this->previous = std::exchange(this->current, newOrder);
    // Replaces the outcome of a higher number too: numbers may be lower after the store was restored from a copy.
    this->outcomes[newOrder.to] = {.order = newOrder.number};
    this->ownAnswers.clear();
    this->otherReports.clear();
    this->firstEventTest.restart();
    this->latencyTest.restart();
    this->slowSince.reset();
    this->routeJudges.clear();
    this->overallJudge = VersionJudge(judgeLimits(this->limits.falseRollbackProbability));
    this->bad = false;
    if (this->status && this->status->order != newOrder.number) {
        this->status.reset();
    }
    if (this->status) {
        this->recordOutcome(newOrder.to, {newOrder.number, this->status->state});
    }
    return true;
}

bool VersionShift::onRestoredOrder(const RolloutOrder &restored)
{
    if (this->current && this->previous == restored) {
        return false;
    }
    RolloutOrder renumbered = restored;
    renumbered.number = this->current ? this->current->number : 0;
    if (this->current != renumbered) {
        return this->onOrder(restored);
    }
    if (this->status && this->status->order == this->current->number) {
        this->status->order = restored.number;
    }
    this->current->number = restored.number;
    this->outcomes[restored.to].order = restored.number;
    return false;
}

void VersionShift::onStatus(const RolloutStatus &newStatus, TimePoint started)
{
    this->recordOutcome(newStatus.to, {newStatus.order, newStatus.state});
    if (this->current && newStatus.order < this->current->number) {
        return;
    }
    const bool isSameOrder = this->status && this->status->order == newStatus.order;
    if (isSameOrder && finality(newStatus.state) < finality(this->status->state)) {
        return;
    }
    this->status = newStatus;
    this->startedAt = started;
}

void VersionShift::recordOutcome(const VersionName &version, const VersionOutcome &outcome)
{
    constexpr std::size_t maxOutcomes = 64;
    const auto [known, isNew] = this->outcomes.try_emplace(version, outcome);
    const auto rank = [](const VersionOutcome &entry) {
        return std::pair(entry.order, finality(entry.state));
    };
    if (!isNew && rank(outcome) > rank(known->second)) {
        known->second = outcome;
    }
    if (this->outcomes.size() > maxOutcomes) {
        this->outcomes.erase(
            std::min_element(this->outcomes.begin(), this->outcomes.end(),
                             [&](const auto &a, const auto &b) { return rank(a.second) < rank(b.second); }));
    }
}

bool VersionShift::isRolledBack(const VersionName &version) const
{
    const auto known = this->outcomes.find(version);
    return known != this->outcomes.end() && known->second.state == RolloutState::RolledBack;
}

bool VersionShift::excludesVersions() const
{
    return std::any_of(this->outcomes.begin(), this->outcomes.end(), [this](const auto &entry) {
        return entry.second.state == RolloutState::RolledBack && !this->isCandidate(entry.first);
    });
}

bool VersionShift::isRecordedBy(const RolloutStatus &recorded) const
{
    return this->current && recorded.order == this->current->number
        && (!this->state() || finality(recorded.state) >= finality(*this->state()));
}

std::optional<std::pair<RolloutState, TimePoint>> VersionShift::agreed() const
{
    const auto known = this->state();
    return known ? std::optional(std::pair(*known, this->startedAt)) : std::nullopt;
}

std::optional<RolloutState> VersionShift::state() const noexcept
{
    if (!this->current || !this->status || this->status->order != this->current->number) {
        return std::nullopt;
    }
    return this->status->state;
}

RolloutPhase VersionShift::phase() const noexcept
{
    RolloutPhase now{.order = std::nullopt, .state = this->state(), .isBad = this->bad};
    if (this->current) {
        now.order = this->current->number;
    }
    return now;
}

bool VersionShift::allows(const VersionName &version, bool candidate) const
{
    if (!this->current) {
        return true;
    }
    if (version == this->current->to) {
        return candidate;
    }
    return !candidate && !this->isRolledBack(version);
}

std::optional<double> VersionShift::progress(TimePoint now) const
{
    if (this->state() != RolloutState::Running || this->current->duration.count() <= 0) {
        return std::nullopt;
    }
    const auto passed = static_cast<double>((now - this->startedAt).count());
    return std::max(0.0, passed / static_cast<double>(this->current->duration.count()));
}

double VersionShift::candidateShare(TimePoint now) const
{
    const double passed = this->progress(now).value_or(0);
    if (passed < this->limits.watchBegin) {
        return std::min(1.0, this->limits.earlyExposureFactor * this->limits.maxExposedShare);
    }
    const double watched = std::min(1.0, this->limits.watchedExposureFactor * this->limits.maxExposedShare);
    if (passed < this->limits.rampBegin) {
        return watched;
    }
    const double ramp = (passed - this->limits.rampBegin) / (this->limits.rampEnd - this->limits.rampBegin);
    return std::min(1.0, watched + ramp * (1 - watched));
}

bool VersionShift::routesToCandidate(const std::string &session, double randomValue, TimePoint now)
{
    const auto agreed = this->state();
    if (!agreed) {
        return false;
    }
    if (*agreed == RolloutState::Completed) {
        return true;
    }
    if (*agreed == RolloutState::RolledBack || this->bad) {
        return false;
    }
    const double shareNow = this->candidateShare(now);
    if (session.empty()) {
        return randomValue < shareNow;
    }
    if (this->progress(now).value_or(0) < this->limits.watchBegin) {
        return false;
    }
    SessionPlacement &placement = this->sessions[session];
    const bool stays = placement.candidate && now - placement.lastRequestAt <= this->limits.sessionIdleTimeout;
    placement = {stays || sessionUniform(session) < shareNow, now};
    return placement.candidate;
}

void VersionShift::onAnswer(const RouteName &route, bool candidate, bool good)
{
    if (!this->current) {
        return;
    }
    RouteAnswers &answers = this->ownAnswers[route];
    AnswerCounts &counts = candidate ? answers.candidate : answers.predecessor;
    ++counts.served;
    counts.bad += good ? 0 : 1;
}

void VersionShift::onLatency(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt)
{
    this->addSample(this->latencyTest, candidate, kind, took, sentAt);
}

void VersionShift::onTimeToFirstEvent(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt)
{
    this->addSample(this->firstEventTest, candidate, kind, took, sentAt);
}

void VersionShift::addSample(PaceTest &test, bool candidate, const std::string &kind, Milliseconds took,
                             TimePoint sentAt)
{
    const auto passed = this->progress(sentAt);
    if (passed && *passed >= this->limits.rampBegin) {
        return;
    }
    if (passed && candidate) {
        test.onCandidate(kind, took);
    } else {
        test.onPredecessor(kind, took);
    }
}

void VersionShift::merge(const InstanceId &from, const VersionReport &report)
{
    const bool isCurrentOrder = this->current && report.order.value_or(this->current->number) == this->current->number;
    if (!isCurrentOrder || report.version != this->current->to) {
        return;
    }
    const auto [known, isNew] = this->otherReports.try_emplace(from, report);
    if (!isNew && answersOf(report) >= answersOf(known->second)) {
        known->second = report;
    }
}

VersionReport VersionShift::totals() const
{
    VersionReport sum = this->report();
    for (const auto &[from, otherReport] : this->otherReports) {
        for (const auto &[route, answers] : otherReport.routes) {
            addTo(sum.routes[route], answers);
        }
        addTo(sum.firstEventEvidence, otherReport.firstEventEvidence);
        addTo(sum.latencyEvidence, otherReport.latencyEvidence);
    }
    return sum;
}

std::optional<std::string> VersionShift::evaluate(TimePoint now)
{
    if (this->bad || this->state() != RolloutState::Running) {
        return std::nullopt;
    }
    const VersionReport sum = this->totals();
    auto reason = this->evaluateAnswers(sum.routes);
    if (!reason) {
        reason = this->evaluateLatency(sum, now);
    }
    this->bad = reason.has_value();
    return reason;
}

std::optional<std::string> VersionShift::evaluateAnswers(const std::map<RouteName, RouteAnswers> &routes)
{
    std::string reason = rollBackReason(this->overallJudge, sumOf(routes));
    for (const auto &[route, answers] : routes) {
        VersionJudge &judge
            = this->routeJudges.try_emplace(route, judgeLimits(this->limits.falseRollbackProbability)).first->second;
        const std::string routeReason = rollBackReason(judge, answers);
        if (reason.empty() && !routeReason.empty()) {
            reason = route.str() + ": " + routeReason;
        }
    }
    return reason.empty() ? std::nullopt : std::optional(reason);
}

bool VersionShift::looksSlow(const VersionReport &sum) const
{
    constexpr double tests = 4;
    const double threshold = std::log(tests / this->limits.falseRollbackProbability);
    // Late first events alone may come from failed or overloaded upstreams, whose answers have their usual speed once
    // they have begun.
    const bool slowStartsConfirmed
        = sum.firstEventEvidence.logOdds() >= threshold && sum.latencyEvidence.logOdds() >= threshold / 2;
    return sum.latencyEvidence.logOdds() >= threshold || slowStartsConfirmed;
}

std::optional<std::string> VersionShift::evaluateLatency(const VersionReport &sum, TimePoint now)
{
    if (!this->looksSlow(sum)) {
        this->slowSince.reset();
        return std::nullopt;
    }
    if (!this->slowSince) {
        this->slowSince = now;
    }
    if (now - *this->slowSince < this->limits.confirmTime) {
        return std::nullopt;
    }
    std::ostringstream reason;
    reason << std::setprecision(3) << "slower than its predecessor: log-odds " << sum.latencyEvidence.logOdds()
           << " over " << sum.latencyEvidence.answers << " answers, " << sum.firstEventEvidence.logOdds() << " over "
           << sum.firstEventEvidence.answers << " starts";
    return reason.str();
}

void VersionShift::expire(TimePoint now)
{
    std::erase_if(this->sessions, [&](const auto &entry) {
        return now - entry.second.lastRequestAt > 2 * this->limits.sessionIdleTimeout;
    });
}

bool VersionShift::mayComplete(TimePoint now) const
{
    const auto passed = this->progress(now);
    return passed && *passed >= this->limits.completionBegin && !this->bad;
}

bool VersionShift::hasEvidence() const noexcept
{
    // A version with a usual failure rate, below 1 in 25, is not reported.
    constexpr std::uint64_t minBadAnswers = 2;
    constexpr std::uint64_t maxAnswersPerBad = 25;
    if (this->state() != RolloutState::Running) {
        return false;
    }
    const AnswerCounts counts = sumOf(this->ownAnswers).candidate;
    return (counts.bad >= minBadAnswers && counts.bad * maxAnswersPerBad >= counts.served)
        || this->hasLatencyEvidence();
}

bool VersionShift::hasLatencyEvidence() const noexcept
{
    // Less than the evidence from one slow answer.
    constexpr double minReportedLogOdds = 1;
    const double ownLogOdds
        = std::max(this->firstEventTest.evidence().logOdds(), this->latencyTest.evidence().logOdds());
    const std::uint64_t answers = this->firstEventTest.evidence().answers + this->latencyTest.evidence().answers;
    // Once another instance has reported evidence against the version, evidence for it is reported too.
    const bool anyEvidenceAgainst
        = this->isEvidenceWanted
        || std::any_of(this->otherReports.begin(), this->otherReports.end(), [](const auto &entry) {
               return std::max(entry.second.firstEventEvidence.logOdds(), entry.second.latencyEvidence.logOdds()) > 0;
           });
    return ownLogOdds >= minReportedLogOdds || (anyEvidenceAgainst && answers > 0);
}

VersionReport VersionShift::report() const
{
    if (!this->current) {
        return {};
    }
    return {.service = this->current->service,
            .version = this->current->to,
            .routes = this->ownAnswers,
            .firstEventEvidence = this->firstEventTest.evidence(),
            .latencyEvidence = this->latencyTest.evidence(),
            .order = this->current->number};
}

} // namespace parsleyvane
