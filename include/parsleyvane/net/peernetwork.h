/**
 * @file
 * @brief Calls between instances by Cap'n Proto RPC, on a thread of their own.
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

/// @brief Exchange digests.
struct ExchangeCall
{
    Digest digest;
};

/// @brief Hand over the document in force, of at least this revision.
struct FetchCall
{
    Revision revision;
};

/// @brief Keep these bills (a JSON list).
struct HoldBillsCall
{
    std::string bills;
};

/// @brief Interrupt resumable requests.
struct MakeRoomCall
{
    UpstreamId upstream;
    AccountId account;
    unsigned count = 0;
};

using PeerCall = std::variant<ExchangeCall, FetchCall, HoldBillsCall, MakeRoomCall>;

/// @brief A document of the configuration as it stands in the store.
struct ConfigurationDocument
{
    std::string json;
    std::uint64_t rowVersion = 0; ///< of the store's row; 0 when not known
};

/// @brief The bills are kept.
struct BillsHeld
{
};

/// @brief So many requests were interrupted.
struct RoomMade
{
    unsigned made = 0;
};

using PeerAnswer = std::variant<Digest, ConfigurationDocument, BillsHeld, RoomMade>;

/// @brief Bytes and messages of the calls between instances, with RPC's frames and without TCP's.
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
 * All members belong to the executor's thread, and all functions given are called on it. A peer's bytes that make no
 * sense end its connection, never the process.
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
    /// @brief Answers a peer's call; empty for a refusal.
    using Service = std::function<std::optional<PeerAnswer>(const PeerCall &)>;
    /// @brief Takes a peer's answer; empty when it refused, failed or did not answer in time.
    using Callback = std::function<void(std::optional<PeerAnswer>)>;

    // constructors
    PeerNetwork(boost::asio::any_io_executor executor, Service service);
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;
    ~PeerNetwork();

    // modifiers
    /// @brief Listens at IP:PORT. @param reason InvalidSetting
    bool start(const std::string &listen, LastReason &reason);
    /// @brief Calls the peer at IP:PORT; the callback comes within the call's timeout, unless stop() comes first.
    void call(const std::string &address, PeerCall call, Callback callback);
    /// @brief Closes the connection to a peer that is gone.
    void close(const std::string &address);
    /// @brief Ends the thread; no callback comes afterwards. Idempotent.
    void stop();

    // observers
    /// @brief Traffic so far.
    PeerTraffic traffic() const;
    /// @brief Where it listens.
    std::string address() const;

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

} // namespace parsleyvane
