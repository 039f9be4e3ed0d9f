#include "parsleyvane/forward/ingressinstance.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/forward/forwardedrequest.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/httpstatus.h"
#include "parsleyvane/net/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

const std::string textType = "text/plain; version=0.0.4";

/// The balancer polls readiness once a second and removes an instance after two failures; requests that it sent before
/// may still arrive.
constexpr Milliseconds lingerTime{2900};
/// After this the balancer opens no new connections here, unless it has no other instance.
constexpr Milliseconds balancerRemovalTime{2300};
/// Answers in flight are aborted this long before the grace time ends, so that clients see their connections close.
constexpr Milliseconds stopMargin{450};
constexpr Milliseconds drainPollInterval{20};
/// Interval at which the settings file is read again to detect changes.
constexpr Milliseconds settingsPollInterval{1000};
/// Added to the head timeout, for a body that is sent slowly.
constexpr Milliseconds bodyTimeout{10000};
/// Idle connections are closed after this many times the idle timeout that the operator sets for clients.
constexpr int idleTimeoutFactor = 2;
constexpr std::size_t maxOperatorConnections = 64;

/// @pre The settings were validated, so the address is well-formed.
asio::ip::tcp::endpoint checkedEndpoint(const std::string &address)
{
    LastReason reason;
    return parseEndpoint(address, reason).value_or(asio::ip::tcp::endpoint());
}

ServerLimits operatorLimits(const LimitSettings &limits)
{
    return {.headBytes = static_cast<std::uint32_t>(limits.headBytes),
            .bodyBytes = limits.bodyBytes,
            .connections = maxOperatorConnections,
            .requestTimeout = limits.requestTimeout,
            .idleTimeout = limits.requestTimeout};
}

} // namespace

IngressInstance::IngressInstance(const InstanceSettings &settings, const PlatformFactory &makePlatform,
                                 SettingsReader reader)
    : settings(settings)
    , reader(std::move(reader))
    , log(this->io)
    , platform(makePlatform(this->io))
    , context{.io = this->io,
              .platform = *this->platform,
              .metrics = this->metrics,
              .log = this->log,
              .zone = settings.zone}
    , sync(this->context, settings.id)
    , clients(this->io, ServerLimits{.connections = settings.limits.connections},
              [this](Exchange &exchange) -> asio::awaitable<void> {
                  ForwardedRequest request(this->context, exchange);
                  co_await request.run();
              })
    , operators(this->io, operatorLimits(settings.limits),
                [this](Exchange &exchange) { return this->handleOperator(exchange); })
    , shutdown(static_cast<ShutdownActions &>(*this))
{
    this->clients.onRefusal(
        [this](Exchange &exchange, const Failure &failure) { recordRefusal(this->context, exchange, failure); });
    this->applyBounds();
    this->applyConfiguration();
}

IngressInstance::~IngressInstance()
{
    // The destructors of waiting coroutines use the members below the context.
    this->io.endOperations();
}

bool IngressInstance::start(LastReason &reason)
{
    this->log.line("start",
                   {{"instance", this->settings.id.str()},
                    {"zone", this->settings.zone.str()},
                    {"version", PARSLEYVANE_VERSION},
                    {"store", this->settings.platformAddress},
                    {"hedging_max_share", std::to_string(this->settings.hedging.maxShare)}});
    this->shutdown.start();
    this->awaitStop();
    this->awaitReload();
    const RelaySettings relay{.address = this->settings.listen.peers,
                              .processorShare = this->settings.processorShare,
                              .zones = this->settings.zones,
                              .isFirstStart = this->settings.isFirstStart};
    if (!relay.address.empty() && !this->sync.startRelay(relay, reason)) {
        return false;
    }
    this->sync.start([this]() { this->applyConfiguration(); });
    asio::co_spawn(this->io, this->watchSettings(), asio::detached);
    return this->operators.listen(checkedEndpoint(this->settings.listen.operators), reason)
        && this->clients.listen(checkedEndpoint(this->settings.listen.callers), reason);
}

void IngressInstance::run()
{
    this->io.run();
}

void IngressInstance::awaitStop()
{
    this->stopSignals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            this->shutdown.process_event(StopRequested());
        }
    });
}

void IngressInstance::awaitReload()
{
    this->reloadSignals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            this->reload("signal");
            this->awaitReload();
        }
    });
}

asio::awaitable<void> IngressInstance::watchSettings()
{
    while (true) {
        co_await sleepFor(settingsPollInterval);
        this->reload("file");
    }
}

void IngressInstance::reload(const char *cause)
{
    const auto read = this->reader();
    if (!read) {
        this->metrics.countEvent("settings_invalid");
        this->log.line("reload", {{"cause", cause}, {"outcome", "kept the settings before: the new ones are invalid"}});
        return;
    }
    const bool isUnchanged = *read == this->settings;
    if (isUnchanged && std::string_view(cause) == "file") {
        return;
    }
    this->settings.bounds = read->bounds;
    this->settings.limits = read->limits;
    this->settings.regions = read->regions;
    this->settings.load = read->load;
    this->settings.hedging = read->hedging;
    this->applyBounds();
    this->applyConfiguration();
    this->log.line("reload",
                   {{"cause", cause},
                    {"outcome", isUnchanged ? "unchanged" : "applied"},
                    {"hedging_max_share", std::to_string(this->settings.hedging.maxShare)}});
    this->settings = *read;
}

void IngressInstance::applyBounds()
{
    const BoundSettings &bounds = this->settings.bounds;
    this->context.budget.setBounds(
        {.ratio = bounds.repeatRatio, .window = bounds.repeatWindow, .slack = bounds.repeatSlack});
    this->context.controlsAdmission = this->settings.load.controlsAdmission;
    this->context.hedges.setShare(this->settings.hedging.maxShare, bounds.repeatWindow);
    this->context.sizes.minConfidence = this->settings.limits.minConfidence;
    this->context.regions = this->settings.regions;
    this->context.fleetView.coldUpstreams.setBounds({.factor = bounds.coldFactor, .slack = bounds.coldSlack});
    // Evacuations come with the operator's table, as configurations do.
    this->sync.setBounds({.change = std::min(bounds.change, bounds.evacuation),
                          .leaving = bounds.leaving,
                          .evidence = bounds.evidence,
                          .stable = bounds.stable});
    this->context.sharesLoad = this->settings.load.shared;
    this->context.learnsFirstModel = this->settings.load.firstModel == FirstModelRule::Learned;
    this->context.replicasByDemand = this->settings.load.replicas == ReplicaRule::ByDemand;
    this->sync.setShiftLimits(
        {.maxExposedShare = bounds.maxExposedShare, .sessionIdleTimeout = bounds.sessionIdleTimeout});
}

void IngressInstance::applyConfiguration()
{
    const auto &table = this->context.fleetView.table;
    const ClientLimits limits = table ? table->limits() : ClientLimits();
    this->clients.setLimits({.headBytes = limits.headBytes,
                             .bodyBytes = limits.bodyBytes,
                             .connections = this->settings.limits.connections,
                             .requestTimeout = limits.headTimeout + bodyTimeout,
                             .idleTimeout = limits.idleTimeout * idleTimeoutFactor});
}

bool IngressInstance::isReady() const
{
    return this->context.fleetView.table && this->context.fleetView.upstreamsKnown
        && this->context.phase <= ForwardPhase::Serving;
}

asio::awaitable<void> IngressInstance::handleOperator(Exchange &exchange)
{
    const std::string target(exchange.request().target());
    if (target == "/metrics") {
        this->metrics.setGauge("in_flight", static_cast<double>(this->context.inFlight));
        this->metrics.setGauge("upstreams", static_cast<double>(this->context.fleetView.upstreams.size()));
        this->sync.updateMetrics();
        const UpstreamLimiter &limiter = this->context.fleetView.upstreamLimiter;
        this->metrics.setGauge("limited_upstreams", static_cast<double>(limiter.limitedUpstreams()));
        this->metrics.setGauge("limit_members", static_cast<double>(limiter.members()));
        if (this->context.controlsAdmission) {
            this->metrics.setGauge("services_short_of_capacity",
                                   static_cast<double>(this->context.admission.shortServices(bootClockNow())));
        }
        if (this->context.replicasByDemand) {
            this->metrics.setGauge("prefixes", static_cast<double>(this->context.prefixDemand.size()));
        }
        this->metrics.setGauge("log_lines_dropped", static_cast<double>(this->log.dropped()));
        std::string body = this->metrics.text();
        co_await exchange.respond(statusOk, textType, std::move(body));
        co_return;
    }
    if (target != "/ready") {
        co_await exchange.respond(statusNotFound, textType, "no such resource\n");
        co_return;
    }
    const bool ready = this->isReady();
    if (ready != this->wasReady) {
        this->wasReady = ready;
        this->log.line("ready", {{"ready", ready ? "true" : "false"}});
    }
    co_await exchange.respond(ready ? statusOk : statusUnavailable, textType, ready ? "ready\n" : "not ready\n");
}

void IngressInstance::refuseReadiness()
{
    this->stopRequestedAt = bootClockNow();
    this->context.phase = ForwardPhase::Lingering;
    this->log.line("stop", {{"phase", "lingering"}, {"in_flight", static_cast<std::int64_t>(this->context.inFlight)}});
    asio::co_spawn(this->io, this->linger(), asio::detached);
}

asio::awaitable<void> IngressInstance::linger()
{
    co_await sleepFor(balancerRemovalTime);
    // Clients with idle connections reconnect to another instance now instead of being refused later.
    this->clients.closeIdle();
    co_await sleepFor(lingerTime - balancerRemovalTime);
    this->shutdown.process_event(LingerElapsed());
}

void IngressInstance::refuseRequests()
{
    this->context.phase = ForwardPhase::Finishing;
    this->sync.leave();
    this->context.stopsAt = this->stopRequestedAt + std::max(this->settings.bounds.grace - stopMargin, lingerTime);
    this->log.line("stop", {{"phase", "finishing"}, {"in_flight", static_cast<std::int64_t>(this->context.inFlight)}});
    asio::co_spawn(this->io, this->waitForRequests(), asio::detached);
}

asio::awaitable<void> IngressInstance::waitForRequests()
{
    while (this->context.inFlight > 0 && bootClockNow() < this->context.stopsAt) {
        this->clients.closeIdle();
        co_await sleepFor(drainPollInterval);
    }
    this->shutdown.process_event(RequestsFinished());
}

void IngressInstance::flushBills()
{
    // The ingress front keeps no bills: the platform does the billing.
    asio::post(this->io, [this]() { this->shutdown.process_event(BillsFlushed()); });
}

void IngressInstance::finishStop()
{
    this->log.line("stop",
                   {{"phase", "stopped"},
                    {"broken_off", static_cast<std::int64_t>(this->context.inFlight)},
                    {"ms", (bootClockNow() - this->stopRequestedAt).count()}});
    this->log.flush();
    this->io.stop();
}

} // namespace parsleyvane
