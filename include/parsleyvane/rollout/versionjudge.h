/**
 * @file
 * @brief Decides from merged evidence whether a new version is bad, may take more traffic, or needs more requests.
 *
 * While it rolls out, a sequential probability ratio test compares its bad answers (errors and failed ratings) with the
 * predecessor's rate. Once it has all traffic, a CUSUM compares it with its own earlier rate.
 * docs/DECISIONS/bad-versions.md weighs the ways.
 */
#pragma once

#include "parsleyvane/membership/digest.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief Answers given, and those of them that were errors or failed their rating.
struct AnswerCounts
{
    std::uint64_t served = 0;
    std::uint64_t bad = 0;

    friend bool operator==(const AnswerCounts &, const AnswerCounts &) = default;
};

/// @brief Counters at one upstream, summed over the instances; they only rise.
struct UpstreamCounts
{
    UpstreamId upstream;
    AnswerCounts candidate; ///< the version that is judged
    AnswerCounts others; ///< all other versions there
};

/// @brief What is known over the fleet at one moment.
struct VersionObservation
{
    VersionEvidence candidate;
    VersionEvidence predecessor;
    /// @brief May be empty; then the candidate is charged with all its bad answers.
    std::vector<UpstreamCounts> upstreams;
};

/// @brief Parameters of the tests.
struct JudgeLimits
{
    double falseHalts = 0.01; ///< chance that a good version is ever halted while it rolls out
    double badRatio = 5; ///< a bad version's rate, as a multiple of the rate it is compared with
    double falseStep = 0.01; ///< chance that a bad version gets its first larger share
    double laterStepEvidence = 3; ///< log-likelihood that each later step needs beyond the one before
    double watchThreshold = 19; ///< log-likelihood at which a version with all traffic is backed out
    double lowestRate = 0.002; ///< a better rate than this is taken for this one
    std::uint64_t leastBaseline = 200; ///< answers needed before anything is compared with them
    std::uint64_t baselineWindow = 16000; ///< answers of the predecessor that count
    std::uint64_t upstreamWindow = 200; ///< answers of other versions at an upstream that count
    std::uint64_t leastBadAtSick = 5; ///< bad answers of other versions before an upstream counts as sick
};

/// @brief Not enough evidence for either.
struct Undecided
{
};
/// @brief The version is bad: back it out.
struct RollBackVersion
{
    std::string reason;
};
/// @brief The version may take its next larger share.
struct MayIncreaseShare
{
};
using VersionVerdict = std::variant<Undecided, RollBackVersion, MayIncreaseShare>;

/**
 * @brief A rate over about the latest answers: counts are halved whenever they pass the window.
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
    /// @brief The rate plus one standard error, which is the margin granted for not knowing it exactly.
    double upperRate() const noexcept;

private:
    double window;
    double servedCount = 0;
    double badCount = 0;
};

/**
 * @brief Judges one version. Complexity of each call: linear in the upstreams, logarithmic in those known.
 *
 * A counter that falls, because an instance left with its counts, is taken as a new start and blames nobody.
 *
 * @code
 * const VersionVerdict verdict = judge.judge({board.fleetTotal(next), board.fleetTotal(previous), {}});
 * if (std::holds_alternative<MayIncreaseShare>(verdict)) {
 *     // make the share larger; then judge.onShareIncreased(), or judge.onAllTraffic() at the last step
 * }
 * @endcode
 */
class VersionJudge
{
public:
    // constructors
    explicit VersionJudge(JudgeLimits limits = {});

    // modifiers
    /// @brief Takes in newer totals and decides. Once it says RollBackVersion it goes on to say so.
    VersionVerdict evaluate(const VersionObservation &observation);
    /// @brief The version has its next share; the next MayIncreaseShare needs more evidence.
    void onShareIncreased();
    /// @brief The version has all traffic and is compared with its own rate from here on.
    void onAllTraffic();

    // observers
    /// @brief Log-likelihood of "bad" against "no worse"; positive speaks against the version.
    double evidence() const noexcept;

private:
    struct UpstreamRecord
    {
        AnswerCounts candidate;
        AnswerCounts others;
        RateWindow recent;
    };

    AnswerCounts excusedAt(const UpstreamCounts &counts, double expectedRate);
    AnswerCounts chargeable(const VersionObservation &observation, double expectedRate);
    double logLikelihood(const AnswerCounts &delta, double expectedRate) const;
    double expectedRate(const RateWindow &rates) const;
    VersionVerdict judgeRollout(const VersionObservation &observation);
    VersionVerdict judgeWatched(const VersionObservation &observation);
    VersionVerdict halt(const AnswerCounts &seen, double expectedRate, const char *comparedWith);

    JudgeLimits limits;
    RateWindow baseline; ///< the predecessor's
    RateWindow own; ///< the candidate's until it is watched, then frozen once it is large enough
    std::map<UpstreamId, UpstreamRecord> upstreams;
    AnswerCounts lastCandidate;
    AnswerCounts lastPredecessor;
    AnswerCounts charged; ///< not excused, since the judge began or, while watched, since evidence was last 0
    double logOdds = 0;
    unsigned steps = 0;
    bool watching = false;
    std::string haltReason;
};

} // namespace parsleyvane
