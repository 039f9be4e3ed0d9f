/**
 * @file
 * @brief Chooses the model size for a request, and when a smaller model's answer is replaced by the largest model's.
 */
#pragma once

#include "parsleyvane/ingress/routetable.h"

#include <cstddef>
#include <optional>

namespace parsleyvane {

/// @brief Tunable values of the choice.
struct SizeLimits
{
    /// @brief Minimum confidence, 0 to 100, at which a smaller model's answer is accepted at normal load.
    double minConfidence = 60;
    /// @brief Up to this load level, the minimum confidence is not lowered.
    double normalLoadLevel = 0.1;
    /// @brief From this load level on, the minimum confidence is at its lowest, which is near 0 for a very long prompt.
    double saturatedLoadLevel = 0.4;
    /// @brief At this many tokens, load lowers the minimum confidence half as much as for a very long prompt: a larger
    /// model spends most of its time on reading the prompt.
    double longPromptTokens = 1000;
};

/// @brief Facts that are known when a model's answer begins.
struct SizeChoiceInput
{
    std::size_t size = 0; ///< index in RouteRule::sizes of the model that answered
    std::optional<int> confidence; ///< the model's confidence in its answer, 0 to 100; empty when not reported
    std::int64_t promptTokens = 0;
    double loadLevel = 0; ///< the largest model's average time to the first event, as a ratio to its objective
};

/**
 * @brief Chooses the size that a request is sent to first. Complexity: constant.
 * @param attemptsLeft number of upstreams that may still run the request
 *
 * A cascade needs one attempt for the smallest model and one for the largest; with fewer, the largest model is used.
 */
std::size_t firstSize(const RouteRule &route, unsigned attemptsLeft) noexcept;

/**
 * @brief The size to retry the request with; empty to accept this answer. Complexity: constant.
 *
 * The minimum confidence falls as the load level rises, since a possibly poor answer is worth more than a late one.
 */
std::optional<std::size_t> largerSize(const RouteRule &route, const SizeChoiceInput &question,
                                      const SizeLimits &limits = {}) noexcept;

} // namespace parsleyvane
