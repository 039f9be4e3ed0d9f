/**
 * @file
 * @brief Parsing of request targets.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane::standins {

/// @brief A path with its decoded query parameters.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;
};

/// @brief Splits and decodes the target of a request.
Target parseTarget(std::string_view text);

/// @brief The text after `prefix`; nothing when `text` does not start with it.
std::optional<std::string> afterPrefix(const std::string &text, std::string_view prefix);

} // namespace parsleyvane::standins
