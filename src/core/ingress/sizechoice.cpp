#include "parsleyvane/ingress/sizechoice.h"

namespace parsleyvane {

std::size_t firstSize(const RouteRule &route, unsigned attemptsLeft, const SizeLimits &limits) noexcept
{
    constexpr unsigned cascadeAttempts = 2;
    constexpr int highestConfidence = 100;
    if (route.sizes.size() < 2 || attemptsLeft < cascadeAttempts || limits.leastConfidence > highestConfidence) {
        return route.sizes.empty() ? 0 : route.sizes.size() - 1;
    }
    return 0;
}

std::optional<std::size_t> largerSize(const RouteRule &route, std::size_t size, std::optional<int> confidence,
                                      const SizeLimits &limits) noexcept
{
    const bool isLargest = size + 1 >= route.sizes.size();
    if (isLargest || confidence.value_or(0) >= limits.leastConfidence) {
        return std::nullopt;
    }
    return route.sizes.size() - 1;
}

} // namespace parsleyvane
