/**
 * @file
 * @brief Turns the measured relative times of upstreams into a few stable weights.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <map>
#include <string>

namespace parsleyvane {

/// @brief Tunable values of SpeedSteps.
struct SpeedStepLimits
{
    double ratio = 1.6; ///< of the speeds of neighbouring steps
    int maxStep = 1; ///< there are as many steps below the mean speed
    /// A step changes when the average is this far from its centre, in steps; 0.5 would be without hysteresis.
    double hysteresis = 0.75;
    /// Time constant of the average; an upstream that is slow for less than a second keeps its step.
    Milliseconds averagingTime{20000};
    std::size_t maxProcesses = 8192;
};

/**
 * @brief The weights of upstream processes by their speed, for rendezvous hashing. Complexity: logarithmic.
 *
 * Instances with somewhat different measurements mostly have the same weights, as there are few of them and they change
 * seldom; each change moves prefixes.
 */
class SpeedSteps
{
public:
    // constructors
    explicit SpeedSteps(SpeedStepLimits limits = {});

    // modifiers
    /// @brief Adds a measurement. Relative times that are not positive and finite are ignored.
    /// @return the process's weight; 1 for the mean speed
    double update(const std::string &process, double relativeTime, TimePoint now);

private:
    struct Speed
    {
        double average = 0; ///< in steps from the mean speed
        int step = 0;
        TimePoint at{};
    };

    SpeedStepLimits limits;
    std::map<std::string, Speed> speeds;
};

} // namespace parsleyvane
