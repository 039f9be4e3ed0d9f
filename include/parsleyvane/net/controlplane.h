/**
 * @file
 * @brief How the instances of one fleet act together: membership, spread of the configuration, calls between peers.
 *
 * Thin: it feeds events to the pure controllers Membership and ConfigurationSpread, carries out their actions and
 * fills the blackboard. docs/DECISIONS/membership.md, configuration-spread.md and peer-rpc.md give the reasons.
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

/// @brief How the store is asked whether the configuration is the newest.
enum class StoreProbe {
    CheckedTransaction, ///< a transaction of one check and no write: small, and never answered from an old copy
    Read, ///< a plain read of the row: may be stale
};

/// @brief Who this instance is, and whom it asks.
struct ControlSettings
{
    InstanceId instance;
    ZoneId zone;
    std::string peersListen; ///< IP:PORT
    std::string platformEndpoint; ///< IP:PORT
    std::vector<std::string> seeds; ///< IP:PORT of other instances' peers listeners
    StoreProbe probe = StoreProbe::CheckedTransaction;
    /// @brief Which start this is; 0 takes milliseconds since the epoch.
    Incarnation incarnation;
};

/// @brief What other instances may ask of this one. Called on the thread of the ControlPlane's executor.
struct PeerHandlers
{
    /// @brief Keeps another instance's bills (a JSON list) until they are durable; returns whether it took them.
    std::function<bool(const std::string &bills)> holdBills;
    /// @brief Interrupts up to `count` resumable requests at the upstream; returns how many places were made.
    std::function<unsigned(const UpstreamId &upstream, const AccountId &account, unsigned count)> makeRoom;
    /// @brief A peer's evidence came with its heartbeat.
    std::function<void(const InstanceId &from, const Evidence &evidence)> evidence;
};

/// @brief Traffic of control since the start.
struct ControlCounters
{
    std::uint64_t peerMessagesSent = 0;
    std::uint64_t peerMessagesReceived = 0;
    std::uint64_t peerBytesSent = 0; ///< with the frames of RPC, without those of TCP
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
 * All members and callbacks belong to the one thread that runs the executor; the blackboard does too. The calls
 * between peers run on a thread of their own inside.
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
    /// @brief Listens, joins and starts to poll. @param reason InvalidSetting when an address cannot be used
    bool start(LastReason &reason);
    /// @brief Sets what is called whenever another configuration came into force.
    void onConfiguration(std::function<void(const Configuration &)> callback);
    /// @brief Tells the peers with the next heartbeats that this instance leaves; idempotent.
    void setLeaving();
    /// @brief Ends all calls and the inner thread; idempotent, and part of destruction.
    void stop();
    /// @brief What peers may ask of this instance.
    PeerHandlers &handlers();
    /// @brief Replaces what the next heartbeats tell of this instance's other controllers.
    /// @param urgent whether the peers are told at once instead of with their next heartbeats
    void setEvidence(Evidence evidence, bool urgent = false);
    /**
     * @brief Hands bills to one live peer, in another availability zone if there is one.
     * @param done called once with whether the peer took them
     */
    void sendBills(std::string bills, std::function<void(bool)> done);
    /// @brief Asks all live peers to interrupt resumable work. @param made called with the places of each answer
    void askRoom(const UpstreamId &upstream, const AccountId &account, unsigned count,
                 const std::function<void(unsigned)> &made = {});

    // observers
    /// @brief Traffic so far.
    ControlCounters counters() const;
    /// @brief Where the peers' listener is bound; the port that the system chose where 0 was set.
    std::string peersAddress() const;

private:
    class Driver;
    std::shared_ptr<Driver> driver;
};

} // namespace parsleyvane
