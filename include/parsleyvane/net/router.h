/**
 * @file
 * @brief Request path of an instance: authenticate, admit, route, answer, bill.
 */
#pragma once

#include "parsleyvane/api/chat.h"
#include "parsleyvane/limits/accountlimiter.h"
#include "parsleyvane/net/httpserver.h"
#include "parsleyvane/net/modelcall.h"
#include "parsleyvane/net/routercontext.h"
#include "parsleyvane/session/token.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief An admitted request: its client account, task, priority and time limit.
struct Admission
{
    std::shared_ptr<const Configuration> configuration; ///< owns `*account` and `*task`
    const Account *account = nullptr;
    const Task *task = nullptr;
    RequestId request;
    IdempotencyKey key;
    bool claimsPriority = false;
    Milliseconds maxWait{0};
    TimePoint receivedAt;
};

/**
 * @brief Serves client requests.
 */
class Router
{
public:
    // constructors
    explicit Router(RouterContext &context);

    // modifiers
    /// @brief Answers one request; the ExchangeHandler of the HttpServer for clients.
    boost::asio::awaitable<void> handle(Exchange &exchange);

private:
    std::optional<Admission> admit(const Exchange &exchange, LastReason &reason) const;
    const Account *authenticate(const Exchange &exchange, const Configuration &configuration, LastReason &reason) const;
    boost::asio::awaitable<void> serve(Exchange &exchange, const Admission &admission);
    boost::asio::awaitable<std::optional<Failure>> serveModel(Exchange &exchange, const Admission &admission,
                                                              const ModelTask &task);
    boost::asio::awaitable<std::optional<Failure>> serveService(Exchange &exchange, const Admission &admission,
                                                                const ServiceTask &task);

    RouterContext &context;
    AccountLimiter limiter;
};

} // namespace parsleyvane
