/**
 * @file
 * @brief Encodes text so that it fits a key, a token or a JSON string.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/**
 * @brief Percent-encodes everything but ASCII letters, digits, '-' and '_'. Different texts give different results.
 * Complexity: linear.
 */
std::string percentEncode(std::string_view text);
/// @brief Two hexadecimal digits for each byte. Complexity: linear.
std::string hexEncode(std::string_view bytes);
/// @brief Reads what hexEncode() wrote; empty for other text. Complexity: linear.
std::optional<std::string> hexDecode(std::string_view text);
/// @brief Base64 with padding (RFC 4648, section 4). Complexity: linear.
std::string base64Encode(std::string_view bytes);
/// @brief Reads what base64Encode() wrote; empty for other text. Complexity: linear.
std::optional<std::string> base64Decode(std::string_view text);

} // namespace parsleyvane
