/**
 * @file
 * @brief Timed suspension of a coroutine.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <boost/asio/awaitable.hpp>

namespace parsleyvane {

/// @brief Suspends the calling coroutine without blocking its thread.
boost::asio::awaitable<void> sleepFor(Milliseconds duration);

} // namespace parsleyvane
