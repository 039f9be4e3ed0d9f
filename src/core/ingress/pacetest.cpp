#include "parsleyvane/ingress/pacetest.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

double logMilliseconds(Milliseconds took)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(took.count(), 1)));
}

} // namespace

PaceTest::PaceTest(PaceLimits limits)
    : limits(limits)
{
}

void PaceTest::onPredecessor(const std::string &kind, Milliseconds took)
{
    Baseline &baseline = this->baselines[kind];
    ++baseline.answers;
    const double weight = std::max(1 / static_cast<double>(baseline.answers), this->limits.newestWeight);
    const double deviation = logMilliseconds(took) - baseline.mean;
    baseline.mean += weight * deviation;
    baseline.variance = (1 - weight) * (baseline.variance + weight * deviation * deviation);
}

void PaceTest::onCandidate(const std::string &kind, Milliseconds took)
{
    const auto baseline = this->baselines.find(kind);
    if (baseline == this->baselines.end() || baseline->second.answers < this->limits.minBaselineAnswers) {
        return;
    }
    const double variance
        = std::max(baseline->second.variance, this->limits.minStandardDeviation * this->limits.minStandardDeviation);
    const double deviation = logMilliseconds(took) - baseline->second.mean;
    const double slowLogOdds = this->limits.slowLogRatio / variance * (deviation - this->limits.slowLogRatio / 2);
    const double mixtureLogOdds = std::log(1 - this->limits.slowShare + this->limits.slowShare * std::exp(slowLogOdds));
    this->add(this->accumulated.allSlow, slowLogOdds);
    this->add(this->accumulated.someSlow, mixtureLogOdds);
    ++this->accumulated.answers;
}

void PaceTest::add(double &sum, double logOdds) const
{
    sum += std::clamp(logOdds, this->limits.minLogOddsPerAnswer, this->limits.maxLogOddsPerAnswer);
    sum = std::max(sum, -this->limits.maxCreditLogOdds);
}

void PaceTest::restart()
{
    this->accumulated = {};
}

} // namespace parsleyvane
