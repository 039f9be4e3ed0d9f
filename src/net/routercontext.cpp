#include "parsleyvane/net/routercontext.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"

#include <algorithm>

namespace parsleyvane {

EngineCapacity engineCapacity(const RouterContext &context, const UpstreamId &upstream)
{
    EngineCapacity capacity{.upstream = upstream};
    const Upstream *entry = context.blackboard.configuration->findUpstream(upstream);
    const auto *engine = entry != nullptr ? std::get_if<Engine>(&entry->kind) : nullptr;
    capacity.slots = engine != nullptr ? engine->slots : 0;
    const auto view = context.blackboard.upstreams.find(upstream);
    if (view != context.blackboard.upstreams.end()) {
        const unsigned reported = view->second.reportedRunning + view->second.reportedWaiting;
        capacity.load = std::max(view->second.inFlightHere, reported);
    }
    for (const auto &[id, attempt] : context.active) {
        if (attempt.upstream != upstream) {
            continue;
        }
        capacity.work.push_back(
            {id, attempt.resumable, attempt.running, attempt.interrupted, attempt.interruptions, attempt.startedAt});
    }
    return capacity;
}

void interruptAttempt(RouterContext &context, const AttemptId &attempt)
{
    const auto found = context.active.find(attempt);
    if (found == context.active.end() || found->second.interrupted) {
        return;
    }
    found->second.interrupted = true;
    found->second.call->close();
    context.metrics.countEvent("interrupted");
}

unsigned interruptResumable(RouterContext &context, const UpstreamId &upstream, unsigned count)
{
    unsigned interruptedCount = 0;
    while (interruptedCount < count) {
        const auto victim = context.priority.chooseVictim({engineCapacity(context, upstream)}, bootClockNow());
        if (!victim) {
            break;
        }
        interruptAttempt(context, victim->attempt);
        ++interruptedCount;
    }
    return interruptedCount;
}

std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const Blackboard &blackboard, const UpstreamId &id,
                                                         LastReason &reason)
{
    const Upstream *upstream = blackboard.configuration->findUpstream(id);
    if (upstream == nullptr) {
        return reason.fail({.id = ErrorId::NoCapacity,
                            .step = Step::Route,
                            .peer = id.str(),
                            .detail = "the upstream is no longer configured"});
    }
    return parseEndpoint(upstream->address, reason);
}

void avoidUpstream(RouterContext &context, const UpstreamId &id)
{
    constexpr Milliseconds avoidAfterFailure{1000};
    UpstreamView &view = context.blackboard.upstreams[id];
    view.avoidUntil = std::max(view.avoidUntil, bootClockNow() + avoidAfterFailure);
}

InFlightGuard::InFlightGuard(Blackboard &blackboard, UpstreamId id)
    : blackboard(blackboard)
    , id(std::move(id))
{
    ++this->blackboard.upstreams[this->id].inFlightHere;
}

InFlightGuard::~InFlightGuard()
{
    --this->blackboard.upstreams[this->id].inFlightHere;
}

} // namespace parsleyvane
