/**
 * @file
 * @brief Tracks which engines probably cache which prompt prefixes.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

/**
 * @brief Replicas of prefixes, from this instance's own requests and the engines' cache events.
 *
 * Cache events may be late or missing, so entries also expire by age. Complexity: logarithmic in the prefixes.
 */
class PrefixIndex
{
public:
    // modifiers
    /// @brief Records that an engine received a request with the prefix, or reported that it cached the prefix.
    void onCached(const std::string &prefix, const UpstreamId &engine, TimePoint now);
    /// @brief Records that an engine reported the prefix as evicted.
    void onEvicted(const std::string &prefix, const UpstreamId &engine);

    // observers
    /// @brief The engines that probably cache the prefix.
    std::set<UpstreamId> replicas(const std::string &prefix, TimePoint now) const;

private:
    void evictOldest();

    std::map<std::string, std::map<UpstreamId, TimePoint>> entries;
};

} // namespace parsleyvane
