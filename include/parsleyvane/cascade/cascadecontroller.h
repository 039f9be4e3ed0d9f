/**
 * @file
 * @brief Decides which model of a cascade is asked first, and which answers are rated.
 */
#pragma once

#include "parsleyvane/cascade/passchance.h"
#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace parsleyvane {

/// @brief What is learned apart for: the same model does differently at other work.
struct CascadeKey
{
    AccountId account;
    TaskName task;

    // The linter takes the zero of the generated comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const CascadeKey &, const CascadeKey &) = default;
};

/// @brief What the account's answers say about a task.
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
    /// @brief Share of answers rated whatever is known, so that a drift is noticed.
    double minRatedShare = 0.05;
    /// @brief Share of answers rated while a drift is suspected.
    double suspectedRatedShare = 0.5;
    /// @brief Share of requests that start one model lower than what is best known, so that recovery is noticed.
    double explored = 0.02;
    /// @brief Whether answers that fall short of the target are rated only as often as the target needs.
    bool partialRating = true;
    /// @brief Share of the answers failed by one model that the next one is counted on to mend.
    double mended = 0.75;
    /// @brief Price of a rating.
    MicroCost ratingCost{0};
};

/**
 * @brief Learns for each account and task how often a model's answer passes, what it costs and how long it takes.
 *
 * Below the last model of the chain an answer that is not rated is served as it is, so the share to rate follows from
 * the lower confidence bound of passing: all of them while little is known, a sample once the bound exceeds the target.
 *
 * @code
 * const std::size_t first = controller.start(key, terms);
 * // ask terms.chain[first]; then, unless it is the last one:
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
    /// @brief Index in the chain of the model to ask first. Complexity: linear in the chain.
    std::size_t chooseFirstModel(const CascadeKey &key, const CascadeTerms &terms);
    /// @brief Whether this model's answer is rated before it is served; never for the last model.
    bool shouldRate(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage);
    /// @brief A rating came.
    void onRating(const CascadeKey &key, const ModelName &model, bool passed);
    /// @brief How long a rating took.
    void onRatingLatency(Milliseconds latency);
    /// @brief A whole answer came, at this cost and after this time.
    void onAnswer(const CascadeKey &key, const ModelName &model, MicroCost cost, Milliseconds latency);

    // observers
    /// @brief Share of the model's answers that are rated, 0 to 1.
    double rateShare(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage) const;
    /// @brief What is known of the chance that the model's answer passes.
    PassChance chance(const CascadeKey &key, const ModelName &model) const;

private:
    struct Average
    {
        double mean = 0;
        double variance = 0;
        unsigned count = 0;

        void add(double value) noexcept;
    };
    struct Learned
    {
        PassChance chance;
        Average cost;
        Average latency;
    };
    /// @brief What starting at a stage comes to, escalations included.
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

    Path pathFrom(const Learned &known, double rated, const Path &next) const;
    const Learned &learned(const CascadeKey &key, const ModelName &model) const;
    std::vector<Path> paths(const CascadeKey &key, const CascadeTerms &terms) const;
    std::size_t bestStart(const CascadeKey &key, const CascadeTerms &terms) const;
    bool draw(double chance);

    CascadeOptions options;
    std::mt19937_64 random;
    std::map<Route, Learned> routes;
    Average ratingLatency;
};

} // namespace parsleyvane
