/**
 * @file
 * @brief Chooses the upstream for one attempt.
 */
#pragma once

#include "parsleyvane/ingress/upstreamlist.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace parsleyvane {

/// @brief What an attempt needs.
struct UpstreamQuestion
{
    ServiceName service;
    ZoneId zone; ///< this instance's
    /// @brief Upstreams that this request was sent to; taken again only when nothing else is left.
    std::set<UpstreamId> tried;
    /// @brief Names the part of the prompt that upstreams may keep; empty when there is none.
    std::string affinity;
    /// @brief Whether a version may take the request; empty allows all.
    std::function<bool(const VersionName &)> versionAllowed;
};

/// @brief Tunable values of the choice.
struct ChoiceLimits
{
    /// An upstream that holds the prefix is passed over when it has this many times the mean of the work.
    double loadFactor = 1.25;
    /// And this many requests more, so that chance at low load does not scatter prefixes.
    double loadSlack = 2;
    /// An upstream with a moving failure rate above this takes work only when the others cannot.
    double sickRate = 0.3;
    /// What a zone further costs, in shares of an upstream's slots: bytes between zones are dear.
    double zoneCost = 0.25;
};

/**
 * @brief Chooses an upstream. Complexity: linear in the upstreams, n log n with an affinity.
 *
 * With an affinity, rendezvous hashing names the same order of upstreams at every instance, and the first one without
 * too much work is taken. Without, the least work nearby is taken. What failed lately comes last.
 */
std::optional<UpstreamEntry> chooseUpstream(const UpstreamList &list, const UpstreamQuestion &question, TimePoint now,
                                            std::mt19937_64 &random, const ChoiceLimits &limits = {});

} // namespace parsleyvane
