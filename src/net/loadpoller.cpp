#include "parsleyvane/net/loadpoller.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds pollInterval{1000};
constexpr std::size_t reportBytes = 65536;

unsigned readCount(const Json &report, const char *member)
{
    const Json count = report.value(member, Json());
    return count.is_number_unsigned() ? count.get<unsigned>() : 0;
}

std::vector<UpstreamId> enginesOf(const Configuration &configuration)
{
    std::vector<UpstreamId> engines;
    for (const Upstream &upstream : configuration.upstreams) {
        if (!std::holds_alternative<Engine>(upstream.kind)) {
            continue;
        }
        engines.push_back(upstream.id);
    }
    return engines;
}

} // namespace

LoadPoller::LoadPoller(RouterContext &context)
    : context(context)
{
}

void LoadPoller::start()
{
    asio::co_spawn(this->context.io, this->pollLoop(), asio::detached);
}

asio::awaitable<void> LoadPoller::pollLoop()
{
    while (true) {
        std::vector<UpstreamId> engines;
        if (this->context.blackboard.configuration) {
            engines = enginesOf(*this->context.blackboard.configuration);
        }
        const Milliseconds spacing = pollInterval / std::max<std::size_t>(engines.size(), 1);
        if (engines.empty()) {
            co_await sleepFor(pollInterval);
        }
        for (UpstreamId &engine : engines) {
            asio::co_spawn(this->context.io, this->poll(std::move(engine)), asio::detached);
            co_await sleepFor(spacing);
        }
    }
}

asio::awaitable<void> LoadPoller::poll(UpstreamId id)
{
    LastReason reason;
    const auto endpoint = endpointOf(this->context.blackboard, id, reason);
    if (!endpoint) {
        co_return;
    }
    CallLimits limits{.connect = pollInterval, .progress = pollInterval, .bodyBytes = reportBytes};
    CallProgress progress;
    HttpRequest request = makeRequest(http::verb::get, "/load");
    const auto response = co_await httpCall(id.str(), *endpoint, std::move(request), limits, progress, reason);
    if (!response || response->result() != http::status::ok) {
        co_return;
    }
    const Json report = Json::parse(response->body(), nullptr, false);
    if (!report.is_object()) {
        co_return;
    }
    UpstreamView &view = this->context.blackboard.upstreams[id];
    view.reportedRunning = readCount(report, "running");
    view.reportedWaiting = readCount(report, "waiting");
    view.reportedAt = bootClockNow();
    view.leaving = view.leaving || report.value("leaving", Json(false)) == Json(true);
}

} // namespace parsleyvane
