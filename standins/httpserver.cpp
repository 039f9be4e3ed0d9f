#include "httpserver.h"

#include "recorder.h"

#include "parsleyvane/net/endpoint.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sys/socket.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "IP:PORT to listen on");
ABSL_FLAG(std::string, name, "standin", "name of this instance");
ABSL_FLAG(std::string, zone, "a", "availability zone of this instance");
ABSL_FLAG(std::string, record, "", "file to which each recorded event is appended as a line of JSON");

namespace parsleyvane::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t bodyLimitBytes = 4U << 20U;
constexpr unsigned http11 = 11;
constexpr std::chrono::milliseconds peerClosePollInterval{50};
constexpr unsigned badRequest = 400;

/// @brief Passes a request to the handler; replies 400 when its body is malformed.
asio::awaitable<void> serveRequest(Connection &connection, const Handler &handler, const Request &request)
{
    std::string problem;
    try {
        co_await handler(connection, request);
    } catch (const Json::exception &error) {
        problem = error.what();
    }
    if (!problem.empty()) {
        const Json body{{"error", problem}};
        Reply reply = jsonReply(badRequest, body);
        co_await connection.send(std::move(reply));
    }
}

asio::awaitable<void> serveConnection(asio::ip::tcp::socket socket, const Handler &handler)
{
    Connection connection(std::move(socket));
    while (connection.isOpen()) {
        const auto request = co_await connection.read();
        if (!request) {
            connection.close();
            continue;
        }
        co_await serveRequest(connection, handler, *request);
    }
}

asio::awaitable<void> acceptAll(asio::ip::tcp::acceptor &acceptor, const Handler &handler)
{
    constexpr std::chrono::milliseconds acceptRetryDelay{20};
    while (true) {
        boost::system::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(token);
        if (error) {
            co_await waitFor(acceptRetryDelay);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), handler), asio::detached);
    }
}

/// @brief Exits at once without cleanup; the records are already written.
void exitOnSignal(const boost::system::error_code &error, int)
{
    if (!error) {
        std::cout.flush();
        std::_Exit(0);
    }
}

} // namespace

Reply jsonReply(unsigned status, const Json &body)
{
    return {.status = status, .body = dumpJson(body)};
}

Reply unknownPath()
{
    constexpr unsigned notFound = 404;
    return jsonReply(notFound, {{"error", "no such path"}});
}

Reply faultsReply(const Request &request, const std::map<std::string, FaultField> &fields)
{
    if (!applyFaults(Json::parse(request.body()), fields)) {
        return jsonReply(badRequest, {{"error", "unknown fault"}});
    }
    return {};
}

Connection::Connection(asio::ip::tcp::socket socket)
    : socket(std::move(socket))
{
}

bool Connection::isOpen() const
{
    return this->socket.is_open();
}

bool Connection::peerClosed()
{
    if (!this->isOpen()) {
        return true;
    }
    char byte = 0;
    const ssize_t got = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

asio::awaitable<std::optional<Request>> Connection::read()
{
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    http::request_parser<http::string_body> parser;
    parser.body_limit(bodyLimitBytes);
    co_await http::async_read(this->socket, this->buffer, parser, token);
    if (error) {
        co_return std::nullopt;
    }
    this->keepAlive = parser.get().keep_alive();
    co_return parser.release();
}

asio::awaitable<void> Connection::send(Reply reply)
{
    http::response<http::string_body> response(http::int_to_status(reply.status), http11);
    response.set(http::field::content_type, reply.contentType);
    if (reply.retryAfterSeconds) {
        response.set(http::field::retry_after, std::to_string(*reply.retryAfterSeconds));
    }
    response.keep_alive(this->keepAlive);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await http::async_write(this->socket, response, token);
    if (error || !this->keepAlive) {
        this->close();
    }
}

asio::awaitable<void> Connection::beginEvents()
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    head += this->keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    co_await this->sendBytes(std::move(head));
}

asio::awaitable<void> Connection::sendEvent(std::string payload)
{
    const std::string event = "data: " + payload + "\n\n";
    std::array<char, sizeof(std::size_t) * 2> size{};
    constexpr int hexadecimal = 16;
    const auto end = std::to_chars(size.data(), size.data() + size.size(), event.size(), hexadecimal).ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n" + event + "\r\n";
    co_await this->sendBytes(std::move(chunk));
}

asio::awaitable<void> Connection::endEvents()
{
    std::string last = "0\r\n\r\n";
    co_await this->sendBytes(std::move(last));
    if (!this->keepAlive) {
        this->close();
    }
}

asio::awaitable<void> Connection::sendBytes(std::string bytes)
{
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await asio::async_write(this->socket, asio::buffer(bytes), token);
    if (error) {
        this->close();
    }
}

asio::awaitable<void> Connection::holdSilent()
{
    while (!this->peerClosed()) {
        co_await waitFor(peerClosePollInterval);
    }
    this->close();
}

void Connection::close()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

void Connection::reset()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
}

asio::awaitable<void> waitFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

void parseCommandLine(int argc, char **argv, const std::string &usage)
{
    absl::SetProgramUsageMessage(usage);
    absl::ParseCommandLine(argc, argv);
}

int runServer(const std::string &program, const Handler &handler)
{
    LastReason reason;
    const auto endpoint = parseEndpoint(absl::GetFlag(FLAGS_listen), reason);
    if (!endpoint) {
        std::cerr << reason.failure().detail << "\n";
        return 1;
    }
    asio::io_context context(1);
    asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        std::cerr << program << ": " << absl::GetFlag(FLAGS_listen) << ": " << error.message() << "\n";
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(exitOnSignal);
    asio::co_spawn(context, acceptAll(acceptor, handler), asio::detached);
    std::cout << program << " " << absl::GetFlag(FLAGS_name) << " listening on " << acceptor.local_endpoint()
              << std::endl;
    context.run();
    return 0;
}

} // namespace parsleyvane::standins
