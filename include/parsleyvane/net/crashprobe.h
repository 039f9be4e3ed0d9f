/**
 * @file
 * @brief Distinguishes an exited upstream process from a lost connection.
 */
#pragma once

#include "parsleyvane/net/httpclient.h"

namespace parsleyvane {

/**
 * @brief Requests an upstream's load report to check whether its process still runs.
 *
 * An established connection proves nothing: the kernel accepts connections for an exiting process until its listener is
 * closed, and then resets them.
 *
 * @param probe an unused call to the upstream
 * @return true when connecting fails, or the connection is lost before a response; false when the upstream sends any
 * response, or accepts no connection or sends no response before the timeout
 */
boost::asio::awaitable<bool> hasProcessExited(HttpCall &probe);

} // namespace parsleyvane
