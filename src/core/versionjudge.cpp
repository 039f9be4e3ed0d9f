#include "parsleyvane/rollout/versionjudge.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace parsleyvane {

namespace {

// An upstream is unhealthy when the rate of other versions there is at least this multiple of the expected rate.
constexpr double unhealthyRatio = 3;

AnswerCounts countsOf(const VersionEvidence &evidence)
{
    return {evidence.served, evidence.errors + evidence.failedRatings};
}

/// Returns the increase since the last totals, then replaces them; zero when a counter decreased.
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

AnswerCounts subtract(const AnswerCounts &all, const AnswerCounts &part)
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
    , predecessorRate(limits.baselineWindow)
    , candidateRate(limits.baselineWindow)
{
}

VersionVerdict VersionJudge::evaluate(const VersionObservation &observation)
{
    if (!this->rollBackReason.empty()) {
        return RollBackVersion{this->rollBackReason};
    }
    return this->hasAllTraffic ? this->evaluateAllTraffic(observation) : this->evaluateRollout(observation);
}

void VersionJudge::onShareIncreased()
{
    ++this->shareIncreases;
}

void VersionJudge::onAllTraffic()
{
    this->hasAllTraffic = true;
    this->logLikelihoodSum = 0;
}

double VersionJudge::evidence() const noexcept
{
    return this->logLikelihoodSum;
}

VersionVerdict VersionJudge::evaluateRollout(const VersionObservation &observation)
{
    this->predecessorRate.add(advance(this->lastPredecessor, countsOf(observation.predecessor)));
    if (this->predecessorRate.served() < static_cast<double>(this->limits.minBaselineAnswers)) {
        return Undecided{};
    }
    const double expected = this->expectedRate(this->predecessorRate);
    const AnswerCounts delta = this->attributable(observation, expected);
    this->candidateRate.add(delta);
    this->logLikelihoodSum += this->logLikelihoodRatio(delta, expected);
    if (this->logLikelihoodSum >= -std::log(this->limits.falseRollbackProbability)) {
        return this->rollBack(this->attributed, expected, "its predecessor's");
    }
    const double needed
        = -std::log(this->limits.falseIncreaseProbability) + this->shareIncreases * this->limits.laterIncreaseEvidence;
    if (this->logLikelihoodSum <= -needed) {
        return MayIncreaseShare{};
    }
    return Undecided{};
}

VersionVerdict VersionJudge::evaluateAllTraffic(const VersionObservation &observation)
{
    const double expected = this->expectedRate(this->candidateRate);
    const AnswerCounts delta = this->attributable(observation, expected);
    this->logLikelihoodSum = std::max(0.0, this->logLikelihoodSum + this->logLikelihoodRatio(delta, expected));
    if (this->logLikelihoodSum >= this->limits.rollbackThreshold) {
        return this->rollBack(this->attributed, expected, "its own earlier");
    }
    if (this->logLikelihoodSum <= 0) {
        this->attributed = {};
    }
    // The reference rate is fixed after half a window of answers, so that it does not follow a slow degradation.
    if (this->candidateRate.served() < static_cast<double>(this->limits.baselineWindow) / 2) {
        this->candidateRate.add(delta);
    }
    return Undecided{};
}

AnswerCounts VersionJudge::attributable(const VersionObservation &observation, double expectedRate)
{
    AnswerCounts excluded;
    for (const UpstreamCounts &counts : observation.upstreams) {
        add(excluded, this->excludedAt(counts, expectedRate));
    }
    const AnswerCounts delta = subtract(advance(this->lastCandidate, countsOf(observation.candidate)), excluded);
    add(this->attributed, delta);
    return delta;
}

/// The candidate's new answers at the upstream if it is unhealthy, as shown by the other versions there; zero
/// otherwise.
AnswerCounts VersionJudge::excludedAt(const UpstreamCounts &counts, double expectedRate)
{
    const UpstreamRecord newRecord{.recent = RateWindow(this->limits.upstreamWindow)};
    UpstreamRecord &record = this->upstreams.try_emplace(counts.upstream, newRecord).first->second;
    record.recent.add(advance(record.others, counts.others));
    const AnswerCounts delta = advance(record.candidate, counts.candidate);
    const bool enough = record.recent.bad() >= static_cast<double>(this->limits.minBadAtUnhealthy);
    const bool unhealthy = enough && record.recent.bad() >= unhealthyRatio * expectedRate * record.recent.served();
    return unhealthy ? delta : AnswerCounts{};
}

double VersionJudge::expectedRate(const RateWindow &rates) const
{
    return std::max(this->limits.minExpectedRate, rates.upperRate());
}

double VersionJudge::logLikelihoodRatio(const AnswerCounts &delta, double expectedRate) const
{
    constexpr double highestRate = 0.95;
    const double good = std::min(expectedRate, highestRate);
    // A multiple of a high rate would exceed 1; the rate of a bad version is at most halfway from the good one to 1.
    const double bad = std::min(this->limits.badRatio * good, (1 + good) / 2);
    const auto badAnswers = static_cast<double>(delta.bad);
    const auto goodAnswers = static_cast<double>(delta.served - std::min(delta.served, delta.bad));
    return badAnswers * std::log(bad / good) + goodAnswers * std::log((1 - bad) / (1 - good));
}

VersionVerdict VersionJudge::rollBack(const AnswerCounts &seen, double expectedRate, const char *comparedWith)
{
    constexpr std::size_t maxLength = 160;
    constexpr double percent = 100;
    char text[maxLength];
    std::snprintf(text, sizeof(text), "%llu bad answers of %llu, against %s rate of at most %.2f %%",
                  static_cast<unsigned long long>(seen.bad), static_cast<unsigned long long>(seen.served), comparedWith,
                  percent * expectedRate);
    this->rollBackReason = text;
    return RollBackVersion{this->rollBackReason};
}

} // namespace parsleyvane
