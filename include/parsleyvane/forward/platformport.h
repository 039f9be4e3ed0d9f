/**
 * @file
 * @brief Interface to the platform, in the project's own types. Implemented in platform/.
 */
#pragma once

#include "parsleyvane/ingress/routetable.h"
#include "parsleyvane/ingress/upstreamlist.h"
#include "parsleyvane/ingress/versionshift.h"
#include "parsleyvane/limits/tokenbucket.h"
#include "parsleyvane/net/httpserver.h"
#include "parsleyvane/store/storewatch.h"
#include "parsleyvane/store/transaction.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief A part of a prompt that several requests may share.
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

/// @brief Fields read from the head of a client's request.
struct RequestFacts
{
    RequestId id; ///< unique for each of the client's own attempts
    std::string path; ///< without the query
    std::string host;
    std::string apiKey;
    std::string session; ///< empty when the request belongs to no session
    std::optional<Milliseconds> timeout; ///< how long the client waits for the answer
    std::optional<std::uint64_t> lastEvent; ///< the client received the stream up to this event
    std::vector<PromptPart> prompt; ///< in order; the last part is not shared with other requests
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< upper limit
};

/// @brief Fields that the router sets on a request to an upstream.
struct DispatchFacts
{
    UpstreamId upstream; ///< another process at the same address refuses the request
    AccountId account; ///< empty when the route needs no key
    Milliseconds remainingTime{0}; ///< until the client's timeout
    std::optional<std::uint64_t> lastEvent;
    std::optional<ModelName> model; ///< set where the router chooses the model
    std::optional<int> priority; ///< 0 is the highest
};

/// @brief Fields read from the head of an upstream's answer.
struct AnswerHead
{
    std::string requestId; ///< id of the request that this answers
    bool isSigned = false; ///< the upstream's application produced the answer
    bool notRun = false; ///< the upstream guarantees that it has not run the request and will not
    bool isEncoded = false; ///< the body has a content coding that no client requested
    std::optional<int> confidence; ///< the model's confidence in its answer, 0 to 100
    std::optional<RequestRate> requestRate; ///< what the upstream accepts from all instances together
    bool isLeaving = false; ///< the upstream stops soon
    std::optional<Milliseconds> coldRemaining; ///< how much longer the upstream is slow after its start
    std::optional<Milliseconds> retryAfter; ///< a refusing upstream wants no requests from this instance for so long
    bool isRetryAfterReadable = true;
    bool isRateReadable = true;
    bool isColdReadable = true;
};

/// @brief Rows of a table, or their changes, as of one point in time.
struct TableSnapshot
{
    std::vector<TableRow> rows;
    std::vector<std::string> removed; ///< keys of removed rows, in a list of changes
    std::uint64_t version = 0; ///< the next changes are read after this version
    Milliseconds storeTime{0}; ///< on the store's steady clock
    std::uint64_t era = 0; ///< of the store; versions of different eras are not comparable
};

/// @brief The store no longer holds the requested changes; the table must be read in full.
struct HistoryLost
{
};
using ChangesOutcome = std::variant<TableSnapshot, HistoryLost, Failure>;

/// @brief Upstreams in the zone get no new requests until the order's row is removed.
struct EvacuationOrder
{
    ZoneId zone;
};

/// @brief A decoded row of Orders.
using OperatorOrder = std::variant<std::shared_ptr<const RouteTable>, RolloutOrder, EvacuationOrder>;

/**
 * @brief Access to the platform. Calls have timeouts; decoding is linear in the text.
 */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;

    // the store
    /// @brief Reads a table in full. @param reason StoreUnavailable
    virtual boost::asio::awaitable<std::optional<TableSnapshot>> readTable(StoreTable table, LastReason &reason) = 0;
    /// @brief Reads the rows of one part of a table. @param reason StoreUnavailable
    virtual boost::asio::awaitable<std::optional<TableSnapshot>> readPart(StoreTable table, std::string part,
                                                                          LastReason &reason)
        = 0;
    /// @brief Long-polls for changes after a version; an empty list when the wait ends without any.
    virtual boost::asio::awaitable<ChangesOutcome> readChanges(StoreTable table, std::uint64_t after, Milliseconds wait)
        = 0;
    /// @brief Aborts the table's read in flight, if any; it fails.
    virtual void interruptRead(StoreTable table) = 0;
    /// @brief Writes rows if the checked rows still have the given versions.
    virtual boost::asio::awaitable<TransactionOutcome> transact(Transaction transaction) = 0;
    /// @brief The newest era that any answer of the store has named; 0 before the first.
    virtual std::uint64_t storeEra() const = 0;
    /// @brief The key of a row in a transaction.
    virtual std::string rowKey(StoreTable table, const std::string &name) const = 0;

    // rows
    /// @brief Decodes a row of Orders. @param reason InvalidConfiguration, also for a row of another kind
    virtual std::optional<OperatorOrder> readOrder(const TableRow &row, LastReason &reason) const = 0;
    /// @brief The zone of an evacuation order, by the key of its row in Orders; nothing for another order's key.
    virtual std::optional<ZoneId> readEvacuatedZone(const std::string &rowKey) const = 0;
    /// @brief Decodes a row of Upstreams. @param reason BadPeerData when the row is malformed
    virtual std::optional<UpstreamEntry> readUpstream(const TableRow &row, LastReason &reason) const = 0;
    /// @brief Decodes the status row of a roll-out. @param reason BadPeerData
    virtual std::optional<RolloutStatus> readStatus(const TableRow &row, LastReason &reason) const = 0;
    /// @brief Encodes the status row of a roll-out. @return key within Status, and text
    virtual std::pair<std::string, std::string> writeStatus(const RolloutStatus &status) const = 0;

    // requests
    /// @brief Decodes a client's request. @param reason MalformedRequest
    virtual std::optional<RequestFacts> readRequest(const HttpRequest &request, LastReason &reason) const = 0;
    /// @brief The header by which a response tells that its request has not run and will not.
    virtual HttpHeader notRunHeader() const = 0;
    /// @brief Makes the request for the upstream from the received one.
    virtual HttpRequest makeUpstreamRequest(const HttpRequest &received, const DispatchFacts &facts) const = 0;
    /// @brief Decodes the head of an upstream's answer.
    virtual AnswerHead readAnswer(const boost::beast::http::response_header<> &head) const = 0;
};

} // namespace parsleyvane
