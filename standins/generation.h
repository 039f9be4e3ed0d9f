/**
 * @file
 * @brief Request bodies of the model engine.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace parsleyvane::standins {

using Json = nlohmann::json;

/// @brief A model with its version.
struct LoadedVersion
{
    std::string model;
    std::string version;

    friend bool operator==(const LoadedVersion &, const LoadedVersion &) = default;
    friend bool operator<(const LoadedVersion &a, const LoadedVersion &b)
    {
        return std::tie(a.model, a.version) < std::tie(b.model, b.version);
    }
};

/// @brief The body of a generate request.
struct Generation
{
    std::string attempt;
    std::string request;
    std::string account;
    LoadedVersion version;
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::int64_t priority = 0;
    std::size_t offset = 0;
    std::string prefix;
};

/// @brief Parses a generate request; throws nlohmann::json::exception when it is malformed.
Generation parseGeneration(const Json &body);
/// @brief Parses a list of `{"model","version"}`; throws nlohmann::json::exception when it is malformed.
std::vector<LoadedVersion> parseLoaded(const Json &list);
/// @brief Writes a list of `{"model","version"}`.
Json loadedJson(const std::vector<LoadedVersion> &loaded);

} // namespace parsleyvane::standins
