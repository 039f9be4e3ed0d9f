/**
 * @file
 * @brief Decides from merged evidence whether a new version is bad, may get more traffic, or needs more requests.
 *
 * During the roll-out, a sequential probability ratio test compares its bad answers (errors and failed ratings) with
 * the predecessor's rate. Once it has all traffic, a CUSUM test compares it with its own earlier rate.
 * docs/DECISIONS/bad-versions.md compares the alternatives.
 */
#pragma once

#include "parsleyvane/membership/digest.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief Number of answers, and of those that were errors or failed their rating.
struct AnswerCounts
{
    std::uint64_t served = 0;
    std::uint64_t bad = 0;

    friend bool operator==(const AnswerCounts &, const AnswerCounts &) = default;
};

/// @brief Counters at one upstream, summed over the instances; they decrease only when an instance is removed.
struct UpstreamCounts
{
    UpstreamId upstream;
    AnswerCounts candidate; ///< the version under evaluation
    AnswerCounts others; ///< all other versions there
};

/// @brief Fleet totals at one moment.
struct VersionObservation
{
    VersionEvidence candidate;
    VersionEvidence predecessor;
    /// @brief May be empty; then all bad answers of the candidate are attributed to it.
    std::vector<UpstreamCounts> upstreams;
};

/// @brief Parameters of the tests.
struct JudgeLimits
{
    double falseRollbackProbability = 0.01; ///< that a good version is rolled back during its roll-out
    double badRatio = 5; ///< a bad version's rate, as a multiple of the expected rate
    double falseIncreaseProbability = 0.01; ///< that a bad version gets its first share increase
    double laterIncreaseEvidence = 3; ///< additional log-likelihood ratio needed for each later increase
    double rollbackThreshold = 19; ///< log-likelihood ratio at which a version with all traffic is rolled back
    double minExpectedRate = 0.002; ///< lower bound of the expected rate
    std::uint64_t minBaselineAnswers = 200; ///< answers of the predecessor needed before the candidate is evaluated
    std::uint64_t baselineWindow = 16000; ///< RateWindow size for the predecessor and for the candidate's own rate
    std::uint64_t upstreamWindow = 200; ///< RateWindow size for the other versions at an upstream
    std::uint64_t minBadAtUnhealthy = 5; ///< bad answers of other versions needed for an unhealthy upstream
};

/// @brief There is not enough evidence for either decision.
struct Undecided
{
};
/// @brief The version is bad and must be rolled back.
struct RollBackVersion
{
    std::string reason;
};
/// @brief The version may get its next larger share of the traffic.
struct MayIncreaseShare
{
};
using VersionVerdict = std::variant<Undecided, RollBackVersion, MayIncreaseShare>;

/**
 * @brief Rate of bad answers over approximately the latest answers: the counts are halved when they exceed the window.
 */
class RateWindow
{
public:
    // constructors
    explicit RateWindow(std::uint64_t window);

    // modifiers
    void add(const AnswerCounts &delta);

    // observers
    double served() const noexcept;
    double bad() const noexcept;
    /// @brief The rate plus one standard error, as a margin for its uncertainty.
    double upperRate() const noexcept;

private:
    double window;
    double servedCount = 0;
    double badCount = 0;
};

/**
 * @brief Evaluates one version. Complexity of each call: linear in the upstreams, logarithmic in those known.
 *
 * A counter that decreases, because an instance was removed together with its counts, is a new starting point: that
 * change is evidence for or against no version.
 *
 * @code
 * const VersionVerdict verdict = judge.evaluate({board.fleetTotal(next), board.fleetTotal(previous), {}});
 * if (std::holds_alternative<MayIncreaseShare>(verdict)) {
 *     // increase the share; then judge.onShareIncreased(), or judge.onAllTraffic() once it has all traffic
 * }
 * @endcode
 */
class VersionJudge
{
public:
    // constructors
    explicit VersionJudge(JudgeLimits limits = {});

    // modifiers
    /// @brief Adds newer totals and decides. After the first RollBackVersion, every call returns it.
    VersionVerdict evaluate(const VersionObservation &observation);
    /// @brief The version got its next share; the next MayIncreaseShare needs more evidence.
    void onShareIncreased();
    /// @brief The version has all traffic; from now on it is compared with its own earlier rate.
    void onAllTraffic();

    // observers
    /// @brief Log-likelihood ratio of "bad" to "no worse"; positive values are evidence against the version.
    double evidence() const noexcept;

private:
    struct UpstreamRecord
    {
        AnswerCounts candidate;
        AnswerCounts others;
        RateWindow recent;
    };

    AnswerCounts excludedAt(const UpstreamCounts &counts, double expectedRate);
    AnswerCounts attributable(const VersionObservation &observation, double expectedRate);
    double logLikelihoodRatio(const AnswerCounts &delta, double expectedRate) const;
    double expectedRate(const RateWindow &rates) const;
    VersionVerdict evaluateRollout(const VersionObservation &observation);
    VersionVerdict evaluateAllTraffic(const VersionObservation &observation);
    VersionVerdict rollBack(const AnswerCounts &seen, double expectedRate, const char *comparedWith);

    JudgeLimits limits;
    RateWindow predecessorRate;
    RateWindow candidateRate; ///< the candidate's rate; fixed once it has all traffic and enough answers
    std::map<UpstreamId, UpstreamRecord> upstreams;
    AnswerCounts lastCandidate;
    AnswerCounts lastPredecessor;
    AnswerCounts attributed; ///< since the start or, with all traffic, since the evidence was last 0
    double logLikelihoodSum = 0;
    unsigned shareIncreases = 0;
    bool hasAllTraffic = false;
    std::string rollBackReason;
};

} // namespace parsleyvane
