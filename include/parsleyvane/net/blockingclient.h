/**
 * @file
 * @brief Blocking HTTP calls for command-line programs and test rigs.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/net/httpclient.h"

#include <functional>
#include <optional>
#include <string>

namespace parsleyvane {

/**
 * @brief Sends a request on a new connection and reads the whole response.
 * @param address IP address and port
 * @param reason why the result is empty
 * @param limits time limits; the progress limit applies to each read
 *
 * @code
 * LastReason reason;
 * const auto response = blockingCall("127.0.0.1:7000", makeRequest(http::verb::get, "/table/row?key=config/head"),
 * reason);
 * @endcode
 */
std::optional<HttpResponse> blockingCall(const std::string &address, const HttpRequest &request, LastReason &reason,
                                         CallLimits limits = {});

/**
 * @brief As blockingCall(), but passes each piece of the body to `onPiece` as it arrives; the returned body is empty.
 * @param onPiece returns false to close the connection early
 */
std::optional<HttpResponse> blockingStream(const std::string &address, const HttpRequest &request,
                                           const std::function<bool(const std::string &)> &onPiece, LastReason &reason,
                                           CallLimits limits = {});

} // namespace parsleyvane
