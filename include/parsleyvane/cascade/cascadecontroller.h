/**
 * @file
 * @brief Chooses the first model of a cascade for a request, and the answers that are rated.
 */
#pragma once

#include "parsleyvane/cascade/passchance.h"
#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace parsleyvane {

/// @brief Scope of the statistics: they are kept per account and task, since a model's quality depends on both.
struct CascadeKey
{
    AccountId account;
    TaskName task;

    // False positive of the linter: the generated comparison contains a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const CascadeKey &, const CascadeKey &) = default;
};

/// @brief Settings of a cascade, from the account's questionnaire.
struct CascadeTerms
{
    /// @brief Models, cheapest first.
    std::vector<ModelName> chain;
    double qualityTarget = 0.9;
    /// @brief Weight of cost against latency, 0 (latency only) to 1 (cost only).
    double costWeight = 0.5;
};

/// @brief Tunable values of CascadeController.
struct CascadeOptions
{
    /// @brief Smallest share of answers rated, however good the statistics are, so that a drift is detected.
    double minRatedShare = 0.05;
    /// @brief Smallest share of answers rated while a drift is suspected.
    double suspectedRatedShare = 0.5;
    /// @brief Share of requests that start one model cheaper than the best start, so that a recovery is detected.
    double explorationShare = 0.02;
    /// @brief Whether a model below the quality target has only the share of its answers rated that the target needs;
    /// otherwise all are rated.
    bool partialRating = true;
    /// @brief Assumed probability that the next model passes a request whose answer failed its rating.
    double assumedEscalationPassRate = 0.75;
    /// @brief Price of a rating.
    MicroCost ratingCost{0};
};

/**
 * @brief Learns for each account and task how often a model's answer passes, what it costs and how long it takes.
 *
 * An answer that is not rated is served unchecked. The share to rate therefore follows from the lower confidence bound
 * of the pass probability: all answers while there are few ratings, a sample once the bound reaches the target.
 *
 * @code
 * const std::size_t first = controller.start(key, terms);
 * // send the request to terms.chain[first]; then, unless it is the last one:
 * if (controller.shouldRate(key, terms, first)) {
 *     controller.onRating(key, terms.chain[first], rating.passed);
 * }
 * @endcode
 */
class CascadeController
{
public:
    // constructors
    explicit CascadeController(std::uint64_t seed, CascadeOptions options = CascadeOptions())
        : options(options)
        , random(seed)
    {
    }

    // modifiers
    /// @brief Index in the chain of the first model for a request. Complexity: linear in the chain.
    std::size_t chooseFirstModel(const CascadeKey &key, const CascadeTerms &terms);
    /// @brief Decides at random, with probability rateShare(), whether this answer is rated before it is served; never
    /// for the last model.
    bool shouldRate(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage);
    /// @brief Records the result of a rating.
    void onRating(const CascadeKey &key, const ModelName &model, bool passed);
    /// @brief Records the duration of a rating.
    void onRatingLatency(Milliseconds latency);
    /// @brief Records the cost and latency of a complete answer.
    void onAnswer(const CascadeKey &key, const ModelName &model, MicroCost cost, Milliseconds latency);

    // observers
    /// @brief Share of the model's answers that are rated, 0 to 1.
    double rateShare(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage) const;
    /// @brief Estimate of the probability that the model's answer passes.
    PassChance chance(const CascadeKey &key, const ModelName &model) const;

private:
    struct Average
    {
        double mean = 0;
        double variance = 0;
        unsigned count = 0;

        void add(double value) noexcept;
    };
    struct RouteStatistics
    {
        PassChance chance;
        Average cost;
        Average latency;
    };
    /// @brief Expected cost and latency of starting at a stage, escalations included.
    struct Path
    {
        double cost = 0;
        double latency = 0;
        double variance = 0;
        double tail = 0; ///< 95th percentile of the latency
    };
    struct Route
    {
        CascadeKey key;
        ModelName model;

        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Route &, const Route &) = default;
    };

    Path pathFrom(const RouteStatistics &known, double rated, const Path &next) const;
    const RouteStatistics &statistics(const CascadeKey &key, const ModelName &model) const;
    std::vector<Path> paths(const CascadeKey &key, const CascadeTerms &terms) const;
    std::size_t bestStart(const CascadeKey &key, const CascadeTerms &terms) const;
    bool chooseWithProbability(double chance);

    CascadeOptions options;
    std::mt19937_64 random;
    std::map<Route, RouteStatistics> routes;
    Average ratingLatency;
};

} // namespace parsleyvane
