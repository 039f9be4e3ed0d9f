/**
 * @file
 * @brief Which engines are believed to keep which prompt prefixes.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

/**
 * @brief Holders of prefixes, learned from this instance's own requests and from the engines' cache events.
 *
 * Events come late and with gaps, so that an entry also ends by its age. Complexity: logarithmic in the prefixes.
 */
class PrefixIndex
{
public:
    // modifiers
    /// @brief An engine was given, or reported, the prefix.
    void onKept(const std::string &prefix, const UpstreamId &engine, TimePoint now);
    /// @brief An engine reported that it dropped the prefix.
    void onDropped(const std::string &prefix, const UpstreamId &engine);

    // observers
    /// @brief The engines believed to hold the prefix.
    std::set<UpstreamId> holders(const std::string &prefix, TimePoint now) const;

private:
    void dropOldest();

    std::map<std::string, std::map<UpstreamId, TimePoint>> entries;
};

} // namespace parsleyvane
