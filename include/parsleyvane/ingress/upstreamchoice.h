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
struct UpstreamRequirements
{
    ServiceName service;
    ZoneId zone; ///< this instance's
    /// @brief Upstreams that this request was sent to; taken again only when nothing else is left.
    std::set<UpstreamId> tried;
    /// @brief Names the part of the prompt that upstreams may keep; empty when there is none.
    std::string affinity;
    /// @brief Tokens of that part.
    std::int64_t affinityTokens = 0;
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
    /// A prefix is held by one upstream in this many, and one more; its requests are spread over them.
    double holderShare = 16;
    /// A prefix of fewer tokens than this is held by more of them, as it is read again in less time.
    double longPrefix = 2048;
    /// An upstream with a moving failure rate above this takes work only when the others cannot.
    double sickRate = 0.3;
    /// What a zone further costs, in shares of an upstream's slots: bytes between zones are dear.
    double zoneCost = 0.25;
};

/**
 * @brief Chooses an upstream. Complexity: linear in the upstreams, n log n with an affinity.
 *
 * With an affinity, rendezvous hashing names the same upstreams as its holders at every instance, fewer for a longer
 * prefix. Among them, or all without an affinity, the least work nearby is taken. What failed lately comes last.
 */
std::optional<UpstreamEntry> chooseUpstream(const UpstreamList &list, const UpstreamRequirements &question,
                                            TimePoint now, std::mt19937_64 &random, const ChoiceLimits &limits = {});

} // namespace parsleyvane
