/**
 * @file
 * @brief One entry instance: wires the controllers, ports and listeners together.
 */
#pragma once

#include "parsleyvane/config/settings.h"
#include "parsleyvane/core/shutdown.h"
#include "parsleyvane/net/controlplane.h"
#include "parsleyvane/net/httpserver.h"
#include "parsleyvane/net/loadpoller.h"
#include "parsleyvane/net/operatorapi.h"
#include "parsleyvane/net/router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace parsleyvane {

/**
 * @brief An entry instance in one process.
 *
 * @code
 * Instance instance(settings);
 * if (!instance.start(reason)) {
 *     return 1;
 * }
 * instance.run();
 * @endcode
 */
class Instance : private ShutdownActions
{
public:
    // constructors
    explicit Instance(const InstanceSettings &settings);

    // modifiers
    /// @brief Opens the listeners. @param reason InvalidSetting when an address cannot be used
    bool start(LastReason &reason);
    /// @brief Serves until a planned stop has ended.
    void run();
    /// @brief Begins a planned stop; idempotent.
    void requestStop();

private:
    void refuseReadiness() override;
    void refuseRequests() override;
    void flushBills() override;
    void finishStop() override;
    boost::asio::awaitable<void> linger();
    boost::asio::awaitable<void> waitForRequests();
    boost::asio::awaitable<void> writeBills();
    boost::asio::awaitable<void> shareEvidence();

    InstanceSettings settings;
    boost::asio::io_context io{1};
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    Blackboard blackboard;
    PlatformClient platform;
    Metrics metrics;
    BillWriter bills;
    EvidenceBoard evidence;
    RouterContext context;
    Router router;
    ControlPlane plane;
    OperatorApi operators;
    LoadPoller loads;
    HttpServer callersServer;
    HttpServer operatorsServer;
    Shutdown shutdown;
};

} // namespace parsleyvane
