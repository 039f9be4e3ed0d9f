#include "parsleyvane/rollout/versionjudge.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace parsleyvane {

namespace {

// An upstream is sick when other versions fare this many times worse there than expected.
constexpr double sickRatio = 3;

AnswerCounts countsOf(const VersionEvidence &evidence)
{
    return {evidence.served, evidence.errors + evidence.failedRatings};
}

/// What was added since the last totals, which are replaced; nothing when a counter fell.
AnswerCounts advance(AnswerCounts &last, const AnswerCounts &now)
{
    const bool fell = now.served < last.served || now.bad < last.bad;
    const AnswerCounts delta = fell ? AnswerCounts{} : AnswerCounts{now.served - last.served, now.bad - last.bad};
    last = now;
    return delta;
}

void add(AnswerCounts &total, const AnswerCounts &delta)
{
    total.served += delta.served;
    total.bad += delta.bad;
}

AnswerCounts without(const AnswerCounts &all, const AnswerCounts &part)
{
    return {all.served - std::min(all.served, part.served), all.bad - std::min(all.bad, part.bad)};
}

} // namespace

RateWindow::RateWindow(std::uint64_t window)
    : window(static_cast<double>(window))
{
}

void RateWindow::add(const AnswerCounts &delta)
{
    this->servedCount += static_cast<double>(delta.served);
    this->badCount += static_cast<double>(delta.bad);
    while (this->servedCount > this->window) {
        this->servedCount /= 2;
        this->badCount /= 2;
    }
}

double RateWindow::served() const noexcept
{
    return this->servedCount;
}

double RateWindow::bad() const noexcept
{
    return this->badCount;
}

double RateWindow::upperRate() const noexcept
{
    const double served = this->servedCount + 1;
    const double rate = std::min(1.0, this->badCount / served);
    return rate + std::sqrt(rate * (1 - rate) / served);
}

VersionJudge::VersionJudge(JudgeLimits limits)
    : limits(limits)
    , baseline(limits.baselineWindow)
    , own(limits.baselineWindow)
{
}

VersionVerdict VersionJudge::evaluate(const VersionObservation &observation)
{
    if (!this->haltReason.empty()) {
        return RollBackVersion{this->haltReason};
    }
    return this->watching ? this->judgeWatched(observation) : this->judgeRollout(observation);
}

void VersionJudge::onShareIncreased()
{
    ++this->steps;
}

void VersionJudge::onAllTraffic()
{
    this->watching = true;
    this->logOdds = 0;
}

double VersionJudge::evidence() const noexcept
{
    return this->logOdds;
}

VersionVerdict VersionJudge::judgeRollout(const VersionObservation &observation)
{
    this->baseline.add(advance(this->lastPredecessor, countsOf(observation.predecessor)));
    if (this->baseline.served() < static_cast<double>(this->limits.leastBaseline)) {
        return Undecided{};
    }
    const double expected = this->expectedRate(this->baseline);
    const AnswerCounts delta = this->chargeable(observation, expected);
    this->own.add(delta);
    this->logOdds += this->logLikelihood(delta, expected);
    if (this->logOdds >= -std::log(this->limits.falseHalts)) {
        return this->halt(this->charged, expected, "its predecessor's");
    }
    const double needed = -std::log(this->limits.falseStep) + this->steps * this->limits.laterStepEvidence;
    if (this->logOdds <= -needed) {
        return MayIncreaseShare{};
    }
    return Undecided{};
}

VersionVerdict VersionJudge::judgeWatched(const VersionObservation &observation)
{
    const double expected = this->expectedRate(this->own);
    const AnswerCounts delta = this->chargeable(observation, expected);
    this->logOdds = std::max(0.0, this->logOdds + this->logLikelihood(delta, expected));
    if (this->logOdds >= this->limits.watchThreshold) {
        return this->halt(this->charged, expected, "its own earlier");
    }
    if (this->logOdds <= 0) {
        this->charged = {};
    }
    // The reference ends with half a window, so that slow decay does not become the reference.
    if (this->own.served() < static_cast<double>(this->limits.baselineWindow) / 2) {
        this->own.add(delta);
    }
    return Undecided{};
}

AnswerCounts VersionJudge::chargeable(const VersionObservation &observation, double expectedRate)
{
    AnswerCounts excused;
    for (const UpstreamCounts &counts : observation.upstreams) {
        add(excused, this->excusedAt(counts, expectedRate));
    }
    const AnswerCounts delta = without(advance(this->lastCandidate, countsOf(observation.candidate)), excused);
    add(this->charged, delta);
    return delta;
}

/// The candidate's new answers at an upstream where other versions suffer too.
AnswerCounts VersionJudge::excusedAt(const UpstreamCounts &counts, double expectedRate)
{
    const UpstreamRecord fresh{.recent = RateWindow(this->limits.upstreamWindow)};
    UpstreamRecord &record = this->upstreams.try_emplace(counts.upstream, fresh).first->second;
    record.recent.add(advance(record.others, counts.others));
    const AnswerCounts delta = advance(record.candidate, counts.candidate);
    const bool enough = record.recent.bad() >= static_cast<double>(this->limits.leastBadAtSick);
    const bool sick = enough && record.recent.bad() >= sickRatio * expectedRate * record.recent.served();
    return sick ? delta : AnswerCounts{};
}

double VersionJudge::expectedRate(const RateWindow &rates) const
{
    return std::max(this->limits.lowestRate, rates.upperRate());
}

double VersionJudge::logLikelihood(const AnswerCounts &delta, double expectedRate) const
{
    constexpr double highestRate = 0.95;
    const double good = std::min(expectedRate, highestRate);
    // Five times a high rate would be past 1; halfway to 1 is then the worst to tell apart.
    const double bad = std::min(this->limits.badRatio * good, (1 + good) / 2);
    const auto badAnswers = static_cast<double>(delta.bad);
    const auto goodAnswers = static_cast<double>(delta.served - std::min(delta.served, delta.bad));
    return badAnswers * std::log(bad / good) + goodAnswers * std::log((1 - bad) / (1 - good));
}

VersionVerdict VersionJudge::halt(const AnswerCounts &seen, double expectedRate, const char *comparedWith)
{
    constexpr std::size_t longest = 160;
    constexpr double percent = 100;
    char text[longest];
    std::snprintf(text, sizeof(text), "%llu bad answers of %llu, against %s rate of at most %.2f %%",
                  static_cast<unsigned long long>(seen.bad), static_cast<unsigned long long>(seen.served), comparedWith,
                  percent * expectedRate);
    this->haltReason = text;
    return RollBackVersion{this->haltReason};
}

} // namespace parsleyvane
