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

/// How often a stop looks whether the requests under way have ended.
constexpr Milliseconds finishPoll{20};
/// How long the last bills may take before a peer is given them.
constexpr Milliseconds flushLimit{3000};
/// Time for the last heartbeats to tell the peers that this instance leaves.
constexpr Milliseconds partingPause{300};
/// How often the evidence that heartbeats carry is made anew.
constexpr Milliseconds evidenceInterval{500};
constexpr std::size_t operatorConnections = 64;

ServerLimits callerLimits(const LimitSettings &limits)
{
    return {.headBytes = static_cast<std::uint32_t>(limits.headBytes),
            .bodyBytes = limits.bodyBytes,
            .connections = limits.connections,
            .requestTimeout = limits.requestTimeout,
            .idleTimeout = limits.requestTimeout};
}

ServerLimits operatorLimits(const LimitSettings &limits)
{
    ServerLimits bounds = callerLimits(limits);
    bounds.connections = operatorConnections;
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

void reportBillsAtRisk(std::size_t count)
{
    LOG(ERROR) << "stopping with " << count << " bills that nobody else holds";
}

/// The settings were checked, so the address is known to be one.
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
    , callersServer(this->io, callerLimits(settings.limits), [this](Exchange &e) { return this->router.handle(e); })
    , operatorsServer(this->io, operatorLimits(settings.limits),
                      [this](Exchange &e) { return this->operators.handle(e); })
    , shutdown(static_cast<ShutdownActions &>(*this))
{
    this->blackboard.instance = settings.id;
    this->blackboard.zone = settings.zone;
}

bool Instance::start(LastReason &reason)
{
    this->plane.onConfiguration([](const Configuration &configuration) {
        LOG(INFO) << "configuration revision " << configuration.revision << " is in force";
    });
    this->plane.handlers().holdBills = [this](const std::string &held) {
        return this->bills.takeOver(held);
    };
    this->plane.handlers().makeRoom = [this](const UpstreamId &upstream, const AccountId &, unsigned count) {
        return interruptResumable(this->context, upstream, count);
    };
    this->plane.handlers().evidence = [this](const InstanceId &from, const Evidence &told) {
        this->evidence.merge(from, told, bootClockNow());
    };
    this->evidence.onChange([this]() { this->plane.setEvidence(this->evidence.current(bootClockNow()), true); });
    asio::co_spawn(this->io, this->shareEvidence(), asio::detached);
    this->context.requestSlotsFromPeers = [this](const UpstreamId &upstream, const AccountId &account, unsigned count) {
        this->plane.askRoom(upstream, account, count);
    };
    this->bills.start([this](std::string held, std::function<void(bool)> done) {
        this->plane.sendBills(std::move(held), std::move(done));
    });
    this->loads.start();
    this->shutdown.start();
    this->signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            this->requestStop();
        }
    });
    return this->operatorsServer.listen(checkedEndpoint(this->settings.listen.operators), reason)
        && this->plane.start(reason)
        && this->callersServer.listen(checkedEndpoint(this->settings.listen.callers), reason);
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
    LOG(INFO) << "stopping: " << this->context.inFlight << " requests under way";
    this->blackboard.phase = InstancePhase::Draining;
    this->callersServer.stopAccepting();
    asio::co_spawn(this->io, this->waitForRequests(), asio::detached);
}

void Instance::flushBills()
{
    asio::co_spawn(this->io, this->writeBills(), asio::detached);
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
    while (this->context.inFlight > 0 || this->callersServer.connections() > 0) {
        if (this->context.inFlight == 0) {
            this->callersServer.closeIdle();
        }
        co_await sleepFor(finishPoll);
    }
    this->shutdown.process_event(RequestsFinished());
}

asio::awaitable<void> Instance::shareEvidence()
{
    while (true) {
        co_await sleepFor(evidenceInterval);
        const TimePoint now = bootClockNow();
        this->evidence.quarantine().expire(now);
        Evidence current = this->evidence.current(now);
        this->plane.setEvidence(std::move(current));
    }
}

asio::awaitable<void> Instance::writeBills()
{
    const bool safe = co_await this->bills.flush(flushLimit);
    if (!safe) {
        reportBillsAtRisk(this->bills.pending());
    }
    co_await sleepFor(partingPause);
    this->shutdown.process_event(BillsFlushed());
}

} // namespace parsleyvane
