/**
 * @file
 * @brief The clock for configuration staleness, leases and heartbeats.
 */
#pragma once

#include "parsleyvane/core/ids.h"

namespace parsleyvane {

/**
 * @brief The current time of CLOCK_BOOTTIME, which keeps counting while the process or the machine is suspended.
 *
 * A timer may fire late after a suspension, but an age computed from this clock is never too small. Time points of
 * different machines are not comparable; send ages instead.
 */
TimePoint bootClockNow() noexcept;

} // namespace parsleyvane
