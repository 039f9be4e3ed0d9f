/**
 * @file
 * @brief Client of the platform's services: the transactional table and the rating service.
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

/// @brief The rating service's result for an answer.
struct Rating
{
    bool passed = false;
    double score = 0;
};

/**
 * @brief Calls the platform. Each call opens its own connection and has a timeout.
 */
class PlatformClient
{
public:
    // constructors
    explicit PlatformClient(boost::asio::ip::tcp::endpoint endpoint,
                            CallLimits limits = {Milliseconds(700), Milliseconds(1500)});

    // observers
    /// @brief Reads a row. @param reason StoreUnavailable when there is no valid answer
    boost::asio::awaitable<std::optional<TableRow>> readRow(std::string key, LastReason &reason) const;
    /// @brief Runs a transaction. The outcome says whether it was committed, not sent, in conflict or indeterminate.
    boost::asio::awaitable<TransactionOutcome> transact(Transaction transaction) const;
    /// @brief Requests a rating of an answer. @param reason StoreUnavailable when there is no valid rating
    boost::asio::awaitable<std::optional<Rating>> rate(AccountId account, TaskName task, std::string question,
                                                       std::string answer, LastReason &reason) const;

private:
    boost::asio::ip::tcp::endpoint endpoint;
    CallLimits limits;
};

} // namespace parsleyvane
