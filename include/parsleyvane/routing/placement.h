/**
 * @file
 * @brief Chooses the upstream for an attempt.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief What an attempt at a model engine needs.
struct PlacementQuestion
{
    ModelVersion version;
    /// @brief The prompt's beginning; engines keep the prefixes they have seen.
    std::string prefix;
    /// @brief Upstreams that this request has tried.
    std::set<UpstreamId> tried;
};

/**
 * @brief Placement by two choices: of two upstreams drawn at random, the one with less work.
 *
 * Work is what this instance has under way there plus what the upstream reported, the latter fading with its age. An
 * upstream that is leaving, or to be avoided, is not chosen. Complexity: linear in the upstreams.
 */
class Placement
{
public:
    // constructors
    explicit Placement(std::uint64_t seed);

    // modifiers
    /// @brief Draws an upstream. @param reason NoCapacity when none can take the attempt
    std::optional<UpstreamId> chooseEngine(const Blackboard &blackboard, const PlacementQuestion &question,
                                           TimePoint now, LastReason &reason);
    /// @brief Draws an instance of a plain service. @param reason NoCapacity when none can take the attempt
    std::optional<UpstreamId> chooseService(const Blackboard &blackboard, const ServiceName &service,
                                            const std::set<UpstreamId> &tried, TimePoint now, LastReason &reason);

private:
    std::optional<UpstreamId> lighterOfTwo(const Blackboard &blackboard,
                                           const std::vector<const Upstream *> &candidates, TimePoint now);

    std::mt19937_64 random;
};

} // namespace parsleyvane
