/**
 * @file
 * @brief The clock that freshness, leases and heartbeats are measured on.
 */
#pragma once

#include "parsleyvane/core/ids.h"

namespace parsleyvane {

/**
 * @brief Now on CLOCK_BOOTTIME, which goes on while the process or the machine is suspended.
 *
 * A timer of the process may fire late after a suspension, but an age computed from this clock is never too small.
 * Points of different machines cannot be compared; send ages.
 */
TimePoint bootClockNow() noexcept;

} // namespace parsleyvane
