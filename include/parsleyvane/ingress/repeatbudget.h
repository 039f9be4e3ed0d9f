/**
 * @file
 * @brief Limits the rate of retries to each service.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <array>
#include <map>

namespace parsleyvane {

/// @brief Limits on the retries of all instances together.
struct RepeatBounds
{
    double ratio = 0.2; ///< retries per client request in a window
    Milliseconds window{10000};
    double slack = 10; ///< retries allowed in a window in addition to the ratio
};

/**
 * @brief One instance's share of the retry budget, from its own requests in a sliding window. Complexity: constant.
 *
 * Each instance keeps its own retries within the ratio, so their sum is within it too, without communication. The slack
 * is divided by the number of instances; an instance that does not know the number gets none of it.
 */
class RepeatBudget
{
public:
    /// Fraction of the allowed ratio that is used; the margin covers windows that overlap this one only in part.
    static constexpr double usedRatioFraction = 0.8;

    // constructors
    explicit RepeatBudget(RepeatBounds bounds = {});

    // modifiers
    void setBounds(const RepeatBounds &bounds);
    /// @brief Sets the number of instances that share the slack; 0 when it is not known.
    void setInstances(std::size_t number);
    /// @brief Counts a client's request for the service.
    void onRequest(const ServiceName &service, TimePoint now);
    /// @brief Takes one retry from the budget. @return whether there was one left
    bool take(const ServiceName &service, TimePoint now);
    /// @brief Takes one retry even if none is left, to complete an answer that has already begun. The deficit reduces
    /// the budget for later retries.
    void spend(const ServiceName &service, TimePoint now);

    // observers
    /// @brief Number of retries left now; negative after an overdraft by spend().
    double remaining(const ServiceName &service, TimePoint now) const;

private:
    static constexpr std::size_t slices = 10;
    struct Slice
    {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned repeats = 0;
    };
    using Slices = std::array<Slice, slices>;

    std::int64_t sliceNumber(TimePoint now) const;
    Slice &currentSlice(const ServiceName &service, TimePoint now);

    RepeatBounds bounds;
    double slackFraction = 0; ///< this instance's part of the slack
    std::map<ServiceName, Slices> services;
};

} // namespace parsleyvane
