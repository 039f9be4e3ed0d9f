/**
 * @file
 * @brief Calls between instances over Cap'n Proto RPC, performed on a dedicated thread.
 *
 * docs/DECISIONS/peer-rpc.md gives the reasons for the thread.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/membership/digest.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace parsleyvane {

/// @brief Sends a digest and requests the peer's.
struct ExchangeCall
{
    Digest digest;
};

/// @brief Requests the configuration document in force, of at least this revision.
struct FetchCall
{
    Revision revision;
};

/// @brief Requests the peer to store bills (a JSON list) until they are durable.
struct HoldBillsCall
{
    std::string bills;
};

/// @brief Requests the peer to interrupt up to `count` resumable requests at the upstream.
struct FreeSlotsCall
{
    UpstreamId upstream;
    AccountId account;
    unsigned count = 0;
};

using PeerCall = std::variant<ExchangeCall, FetchCall, HoldBillsCall, FreeSlotsCall>;

/// @brief A configuration document as stored.
struct ConfigurationDocument
{
    std::string json;
    std::uint64_t rowVersion = 0; ///< of the store's row; 0 if unknown
};

/// @brief Answer to HoldBillsCall: the peer has accepted the bills.
struct BillsHeld
{
};

/// @brief Answer to FreeSlotsCall.
struct SlotsFreed
{
    unsigned freed = 0; ///< number of requests interrupted
};

using PeerAnswer = std::variant<Digest, ConfigurationDocument, BillsHeld, SlotsFreed>;

/// @brief Bytes and messages of the calls between instances, including RPC framing, excluding TCP and IP headers.
struct PeerTraffic
{
    std::uint64_t callsSent = 0;
    std::uint64_t callsReceived = 0;
    std::uint64_t callsFailed = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/**
 * @brief Client and server of the calls between instances.
 *
 * Member functions must be called on the executor's thread, and callbacks run on it. Malformed bytes from a peer
 * close its connection and never terminate the process.
 *
 * @code
 * PeerNetwork network(context.get_executor(), [&](const PeerCall &call) { return answer(call); });
 * network.start("127.0.0.1:7300", reason);
 * network.call("127.0.0.2:7300", ExchangeCall{digest}, [](std::optional<PeerAnswer> answer) { ... });
 * @endcode
 */
class PeerNetwork
{
public:
    /// @brief Answers a peer's call; an empty result refuses it.
    using Service = std::function<std::optional<PeerAnswer>(const PeerCall &)>;
    /// @brief Receives a peer's answer; empty if the call was refused, failed or timed out.
    using Callback = std::function<void(std::optional<PeerAnswer>)>;

    // constructors
    PeerNetwork(boost::asio::any_io_executor executor, Service service);
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;
    ~PeerNetwork();

    // modifiers
    /// @brief Starts the thread and listens at IP:PORT. @param reason InvalidSetting when the address cannot be used
    bool start(const std::string &listen, LastReason &reason);
    /// @brief Calls the peer at IP:PORT. The callback runs within the call timeout, or never if stop() comes first.
    void call(const std::string &address, PeerCall call, Callback callback);
    /// @brief Closes the connection to a peer that is no longer a member.
    void close(const std::string &address);
    /// @brief Stops and joins the thread; no callback runs afterwards. Idempotent.
    void stop();

    // observers
    /// @brief Traffic since the start.
    PeerTraffic traffic() const;
    /// @brief Bound address of the listener, as IP:PORT.
    std::string address() const;

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

} // namespace parsleyvane
