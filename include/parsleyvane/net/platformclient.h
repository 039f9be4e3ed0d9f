/**
 * @file
 * @brief The platform's services as ports: the transactional table and the rating service.
 *
 * The protocol is described in docs/PROTOCOLS.md.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"
#include "parsleyvane/net/httpclient.h"
#include "parsleyvane/store/transaction.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief What the rating service says of an answer.
struct Rating
{
    bool passed = false;
    double score = 0;
};

/**
 * @brief Calls the platform. Each call is a connection of its own with bounded time.
 */
class PlatformClient
{
public:
    // constructors
    explicit PlatformClient(boost::asio::ip::tcp::endpoint endpoint,
                            CallLimits limits = {Milliseconds(700), Milliseconds(1500)});

    // observers
    /// @brief Reads a row. @param reason StoreUnavailable when no answer came
    boost::asio::awaitable<std::optional<TableRow>> readRow(std::string key, LastReason &reason) const;
    /// @brief Runs a transaction.
    boost::asio::awaitable<TransactionOutcome> transact(Transaction transaction) const;
    /// @brief Has an answer rated. @param reason StoreUnavailable when no rating came
    boost::asio::awaitable<std::optional<Rating>> rate(AccountId account, TaskName task, std::string question,
                                                       std::string answer, LastReason &reason) const;

private:
    boost::asio::ip::tcp::endpoint endpoint;
    CallLimits limits;
};

} // namespace parsleyvane
