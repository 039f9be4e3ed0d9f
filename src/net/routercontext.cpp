#include "parsleyvane/net/routercontext.h"

#include "parsleyvane/net/endpoint.h"

namespace parsleyvane {

unsigned interruptResumable(RouterContext &context, const UpstreamId &upstream, unsigned count)
{
    unsigned made = 0;
    while (made < count) {
        ActiveAttempt *latest = nullptr;
        for (auto &[id, attempt] : context.active) {
            if (attempt.upstream != upstream || !attempt.resumable || attempt.interrupted) {
                continue;
            }
            if (latest == nullptr || attempt.startedAt > latest->startedAt) {
                latest = &attempt;
            }
        }
        if (latest == nullptr) {
            break;
        }
        latest->interrupted = true;
        latest->call->close();
        context.metrics.countEvent("interrupted");
        ++made;
    }
    return made;
}

std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const Blackboard &blackboard, const UpstreamId &id,
                                                         LastReason &reason)
{
    const Upstream *upstream = blackboard.configuration->findUpstream(id);
    if (upstream == nullptr) {
        return reason.fail(
            {.id = ErrorId::NoCapacity, .step = Step::Route, .peer = id.str(), .detail = "no longer configured"});
    }
    return parseEndpoint(upstream->address, reason);
}

void avoidUpstream(RouterContext &context, const UpstreamId &id, TimePoint until)
{
    UpstreamView &view = context.blackboard.upstreams[id];
    view.avoidUntil = std::max(view.avoidUntil, until);
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
