/**
 * @file
 * @brief State shared by the controllers of one instance: the configuration in force, peers, upstreams.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace parsleyvane {

/// @brief This instance's view of an upstream's load and health.
struct UpstreamView
{
    unsigned inFlightHere = 0; ///< requests of this instance in flight
    unsigned reportedRunning = 0;
    unsigned reportedWaiting = 0;
    TimePoint reportedAt{}; ///< when this instance received the load report
    bool leaving = false; ///< reported as draining by any source; never reset
    TimePoint avoidUntil{}; ///< backoff after a refusal or failure: not chosen before this time
};

/// @brief This instance's view of another instance.
struct PeerView
{
    std::string address; ///< address of its exchange port
    ZoneId zone;
    Incarnation incarnation;
    Revision revision;
    TimePoint lastReceivedAt{};
    bool leaving = false;
};

/// @brief When the configuration in force was last confirmed to be the newest one.
struct ConfigurationConfirmations
{
    TimePoint storeConfirmedAt{}; ///< by the store, directly or through a peer that read it
    /// @brief By a majority of the peers: none had a higher revision, and none could reach the store.
    TimePoint majorityConfirmedAt{};
};

/// @brief Lifecycle phase of the instance, which decides on admission.
enum class InstancePhase { Starting, Ready, Draining, Stopped };

/**
 * @brief The shared state of one instance's controllers. Not thread-safe: confined to one thread.
 */
struct Blackboard
{
    InstanceId instance;
    ZoneId zone;
    Incarnation incarnation;
    InstancePhase phase = InstancePhase::Starting;
    /// @brief Whether a stop was requested: the readiness check fails, requests are accepted until the phase changes.
    bool leaving = false;
    /// @brief The configuration in force; requests in flight share ownership of the one they were admitted with.
    std::shared_ptr<const Configuration> configuration;
    ConfigurationConfirmations confirmations;
    std::map<InstanceId, PeerView> peers;
    std::map<UpstreamId, UpstreamView> upstreams;
    /// @brief Content fingerprints of requests suspected of crashing upstreams.
    std::set<std::string> quarantined;
};

/**
 * @brief Checks whether an instance may accept and dispatch work now: it is ready, and its configuration is up to date.
 * @param admitted whether the request was admitted before; Draining then does not apply
 * @return NotReady, Draining or ConfigurationStale; nothing when the work may proceed
 */
std::optional<Failure> dispatchRefusal(const Blackboard &blackboard, TimePoint now, bool admitted);

/// @brief Maximum age of the configuration's latest confirmation for work to be accepted or dispatched.
inline constexpr Milliseconds configurationStalenessLimit{3000};

} // namespace parsleyvane
