/**
 * @file
 * @brief What two instances tell each other in one heartbeat.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Counters of one version at one instance since its start; they only rise, so that they can be merged.
struct VersionEvidence
{
    ModelVersion version;
    std::uint64_t served = 0;
    std::uint64_t errors = 0;
    std::uint64_t failedRatings = 0;

    friend bool operator==(const VersionEvidence &, const VersionEvidence &) = default;
};

/// @brief What other controllers share through the heartbeats.
struct Evidence
{
    /// @brief Content fingerprints of requests suspected of crashing upstreams.
    std::vector<std::string> quarantined;
    std::vector<VersionEvidence> versions;
    /// @brief Upstreams known to be leaving.
    std::vector<UpstreamId> leavingUpstreams;
    /// @brief Bytes of other instances' bills held until the store is back.
    std::uint64_t pendingBills = 0;

    friend bool operator==(const Evidence &, const Evidence &) = default;
};

/**
 * @brief State of one instance at the moment of sending.
 *
 * Times are ages, because the clocks of two machines cannot be compared.
 */
struct Digest
{
    InstanceId instance;
    ZoneId zone;
    std::string address; ///< IP:PORT of the peers' listener
    Incarnation incarnation;
    Revision revision; ///< 0 without a configuration
    std::string changeId;
    /// @brief Age of the latest confirmation by the store that `revision` is the newest; empty for never.
    std::optional<Milliseconds> confirmedAge;
    /// @brief Whether the store answered this instance itself lately.
    bool isStoreReachable = false;
    bool leaving = false;
    /// @brief Empty when it is as last told to this receiver.
    std::optional<Evidence> evidence;

    friend bool operator==(const Digest &, const Digest &) = default;
};

} // namespace parsleyvane
