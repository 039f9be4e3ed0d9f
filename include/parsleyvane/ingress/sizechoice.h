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
    /// @brief At no load, a smaller model's answer is taken from this opinion of its own on, 0 to 100.
    double minConfidence = 60;
    /// @brief Pressure below this is usual and changes nothing.
    double usualPressure = 0.1;
    /// @brief From this pressure on, every answer of a smaller model to a long prompt is taken.
    double fullPressure = 0.4;
    /// @brief A prompt of this many tokens gives way to pressure half as much as a very long one: a larger model's time
    /// goes into reading.
    double longPrompt = 1000;
};

/// @brief What is known when a smaller model's answer begins.
struct SizeChoiceInput
{
    std::size_t size = 0; ///< the size that answered
    std::optional<int> confidence; ///< the model's opinion of its answer, 0 to 100; empty when it did not say
    std::int64_t promptTokens = 0;
    double loadLevel = 0; ///< time to the first event of the largest model against its objective
};

/**
 * @brief The size that a request is sent to first. Complexity: constant.
 * @param attemptsLeft runs that the request still has
 *
 * A cascade needs a run for each size it asks, and one more in case an upstream fails.
 */
std::size_t firstSize(const RouteRule &route, unsigned attemptsLeft) noexcept;

/**
 * @brief The size to ask instead of taking this answer; empty to take it. Complexity: constant.
 *
 * Under pressure fewer answers are asked for again: an answer that may be poor is worth more than a late one.
 */
std::optional<std::size_t> largerSize(const RouteRule &route, const SizeChoiceInput &question,
                                      const SizeLimits &limits = {}) noexcept;

} // namespace parsleyvane
