/**
 * @file
 * @brief Finds out from few answers whether a new version is slower than the one before.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <map>
#include <string>

namespace parsleyvane {

/// @brief Tunable values of PaceTest. Times are compared by their natural logarithms.
struct PaceLimits
{
    double slowShift = 0.69; ///< a version is slow when its answers take twice as long, which is ln 2
    /// Lower bound of the standard deviation assumed; very even times make each small difference weigh too much.
    double leastSpread = 0.4;
    double mostEvidence = 1.5; ///< of one answer, so that a few late ones decide nothing
    double mostCredit = 4; ///< log-odds that fast answers earn, so that a version that turns slow is still found
    std::uint64_t leastBaseline = 10; ///< answers of the predecessor before any is compared with them
    double newestWeight = 0.05; ///< of the latest answer in the predecessor's moving mean
};

/// @brief Evidence against a version, with the answers it comes from; both add up over instances.
struct PaceEvidence
{
    double logOdds = 0; ///< of "slow" against "as fast as before"
    std::uint64_t answers = 0;

    friend bool operator==(const PaceEvidence &, const PaceEvidence &) = default;
};

/**
 * @brief A sequential test of the logarithms of times, which are close to normal for one kind of work.
 *
 * Each time of the new version is compared with the predecessor's moving mean for the same kind of work at this
 * instance. Complexity: logarithmic in the kinds.
 *
 * @code
 * test.onPredecessor("tag/0", Milliseconds(40));
 * test.onCandidate("tag/0", Milliseconds(95));
 * const bool slow = test.evidence().logOdds > std::log(1 / falseAlarms);
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

    PaceLimits limits;
    std::map<std::string, Baseline> baselines;
    PaceEvidence found;
};

} // namespace parsleyvane
