/**
 * @file
 * @brief Chooses the upstream for one attempt.
 */
#pragma once

#include "parsleyvane/ingress/loadview.h"
#include "parsleyvane/ingress/upstreamlist.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace parsleyvane {

/// @brief What an attempt needs from its upstream.
struct UpstreamRequirements
{
    ServiceName service;
    ZoneId zone; ///< availability zone of this instance
    /// @brief Upstreams that this request was sent to; they are used again only if no other is available.
    std::set<UpstreamId> tried;
    /// @brief Never chosen, unless another process has registered under its id.
    std::optional<UpstreamEntry> excluded;
    bool onlyHealthy = false; ///< upstreams that failed recently are never chosen
    /// @brief Identifies the prompt prefix that upstreams may have cached; empty when there is none.
    std::string affinity;
    /// @brief Length of that prefix in tokens.
    std::int64_t affinityTokens = 0;
    /// @brief Whether a version may serve the request; empty allows all.
    std::function<bool(const VersionName &)> versionAllowed;
    /// @brief Whether the limits of the service's upstreams permit the request there; empty allows all.
    std::function<bool(const RegisteredUpstream &)> limitsPermit;
    /// @brief Upstreams that are preferred to equally healthy ones; empty for none.
    std::function<bool(const RegisteredUpstream &)> prefers;
    /// @brief Cost of an upstream; empty for this instance's attempts in flight per slot.
    std::function<double(const RegisteredUpstream &)> load;
    /// @brief Number of replicas of the prefix; empty for the number by length.
    std::optional<std::size_t> replicas;
    /// @brief Positive weight of an upstream in the order of a prefix's replicas, if their number is given; empty for
    /// equal weights.
    std::function<double(const RegisteredUpstream &)> replicaWeight;
};

/// @brief Tunable values of the choice.
struct ChoiceLimits
{
    /// A replica of the prefix is skipped when its attempts in flight exceed this multiple of the mean plus loadSlack.
    double loadFactor = 1.25;
    /// In attempts; keeps random fluctuations at low load from scattering prefixes.
    double loadSlack = 2;
    /// A long prefix has one replica, and one more for each this many upstreams (rounded up); its requests are spread
    /// over them.
    double upstreamsPerReplica = 16;
    /// A prefix with fewer tokens than this has more replicas, as it takes less time to recompute.
    double longPrefixTokens = 2048;
    /// Recomputing a prefix of this many tokens takes about as long as a mean response.
    double tokensPerResponse = 4096;
    /// An upstream with a failure rate above this is used only if no other untried one is available.
    double unhealthyFailureRate = 0.3;
    /// Cost of an upstream in another zone, as a fraction of its slots, since traffic between zones is expensive.
    double crossZoneCost = 0.25;
};

/// @brief Cost of an upstream by a view of the load, for UpstreamRequirements::load: its relative time, its refusal and
/// failure rates, and this instance's attempts in flight per slot. @param view must outlive the function
std::function<double(const RegisteredUpstream &)> loadCost(const LoadView &view, TimePoint now);

/**
 * @brief Chooses an upstream. Complexity: linear in the upstreams, n log n with an affinity.
 *
 * With an affinity, rendezvous hashing gives the same replicas at every instance, fewer for a longer prefix. Among
 * them, or among all upstreams without an affinity, the one with the lowest cost is chosen: attempts in flight per
 * slot, failure rate, and the cost of another zone. With a load function and no affinity, only two random upstreams of
 * the own zone and two of the others are compared. With a given number of replicas, the choice among them is spread,
 * and an upstream that is no replica is chosen where it saves more than recomputing the prefix costs. Upstreams that
 * failed recently are used only if no other untried one is available.
 */
std::optional<UpstreamEntry> chooseUpstream(const UpstreamList &list, const UpstreamRequirements &question,
                                            TimePoint now, std::mt19937_64 &random, const ChoiceLimits &limits = {});

} // namespace parsleyvane
