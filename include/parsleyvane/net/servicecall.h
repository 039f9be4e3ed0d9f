/**
 * @file
 * @brief Has a plain service carry out a task: repeatable ones with retries, others once under a claim.
 */
#pragma once

#include "parsleyvane/ledger/runonce.h"
#include "parsleyvane/net/routercontext.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief What is asked of a plain service.
struct ServiceQuestion
{
    RequestId request;
    AccountId account;
    ServiceTask task;
    IdempotencyKey key; ///< empty only for a repeatable task
    std::string body;
    bool repeatable = false;
    Milliseconds maxWait{30000};
};

/// @brief The service's answer.
struct ServiceAnswer
{
    int status = 0;
    std::string body;
    bool replayed = false; ///< kept from a run that happened before
};

/**
 * @brief One task at a plain service.
 *
 * Call run() once. A clean-up of the ledger that the store did not take yet goes on in the background.
 */
class ServiceCall
{
public:
    // constructors
    ServiceCall(RouterContext &context, ServiceQuestion question);

    // modifiers
    /// @brief Runs to the end. @param reason why there is no answer, with its run state
    boost::asio::awaitable<std::optional<ServiceAnswer>> run(LastReason &reason);

private:
    boost::asio::awaitable<std::optional<ServiceAnswer>> runRepeatable(LastReason &reason);
    boost::asio::awaitable<std::optional<ServiceAnswer>> runOnce(LastReason &reason);
    boost::asio::awaitable<LedgerAction> carryOut(RunOnce &ledger, LedgerAction action, AttemptId attempt);
    boost::asio::awaitable<ServiceReply> sendSomewhere(AttemptId attempt);
    boost::asio::awaitable<ServiceReply> sendTo(UpstreamId upstream, AttemptId attempt);
    std::optional<Failure> dispatchCheck() const;
    HttpRequest makeCall(const AttemptId &attempt) const;

    RouterContext &context;
    ServiceQuestion question;
    TimePoint deadline;
};

} // namespace parsleyvane
