#include "parsleyvane/net/operatorapi.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/httpstatus.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

const std::string textType = "text/plain; version=0.0.4";
const std::string jsonType = "application/json";

std::string_view phaseName(InstancePhase phase)
{
    switch (phase) {
    case InstancePhase::Starting:
        return "starting";
    case InstancePhase::Ready:
        return "ready";
    case InstancePhase::Draining:
        return "draining";
    case InstancePhase::Stopped:
        break;
    }
    return "stopped";
}

Json peersJson(const Blackboard &blackboard)
{
    Json peers = Json::array();
    for (const auto &[id, peer] : blackboard.peers) {
        peers.push_back(Json{{"instance", id.str()},
                             {"zone", peer.zone.str()},
                             {"revision", peer.revision.value()},
                             {"leaving", peer.leaving},
                             {"heardMsAgo", (bootClockNow() - peer.lastReceivedAt).count()}});
    }
    return peers;
}

Json upstreamsJson(const Blackboard &blackboard)
{
    Json upstreams = Json::array();
    for (const auto &[id, view] : blackboard.upstreams) {
        upstreams.push_back(Json{{"upstream", id.str()}, {"inFlight", view.inFlightHere}, {"leaving", view.leaving}});
    }
    return upstreams;
}

} // namespace

OperatorApi::OperatorApi(RouterContext &context, const ControlPlane &plane)
    : context(context)
    , plane(plane)
{
}

asio::awaitable<void> OperatorApi::handle(Exchange &exchange)
{
    const std::string target(exchange.request().target());
    if (target == "/healthz") {
        co_await exchange.respond(statusOk, textType, "ok\n");
        co_return;
    }
    if (target == "/readyz") {
        const auto refusal = dispatchRefusal(this->context.blackboard, bootClockNow(), false);
        const bool isLeaving = this->context.blackboard.leaving;
        const bool ready = !refusal && !isLeaving;
        std::string body = ready ? "ready\n" : "not ready\n";
        co_await exchange.respond(ready ? statusOk : statusUnavailable, textType, std::move(body));
        co_return;
    }
    if (target == "/metrics") {
        this->refreshGauges();
        std::string body = this->context.metrics.text();
        co_await exchange.respond(statusOk, textType, std::move(body));
        co_return;
    }
    if (target == "/status") {
        std::string body = this->statusBody();
        co_await exchange.respond(statusOk, jsonType, std::move(body));
        co_return;
    }
    Failure unknown{.id = ErrorId::UnknownPath, .step = Step::Receive, .detail = "no such resource"};
    co_await exchange.respond(std::move(unknown));
}

std::string OperatorApi::statusBody() const
{
    const Blackboard &blackboard = this->context.blackboard;
    const std::uint64_t revision = blackboard.configuration ? blackboard.configuration->revision.value() : 0;
    const bool isUpToDate = !dispatchRefusal(blackboard, bootClockNow(), true);
    const Json status{{"instance", blackboard.instance.str()},
                      {"zone", blackboard.zone.str()},
                      {"incarnation", blackboard.incarnation.value()},
                      {"phase", blackboard.leaving ? "draining" : phaseName(blackboard.phase)},
                      {"revision", revision},
                      {"fresh", isUpToDate},
                      {"inFlight", this->context.inFlight},
                      {"billsPending", this->context.bills.pending()},
                      {"peers", peersJson(blackboard)},
                      {"upstreams", upstreamsJson(blackboard)}};
    return status.dump();
}

void OperatorApi::refreshGauges()
{
    const Blackboard &blackboard = this->context.blackboard;
    const ControlCounters counters = this->plane.counters();
    Metrics &metrics = this->context.metrics;
    metrics.setGauge("revision",
                     blackboard.configuration ? static_cast<double>(blackboard.configuration->revision.value()) : 0);
    metrics.setGauge("in_flight", static_cast<double>(this->context.inFlight));
    metrics.setGauge("peers", static_cast<double>(blackboard.peers.size()));
    metrics.setGauge("bills_pending", static_cast<double>(this->context.bills.pending()));
    metrics.setGauge("control_bytes_sent", static_cast<double>(counters.peerBytesSent));
    metrics.setGauge("control_bytes_received", static_cast<double>(counters.peerBytesReceived));
    metrics.setGauge("control_messages_sent", static_cast<double>(counters.peerMessagesSent));
    metrics.setGauge("store_reads", static_cast<double>(counters.storeReads));
    metrics.setGauge("retry_budget_left", this->context.retryBudget.remaining());
}

} // namespace parsleyvane
