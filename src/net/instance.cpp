#include "parsleyvane/net/instance.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>
#include <random>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

/// Interval at which a planned stop checks whether the requests in flight have finished.
constexpr Milliseconds drainPollInterval{20};
/// Timeout for writing the remaining bills during a planned stop; bills left after it are sent to a peer.
constexpr Milliseconds flushTimeout{3000};
/// Delay before exit in which the last heartbeats announce to the peers that this instance is leaving.
constexpr Milliseconds leaveAnnouncementDelay{300};
/// Interval at which the evidence carried by heartbeats is refreshed.
constexpr Milliseconds evidenceInterval{500};
constexpr std::size_t maxOperatorConnections = 64;

ServerLimits clientLimits(const LimitSettings &limits)
{
    return {.headBytes = static_cast<std::uint32_t>(limits.headBytes),
            .bodyBytes = limits.bodyBytes,
            .connections = limits.connections,
            .requestTimeout = limits.requestTimeout,
            .idleTimeout = limits.requestTimeout};
}

ServerLimits operatorLimits(const LimitSettings &limits)
{
    ServerLimits bounds = clientLimits(limits);
    bounds.connections = maxOperatorConnections;
    return bounds;
}

ControlSettings controlSettings(const InstanceSettings &settings)
{
    return {.instance = settings.id,
            .zone = settings.zone,
            .peersListen = settings.listen.peers,
            .platformEndpoint = settings.platformAddress,
            .seeds = settings.seeds};
}

void logUnstoredBills(std::size_t count)
{
    LOG(ERROR) << "stopping with " << count << " bills that neither the platform nor a peer has stored";
}

/// Parses an address that the validation of the settings has accepted.
asio::ip::tcp::endpoint checkedEndpoint(const std::string &address)
{
    LastReason reason;
    return parseEndpoint(address, reason).value_or(asio::ip::tcp::endpoint());
}

} // namespace

Instance::Instance(const InstanceSettings &settings)
    : settings(settings)
    , platform(checkedEndpoint(settings.platformAddress))
    , bills(this->io, this->platform, this->metrics, settings.limits.billHold)
    , evidence(settings.id)
    , context{.io = this->io,
              .blackboard = this->blackboard,
              .platform = this->platform,
              .bills = this->bills,
              .metrics = this->metrics,
              .evidence = this->evidence,
              .placement = Placement(std::random_device()()),
              .cascade = CascadeController(std::random_device()()),
              .priority = PriorityPolicy(),
              .retryBudget = RetryBudget(),
              .upstreamLimits = {.progress = settings.limits.progressTimeout}}
    , router(this->context)
    , plane(this->io.get_executor(), this->blackboard, controlSettings(settings))
    , operators(this->context, this->plane)
    , loads(this->context)
    , clientServer(this->io, clientLimits(settings.limits), [this](Exchange &e) { return this->router.handle(e); })
    , operatorServer(this->io, operatorLimits(settings.limits),
                     [this](Exchange &e) { return this->operators.handle(e); })
    , shutdown(static_cast<ShutdownActions &>(*this))
{
    this->clientServer.onRefusal([this](Exchange &, const Failure &failure) {
        this->metrics.countRequest(AccountId(""), TaskName(""), errorName(failure.id));
    });
    this->blackboard.instance = settings.id;
    this->blackboard.zone = settings.zone;
}

bool Instance::start(LastReason &reason)
{
    this->plane.onConfiguration([](const Configuration &configuration) {
        LOG(INFO) << "configuration revision " << configuration.revision << " is in force";
    });
    this->plane.handlers().holdBills = [this](const std::string &billsJson) {
        return this->bills.takeOver(billsJson);
    };
    this->plane.handlers().freeSlots = [this](const UpstreamId &upstream, const AccountId &, unsigned count) {
        return interruptResumable(this->context, upstream, count);
    };
    this->plane.handlers().evidence = [this](const InstanceId &from, const Evidence &received) {
        this->evidence.merge(from, received, bootClockNow());
    };
    this->evidence.onChange([this]() { this->plane.setEvidence(this->evidence.current(bootClockNow()), true); });
    asio::co_spawn(this->io, this->publishEvidence(), asio::detached);
    this->context.requestSlotsFromPeers = [this](const UpstreamId &upstream, const AccountId &account, unsigned count) {
        this->plane.requestSlots(upstream, account, count);
    };
    this->bills.start([this](std::string billsJson, std::function<void(bool)> done) {
        this->plane.sendBills(std::move(billsJson), std::move(done));
    });
    this->loads.start();
    this->shutdown.start();
    this->signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            this->requestStop();
        }
    });
    return this->operatorServer.listen(checkedEndpoint(this->settings.listen.operators), reason)
        && this->plane.start(reason)
        && this->clientServer.listen(checkedEndpoint(this->settings.listen.callers), reason);
}

void Instance::run()
{
    this->io.run();
}

void Instance::requestStop()
{
    this->shutdown.process_event(StopRequested());
}

void Instance::refuseReadiness()
{
    LOG(INFO) << "stopping: no longer ready";
    this->blackboard.leaving = true;
    this->plane.setLeaving();
    asio::co_spawn(this->io, this->linger(), asio::detached);
}

void Instance::refuseRequests()
{
    LOG(INFO) << "stopping: " << this->context.inFlight << " requests in flight";
    this->blackboard.phase = InstancePhase::Draining;
    this->clientServer.stopAccepting();
    asio::co_spawn(this->io, this->waitForRequests(), asio::detached);
}

void Instance::flushBills()
{
    asio::co_spawn(this->io, this->flushRemainingBills(), asio::detached);
}

void Instance::finishStop()
{
    LOG(INFO) << "stopped";
    this->blackboard.phase = InstancePhase::Stopped;
    this->plane.stop();
    this->io.stop();
}

asio::awaitable<void> Instance::linger()
{
    co_await sleepFor(this->settings.limits.drainLinger);
    this->shutdown.process_event(LingerElapsed());
}

asio::awaitable<void> Instance::waitForRequests()
{
    while (this->context.inFlight > 0 || this->clientServer.connections() > 0) {
        if (this->context.inFlight == 0) {
            this->clientServer.closeIdle();
        }
        co_await sleepFor(drainPollInterval);
    }
    this->shutdown.process_event(RequestsFinished());
}

asio::awaitable<void> Instance::publishEvidence()
{
    while (true) {
        co_await sleepFor(evidenceInterval);
        const TimePoint now = bootClockNow();
        this->evidence.quarantine().expire(now);
        Evidence current = this->evidence.current(now);
        this->plane.setEvidence(std::move(current));
    }
}

asio::awaitable<void> Instance::flushRemainingBills()
{
    const bool allStored = co_await this->bills.flush(flushTimeout);
    if (!allStored) {
        logUnstoredBills(this->bills.pending());
    }
    co_await sleepFor(leaveAnnouncementDelay);
    this->shutdown.process_event(BillsFlushed());
}

} // namespace parsleyvane
