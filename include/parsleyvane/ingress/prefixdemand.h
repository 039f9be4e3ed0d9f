/**
 * @file
 * @brief Estimates how often the fleet requests each prompt prefix, and how many replicas the prefix needs.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace parsleyvane {

/// @brief Requests per second that one replica may receive where its service doesn't permit less.
inline constexpr double defaultReplicaRate = 4;

/// @brief What a request tells about the demand for its prefix.
struct PrefixRequest
{
    std::string_view prefix;
    std::string_view session; ///< empty when the request belongs to no session
};

/// @brief Tunable values of PrefixDemand.
struct PrefixDemandLimits
{
    Milliseconds decayTime{5000}; ///< time constant of the counts
    /// Clients can invent prefixes, so the table is bounded; the least requested quarter is evicted when it is full.
    std::size_t maxPrefixes = 4096;
};

/**
 * @brief Counts this instance's requests by prefix, decaying exponentially. Complexity: constant (amortized).
 *
 * The rate over all instances is extrapolated from the instance's own count, without communication. A session may keep
 * its connection and thus its instance, so its own earlier requests don't tell what the other instances receive: the
 * latest ones in a row count for this instance only.
 */
class PrefixDemand
{
public:
    // constructors
    explicit PrefixDemand(PrefixDemandLimits limits = {});

    // modifiers
    /// @brief Sets the number of instances in the fleet; 0 when it is not known, which counts as 1.
    void setInstances(std::size_t number);
    /// @brief Counts a client's request for the prefix.
    void onRequest(const PrefixRequest &request, TimePoint now);

    // observers
    /**
     * @brief Number of replicas that the prefix needs, at least 1.
     *
     * Call it before the request is counted: extrapolated to the fleet, the request itself would be a high rate.
     * @param ratePerReplica requests per second that one replica may receive; an invalid value counts as
     * defaultReplicaRate
     */
    std::size_t replicas(const PrefixRequest &request, double ratePerReplica, TimePoint now) const;
    /// @brief Estimated requests per second for the prefix, over all instances, as the given request may assume.
    double rate(const PrefixRequest &request, TimePoint now) const;
    /// @brief Number of prefixes in the table.
    std::size_t size() const noexcept
    {
        return this->counts.size();
    }

private:
    struct Count
    {
        double requests = 0; ///< without those of the latest session
        double inARow = 0; ///< of the latest session
        std::uint64_t session = 0; ///< hash of the latest session; 0 for none
        TimePoint at{}; ///< when the requests were last decayed
    };

    Count decayed(const Count &count, TimePoint now) const;
    void evict(TimePoint now);

    PrefixDemandLimits limits;
    double instances = 1;
    /// By the prefix's hash, so that long names take no memory. A collision only adds a replica.
    std::unordered_map<std::uint64_t, Count> counts;
};

} // namespace parsleyvane
