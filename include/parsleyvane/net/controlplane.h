/**
 * @file
 * @brief Coordination of the instances of one fleet: membership, configuration distribution and calls between peers.
 *
 * Holds no decision logic of its own: it passes events to the controllers Membership and ConfigurationSpread, which
 * do no I/O, executes the actions they return and updates the blackboard. docs/DECISIONS/membership.md,
 * configuration-spread.md and peer-rpc.md give the reasons.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/membership/digest.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Request by which the store confirms that the configuration is the latest.
enum class StoreProbe {
    CheckedTransaction, ///< a transaction of one check and no write: small, and never served from a stale copy
    Read, ///< a plain read of the row: may be stale
};

/// @brief Identity of this instance and the addresses it uses.
struct ControlSettings
{
    InstanceId instance;
    ZoneId zone;
    std::string peersListen; ///< IP:PORT
    std::string platformEndpoint; ///< IP:PORT
    std::vector<std::string> seeds; ///< IP:PORT of other instances' peers listeners
    StoreProbe probe = StoreProbe::CheckedTransaction;
    /// @brief Incarnation of this process; 0 selects the current time in milliseconds since the epoch.
    Incarnation incarnation;
};

/// @brief Handlers for the calls of other instances. Called on the thread of the ControlPlane's executor.
struct PeerHandlers
{
    /// @brief Stores another instance's bills (a JSON list) until they are durable; returns whether it accepted them.
    std::function<bool(const std::string &bills)> holdBills;
    /// @brief Interrupts up to `count` resumable requests at the upstream; returns the number of slots freed.
    std::function<unsigned(const UpstreamId &upstream, const AccountId &account, unsigned count)> freeSlots;
    /// @brief Receives the evidence that a peer sent with its heartbeat.
    std::function<void(const InstanceId &from, const Evidence &evidence)> evidence;
};

/// @brief Control traffic since the process started.
struct ControlCounters
{
    std::uint64_t peerMessagesSent = 0;
    std::uint64_t peerMessagesReceived = 0;
    std::uint64_t peerBytesSent = 0; ///< including RPC framing, excluding TCP and IP headers
    std::uint64_t peerBytesReceived = 0;
    std::uint64_t peerCallsFailed = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t storeReadsFailed = 0;
    std::uint64_t listReads = 0;
    std::uint64_t platformBytesReceived = 0;
};

/**
 * @brief The control part of one instance.
 *
 * Not thread-safe: member functions, callbacks and the blackboard must only be used on the thread that runs the
 * executor. An internal thread performs the network I/O of the calls between peers.
 *
 * @code
 * ControlPlane plane(context.get_executor(), blackboard, settings);
 * plane.onConfiguration([&](const Configuration &configuration) { apply(configuration); });
 * if (!plane.start(reason)) {
 *     return 1;
 * }
 * @endcode
 */
class ControlPlane
{
public:
    // constructors
    ControlPlane(const boost::asio::any_io_executor &executor, Blackboard &blackboard, ControlSettings settings);
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;
    ~ControlPlane();

    // modifiers
    /// @brief Starts the peers' listener, joins the fleet and starts polling. @param reason InvalidSetting when an
    /// address cannot be used
    bool start(LastReason &reason);
    /// @brief Sets the callback that runs whenever another configuration comes into force.
    void onConfiguration(std::function<void(const Configuration &)> callback);
    /// @brief Announces in the next heartbeats that this instance is leaving; idempotent.
    void setLeaving();
    /// @brief Cancels all calls and joins the internal thread; idempotent, also called by the destructor.
    void stop();
    /// @brief Handlers for the calls of peers, for the owner to set.
    PeerHandlers &handlers();
    /// @brief Replaces the evidence of this instance that the next heartbeats carry.
    /// @param urgent whether to send heartbeats immediately instead of at the next interval
    void setEvidence(Evidence evidence, bool urgent = false);
    /**
     * @brief Sends bills to one live peer, preferably in another availability zone.
     * @param done called once with whether the peer accepted them, unless stop() comes while the call is in flight
     */
    void sendBills(std::string bills, std::function<void(bool)> done);
    /// @brief Requests each live peer to interrupt up to `count` resumable requests at the upstream.
    /// @param onFreed called per peer with the number of slots it freed, 0 if the call failed
    void requestSlots(const UpstreamId &upstream, const AccountId &account, unsigned count,
                      const std::function<void(unsigned)> &onFreed = {});

    // observers
    /// @brief Counters since the start.
    ControlCounters counters() const;
    /// @brief Bound address of the peers' listener, with the port chosen by the system if 0 was configured.
    std::string peersAddress() const;

private:
    class Driver;
    std::shared_ptr<Driver> driver;
};

} // namespace parsleyvane
