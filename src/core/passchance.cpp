#include "parsleyvane/cascade/passchance.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

/// Ratings that a memory holds, in effect.
constexpr double longLength = 400;
constexpr double shortLength = 25;
/// Deviations from the mean to a bound: one in twenty on one side, and one in a thousand for an improvement.
constexpr double boundDeviations = 1.645;
constexpr double improvementDeviations = 3.1;
/// Cumulative log-likelihood ratio that proves a decline.
constexpr double declineProof = 5;
/// A decline's share of failures, as a multiple of the expected share and an addition to it.
constexpr double declineFactor = 3;
constexpr double declineOffset = 0.05;
/// Bounds of the shares of failures compared.
constexpr double leastFailing = 0.02;
constexpr double mostFailing = 0.95;

} // namespace

void PassChance::Memory::add(bool pass, double length) noexcept
{
    const double kept = 1 - 1 / length;
    this->passed = this->passed * kept + (pass ? 1 : 0);
    this->failed = this->failed * kept + (pass ? 0 : 1);
}

double PassChance::Memory::mean() const noexcept
{
    return (this->passed + 1) / (this->passed + this->failed + 2);
}

double PassChance::Memory::deviation() const noexcept
{
    const double count = this->passed + this->failed + 2;
    return std::sqrt(this->mean() * (1 - this->mean()) / (count + 1));
}

void PassChance::add(bool passed) noexcept
{
    this->watchDecline(passed);
    this->longMemory.add(passed, longLength);
    this->shortMemory.add(passed, shortLength);
    if (this->decline >= declineProof) {
        this->restartFrom(this->sinceZero);
    } else if (this->improved()) {
        this->restartFrom(this->shortMemory);
    }
}

void PassChance::watchDecline(bool passed) noexcept
{
    const double expected = std::clamp(1 - this->longMemory.mean(), leastFailing, mostFailing);
    const double worse = std::min(declineFactor * expected + declineOffset, mostFailing);
    const double ratio = passed ? (1 - worse) / (1 - expected) : worse / expected;
    this->decline = std::max(0.0, this->decline + std::log(ratio));
    if (this->decline <= 0) {
        this->sinceZero = Memory();
        return;
    }
    this->sinceZero.add(passed, longLength);
}

void PassChance::restartFrom(const Memory &memory) noexcept
{
    this->longMemory = memory;
    this->shortMemory = memory;
    this->sinceZero = Memory();
    this->decline = 0;
    ++this->driftCount;
}

double PassChance::mean() const noexcept
{
    return this->longMemory.mean();
}

double PassChance::lowerBound() const noexcept
{
    return std::max(0.0, this->longMemory.mean() - boundDeviations * this->longMemory.deviation());
}

double PassChance::ratings() const noexcept
{
    return this->longMemory.passed + this->longMemory.failed;
}

bool PassChance::improved() const noexcept
{
    const double rise = this->shortMemory.mean() - this->longMemory.mean();
    return rise > improvementDeviations * std::hypot(this->longMemory.deviation(), this->shortMemory.deviation());
}

} // namespace parsleyvane
