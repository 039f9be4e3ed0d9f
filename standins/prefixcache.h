/**
 * @file
 * @brief The model engine's prefix cache.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace parsleyvane::standins {

/// @brief One change of a prefix cache.
struct CacheChange
{
    std::string prefix;
    bool kept = false;
};

/// @brief The result of looking a prompt up in a prefix cache.
struct CacheUse
{
    std::int64_t cachedTokens = 0;
    std::vector<CacheChange> changes;
};

/// @brief A prefix cache with a limited number of entries; the least recently used one goes first.
class PrefixCache
{
public:
    // constructors
    explicit PrefixCache(std::size_t capacity);

    // modifiers
    /// @brief Looks the start of the prompt up and keeps it.
    CacheUse use(const std::string &prompt);

private:
    std::size_t capacity;
    std::deque<std::string> prefixes;
};

} // namespace parsleyvane::standins
