/**
 * @file
 * @brief A request's way through an instance: authenticate, admit, route, answer, bill.
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

/// @brief Who asks for what, as far as the head of the request tells.
struct Admission
{
    std::shared_ptr<const Configuration> configuration; ///< keeps account and task alive
    const Account *account = nullptr;
    const Task *task = nullptr;
    RequestId request;
    IdempotencyKey key;
    bool claimed = false;
    Milliseconds maxWait{0};
    TimePoint receivedAt;
};

/**
 * @brief Serves the requests of callers.
 */
class Router
{
public:
    // constructors
    explicit Router(RouterContext &context);

    // modifiers
    /// @brief Answers one request; the handler of the callers' HttpServer.
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
