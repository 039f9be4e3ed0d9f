/**
 * @file
 * @brief Tells a process that has ended from one that only lost a connection.
 */
#pragma once

#include "parsleyvane/net/httpclient.h"

namespace parsleyvane {

/**
 * @brief Asks an upstream for its load, to see whether its process still runs.
 *
 * A connection alone proves nothing: the system accepts it for a process that is being taken down, as long as its
 * listener is open, and then breaks it.
 *
 * @param probe a call to the upstream that has not been used
 * @return whether the process has ended: it refuses the connection, or breaks it unanswered. One that answers anything,
 * or only keeps silent, has not.
 */
boost::asio::awaitable<bool> hasProcessExited(HttpCall &probe);

} // namespace parsleyvane
