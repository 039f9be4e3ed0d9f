/**
 * @file
 * @brief One instance with the ingress front: listeners, fleet view, graceful shutdown, reload.
 */
#pragma once

#include "parsleyvane/config/settings.h"
#include "parsleyvane/core/shutdown.h"
#include "parsleyvane/forward/fleetsync.h"
#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/net/endablecontext.h"
#include "parsleyvane/net/httpserver.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>

namespace parsleyvane {

/// @brief Creates the platform client on an I/O context.
using PlatformFactory = std::function<std::unique_ptr<PlatformPort>(boost::asio::io_context &)>;
/// @brief Reads the settings again; empty when they are invalid, which the reader reports itself.
using SettingsReader = std::function<std::optional<InstanceSettings>()>;

/**
 * @brief An instance that serves in one process and one thread.
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
    IngressInstance(const IngressInstance &) = delete;
    IngressInstance &operator=(const IngressInstance &) = delete;
    /// @brief Ends what is still under way; the connections of unfinished answers close.
    ~IngressInstance() override;

    // modifiers
    /// @brief Opens the listeners. @param reason InvalidSetting when an address cannot be used
    bool start(LastReason &reason);
    /// @brief Serves until a graceful shutdown has completed.
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
    EndableContext io{1};
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
    TimePoint stopRequestedAt{};
    bool wasReady = false;
};

} // namespace parsleyvane
