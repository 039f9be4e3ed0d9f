/**
 * @file
 * @brief A token bucket, the limit of a rate of requests.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <optional>

namespace parsleyvane {

/// @brief A rate of requests.
struct RequestRate
{
    double perSecond = 0;

    friend bool operator==(const RequestRate &, const RequestRate &) = default;
};

/**
 * @brief Grants a rate of requests with bounded bursts: within any time t at most burst + rate x t. Complexity:
 * constant.
 */
class TokenBucket
{
public:
    // modifiers
    /// @brief Sets the rate and the burst from now on; tokens above the burst are lost. @param burst in requests
    void configure(RequestRate newRate, double newBurst, TimePoint now);
    /// @brief Fills the bucket up to its burst.
    void fill();
    /// @brief Takes the token of one request. @return whether there was one
    bool take(TimePoint now);
    /// @brief Returns the token of a request that was not sent.
    void giveBack();

    // observers
    /// @brief Number of tokens, with fractions.
    double level(TimePoint now) const;
    /// @brief Time until there is a whole token; nothing when there never will be.
    std::optional<Milliseconds> untilNext(TimePoint now) const;

private:
    void refill(TimePoint now);

    RequestRate rate;
    double burst = 0;
    double tokens = 0;
    TimePoint refilledAt{};
};

} // namespace parsleyvane
