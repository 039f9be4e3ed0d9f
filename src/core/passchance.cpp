#include "parsleyvane/cascade/passchance.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

/// Effective number of ratings in a window.
constexpr double longWindowRatings = 400;
constexpr double shortWindowRatings = 25;
/// Standard deviations from the mean to a one-sided bound: 5 % for the lower bound, 0.1 % for an improvement.
constexpr double boundDeviations = 1.645;
constexpr double improvementDeviations = 3.1;
/// Cumulative log-likelihood ratio at which a decline counts as detected.
constexpr double declineThreshold = 5;
/// Share of failures under the hypothesis of a decline: the expected share times the factor, plus the offset.
constexpr double declineFactor = 3;
constexpr double declineOffset = 0.05;
/// Bounds of the expected share of failures and of that under a decline.
constexpr double minFailureShare = 0.02;
constexpr double maxFailureShare = 0.95;

} // namespace

void PassChance::DecayedCounts::add(bool pass, double windowRatings) noexcept
{
    const double kept = 1 - 1 / windowRatings;
    this->passed = this->passed * kept + (pass ? 1 : 0);
    this->failed = this->failed * kept + (pass ? 0 : 1);
}

double PassChance::DecayedCounts::mean() const noexcept
{
    return (this->passed + 1) / (this->passed + this->failed + 2);
}

double PassChance::DecayedCounts::deviation() const noexcept
{
    const double count = this->passed + this->failed + 2;
    return std::sqrt(this->mean() * (1 - this->mean()) / (count + 1));
}

void PassChance::add(bool passed) noexcept
{
    this->updateDecline(passed);
    this->longWindow.add(passed, longWindowRatings);
    this->shortWindow.add(passed, shortWindowRatings);
    if (this->decline >= declineThreshold) {
        this->restartFrom(this->sinceZero);
    } else if (this->improved()) {
        this->restartFrom(this->shortWindow);
    }
}

void PassChance::updateDecline(bool passed) noexcept
{
    const double expected = std::clamp(1 - this->longWindow.mean(), minFailureShare, maxFailureShare);
    const double worse = std::min(declineFactor * expected + declineOffset, maxFailureShare);
    const double ratio = passed ? (1 - worse) / (1 - expected) : worse / expected;
    this->decline = std::max(0.0, this->decline + std::log(ratio));
    if (this->decline <= 0) {
        this->sinceZero = DecayedCounts();
        return;
    }
    this->sinceZero.add(passed, longWindowRatings);
}

void PassChance::restartFrom(const DecayedCounts &counts) noexcept
{
    this->longWindow = counts;
    this->shortWindow = counts;
    this->sinceZero = DecayedCounts();
    this->decline = 0;
    ++this->driftCount;
}

double PassChance::mean() const noexcept
{
    return this->longWindow.mean();
}

double PassChance::lowerBound() const noexcept
{
    return std::max(0.0, this->longWindow.mean() - boundDeviations * this->longWindow.deviation());
}

double PassChance::ratings() const noexcept
{
    return this->longWindow.passed + this->longWindow.failed;
}

bool PassChance::improved() const noexcept
{
    const double rise = this->shortWindow.mean() - this->longWindow.mean();
    return rise > improvementDeviations * std::hypot(this->longWindow.deviation(), this->shortWindow.deviation());
}

} // namespace parsleyvane
