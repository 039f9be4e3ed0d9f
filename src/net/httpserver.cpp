#include "parsleyvane/net/httpserver.h"

#include "parsleyvane/net/httpstatus.h"

#include "net/firstchunk.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

using RequestParser = http::request_parser<http::string_body>;

constexpr std::size_t firstReadBytes = 4096;
/// Bytes of a body held before they are parsed. Chunk extensions and trailers are parsed whole, so this is their limit.
constexpr std::size_t maxUnparsedBytes = 65536;
const std::string jsonType = "application/json";

std::string reasonPhrase(int status)
{
    return std::string(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status))));
}

std::string headText(int status, const std::vector<HttpHeader> &headers, bool keepAlive)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const HttpHeader &header : headers) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    head.append(keepAlive ? "Connection: keep-alive\r\n" : "Connection: close\r\n");
    return head;
}

std::string headText(int status, const std::string &contentType, std::vector<HttpHeader> headers, bool keepAlive)
{
    headers.insert(headers.begin(), {"Content-Type", contentType});
    return headText(status, headers, keepAlive);
}

/// A chunk of the chunked transfer coding (RFC 9112, section 7.1).
std::string chunkText(const std::string &piece)
{
    constexpr int hexDigits = 16;
    std::array<char, hexDigits> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), hexDigits).ptr;
    std::string text(size.data(), end);
    return text.append("\r\n").append(piece).append("\r\n");
}

Failure malformedRequest(std::string defect)
{
    return {.id = ErrorId::MalformedRequest, .step = Step::Receive, .detail = std::move(defect)};
}

Failure receiveFailure(const boost::system::error_code &error)
{
    Failure failure = malformedRequest(error.message());
    if (error == http::error::body_limit || error == http::error::header_limit
        || error == http::error::buffer_overflow) {
        failure.id = ErrorId::TooLarge;
    } else if (error == beast::error::timeout) {
        failure.id = ErrorId::TooSlow;
    }
    return failure;
}

/// Closes the sending side, then reads and drops what the client goes on sending. A connection that is closed with
/// unread bytes is reset, by which the client may lose the response (RFC 9112, section 9.6).
asio::awaitable<void> discardInput(beast::tcp_stream &stream)
{
    constexpr Milliseconds lingerTimeout{1000};
    constexpr std::size_t readBytes = 16384;
    std::vector<char> discarded(readBytes);
    boost::system::error_code error;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    stream.expires_after(lingerTimeout);
    while (!error) {
        co_await stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
    }
}

void reportException(const std::exception &error)
{
    LOG(ERROR) << "unhandled exception while serving a request: " << error.what();
}

/// Reads a chunked body. The parser adds the trailers to the head's fields; they are dropped, as a recipient may not
/// merge them (RFC 9110, section 6.5.1). @return the first defect
asio::awaitable<std::optional<std::string>> readChunks(beast::tcp_stream &stream, RecordingBuffer &buffer,
                                                       RequestParser &parser, boost::system::error_code &error)
{
    http::fields head = parser.get();
    ChunkHandler chunkHandler = chunkChecker(buffer);
    parser.on_chunk_header(chunkHandler);
    co_await awaitFirstChunk(stream, buffer, error);
    if (!error) {
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return std::nullopt;
    }
    static_cast<http::fields &>(parser.get()) = std::move(head);
    co_return findTrailerDefect(buffer.stopRecording());
}

/// Reads one request. @return its first defect; the body behind a defective head is not read
asio::awaitable<std::optional<std::string>> readRequest(beast::tcp_stream &stream, RecordingBuffer &buffer,
                                                        RequestParser &parser, boost::system::error_code &error)
{
    buffer.startRecording();
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    const std::string lines = buffer.stopRecording();
    if (error) {
        co_return std::nullopt;
    }
    if (auto defect = findHeadDefect(parser.get(), lines, parser.chunked())) {
        co_return defect;
    }
    if (parser.chunked()) {
        co_return co_await readChunks(stream, buffer, parser, error);
    }
    if (!parser.is_done()) {
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return std::nullopt;
}

/// Whether the connection was closed or broken, so that no response can be delivered.
bool isClientDisconnect(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message || error == asio::error::eof
        || error == asio::error::connection_reset || error == asio::error::operation_aborted;
}

} // namespace

std::string failureJson(const Failure &failure)
{
    const Json error{{"id", static_cast<int>(failure.id)},    {"name", errorName(failure.id)},
                     {"step", stepName(failure.step)},        {"peer", failure.peer},
                     {"run", runStateName(failure.runState)}, {"message", failure.detail}};
    return Json{{"error", error}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Exchange::Exchange(beast::tcp_stream &stream, HttpRequest request, Milliseconds writeTimeout)
    : stream(stream)
    , received(std::move(request))
    , writeTimeout(writeTimeout)
{
}

/// Shared with the handler that waits on the socket, which may run after the exchange is destroyed.
struct Exchange::Watch
{
    std::function<void()> onDisconnect;
    bool active = true;
};

Exchange::~Exchange()
{
    this->stopWatching();
}

void Exchange::onClientDisconnect(std::function<void()> onDisconnect)
{
    this->watch = std::make_shared<Watch>(Watch{std::move(onDisconnect)});
    auto &socket = this->stream.socket();
    socket.async_wait(asio::socket_base::wait_read,
                      [&socket, watch = this->watch](const boost::system::error_code &error) {
                          if (error || !watch->active) {
                              return;
                          }
                          boost::system::error_code broken;
                          // Available bytes belong to the next request; without any, the client has disconnected.
                          if (socket.available(broken) == 0 || broken) {
                              watch->active = false;
                              watch->onDisconnect();
                          }
                      });
}

void Exchange::stopWatching()
{
    if (this->watch && this->watch->active) {
        this->watch->active = false;
        boost::system::error_code ignored;
        this->stream.socket().cancel(ignored);
    }
}

void Exchange::abort()
{
    boost::system::error_code ignored;
    this->closeAfterResponse = true;
    this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    this->stopWatching();
    this->stream.socket().close(ignored);
}

std::string Exchange::header(const std::string &name) const
{
    return std::string(this->received[name]);
}

void Exchange::addHeader(HttpHeader header)
{
    this->headers.push_back(std::move(header));
}

asio::awaitable<bool> Exchange::respond(int status, std::string contentType, std::string body)
{
    this->responseStarted = true;
    const bool keep = this->received.keep_alive() && !this->closeAfterResponse;
    std::string bytes = headText(status, contentType, this->headers, keep);
    bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    this->responseComplete = co_await this->writeRaw(std::move(bytes));
    co_return this->responseComplete;
}

asio::awaitable<bool> Exchange::respond(Failure failure)
{
    if (this->responseStarted) {
        // A failed stream gets neither [DONE] nor a final chunk, so that the client detects it as incomplete.
        std::string event = "data: " + failureJson(failure) + "\n\n";
        co_return co_await this->write(std::move(event));
    }
    if (failure.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter);
        this->addHeader({"Retry-After", std::to_string(seconds.count())});
    }
    co_return co_await this->respond(httpStatus(failure.id), jsonType, failureJson(failure));
}

asio::awaitable<bool> Exchange::relay(int status, std::vector<HttpHeader> head, std::string body)
{
    this->responseStarted = true;
    std::string bytes = headText(status, head, this->received.keep_alive() && !this->closeAfterResponse);
    bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    this->responseComplete = co_await this->writeRaw(std::move(bytes));
    co_return this->responseComplete;
}

asio::awaitable<bool> Exchange::beginRelay(int status, std::vector<HttpHeader> head, std::string piece)
{
    this->responseStarted = true;
    std::string bytes = headText(status, head, this->received.keep_alive() && !this->closeAfterResponse);
    bytes.append("Transfer-Encoding: chunked\r\n\r\n");
    if (!piece.empty()) {
        bytes.append(chunkText(piece));
    }
    co_return co_await this->writeRaw(std::move(bytes));
}

asio::awaitable<bool> Exchange::beginStream(std::string contentType)
{
    this->responseStarted = true;
    std::string bytes
        = headText(statusOk, contentType, this->headers, this->received.keep_alive() && !this->closeAfterResponse);
    bytes.append("Transfer-Encoding: chunked\r\nCache-Control: no-store\r\n\r\n");
    co_return co_await this->writeRaw(std::move(bytes));
}

asio::awaitable<bool> Exchange::write(std::string piece)
{
    std::string bytes = chunkText(piece);
    co_return co_await this->writeRaw(std::move(bytes));
}

asio::awaitable<bool> Exchange::endStream()
{
    std::string bytes = "0\r\n\r\n";
    this->responseComplete = co_await this->writeRaw(std::move(bytes));
    co_return this->responseComplete;
}

asio::awaitable<bool> Exchange::writeRaw(std::string bytes)
{
    boost::system::error_code error;
    this->stream.expires_after(this->writeTimeout);
    const auto buffer = asio::buffer(bytes);
    co_await asio::async_write(this->stream, buffer, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

HttpServer::HttpServer(asio::io_context &context, ServerLimits limits, ExchangeHandler handler)
    : context(context)
    , limits(limits)
    , handler(std::move(handler))
    , acceptor(context)
{
}

bool HttpServer::listen(const asio::ip::tcp::endpoint &endpoint, LastReason &reason)
{
    boost::system::error_code error;
    this->acceptor.open(endpoint.protocol(), error);
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        this->acceptor.bind(endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        const std::string where = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        reason.fail({.id = ErrorId::InvalidSetting, .step = Step::Configure, .peer = where, .detail = error.message()});
        return false;
    }
    asio::co_spawn(this->context, this->acceptLoop(), asio::detached);
    return true;
}

void HttpServer::onRefusal(RefusalHandler newHandler)
{
    this->refusalHandler = std::move(newHandler);
}

void HttpServer::setLimits(const ServerLimits &newLimits)
{
    this->limits = newLimits;
}

void HttpServer::stopAccepting()
{
    this->accepting = false;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void HttpServer::closeIdle()
{
    for (beast::tcp_stream *stream : this->idleStreams) {
        stream->cancel();
    }
}

asio::awaitable<void> HttpServer::acceptLoop()
{
    while (this->accepting) {
        boost::system::error_code error;
        auto socket = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error || this->openConnections >= this->limits.connections) {
            continue;
        }
        asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(asio::ip::tcp::socket socket)
{
    ++this->openConnections;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    RecordingBuffer buffer(maxUnparsedBytes);
    try {
        while (this->accepting && co_await this->serveOne(stream, buffer)) { }
    } catch (const std::exception &error) {
        reportException(error);
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    --this->openConnections;
}

asio::awaitable<void> HttpServer::refuse(beast::tcp_stream &stream, Exchange &exchange, Failure failure)
{
    exchange.closeAfterwards();
    if (this->refusalHandler) {
        this->refusalHandler(exchange, failure);
    }
    const bool isSent = co_await exchange.respond(std::move(failure));
    if (isSent) {
        co_await discardInput(stream);
    }
}

asio::awaitable<bool> HttpServer::serveOne(beast::tcp_stream &stream, RecordingBuffer &buffer)
{
    boost::system::error_code error;
    if (buffer.size() == 0) {
        stream.expires_after(this->limits.idleTimeout);
        this->idleStreams.insert(&stream);
        const auto space = buffer.prepare(firstReadBytes);
        const std::size_t bytesRead
            = co_await stream.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
        this->idleStreams.erase(&stream);
        buffer.commit(bytesRead);
    }
    // The limits may have changed while the connection was idle.
    buffer.max_size(std::max({std::size_t{this->limits.headBytes}, maxUnparsedBytes, buffer.size()}));
    RequestParser parser;
    parser.header_limit(this->limits.headBytes);
    parser.body_limit(this->limits.bodyBytes);
    stream.expires_after(this->limits.requestTimeout);
    std::optional<std::string> defect;
    if (!error) {
        defect = co_await readRequest(stream, buffer, parser, error);
    }
    const bool silent = error == beast::error::timeout && buffer.size() == 0;
    if (error && (silent || isClientDisconnect(error))) {
        co_return false;
    }
    Exchange exchange(stream, parser.release(), this->limits.writeTimeout);
    if (error || defect) {
        Failure failure = defect ? malformedRequest(std::move(*defect)) : receiveFailure(error);
        co_await this->refuse(stream, exchange, std::move(failure));
        co_return false;
    }
    // keep_alive() looks at the first Connection field only.
    if (hasConnectionOption(exchange.request(), "close")) {
        exchange.closeAfterwards();
    }
    stream.expires_never();
    co_await this->handler(exchange);
    co_return exchange.reusable();
}

} // namespace parsleyvane
