/**
 * @file
 * @brief Chooses the upstream for an attempt at a model engine or a plain service.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/routing/prefixindex.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief What an attempt at a model engine needs.
struct PlacementRequirements
{
    ModelVersion version;
    /// @brief Prefix of the prompt; engines cache the prefixes of the prompts they have run.
    std::string prefix;
    /// @brief Upstreams that this request was already sent to; they are not chosen again.
    std::set<UpstreamId> tried;
};

/// @brief Ignores prefixes.
struct NoAffinity
{
};

/// @brief Prefers engines that probably cache the prefix, from this instance's requests and the engines' cache events.
struct LearnedAffinity
{
    PrefixIndex index;
};

/**
 * @brief Prefers the engines that rendezvous hashing gives for the prefix.
 *
 * All instances prefer the same ones, without communication or state.
 */
struct RendezvousAffinity
{
    /// @brief Number of engines for each prefix; when one is at its load bound, the next one is used.
    std::size_t replicas = 3;
};

/// @brief How prefixes influence placement.
using Affinity = std::variant<NoAffinity, LearnedAffinity, RendezvousAffinity>;

/// @brief Picks two candidates at random and chooses the one with less work.
struct PowerOfTwoChoices
{
};

/// @brief Chooses the candidate with the least work, at random among equals.
struct LeastLoaded
{
};

/// @brief How one of several upstreams is chosen.
using LoadBalancing = std::variant<PowerOfTwoChoices, LeastLoaded>;

/// @brief Tunable values of Placement.
struct PlacementOptions
{
    Affinity affinity = RendezvousAffinity();
    LoadBalancing balance = LeastLoaded();
    /// @brief An engine is preferred for its prefix while its work is below this multiple of the candidates' mean plus
    /// affinityLoadMargin.
    double affinityLoadFactor = 1;
    /// @brief In requests, added to that multiple.
    double affinityLoadMargin = 0.5;
    /// @brief Weight, 0 to 1, of the load in a new upstream report, relative to this instance's own requests.
    double reportWeight = 0;
    /// @brief Age at which a report is ignored; its weight falls linearly up to then.
    Milliseconds maxReportAge{10000};
};

/**
 * @brief Places an attempt at an engine that is preferred for its prefix and not overloaded, otherwise by load.
 *
 * The work of an upstream is the number of this instance's requests in flight there, plus a share of the load that the
 * upstream reported, which decreases with the report's age. An upstream that is draining or in its avoidance period is
 * not chosen. Complexity: linear in the upstreams.
 */
class Placement
{
public:
    // constructors
    explicit Placement(std::uint64_t seed, PlacementOptions options = PlacementOptions());

    // modifiers
    /// @brief Chooses an engine that loads the version. @param reason NoCapacity when none is available
    std::optional<UpstreamId> chooseEngine(const Blackboard &blackboard, const PlacementRequirements &question,
                                           TimePoint now, LastReason &reason);
    /// @brief Chooses an upstream of a plain service. @param reason NoCapacity when none is available
    std::optional<UpstreamId> chooseService(const Blackboard &blackboard, const ServiceName &service,
                                            const std::set<UpstreamId> &tried, TimePoint now, LastReason &reason);

    /// @brief Records that the engine cached or evicted a prefix; used by LearnedAffinity only.
    void onCacheEvent(const std::string &prefix, const UpstreamId &engine, bool cached, TimePoint now);

private:
    /// @brief An upstream that is available for the attempt, and its work.
    struct Candidate
    {
        const Upstream *upstream = nullptr;
        double work = 0;
    };

    std::optional<UpstreamId> choosePreferred(const std::vector<Candidate> &candidates, const std::string &prefix,
                                              TimePoint now) const;
    std::vector<UpstreamId> preferredEngines(const std::vector<Candidate> &candidates, const std::string &prefix,
                                             TimePoint now) const;
    std::optional<UpstreamId> chooseByLoad(const std::vector<Candidate> &candidates);
    const Candidate &lessLoadedOfTwo(const std::vector<Candidate> &candidates);
    const Candidate &leastLoaded(const std::vector<Candidate> &candidates);
    double workAt(const Blackboard &blackboard, const UpstreamId &id, TimePoint now) const;

    std::mt19937_64 random;
    PlacementOptions options;
};

} // namespace parsleyvane
