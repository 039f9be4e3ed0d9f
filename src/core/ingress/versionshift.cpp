#include "parsleyvane/ingress/versionshift.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// The rates that the deployment's bad versions and usual failures are told apart by: a version is bad when it fails
/// several times as often as its predecessor, which itself is taken to fail in 2 of 100.
JudgeLimits judgeLimits()
{
    JudgeLimits limits;
    limits.falseHalts = 0.0005;
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

} // namespace

VersionShift::VersionShift(ShiftLimits limits)
    : limits(limits)
    , versionJudge(judgeLimits())
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
    this->ownCandidate = {};
    this->others.clear();
    this->versionJudge = VersionJudge(judgeLimits());
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
    const double watched = this->limits.watchedShare * this->limits.exposeShare;
    if (passed < this->limits.rampBegin) {
        return watched;
    }
    const double ramp = (passed - this->limits.rampBegin) / (this->limits.rampEnd - this->limits.rampBegin);
    return std::min(1.0, watched + ramp * (1 - watched));
}

bool VersionShift::takesCandidate(const std::string &session, double draw, TimePoint now)
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
    const bool stays = seen.candidate && now - seen.at <= this->limits.sessionLife;
    seen = {stays || sessionDraw(session) < part, now};
    return seen.candidate;
}

void VersionShift::onAnswer(bool candidate, bool good)
{
    AnswerCounts &counts = candidate ? this->ownCandidate : this->ownPredecessor;
    ++counts.served;
    counts.bad += good ? 0 : 1;
}

bool VersionShift::isSlow(bool candidate, const std::string &kind, Milliseconds took)
{
    constexpr double newest = 0.1;
    const auto time = static_cast<double>(took.count());
    const auto known = this->usual.find(kind);
    if (known == this->usual.end()) {
        if (!candidate) {
            this->usual.emplace(kind, time);
        }
        return false;
    }
    const double longest = this->limits.slowFactor * known->second;
    const bool slow = time > longest && time > known->second + static_cast<double>(this->limits.slowSlack.count());
    if (!candidate) {
        // One very late answer must not make all others look quick.
        known->second += newest * (std::min(time, longest) - known->second);
    }
    return slow;
}

void VersionShift::merge(const InstanceId &from, const VersionCount &candidate, const VersionCount &predecessor)
{
    if (this->current && candidate.version == this->current->to) {
        this->others[from] = {{candidate.served, candidate.bad}, {predecessor.served, predecessor.bad}};
    }
}

std::optional<std::string> VersionShift::judge()
{
    if (this->bad || this->state() != RolloutState::Running) {
        return std::nullopt;
    }
    AnswerCounts candidate = this->ownCandidate;
    AnswerCounts predecessor = this->ownPredecessor;
    for (const auto &[from, counts] : this->others) {
        addTo(candidate, counts.first);
        addTo(predecessor, counts.second);
    }
    const VersionVerdict verdict = this->versionJudge.judge({evidenceOf(candidate), evidenceOf(predecessor), {}});
    if (const auto *halt = std::get_if<HaltVersion>(&verdict)) {
        this->bad = true;
        return halt->reason;
    }
    return std::nullopt;
}

void VersionShift::expire(TimePoint now)
{
    std::erase_if(this->sessions,
                  [&](const auto &entry) { return now - entry.second.at > 2 * this->limits.sessionLife; });
}

bool VersionShift::maySettle(TimePoint now) const
{
    const auto passed = this->progress(now);
    return passed && *passed >= this->limits.settle && !this->bad;
}

bool VersionShift::hasEvidence() const noexcept
{
    // A version that fails as seldom as any is not worth a row.
    constexpr std::uint64_t leastBad = 2;
    constexpr std::uint64_t usualServed = 25;
    return this->state() == RolloutState::Running && this->ownCandidate.bad >= leastBad
        && this->ownCandidate.bad * usualServed >= this->ownCandidate.served;
}

std::pair<VersionCount, VersionCount> VersionShift::counts() const
{
    if (!this->current) {
        return {};
    }
    const VersionCount candidate{.service = this->current->service,
                                 .version = this->current->to,
                                 .served = this->ownCandidate.served,
                                 .bad = this->ownCandidate.bad};
    const VersionCount predecessor{
        .service = this->current->service, .served = this->ownPredecessor.served, .bad = this->ownPredecessor.bad};
    return {candidate, predecessor};
}

} // namespace parsleyvane
