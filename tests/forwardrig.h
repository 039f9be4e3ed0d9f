/**
 * @file
 * @brief An ingress on loopback with hand-made beliefs, upstreams that answer by script, and callers that send raw
 * bytes.
 */
#pragma once

#include "scriptedupstream.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/forward/forwardedrequest.h"
#include "platform/platform.h"

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace parsleyvane::test {

namespace asio = boost::asio;

/// @brief The ingress under test.
class ForwardRig
{
public:
    ForwardRig()
        : platform(this->io.get_executor(), asio::ip::tcp::endpoint())
        , log(this->io, {.linesPerSecond = 0})
        , context{.io = this->io,
                  .platform = this->platform,
                  .metrics = this->metrics,
                  .log = this->log,
                  .zone = ZoneId("a")}
        , server(this->io, {.requestTimeout = Milliseconds(300), .idleTimeout = Milliseconds(3000)},
                 [this](Exchange &exchange) -> asio::awaitable<void> {
                     ForwardedRequest request(this->context, exchange);
                     co_await request.run();
                 })
        , table(std::make_shared<RouteTable>(Revision(1)))
    {
        this->context.phase = ForwardPhase::Serving;
        this->context.beliefs.upstreamsKnown = true;
        this->context.budget.setBounds({.ratio = 10, .slack = 1000});
        this->context.beliefs.table = this->table;
        LastReason reason;
        // A port that was free a moment ago; the listener does not tell which one it was given.
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
        auto &added = this->upstreams.emplace_back(std::make_unique<ScriptedUpstream>(this->io, id));
        added->scriptedResponses = std::move(scriptedResponses);
        this->context.beliefs.upstreams.update({.id = UpstreamId(id),
                                                .service = ServiceName("s"),
                                                .address = added->address(),
                                                .zone = ZoneId("a"),
                                                .version = VersionName(version),
                                                .slots = 4});
        return *added;
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

    /// @brief Begins a roll-out of the service "s".
    VersionShift &rollOut()
    {
        VersionShift &shift = shiftOf(this->context, ServiceName("s"));
        shift.onOrder(
            {.service = ServiceName("s"), .to = VersionName("v2"), .duration = Milliseconds(10000), .number = 1});
        shift.onStatus({.service = ServiceName("s"), .to = VersionName("v2"), .order = 1}, bootClockNow());
        return shift;
    }

    /// @brief Sends raw bytes on one connection and returns all that comes until its end, or for a while.
    std::string exchange(const std::string &bytes, Milliseconds patience = Milliseconds(2000))
    {
        std::string answer;
        bool ended = false;
        asio::co_spawn(this->io, ForwardRig::talk(this, bytes, &answer, &ended), asio::detached);
        const auto last = std::chrono::steady_clock::now() + patience;
        while (!ended && std::chrono::steady_clock::now() < last) {
            this->io.run_one_for(std::chrono::milliseconds(20));
        }
        return answer;
    }

    /// @brief Lets things happen for a while.
    void pass(Milliseconds duration)
    {
        this->io.run_for(duration);
    }

    asio::io_context io;
    platform::Platform platform;
    Metrics metrics;
    DecisionLog log;
    ForwardContext context;
    HttpServer server;
    std::shared_ptr<RouteTable> table;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    asio::ip::tcp::endpoint endpoint;
    bool leavesEarly = false; ///< the caller closes its connection as soon as it has sent its bytes

private:
    static asio::awaitable<void> talk(ForwardRig *self, std::string bytes, std::string *answer, bool *ended)
    {
        asio::ip::tcp::socket socket(self->io);
        boost::system::error_code error;
        co_await socket.async_connect(self->endpoint, asio::redirect_error(asio::use_awaitable, error));
        const auto buffer = asio::buffer(bytes);
        co_await asio::async_write(socket, buffer, asio::redirect_error(asio::use_awaitable, error));
        if (self->leavesEarly) {
            asio::steady_timer pause(self->io, std::chrono::milliseconds(60));
            co_await pause.async_wait(asio::use_awaitable);
            *ended = true;
            co_return;
        }
        std::array<char, 4096> space{};
        while (!error) {
            const auto count = co_await socket.async_read_some(asio::buffer(space),
                                                               asio::redirect_error(asio::use_awaitable, error));
            answer->append(space.data(), count);
        }
        *ended = true;
    }
};

/// @brief A request of a caller that closes its connection afterwards.
inline std::string ask(const std::string &path, const std::string &id = "r-1", const std::string &more = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: " + id
        + "\r\nConnection: close\r\nContent-Length: 2\r\n" + more + "\r\nhi";
}

/// @brief An upstream's whole answer.
inline std::string reply(int status, const std::string &body, const std::string &id = "r-1",
                         const std::string &more = "X-Parsleyvane-Server-Signature: sig\r\n")
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nX-Parsleyvane-Attempt-Id: " + id + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief The head of a stream whose events follow in chunks.
inline std::string streamHead(const std::string &id = "r-1")
{
    return "HTTP/1.1 200 OK\r\nX-Parsleyvane-Attempt-Id: " + id
        + "\r\nX-Parsleyvane-Server-Signature: sig\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
}

/// @brief A chunk with one event.
inline std::string chunkedEvent(int id)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", event.size());
    return std::string(size.data()) + "\r\n" + event + "\r\n";
}

} // namespace parsleyvane::test
