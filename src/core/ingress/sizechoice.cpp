#include "parsleyvane/ingress/sizechoice.h"

#include <algorithm>

namespace parsleyvane {

std::size_t firstSize(const RouteRule &route, unsigned attemptsLeft) noexcept
{
    constexpr unsigned cascadeAttempts = 2;
    if (route.sizes.size() < 2 || attemptsLeft < cascadeAttempts) {
        return route.sizes.empty() ? 0 : route.sizes.size() - 1;
    }
    return 0;
}

std::optional<std::size_t> largerSize(const RouteRule &route, const SizeChoiceInput &question,
                                      const SizeLimits &limits) noexcept
{
    if (question.size + 1 >= route.sizes.size()) {
        return std::nullopt;
    }
    const double excessLoad
        = (question.loadLevel - limits.normalLoadLevel) / (limits.saturatedLoadLevel - limits.normalLoadLevel);
    const auto tokens = static_cast<double>(question.promptTokens);
    const double reduction = std::clamp(excessLoad, 0.0, 1.0) * tokens / (tokens + limits.longPromptTokens);
    const double requiredConfidence = limits.minConfidence * (1 - reduction);
    return question.confidence.value_or(0) < requiredConfidence ? std::optional(route.sizes.size() - 1) : std::nullopt;
}

} // namespace parsleyvane
