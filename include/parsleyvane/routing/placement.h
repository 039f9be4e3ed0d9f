/**
 * @file
 * @brief Chooses the upstream for an attempt.
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
    /// @brief The prompt's beginning; engines keep the prefixes they have seen.
    std::string prefix;
    /// @brief Upstreams that this request has tried.
    std::set<UpstreamId> tried;
};

/// @brief Prefixes do not matter.
struct NoAffinity
{
};

/// @brief Prefers engines that are believed to hold the prefix, by own requests and cache events.
struct LearnedAffinity
{
    PrefixIndex index;
};

/**
 * @brief Prefers the engines that rendezvous hashing names for the prefix.
 *
 * All instances name the same ones, with no message and no state.
 */
struct RendezvousAffinity
{
    /// @brief Engines named for a prefix; the next one takes what the one before has no room for.
    std::size_t holders = 3;
};

/// @brief What prefixes do in placement.
using Affinity = std::variant<NoAffinity, LearnedAffinity, RendezvousAffinity>;

/// @brief Two candidates are drawn, and the one with less work is taken.
struct PowerOfTwoChoices
{
};

/// @brief The candidate with the least work is taken; a draw decides among equals.
struct LeastLoaded
{
};

/// @brief How one of several upstreams is chosen.
using Balance = std::variant<PowerOfTwoChoices, LeastLoaded>;

/// @brief Tunable values of Placement.
struct PlacementOptions
{
    Affinity affinity = RendezvousAffinity();
    Balance balance = LeastLoaded();
    /// @brief An engine is preferred for its prefix below this multiple of the candidates' mean work, plus the margin.
    double affinitySlack = 1;
    /// @brief Requests above that multiple.
    double affinityMargin = 0.5;
    /// @brief Weight of a fresh report against own requests, 0 to 1.
    double reportWeight = 0;
    /// @brief Age at which a report says nothing any more.
    Milliseconds reportLife{10000};
};

/**
 * @brief Places an attempt at an engine that has its prefix and no more work than others, else where there is least
 * work.
 *
 * Work is what this instance has under way at an upstream, plus a share of what the upstream reported, which fades with
 * its age. An upstream that is leaving, or to be avoided, is not chosen. Complexity: linear in the upstreams.
 */
class Placement
{
public:
    // constructors
    explicit Placement(std::uint64_t seed, PlacementOptions options = PlacementOptions());

    // modifiers
    /// @brief Draws an upstream. @param reason NoCapacity when none can take the attempt
    std::optional<UpstreamId> chooseEngine(const Blackboard &blackboard, const PlacementRequirements &question,
                                           TimePoint now, LastReason &reason);
    /// @brief Draws an instance of a plain service. @param reason NoCapacity when none can take the attempt
    std::optional<UpstreamId> chooseService(const Blackboard &blackboard, const ServiceName &service,
                                            const std::set<UpstreamId> &tried, TimePoint now, LastReason &reason);

    /// @brief The engine keeps, or no longer keeps, a prefix; for affinity that learns.
    void onCacheEvent(const std::string &prefix, const UpstreamId &engine, bool kept, TimePoint now);

private:
    /// @brief An upstream that can take the attempt, and its work.
    struct Candidate
    {
        const Upstream *upstream = nullptr;
        double work = 0;
    };

    std::optional<UpstreamId> choosePreferred(const std::vector<Candidate> &candidates, const std::string &prefix,
                                              TimePoint now) const;
    std::vector<UpstreamId> preferred(const std::vector<Candidate> &candidates, const std::string &prefix,
                                      TimePoint now) const;
    std::optional<UpstreamId> chooseLight(const std::vector<Candidate> &candidates);
    const Candidate &lighterOfTwo(const std::vector<Candidate> &candidates);
    const Candidate &lightest(const std::vector<Candidate> &candidates);
    double workAt(const Blackboard &blackboard, const UpstreamId &id, TimePoint now) const;

    std::mt19937_64 random;
    PlacementOptions options;
};

} // namespace parsleyvane
