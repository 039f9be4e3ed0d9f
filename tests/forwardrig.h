/**
 * @file
 * @brief An ingress on loopback with a prepared fleet view, scripted upstreams, and clients that send raw bytes.
 */
#pragma once

#include "scriptedupstream.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/forward/forwardedrequest.h"
#include "parsleyvane/net/endablecontext.h"
#include "platform/platform.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleyvane::test {

namespace asio = boost::asio;

/// @brief The platform's codec, with hooks at two steps of a request.
class HookedPlatform : public platform::Platform
{
public:
    using Platform::Platform;

    std::optional<RequestFacts> readRequest(const HttpRequest &request, LastReason &reason) const override
    {
        if (this->onRequestRead) {
            this->onRequestRead();
        }
        return Platform::readRequest(request, reason);
    }

    HttpRequest makeUpstreamRequest(const HttpRequest &received, const DispatchFacts &facts) const override
    {
        if (this->onUpstreamRequest) {
            this->onUpstreamRequest();
        }
        return Platform::makeUpstreamRequest(received, facts);
    }

    std::function<void()> onRequestRead; ///< before a client's request is admitted
    std::function<void()> onUpstreamRequest; ///< before a request is sent to an upstream
};

/// @brief Limits of the ingress under test.
struct ForwardRigLimits
{
    LogLimits log{.linesPerSecond = 0};
    ServerLimits server{.requestTimeout = Milliseconds(300), .idleTimeout = Milliseconds(3000)};
};

/// @brief The ingress under test.
class ForwardRig
{
public:
    explicit ForwardRig(const ForwardRigLimits &limits = {})
        : platform(this->io.get_executor(), asio::ip::tcp::endpoint())
        , log(this->io, limits.log)
        , context{.io = this->io,
                  .platform = this->platform,
                  .metrics = this->metrics,
                  .log = this->log,
                  .zone = ZoneId("a")}
        , server(this->io, limits.server,
                 [this](Exchange &exchange) -> asio::awaitable<void> {
                     ForwardedRequest request(this->context, exchange);
                     co_await request.run();
                 })
        , table(std::make_shared<RouteTable>(Revision(1)))
    {
        this->server.onRefusal(
            [this](Exchange &exchange, const Failure &failure) { recordRefusal(this->context, exchange, failure); });
        this->context.phase = ForwardPhase::Serving;
        this->context.fleetView.upstreamsKnown = true;
        this->context.budget.setBounds({.ratio = 10, .slack = 1000});
        this->context.budget.setInstances(1);
        this->context.fleetView.table = this->table;
        LastReason reason;
        // The listener does not report its port, so a free one is found beforehand.
        asio::ip::tcp::acceptor probe(this->io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        this->endpoint = probe.local_endpoint();
        probe.close();
        this->server.listen(this->endpoint, reason);
    }

    ~ForwardRig()
    {
        this->io.stop();
    }

    /// @brief Adds an upstream of the service "s".
    ScriptedUpstream &upstream(const std::string &id, std::deque<ScriptedResponse> scriptedResponses,
                               const std::string &version = "v1")
    {
        return this->addUpstream(id, std::move(scriptedResponses),
                                 {.service = ServiceName("s"), .zone = ZoneId("a"), .version = VersionName(version)});
    }

    /// @brief Adds an upstream of the service "s" in another availability zone: it is chosen after those of the own
    /// one.
    ScriptedUpstream &remoteUpstream(const std::string &id, std::deque<ScriptedResponse> scriptedResponses)
    {
        return this->addUpstream(id, std::move(scriptedResponses),
                                 {.service = ServiceName("s"), .zone = ZoneId("b"), .version = VersionName("v1")});
    }

    /// @brief Adds an upstream of the service.
    ScriptedUpstream &upstreamOf(const ServiceName &service, std::deque<ScriptedResponse> scriptedResponses)
    {
        return this->addUpstream(service.str() + "-1", std::move(scriptedResponses),
                                 {.service = service, .zone = ZoneId("a"), .version = VersionName("v1")});
    }

    /// @brief Adds a route below /NAME/.
    void route(const std::string &name, Repeatability repeat, bool streams = false)
    {
        this->table->addRoute({.name = RouteName(name),
                               .host = "h",
                               .prefix = "/" + name + "/",
                               .repeat = repeat,
                               .streams = streams,
                               .timeout = Milliseconds(1200),
                               .objective = Milliseconds(200),
                               .interEventObjective = Milliseconds(200),
                               .maxAttempts = 3,
                               .services = {{ServiceName("s"), 1}}});
    }

    /// @brief Enables hedges on the route, as if many answers had taken this long.
    void hedge(const std::string &routeName, Milliseconds usual)
    {
        constexpr int samples = 100;
        this->context.hedges.setShare(0.5, Milliseconds(10000));
        for (int number = 0; number < samples; ++number) {
            this->context.hedges.onRequest(ServiceName("s"), bootClockNow());
            this->context.hedges.onResponse(hedgeKind(routeName + "/0", 0), usual, bootClockNow());
        }
    }

    /// @brief Replaces the configuration; the one before is destroyed unless a request still owns it.
    void reconfigure(const std::shared_ptr<RouteTable> &next)
    {
        this->table = next;
        this->context.fleetView.table = next;
    }

    /// @brief Starts a roll-out of version "v2" of the service "s".
    VersionShift &rollOut()
    {
        VersionShift &shift = shiftOf(this->context, ServiceName("s"));
        shift.onOrder(
            {.service = ServiceName("s"), .to = VersionName("v2"), .duration = Milliseconds(10000), .number = 1});
        shift.onStatus({.service = ServiceName("s"), .to = VersionName("v2"), .order = 1}, bootClockNow());
        return shift;
    }

    /// @brief Sends raw bytes on one connection. @return all bytes received until it closes or the timeout expires
    std::string exchange(const std::string &bytes, Milliseconds timeout = Milliseconds(2000))
    {
        return this->exchange(std::vector<std::string>{bytes}, timeout);
    }

    /// @brief As above, with the bytes in several segments.
    std::string exchange(const std::vector<std::string> &pieces, Milliseconds timeout = Milliseconds(2000))
    {
        std::string answer;
        bool ended = false;
        asio::co_spawn(this->io, ForwardRig::runClient(this, pieces, &answer, &ended), asio::detached);
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!ended && std::chrono::steady_clock::now() < end) {
            this->io.run_one_for(std::chrono::milliseconds(20));
        }
        return answer;
    }

    /// @brief Runs the I/O context for the given time.
    void runFor(Milliseconds duration)
    {
        this->io.run_for(duration);
    }

    EndableContext io;
    HookedPlatform platform;
    Metrics metrics;
    DecisionLog log;
    ForwardContext context;
    HttpServer server;
    std::shared_ptr<RouteTable> table;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    asio::ip::tcp::endpoint endpoint;
    Milliseconds readDelay{0}; ///< time from the client's request until it reads the answer
    bool disconnectsEarly = false; ///< the client closes its connection shortly after it has sent its bytes

private:
    ScriptedUpstream &addUpstream(const std::string &id, std::deque<ScriptedResponse> scriptedResponses,
                                  UpstreamEntry entry)
    {
        auto &added = this->upstreams.emplace_back(std::make_unique<ScriptedUpstream>(this->io, id));
        added->scriptedResponses = std::move(scriptedResponses);
        entry.id = UpstreamId(id);
        entry.address = added->address();
        entry.slots = 4;
        this->context.fleetView.upstreams.update(entry);
        return *added;
    }

    static asio::awaitable<void> runClient(ForwardRig *self, std::vector<std::string> pieces, std::string *answer,
                                           bool *ended)
    {
        asio::ip::tcp::socket socket(self->io);
        boost::system::error_code error;
        co_await socket.async_connect(self->endpoint, asio::redirect_error(asio::use_awaitable, error));
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        for (const std::string &piece : pieces) {
            const auto buffer = asio::buffer(piece);
            co_await asio::async_write(socket, buffer, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            // The ingress runs in the same thread and receives this piece alone.
            co_await asio::post(self->io, asio::use_awaitable);
        }
        if (self->disconnectsEarly) {
            asio::steady_timer delay(self->io, std::chrono::milliseconds(60));
            co_await delay.async_wait(asio::use_awaitable);
            *ended = true;
            co_return;
        }
        asio::steady_timer readTimer(self->io, self->readDelay);
        co_await readTimer.async_wait(asio::use_awaitable);
        std::array<char, 4096> space{};
        while (!error) {
            const auto count = co_await socket.async_read_some(asio::buffer(space),
                                                               asio::redirect_error(asio::use_awaitable, error));
            answer->append(space.data(), count);
        }
        *ended = true;
    }
};

/// @brief A client's request with `Connection: close`.
inline std::string clientRequest(const std::string &path, const std::string &id = "r-1", const std::string &more = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: " + id
        + "\r\nConnection: close\r\nContent-Length: 2\r\n" + more + "\r\nhi";
}

/// @brief Header line that names the request that an upstream answers.
inline std::string requestIdHeader(const std::string &id = "r-1")
{
    return "X-Parsleyvane-Attempt-Id: " + id + "\r\n";
}

/// @brief Header line of an answer by the upstream's application.
inline const std::string signatureHeader = "X-Parsleyvane-Server-Signature: sig\r\n";

/// @brief The store's answer to a read of a table without rows.
inline const std::string emptyTableContent = R"({"rows":[],"has_more":false,"ver":9,"now_ms":5})";

/// @brief Header line of a refusal by an upstream that has not run the request.
inline const std::string notExecutedHeader = "X-Parsleyvane-Not-Executed: 1\r\n";

/// @brief A refusal by an upstream that has not run the request.
inline const std::string notExecutedAnswer = "HTTP/1.1 503 Full\r\n" + notExecutedHeader + "Content-Length: 0\r\n\r\n";

/// @brief Header line with a client's API key.
inline std::string credentialHeader(const std::string &key)
{
    return "X-Parsleyvane-Credential: " + key + "\r\n";
}

/// @brief Header line with the time that a client waits.
inline std::string deadlineHeader(Milliseconds timeout)
{
    return "X-Parsleyvane-Deadline-Ms: " + std::to_string(timeout.count()) + "\r\n";
}

/// @brief Header line with a model's confidence in its answer.
inline std::string confidenceHeader(int confidence)
{
    return "X-Parsleyvane-Confidence: " + std::to_string(confidence) + "\r\n";
}

/// @brief An upstream's complete answer.
inline std::string upstreamAnswer(int status, const std::string &body, const std::string &id = "r-1",
                                  const std::string &more = "X-Parsleyvane-Server-Signature: sig\r\n")
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nX-Parsleyvane-Attempt-Id: " + id + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief The head of a streamed answer with chunked events.
inline std::string streamHead(const std::string &id = "r-1", const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\nX-Parsleyvane-Attempt-Id: " + id
        + "\r\nX-Parsleyvane-Server-Signature: sig\r\nContent-Type: text/event-stream\r\n" + more
        + "Transfer-Encoding: chunked\r\n\r\n";
}

/// @brief A chunk that holds one event.
inline std::string chunkedEvent(int id, std::size_t dataBytes = 1)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: " + std::string(dataBytes, 'x') + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", event.size());
    return std::string(size.data()) + "\r\n" + event + "\r\n";
}

} // namespace parsleyvane::test
