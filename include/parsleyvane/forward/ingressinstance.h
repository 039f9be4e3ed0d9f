/**
 * @file
 * @brief One instance with the ingress front: listeners, beliefs, planned stop, reload.
 */
#pragma once

#include "parsleyvane/config/settings.h"
#include "parsleyvane/core/shutdown.h"
#include "parsleyvane/forward/fleetsync.h"
#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/net/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>

namespace parsleyvane {

/// @brief Makes the platform's client on an I/O context.
using PlatformFactory = std::function<std::unique_ptr<PlatformPort>(boost::asio::io_context &)>;
/// @brief Reads the settings again; empty when they are not valid, which has been reported.
using SettingsReader = std::function<std::optional<InstanceSettings>()>;

/**
 * @brief An instance in one process and one thread.
 *
 * @code
 * IngressInstance instance(settings, makePlatform, readAgain);
 * if (!instance.start(reason)) {
 *     return 1;
 * }
 * instance.run();
 * @endcode
 */
class IngressInstance : private ShutdownActions
{
public:
    // constructors
    IngressInstance(const InstanceSettings &settings, const PlatformFactory &makePlatform, SettingsReader reader);

    // modifiers
    /// @brief Opens the listeners. @param reason InvalidSetting when an address cannot be used
    bool start(LastReason &reason);
    /// @brief Serves until a planned stop has ended.
    void run();

private:
    void refuseReadiness() override;
    void refuseRequests() override;
    void flushBills() override;
    void finishStop() override;
    boost::asio::awaitable<void> handleOperator(Exchange &exchange);
    boost::asio::awaitable<void> linger();
    boost::asio::awaitable<void> waitForRequests();
    boost::asio::awaitable<void> watchSettings();
    void awaitStop();
    void awaitReload();
    void reload(const char *cause);
    void applyBounds();
    void applyConfiguration();
    bool isReady() const;

    InstanceSettings settings;
    SettingsReader reader;
    boost::asio::io_context io{1};
    boost::asio::signal_set stopSignals{io, SIGTERM, SIGINT};
    boost::asio::signal_set reloadSignals{io, SIGHUP};
    Metrics metrics;
    DecisionLog log;
    std::unique_ptr<PlatformPort> platform;
    ForwardContext context;
    FleetSync sync;
    HttpServer clients;
    HttpServer operators;
    Shutdown shutdown;
    TimePoint stopAskedAt{};
    bool wasReady = false;
};

} // namespace parsleyvane
