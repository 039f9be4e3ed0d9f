/**
 * @file
 * @brief Encodings that make text safe in a key, a token or a JSON string.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/**
 * @brief Percent-encodes all bytes except ASCII letters, digits, '-' and '_'. Different texts have different encodings.
 * Complexity: linear.
 */
std::string percentEncode(std::string_view text);
/// @brief Encodes each byte as two lower-case hexadecimal digits. Complexity: linear.
std::string hexEncode(std::string_view bytes);
/// @brief Decodes the output of hexEncode(); empty when the text is not in that form. Complexity: linear.
std::optional<std::string> hexDecode(std::string_view text);
/// @brief Encodes as Base64 with padding (RFC 4648, section 4). Complexity: linear.
std::string base64Encode(std::string_view bytes);
/// @brief Decodes Base64 with padding; empty when the length or a character is invalid. Complexity: linear.
std::optional<std::string> base64Decode(std::string_view text);

} // namespace parsleyvane
