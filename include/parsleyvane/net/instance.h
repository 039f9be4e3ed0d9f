/**
 * @file
 * @brief One entry instance: creates and connects the controllers, platform clients and listeners.
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
 * @brief Owns all parts of an entry instance and runs them on one event loop.
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
    /// @brief Opens the listeners and starts the background work. @param reason InvalidSetting when an address cannot
    /// be used
    bool start(LastReason &reason);
    /// @brief Serves requests until a planned stop has completed.
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
    boost::asio::awaitable<void> flushRemainingBills();
    boost::asio::awaitable<void> publishEvidence();

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
    HttpServer clientServer;
    HttpServer operatorServer;
    Shutdown shutdown;
};

} // namespace parsleyvane
