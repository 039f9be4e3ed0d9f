/**
 * @file
 * @brief Waiting in a coroutine.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <boost/asio/awaitable.hpp>

namespace parsleyvane {

/// @brief Suspends the coroutine for that long.
boost::asio::awaitable<void> sleepFor(Milliseconds duration);

} // namespace parsleyvane
