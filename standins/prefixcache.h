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

/// @brief A prefix added to or evicted from a prefix cache.
struct CacheChange
{
    std::string prefix;
    bool kept = false;
};

/// @brief The result of a prompt lookup in a prefix cache.
struct CacheUse
{
    std::int64_t cachedTokens = 0;
    std::vector<CacheChange> changes;
};

/// @brief A prefix cache of limited size that evicts the least recently used entry.
class PrefixCache
{
public:
    // constructors
    explicit PrefixCache(std::size_t capacity);

    // modifiers
    /// @brief Looks up the start of the prompt, and inserts it or marks it as most recently used.
    CacheUse use(const std::string &prompt);

private:
    std::size_t capacity;
    std::deque<std::string> prefixes;
};

} // namespace parsleyvane::standins
