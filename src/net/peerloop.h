/**
 * @file
 * @brief The part of PeerNetwork that runs on kj's event loop.
 */
#pragma once

#include "countingstream.h"
#include "parsleyvane/net/peernetwork.h"
#include "peer.capnp.h"
#include "peermailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <map>
#include <memory>
#include <string>

namespace parsleyvane {

/// @brief Timeouts and limits of the calls between instances.
struct PeerLimits
{
    static constexpr kj::Duration callTimeout = 700 * kj::MILLISECONDS;
    static constexpr kj::Duration answerTimeout = 2 * kj::SECONDS; ///< for the local service to answer a peer's call
    static constexpr kj::Duration reconnectBackoff = 250 * kj::MILLISECONDS; ///< doubles with each failure
    static constexpr unsigned maxDoublings = 3;
    static constexpr kj::Duration idleTimeout = 60 * kj::SECONDS; ///< until an unused connection is closed
    static constexpr kj::Duration sweepInterval = 30 * kj::SECONDS;
    static constexpr kj::Duration acceptRetryDelay = 100 * kj::MILLISECONDS; ///< before retrying a failed accept
    static constexpr std::size_t maxSessions = 1024; ///< incoming connections
    static constexpr std::size_t maxPendingAnswers = 1024; ///< calls of peers that await the local service
};

/// @brief One connection to a peer; calls in flight share its ownership.
struct PeerConnection : kj::Refcounted
{
    PeerConnection(kj::Own<kj::AsyncIoStream> stream, PeerCounters &counters);
    kj::Own<PeerConnection> addRef();

    CountingStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpcSystem;
    wire::Peer::Client peer;
};

/// @brief State of the outgoing connection to one address.
struct PeerLink
{
    kj::Maybe<kj::Own<PeerConnection>> connection;
    kj::Maybe<kj::ForkedPromise<kj::Own<PeerConnection>>> connecting;
    unsigned failures = 0;
    kj::TimePoint nextConnectAt = kj::origin<kj::TimePoint>();
    kj::TimePoint lastUsedAt = kj::origin<kj::TimePoint>();
};

/// @brief One incoming connection from a peer.
struct PeerSession
{
    PeerSession(kj::Own<kj::AsyncIoStream> stream, PeerCounters &counters, wire::Peer::Client service);

    CountingStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpcSystem;
    kj::TimePoint lastUsedAt = kj::origin<kj::TimePoint>();
};

/// @brief Sends and receives the calls of one instance; created, used and destroyed on one thread.
class PeerLoop final : private kj::TaskSet::ErrorHandler
{
public:
    /// @brief Passes a peer's call to the executor's thread, which replies by posting answer() with the same number.
    using CallForwarder = std::function<void(std::uint64_t number, PeerCall call)>;

    // constructors
    PeerLoop(kj::AsyncIoContext &io, PeerMailbox &mailbox, PeerCounters &counters, CallForwarder forwardCall);
    PeerLoop(const PeerLoop &) = delete;
    PeerLoop &operator=(const PeerLoop &) = delete;
    ~PeerLoop() noexcept(false) = default;

    // modifiers
    /// @brief Listens; throws kj::Exception when the address cannot be bound. Returns the port.
    unsigned listen(const boost::asio::ip::tcp::endpoint &endpoint);
    /// @brief Runs the event loop until quit().
    void run();
    void quit();
    void call(const std::string &address, PeerCall call, const PeerNetwork::Callback &callback);
    void close(const std::string &address);
    void answer(std::uint64_t number, std::optional<PeerAnswer> answer);
    /// @brief Forwards a peer's call to the local service and returns its answer.
    kj::Promise<kj::Own<PeerAnswer>> serve(std::uint64_t session, PeerCall call);

private:
    using PendingAnswers = std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<kj::Own<PeerAnswer>>>>;

    void taskFailed(kj::Exception &&exception) override;
    kj::Promise<void> readMailbox();
    kj::Promise<void> acceptNext();
    void addSession(kj::Own<kj::AsyncIoStream> stream);
    kj::Promise<void> removeSession(std::uint64_t number);
    kj::Promise<void> sweep();
    kj::Promise<kj::Own<PeerConnection>> connection(const std::string &address);
    void onCallFailed(const std::string &address, const kj::Exception &exception);

    kj::AsyncIoContext &io;
    kj::Timer &timer;
    PeerMailbox &mailbox;
    PeerCounters &counters;
    CallForwarder forwardCall;
    kj::UnixEventPort::FdObserver observer;
    kj::Own<kj::ConnectionReceiver> listener;
    kj::PromiseFulfillerPair<void> done;
    std::uint64_t lastNumber = 0;
    /// Shared, since a call that is being served may be destroyed with the event loop, after this object.
    std::shared_ptr<PendingAnswers> pendingAnswers = std::make_shared<PendingAnswers>();
    // Destroyed in reverse order: tasks use the links.
    std::map<std::string, PeerLink> links;
    std::map<std::uint64_t, PeerSession> sessions;
    kj::TaskSet tasks;
};

/// @brief Sends the call to a connected peer.
kj::Promise<kj::Own<PeerAnswer>> sendCall(wire::Peer::Client peer, const PeerCall &call);
/// @brief Creates the RPC interface that the instance offers to one peer session.
wire::Peer::Client makePeerService(PeerLoop &loop, std::uint64_t session);

} // namespace parsleyvane
