/**
 * @file
 * @brief Checked readings of the kinds of value that settings, answers and configurations hold as text.
 */
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace parsleyvane {

/// @brief Whether the text is "IPv4:PORT" or "[IPv6]:PORT" with a port from 1 to 65535. Complexity: linear.
bool isAddressWithPort(std::string_view text) noexcept;

/// @brief Whether the text is 1 to 48 letters, digits, '.', '-' or '_', and so safe in keys, paths and headers.
bool isIdentifier(std::string_view text) noexcept;

/// @brief Whether the text consists of hexadecimal digits, in an even number; an empty text does.
bool isHex(std::string_view text) noexcept;

/// @brief Reads "true", "yes", "on" or "false", "no", "off".
std::optional<bool> readBoolean(std::string_view text) noexcept;

/**
 * @brief Reads a number that stands alone and lies within bounds.
 *
 * @code
 * const auto port = readNumber<unsigned>("8080", 1, 65535);
 * @endcode
 */
template<typename Number>
std::optional<Number> readNumber(std::string_view text, Number least, Number most) noexcept
{
    Number number{};
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    // A number that is not a number compares false both ways, so the bounds reject it.
    if (error != std::errc() || end != last || !(number >= least && number <= most)) {
        return std::nullopt;
    }
    return number;
}

} // namespace parsleyvane
