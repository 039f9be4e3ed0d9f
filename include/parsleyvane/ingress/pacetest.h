/**
 * @file
 * @brief Finds out from few answers whether a new version is slower than the one before.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace parsleyvane {

/// @brief Tunable values of PaceTest. Times are compared by their natural logarithms.
struct PaceLimits
{
    double slowShift = 0.69; ///< an answer is slow when it takes twice as long, which is ln 2
    double slowPart = 0.5; ///< of a version that answers only some requests slowly
    /// Lower bound of the standard deviation assumed; very even times make each small difference weigh too much.
    double leastSpread = 0.4;
    double mostEvidence = 1.5; ///< of one answer, so that a few late ones decide nothing
    double leastEvidence = -1.5; ///< of one answer, so that a few quick ones hide nothing
    double mostCredit = 4; ///< log-odds that fast answers earn, so that a version that turns slow is still found
    std::uint64_t leastBaseline = 10; ///< answers of the predecessor before any is compared with them
    double newestWeight = 0.05; ///< of the latest answer in the predecessor's moving mean
};

/// @brief Evidence against a version, with the answers it comes from; both add up over instances.
struct PaceEvidence
{
    double allSlow = 0; ///< log-odds of "all answers are slow" against "as fast as before"
    double someSlow = 0; ///< log-odds of "some answers are slow" against the same
    std::uint64_t answers = 0;

    /// @brief The stronger of the two.
    double logOdds() const noexcept
    {
        return std::max(this->allSlow, this->someSlow);
    }

    friend bool operator==(const PaceEvidence &, const PaceEvidence &) = default;
};

/**
 * @brief Two sequential probability ratio tests of the logarithms of times, which are close to normal for one kind of
 * work: against a version all of whose answers are slow, and one some of whose answers are.
 *
 * Each time of the new version is compared with the predecessor's moving mean for the same kind of work at this
 * instance. Complexity: logarithmic in the kinds.
 *
 * @code
 * test.onPredecessor("tag/0", Milliseconds(40));
 * test.onCandidate("tag/0", Milliseconds(95));
 * const bool slow = test.evidence().logOdds() > std::log(2 / falseAlarms);
 * @endcode
 */
class PaceTest
{
public:
    // constructors
    explicit PaceTest(PaceLimits limits = {});

    // modifiers
    void onPredecessor(const std::string &kind, Milliseconds took);
    /// @brief Not counted while too little is known of this kind of work.
    void onCandidate(const std::string &kind, Milliseconds took);
    /// @brief Another version is tested; what is known of the predecessor stays.
    void restart();

    // observers
    const PaceEvidence &evidence() const noexcept
    {
        return this->found;
    }

private:
    struct Baseline
    {
        std::uint64_t answers = 0;
        double mean = 0; ///< of the logarithms
        double variance = 0;
    };

    void add(double &sum, double logOdds) const;

    PaceLimits limits;
    std::map<std::string, Baseline> baselines;
    PaceEvidence found;
};

} // namespace parsleyvane
