/**
 * @file
 * @brief Chooses which of a route's models answers, and when a larger one is asked instead.
 */
#pragma once

#include "parsleyvane/ingress/routetable.h"

#include <cstddef>
#include <optional>

namespace parsleyvane {

/// @brief Tunable values of the choice.
struct SizeLimits
{
    /// @brief A smaller model's answer is taken from this opinion of its own on, 0 to 100; above, it is not asked.
    int leastConfidence = 60;
};

/**
 * @brief The size that a request is sent to first. Complexity: constant.
 * @param attemptsLeft runs that the request still has
 *
 * A cascade needs a run for each size it asks, and one more in case an upstream fails.
 */
std::size_t firstSize(const RouteRule &route, unsigned attemptsLeft, const SizeLimits &limits = {}) noexcept;

/**
 * @brief The size to ask instead of taking this answer; empty to take it. Complexity: constant.
 * @param size the size that answered
 * @param confidence the model's opinion of its answer; empty when it did not say
 */
std::optional<std::size_t> largerSize(const RouteRule &route, std::size_t size, std::optional<int> confidence,
                                      const SizeLimits &limits = {}) noexcept;

} // namespace parsleyvane
