/**
 * @file
 * @brief Detects from few answers whether a new version is slower than its predecessor.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace parsleyvane {

/// @brief Tunable values of PaceTest. Durations are compared by their natural logarithms.
struct PaceLimits
{
    double slowLogRatio = 0.69; ///< of a slow answer to a usual one: ln 2, twice as long
    double slowShare = 0.5; ///< of slow answers, for a version that is slow on only some requests
    /// Lower bound of the assumed standard deviation; without it, small differences between very uniform durations
    /// weigh too much.
    double minStandardDeviation = 0.4;
    double maxLogOddsPerAnswer = 1.5; ///< limits the effect of a few very slow answers
    double minLogOddsPerAnswer = -1.5; ///< limits the effect of a few very fast answers
    double maxCreditLogOdds = 4; ///< limit of the evidence for a version, so that it is still detected if it turns slow
    std::uint64_t minBaselineAnswers = 10; ///< of the predecessor, before the candidate is compared with them
    double newestWeight = 0.05; ///< of the latest answer in the predecessor's moving average
};

/// @brief Evidence against a version and the number of answers it comes from; both can be summed over instances.
struct PaceEvidence
{
    double allSlow = 0; ///< log-odds of "all answers are slow" against "as fast as the predecessor"
    double someSlow = 0; ///< log-odds of "some answers are slow" against the same hypothesis
    std::uint64_t answers = 0;

    /// @brief The larger of the two log-odds.
    double logOdds() const noexcept
    {
        return std::max(this->allSlow, this->someSlow);
    }

    friend bool operator==(const PaceEvidence &, const PaceEvidence &) = default;
};

/**
 * @brief Two sequential probability ratio tests on the logarithms of durations, which are close to normal for one kind
 * of work: one detects a version whose answers are all slow, the other a version with some slow answers.
 *
 * Each duration of the new version is compared with the predecessor's moving average for the same kind of work at this
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
    /// @brief Ignored until the predecessor has minBaselineAnswers answers of this kind of work.
    void onCandidate(const std::string &kind, Milliseconds took);
    /// @brief Clears the evidence for a test of another version; the predecessor's baselines stay.
    void restart();

    // observers
    const PaceEvidence &evidence() const noexcept
    {
        return this->accumulated;
    }

private:
    struct Baseline
    {
        std::uint64_t answers = 0;
        double mean = 0; ///< of the natural logarithms
        double variance = 0;
    };

    void add(double &sum, double logOdds) const;

    PaceLimits limits;
    std::map<std::string, Baseline> baselines;
    PaceEvidence accumulated;
};

} // namespace parsleyvane
