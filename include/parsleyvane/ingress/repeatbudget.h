/**
 * @file
 * @brief Bounds how often requests are sent to a service a second time.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <array>
#include <map>

namespace parsleyvane {

/// @brief What all instances together may send beyond the first arrival of each request.
struct RepeatBounds
{
    double ratio = 0.2; ///< of the requests in a window
    Milliseconds window{10000};
    double slack = 10; ///< repeats in a window that need no requests
};

/**
 * @brief One instance's part of the budget, by its own requests in a sliding window. Complexity: constant.
 *
 * Each instance may repeat its own requests in the given ratio, so the sum over the instances keeps it too, without any
 * exchange. A part of the slack is spent by each, since their number is not known.
 */
class RepeatBudget
{
public:
    // constructors
    explicit RepeatBudget(RepeatBounds bounds = {});

    // modifiers
    void setBounds(const RepeatBounds &bounds);
    /// @brief A client's request for the service came.
    void onRequest(const ServiceName &service, TimePoint now);
    /// @brief Takes one repeat, if there is one left.
    bool take(const ServiceName &service, TimePoint now);
    /// @brief Takes one repeat in any case, for an answer that would break off midway; later ones have to make up for
    /// it.
    void spend(const ServiceName &service, TimePoint now);

    // observers
    /// @brief Repeats left now.
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
    Slice &current(const ServiceName &service, TimePoint now);

    RepeatBounds bounds;
    std::map<ServiceName, Slices> services;
};

} // namespace parsleyvane
