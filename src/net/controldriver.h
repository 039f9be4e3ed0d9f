/**
 * @file
 * @brief Implementation of ControlPlane: passes events to the controllers and executes their actions.
 */
#pragma once

#include "parsleyvane/net/controlplane.h"
#include "parsleyvane/net/peernetwork.h"
#include "parsleyvane/spread/configurationspread.h"
#include "storeprobe.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace parsleyvane {

/// @brief Intervals and limits of the driver.
struct DriverLimits
{
    Milliseconds minTimerDelay{20}; ///< between two timer expiries
    Milliseconds listInterval{1000}; ///< minimum interval between reads of the platform's instance list
    std::size_t listBytesPerSecond = 500; ///< average read rate of the instance list; a long list is read less often
};

/// @brief Implementation of ControlPlane. Pending asynchronous operations share its ownership.
class ControlPlane::Driver : public std::enable_shared_from_this<ControlPlane::Driver>
{
public:
    // constructors
    Driver(const boost::asio::any_io_executor &executor, Blackboard &blackboard, ControlSettings settings);

    // modifiers
    bool start(LastReason &reason);
    void stop();
    void setLeaving();
    void setEvidence(Evidence evidence, bool urgent);
    void sendBills(std::string bills, std::function<void(bool)> done);
    void requestSlots(const UpstreamId &upstream, const AccountId &account, unsigned count,
                      const std::function<void(unsigned)> &onFreed);

    // observers
    ControlCounters counters() const;
    std::string peersAddress() const;

    std::function<void(const Configuration &)> configurationCallback;
    PeerHandlers handlers;

private:
    struct ActionVisitor;
    struct CallVisitor;

    void runPeriodicWork();
    void armTimer(TimePoint now);
    void handleSpreadEvent(const SpreadEvent &event);
    void updateBlackboard(TimePoint now);
    void updatePeerViews();
    Digest ownDigest(TimePoint now) const;
    void exchange(const std::string &address);
    void onExchanged(const std::string &address, TimePoint requestedAt, std::uint64_t evidenceSent,
                     const std::optional<PeerAnswer> &answer);
    void fetch(const InstanceId &peer, Revision revision);
    void onFetched(const InstanceId &peer, const std::optional<PeerAnswer> &answer);
    void putInForce(Revision revision);
    std::optional<PeerAnswer> serve(const PeerCall &call);
    std::optional<PeerAnswer> serveExchange(const Digest &digest);
    void applyEvidence(const InstanceId &from, const Evidence &evidence);
    bool markLeaving(const UpstreamId &upstream);
    static boost::asio::awaitable<void> readStore(std::shared_ptr<Driver> self, TimePoint requestedAt);
    void onStoreProbed(TimePoint requestedAt, Revision revisionAtRequest, const ProbeResult &result);
    static boost::asio::awaitable<void> readList(std::shared_ptr<Driver> self);
    void onList(const InstanceList &list);
    std::vector<std::string> livePeers() const;
    std::string chooseBillPeer() const;

    boost::asio::any_io_executor executor;
    Blackboard &blackboard;
    ControlSettings settings;
    DriverLimits limits;
    boost::asio::ip::tcp::endpoint platform;
    std::optional<Membership> membership;
    ConfigurationSpread spread;
    PeerNetwork network;
    boost::asio::steady_timer timer;
    std::map<Revision, LoadedConfiguration> candidates; ///< received, not yet in force
    LoadedConfiguration inForce;
    Evidence evidence;
    std::set<UpstreamId> leavingUpstreams;
    std::uint64_t evidenceNumber = 1; ///< incremented with each change of the evidence
    std::map<std::string, std::uint64_t> deliveredEvidence; ///< by peer address: the number it has; 0 if none
    TimePoint listDue{};
    bool isListReadInFlight = false;
    bool leaving = false;
    bool stopped = true;
    ControlCounters counted;
};

} // namespace parsleyvane
