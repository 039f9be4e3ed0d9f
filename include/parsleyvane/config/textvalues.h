/**
 * @file
 * @brief Validates and parses text values of settings, answers and configurations.
 */
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace parsleyvane {

/// @brief Whether the text is "IPv4:PORT" or "[IPv6]:PORT" with a port from 1 to 65535. Complexity: linear.
bool isAddressWithPort(std::string_view text) noexcept;

/// @brief Whether the text is 1 to 48 letters, digits, '.', '-' or '_', so that it is safe in keys, paths and headers.
bool isIdentifier(std::string_view text) noexcept;

/// @brief Whether the text is an even number of hexadecimal digits; true for empty text.
bool isHex(std::string_view text) noexcept;

/// @brief Parses "true", "yes", "on" or "false", "no", "off"; nullopt for any other text.
std::optional<bool> readBoolean(std::string_view text) noexcept;

/**
 * @brief Parses text that consists of one number within inclusive bounds; nullopt otherwise.
 *
 * @code
 * const auto port = readNumber<unsigned>("8080", 1, 65535);
 * @endcode
 */
template<typename Number>
std::optional<Number> readNumber(std::string_view text, Number min, Number max) noexcept
{
    Number number{};
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    // NaN compares false with both bounds and so is rejected.
    if (error != std::errc() || end != last || !(number >= min && number <= max)) {
        return std::nullopt;
    }
    return number;
}

} // namespace parsleyvane
