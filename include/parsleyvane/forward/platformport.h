/**
 * @file
 * @brief What the platform tells and takes, in the project's own types. Implemented in platform/.
 */
#pragma once

#include "parsleyvane/ingress/routetable.h"
#include "parsleyvane/ingress/upstreamlist.h"
#include "parsleyvane/ingress/versionshift.h"
#include "parsleyvane/net/httpclient.h"
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

/// @brief What the head of a client's request says.
struct RequestFacts
{
    RequestId id; ///< one for each of the client's own attempts
    std::string path; ///< without the query
    std::string host;
    std::string apiKey;
    std::string session; ///< empty when the request belongs to none
    std::optional<Milliseconds> patience; ///< how long the client waits
    std::optional<std::uint64_t> lastEvent; ///< the client has the stream up to this event
    std::vector<PromptPart> prompt; ///< in order; the last part is the request's own
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< at most
};

/// @brief What is set on a request towards an upstream.
struct DispatchFacts
{
    UpstreamId upstream; ///< any other process at its address refuses
    AccountId account; ///< empty when the route needs no key
    Milliseconds patience{0}; ///< what is left of it
    std::optional<std::uint64_t> lastEvent;
    std::optional<ModelName> model; ///< where the route leaves the choice to the router
    std::optional<int> urgency; ///< 0 is first
};

/// @brief What the head of an upstream's answer says.
struct AnswerHead
{
    std::string requestId; ///< the request that it answers
    bool isSigned = false; ///< made by an upstream's application
    bool notRun = false; ///< the upstream says that it did not run the request, and will not
    bool isEncoded = false; ///< in a coding that no client asked for
    std::optional<int> confidence; ///< the model's opinion of its answer, 0 to 100
};

/// @brief Tables of the store by what they hold.
enum class StoreTable {
    Orders, ///< what the operator wants: configuration and roll-outs
    Upstreams, ///< the registered upstreams
    Status, ///< what the operator reads
    Fleet, ///< what the instances tell each other
};

/// @brief Rows as of one moment.
struct TableSnapshot
{
    std::vector<TableRow> rows;
    std::vector<std::string> removed; ///< keys, in a list of changes
    std::uint64_t version = 0; ///< continue from here
    Milliseconds storeTime{0}; ///< on the store's steady clock
};

/// @brief The store no longer has the changes asked for.
struct HistoryLost
{
};
using ChangesOutcome = std::variant<TableSnapshot, HistoryLost, Failure>;

/// @brief A row of the operator that means something here.
using OperatorOrder = std::variant<std::shared_ptr<const RouteTable>, RolloutOrder>;

/**
 * @brief The platform. Calls take bounded time; the decoding is constant or linear in the text.
 */
class PlatformPort
{
public:
    virtual ~PlatformPort() = default;

    // the store
    /// @brief Reads a whole table. @param reason StoreUnavailable
    virtual boost::asio::awaitable<std::optional<TableSnapshot>> readTable(StoreTable table, LastReason &reason) = 0;
    /// @brief Waits for changes after a version; an empty list once the wait is over.
    virtual boost::asio::awaitable<ChangesOutcome> readChanges(StoreTable table, std::uint64_t after, Milliseconds wait)
        = 0;
    /// @brief Breaks the reads under way: their answers were lost with the store's.
    virtual void interruptReads() = 0;
    /// @brief Writes under conditions.
    virtual boost::asio::awaitable<TransactionOutcome> transact(Transaction transaction) = 0;
    /// @brief A row's key in a transaction.
    virtual std::string rowKey(StoreTable table, const std::string &name) const = 0;

    // rows
    /// @brief Reads a row of Orders. @param reason InvalidConfiguration; empty rows of no meaning here fail too
    virtual std::optional<OperatorOrder> readOrder(const TableRow &row, LastReason &reason) const = 0;
    /// @brief Reads a row of Upstreams. @param reason BadPeerData when another writer left it
    virtual std::optional<UpstreamEntry> readUpstream(const TableRow &row, LastReason &reason) const = 0;
    /// @brief Reads a row of Status that tells of a roll-out. @param reason BadPeerData
    virtual std::optional<RolloutStatus> readStatus(const TableRow &row, LastReason &reason) const = 0;
    /// @brief The row that tells of a roll-out: key within Status, and text.
    virtual std::pair<std::string, std::string> writeStatus(const RolloutStatus &status) const = 0;

    // requests
    /// @brief Reads a client's request. @param reason MalformedRequest
    virtual std::optional<RequestFacts> readRequest(const HttpRequest &request, LastReason &reason) const = 0;
    /// @brief The same request as an upstream gets it.
    virtual HttpRequest makeUpstreamRequest(const HttpRequest &received, const DispatchFacts &facts) const = 0;
    /// @brief Reads the head of an upstream's answer.
    virtual AnswerHead readAnswer(const boost::beast::http::response_header<> &head) const = 0;
};

} // namespace parsleyvane
