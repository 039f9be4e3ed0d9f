/**
 * @file
 * @brief What the controllers of one instance read and write: the configuration in force, peers, upstreams.
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

/// @brief What is known of an upstream's load and health here.
struct UpstreamView
{
    unsigned inFlightHere = 0; ///< requests of this instance under way
    unsigned reportedRunning = 0;
    unsigned reportedWaiting = 0;
    TimePoint reportedAt{}; ///< when the report was made, as far as known
    bool leaving = false; ///< any hint that it leaves; never taken back
    TimePoint avoidUntil{}; ///< refused or failed; not chosen before
};

/// @brief What is known of another instance.
struct PeerView
{
    std::string address; ///< of its exchange port
    ZoneId zone;
    Incarnation incarnation;
    Revision revision;
    TimePoint lastReceivedAt{};
    bool leaving = false;
};

/// @brief Evidence that the configuration in force is the newest.
struct ConfigurationConfirmations
{
    TimePoint storeConfirmedAt{}; ///< the store, or a peer that asked it, confirmed the revision then
    TimePoint
        majorityConfirmedAt{}; ///< most peers were heard, none with a higher revision, none with the store in reach
};

/// @brief Life of the instance, as admission needs it.
enum class InstancePhase { Starting, Ready, Draining, Stopped };

/**
 * @brief The shared state of one instance's controllers. One thread only.
 */
struct Blackboard
{
    InstanceId instance;
    ZoneId zone;
    Incarnation incarnation;
    InstancePhase phase = InstancePhase::Starting;
    /// @brief Whether a stop was asked for: readiness is refused, requests are accepted until the phase changes.
    bool leaving = false;
    /// @brief The configuration in force; requests under way keep the one they were admitted with alive.
    std::shared_ptr<const Configuration> configuration;
    ConfigurationConfirmations confirmations;
    std::map<InstanceId, PeerView> peers;
    std::map<UpstreamId, UpstreamView> upstreams;
    /// @brief Content fingerprints of requests suspected of crashing upstreams.
    std::set<std::string> quarantined;
};

/**
 * @brief Whether an instance may take and send on new work at this moment: ready, configured, and fresh.
 * @return the reason why not: NotReady, Draining (unless `admitted` before the drain) or ConfigurationStale
 */
std::optional<Failure> dispatchRefusal(const Blackboard &blackboard, TimePoint now, bool admitted);

/// @brief How old a confirmation of the configuration may be for new work.
inline constexpr Milliseconds configurationStalenessLimit{3000};

} // namespace parsleyvane
