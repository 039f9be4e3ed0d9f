/**
 * @file
 * @brief HTTP endpoints for operators and the platform: health, readiness, metrics and status.
 */
#pragma once

#include "parsleyvane/net/controlplane.h"
#include "parsleyvane/net/httpserver.h"
#include "parsleyvane/net/routercontext.h"

namespace parsleyvane {

/**
 * @brief Handles the requests of the operators' listener.
 */
class OperatorApi
{
public:
    // constructors
    OperatorApi(RouterContext &context, const ControlPlane &plane);

    // modifiers
    /// @brief Answers one request; the handler of the operators' HttpServer.
    boost::asio::awaitable<void> handle(Exchange &exchange);

private:
    std::string statusBody() const;
    void refreshGauges();

    RouterContext &context;
    const ControlPlane &plane;
};

} // namespace parsleyvane
