/**
 * @file
 * @brief SHA-256, HMAC and random identifiers, implemented with OpenSSL.
 */
#pragma once

#include <string>
#include <string_view>

namespace parsleyvane {

/// @brief SHA-256 in hexadecimal (64 characters). Complexity: linear.
std::string sha256Hex(std::string_view text);
/// @brief HMAC-SHA-256 in hexadecimal. Complexity: linear.
std::string hmacHex(std::string_view key, std::string_view text);
/// @brief Compares two strings in a time that depends only on their lengths.
bool constantTimeEqual(std::string_view a, std::string_view b) noexcept;
/// @brief A random identifier of 128 bits in hexadecimal, such as "9f86d081884c7d659a2feaa0c55ad015".
std::string randomId();

} // namespace parsleyvane
