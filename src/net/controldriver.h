/**
 * @file
 * @brief What ControlPlane consists of: it feeds the controllers and carries out their actions.
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

/// @brief Times and bounds of the driver.
struct DriverLimits
{
    Milliseconds shortestPause{20}; ///< between two turns of the timer
    Milliseconds listInterval{1000}; ///< between reads of the platform's list, at least
    std::size_t listBytesPerSecond = 500; ///< a long list is read less often
};

/// @brief The control part of one instance; lives until its last asynchronous operation has ended.
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
    void askRoom(const UpstreamId &upstream, const AccountId &account, unsigned count,
                 const std::function<void(unsigned)> &made);

    // observers
    ControlCounters counters() const;
    std::string peersAddress() const;

    std::function<void(const Configuration &)> configurationCallback;
    PeerHandlers handlers;

private:
    struct ActionVisitor;
    struct CallVisitor;

    void pump();
    void armTimer(TimePoint now);
    void feed(const SpreadEvent &event);
    void fillBlackboard(TimePoint now);
    void fillPeers();
    Digest ownDigest(TimePoint now) const;
    void exchange(const std::string &address);
    void onExchanged(const std::string &address, TimePoint requestedAt, std::uint64_t evidenceSent,
                     const std::optional<PeerAnswer> &answer);
    void fetch(const InstanceId &peer, Revision revision);
    void onFetched(const InstanceId &peer, const std::optional<PeerAnswer> &answer);
    void putInForce(Revision revision);
    std::optional<PeerAnswer> serve(const PeerCall &call);
    std::optional<PeerAnswer> serveExchange(const Digest &digest);
    void takeEvidence(const InstanceId &from, const Evidence &evidence);
    bool markLeaving(const UpstreamId &upstream);
    static boost::asio::awaitable<void> readStore(std::shared_ptr<Driver> self, TimePoint requestedAt);
    void onProbed(TimePoint requestedAt, Revision askedWith, const ProbeResult &result);
    static boost::asio::awaitable<void> readList(std::shared_ptr<Driver> self);
    void onList(const InstanceList &list);
    std::vector<std::string> livePeers() const;
    std::string billHolder() const;

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
    std::uint64_t evidenceNumber = 1; ///< rises with each change of the evidence
    std::map<std::string, std::uint64_t> evidenceTold; ///< number that the peer at the address has
    TimePoint listDue{};
    bool listUnderWay = false;
    bool leaving = false;
    bool stopped = true;
    ControlCounters counted;
};

} // namespace parsleyvane
