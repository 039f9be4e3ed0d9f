/**
 * @file
 * @brief Runs a task on a plain service: a repeatable task with retries, any other at most once, under a claim.
 */
#pragma once

#include "parsleyvane/ledger/runonce.h"
#include "parsleyvane/net/routercontext.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief Input of a ServiceCall.
struct ServiceCallParameters
{
    RequestId request;
    AccountId account;
    ServiceTask task;
    IdempotencyKey key; ///< empty only for a repeatable task
    std::string body;
    bool repeatable = false;
    Milliseconds maxWait{30000};
};

/// @brief Answer of a plain service.
struct ServiceAnswer
{
    int status = 0;
    std::string body;
    bool replayed = false; ///< the recorded result of an earlier run
};

/**
 * @brief One execution of a task on a plain service.
 *
 * Call run() once. A pending clean-up of the ledger continues in the background afterwards.
 */
class ServiceCall
{
public:
    // constructors
    ServiceCall(RouterContext &context, ServiceCallParameters parameters);

    // modifiers
    /// @brief Runs the call to completion. @param reason why there is no answer, with its run state
    boost::asio::awaitable<std::optional<ServiceAnswer>> run(LastReason &reason);

private:
    boost::asio::awaitable<std::optional<ServiceAnswer>> runRepeatable(LastReason &reason);
    boost::asio::awaitable<std::optional<ServiceAnswer>> runOnce(LastReason &reason);
    boost::asio::awaitable<LedgerAction> execute(RunOnce &ledger, LedgerAction action, AttemptId attempt);
    boost::asio::awaitable<ServiceReply> sendToAnyUpstream(AttemptId attempt);
    boost::asio::awaitable<ServiceReply> sendTo(UpstreamId upstream, AttemptId attempt);
    std::optional<Failure> dispatchCheck() const;
    HttpRequest makeServiceRequest(const AttemptId &attempt) const;

    RouterContext &context;
    ServiceCallParameters parameters;
    TimePoint deadline;
};

} // namespace parsleyvane
