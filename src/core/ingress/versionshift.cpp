#include "parsleyvane/ingress/versionshift.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace parsleyvane {

namespace {

/// The rates that the deployment's bad versions and usual failures are told apart by: a version is bad when it fails
/// several times as often as its predecessor, which itself is taken to fail in 2 of 100.
JudgeLimits judgeLimits(double falseHalts)
{
    JudgeLimits limits;
    limits.falseHalts = falseHalts;
    limits.badRatio = 6;
    limits.lowestRate = 0.02;
    limits.leastBaseline = 20;
    return limits;
}

/// The same draw for a session at every instance, from 0 to below 1.
double sessionDraw(const std::string &session)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(rendezvousWeight("session", session)) / range;
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

/// Why the answers speak against the new version; empty while they do not.
std::string haltReason(VersionJudge &judge, const RouteAnswers &answers)
{
    const VersionVerdict verdict = judge.evaluate({evidenceOf(answers.candidate), evidenceOf(answers.predecessor), {}});
    const auto *halt = std::get_if<RollBackVersion>(&verdict);
    return halt != nullptr ? halt->reason : std::string();
}

} // namespace

VersionShift::VersionShift(ShiftLimits limits)
    : limits(limits)
    , allRoutes(judgeLimits(limits.falseHalts))
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
    this->current = newOrder;
    this->own.clear();
    this->others.clear();
    this->startTest.restart();
    this->paceTest.restart();
    this->slowSince.reset();
    this->eachRoute.clear();
    this->allRoutes = VersionJudge(judgeLimits(this->limits.falseHalts));
    this->bad = false;
    if (this->status && this->status->order != newOrder.number) {
        this->status.reset();
    }
    return true;
}

void VersionShift::onStatus(const RolloutStatus &newStatus, TimePoint started)
{
    if (this->current && newStatus.order < this->current->number) {
        return;
    }
    this->status = newStatus;
    this->startedAt = started;
}

std::optional<RolloutState> VersionShift::state() const noexcept
{
    if (!this->current || !this->status || this->status->order != this->current->number) {
        return std::nullopt;
    }
    return this->status->state;
}

bool VersionShift::allows(const VersionName &version, bool candidate) const
{
    if (!this->current) {
        return true;
    }
    return (version == this->current->to) == candidate;
}

std::optional<double> VersionShift::progress(TimePoint now) const
{
    if (this->state() != RolloutState::Running || this->current->duration.count() <= 0) {
        return std::nullopt;
    }
    const auto passed = static_cast<double>((now - this->startedAt).count());
    return std::max(0.0, passed / static_cast<double>(this->current->duration.count()));
}

double VersionShift::share(TimePoint now) const
{
    const double passed = this->progress(now).value_or(0);
    if (passed < this->limits.watchBegin) {
        return std::min(1.0, this->limits.earlyShare * this->limits.maxExposedShare);
    }
    const double watched = std::min(1.0, this->limits.watchedShare * this->limits.maxExposedShare);
    if (passed < this->limits.rampBegin) {
        return watched;
    }
    const double ramp = (passed - this->limits.rampBegin) / (this->limits.rampEnd - this->limits.rampBegin);
    return std::min(1.0, watched + ramp * (1 - watched));
}

bool VersionShift::routesToCandidate(const std::string &session, double draw, TimePoint now)
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
    const double part = this->share(now);
    if (session.empty()) {
        return draw < part;
    }
    if (this->progress(now).value_or(0) < this->limits.watchBegin) {
        return false;
    }
    Seen &seen = this->sessions[session];
    const bool stays = seen.candidate && now - seen.at <= this->limits.sessionIdleTimeout;
    seen = {stays || sessionDraw(session) < part, now};
    return seen.candidate;
}

void VersionShift::onAnswer(const RouteName &route, bool candidate, bool good)
{
    if (!this->current) {
        return;
    }
    RouteAnswers &answers = this->own[route];
    AnswerCounts &counts = candidate ? answers.candidate : answers.predecessor;
    ++counts.served;
    counts.bad += good ? 0 : 1;
}

void VersionShift::onLatency(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt)
{
    this->compare(this->paceTest, candidate, kind, took, sentAt);
}

void VersionShift::onTimeToFirstEvent(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt)
{
    this->compare(this->startTest, candidate, kind, took, sentAt);
}

void VersionShift::compare(PaceTest &test, bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt)
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
    if (this->current && report.version == this->current->to) {
        this->others[from] = report;
    }
}

VersionReport VersionShift::totals() const
{
    VersionReport sum = this->report();
    for (const auto &[from, told] : this->others) {
        for (const auto &[route, answers] : told.routes) {
            addTo(sum.routes[route], answers);
        }
        addTo(sum.firstEventEvidence, told.firstEventEvidence);
        addTo(sum.latencyEvidence, told.latencyEvidence);
    }
    return sum;
}

std::optional<std::string> VersionShift::evaluate(TimePoint now)
{
    if (this->bad || this->state() != RolloutState::Running) {
        return std::nullopt;
    }
    const VersionReport sum = this->totals();
    auto reason = this->judgeAnswers(sum.routes);
    if (!reason) {
        reason = this->judgePace(sum, now);
    }
    this->bad = reason.has_value();
    return reason;
}

std::optional<std::string> VersionShift::judgeAnswers(const std::map<RouteName, RouteAnswers> &routes)
{
    std::string reason = haltReason(this->allRoutes, sumOf(routes));
    for (const auto &[route, answers] : routes) {
        VersionJudge &judge = this->eachRoute.try_emplace(route, judgeLimits(this->limits.falseHalts)).first->second;
        const std::string here = haltReason(judge, answers);
        if (reason.empty() && !here.empty()) {
            reason = route.str() + ": " + here;
        }
    }
    return reason.empty() ? std::nullopt : std::optional(reason);
}

bool VersionShift::looksSlow(const VersionReport &sum) const
{
    constexpr double tests = 4;
    const double needed = std::log(tests / this->limits.falseHalts);
    // Late starts alone may come from dead or crowded upstreams, whose answers that did begin are as quick as ever.
    const bool startsToo = sum.firstEventEvidence.logOdds() >= needed && sum.latencyEvidence.logOdds() >= needed / 2;
    return sum.latencyEvidence.logOdds() >= needed || startsToo;
}

std::optional<std::string> VersionShift::judgePace(const VersionReport &sum, TimePoint now)
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
    std::erase_if(this->sessions,
                  [&](const auto &entry) { return now - entry.second.at > 2 * this->limits.sessionIdleTimeout; });
}

bool VersionShift::mayComplete(TimePoint now) const
{
    const auto passed = this->progress(now);
    return passed && *passed >= this->limits.settle && !this->bad;
}

bool VersionShift::hasEvidence() const noexcept
{
    // A version that fails as seldom as any is not worth a row.
    constexpr std::uint64_t leastBad = 2;
    constexpr std::uint64_t usualServed = 25;
    if (this->state() != RolloutState::Running) {
        return false;
    }
    const AnswerCounts counts = sumOf(this->own).candidate;
    return (counts.bad >= leastBad && counts.bad * usualServed >= counts.served) || this->hasPaceEvidence();
}

bool VersionShift::hasPaceEvidence() const noexcept
{
    // Below what one slow answer gives.
    constexpr double leastTold = 1;
    const double own = std::max(this->startTest.evidence().logOdds(), this->paceTest.evidence().logOdds());
    const std::uint64_t answers = this->startTest.evidence().answers + this->paceTest.evidence().answers;
    // What speaks for the version counts once anyone has spoken against it.
    const bool doubted = std::any_of(this->others.begin(), this->others.end(), [](const auto &entry) {
        return std::max(entry.second.firstEventEvidence.logOdds(), entry.second.latencyEvidence.logOdds()) > 0;
    });
    return own >= leastTold || (doubted && answers > 0);
}

VersionReport VersionShift::report() const
{
    if (!this->current) {
        return {};
    }
    return {.service = this->current->service,
            .version = this->current->to,
            .routes = this->own,
            .firstEventEvidence = this->startTest.evidence(),
            .latencyEvidence = this->paceTest.evidence()};
}

} // namespace parsleyvane
