#include "parsleyvane/ingress/pacetest.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

double logOf(Milliseconds took)
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
    Baseline &known = this->baselines[kind];
    ++known.answers;
    const double weight = std::max(1 / static_cast<double>(known.answers), this->limits.newestWeight);
    const double off = logOf(took) - known.mean;
    known.mean += weight * off;
    known.variance = (1 - weight) * (known.variance + weight * off * off);
}

void PaceTest::onCandidate(const std::string &kind, Milliseconds took)
{
    const auto known = this->baselines.find(kind);
    if (known == this->baselines.end() || known->second.answers < this->limits.leastBaseline) {
        return;
    }
    const double variance = std::max(known->second.variance, this->limits.leastSpread * this->limits.leastSpread);
    const double off = logOf(took) - known->second.mean;
    const double ofSlow = this->limits.slowShift / variance * (off - this->limits.slowShift / 2);
    const double ofMixture = std::log(1 - this->limits.slowPart + this->limits.slowPart * std::exp(ofSlow));
    this->add(this->found.allSlow, ofSlow);
    this->add(this->found.someSlow, ofMixture);
    ++this->found.answers;
}

void PaceTest::add(double &sum, double logOdds) const
{
    sum += std::clamp(logOdds, this->limits.leastEvidence, this->limits.mostEvidence);
    sum = std::max(sum, -this->limits.mostCredit);
}

void PaceTest::restart()
{
    this->found = {};
}

} // namespace parsleyvane
