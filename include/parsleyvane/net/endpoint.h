/**
 * @file
 * @brief Parsing of numeric IP endpoints.
 */
#pragma once

#include "parsleyvane/core/failure.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace parsleyvane {

/**
 * @brief Parses "127.0.0.1:8080" or "[::1]:8080"; host names are not resolved.
 * @param reason InvalidSetting when it is not an IP address and port
 */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text, LastReason &reason);

} // namespace parsleyvane
