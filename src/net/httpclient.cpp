#include "parsleyvane/net/httpclient.h"

#include "parsleyvane/net/httpstatus.h"

#include "net/firstchunk.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBufferBytes = 16384;
/// Bytes held before they are parsed. Chunk extensions and trailers are parsed whole, so this is their limit too.
constexpr std::size_t maxUnparsedBytes = 65536;
/// Interim responses that are skipped before the final one.
constexpr unsigned maxInterimResponses = 16;

} // namespace

HttpCall::HttpCall(const asio::any_io_executor &executor, std::string peer, asio::ip::tcp::endpoint endpoint,
                   CallLimits limits)
    : peer(std::move(peer))
    , endpoint(std::move(endpoint))
    , limits(limits)
    , socket(executor)
    , buffer(maxUnparsedBytes)
    , chunkHandler(chunkChecker(this->buffer))
    , watchdog(executor)
    , readBuffer(readBufferBytes)
{
}

HttpCall::~HttpCall()
{
    *this->alive = false;
}

void HttpCall::setDeadline(Milliseconds limit)
{
    this->isWaiting = true;
    this->deadline = std::min(std::chrono::steady_clock::now() + limit, this->totalDeadline);
    if (!this->isWatchdogActive || this->deadline < this->armedDeadline) {
        this->armWatchdog();
    }
}

void HttpCall::armWatchdog()
{
    this->isWatchdogActive = true;
    this->armedDeadline = this->deadline;
    this->watchdog.expires_at(this->deadline);
    this->watchdog.async_wait([this, alive = this->alive](const boost::system::error_code &error) {
        // The call may have been destroyed or suspended between the timer's expiry and this handler.
        if (error || !*alive || !this->isWatchdogActive) {
            return;
        }
        if (!this->isWaiting) {
            this->isWatchdogActive = false;
            return;
        }
        if (std::chrono::steady_clock::now() < this->deadline) {
            this->armWatchdog();
            return;
        }
        const Milliseconds extension = this->timeoutHandler ? this->timeoutHandler() : Milliseconds(0);
        if (extension.count() > 0) {
            this->deadline += extension;
            this->totalDeadline = std::max(this->totalDeadline, this->deadline);
            this->armWatchdog();
            return;
        }
        this->expired = true;
        this->close();
    });
}

asio::awaitable<bool> HttpCall::connect(LastReason &reason)
{
    boost::system::error_code error;
    this->callProgress.step = Step::Connect;
    this->setDeadline(this->limits.connect);
    co_await this->socket.async_connect(this->endpoint, asio::redirect_error(asio::use_awaitable, error));
    this->isWaiting = false;
    if (error) {
        reason.fail(this->failureOf(error));
        co_return false;
    }
    this->setSocketOptions();
    co_return true;
}

void HttpCall::setSocketOptions()
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    constexpr int keepAliveSeconds = 1;
    constexpr int keepAliveProbes = 2;
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (this->limits.acknowledgementTimeout.count() > 0) {
        this->socket.set_option(UserTimeout(static_cast<int>(this->limits.acknowledgementTimeout.count())), ignored);
        this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
        this->socket.set_option(KeepIdle(keepAliveSeconds), ignored);
        this->socket.set_option(KeepInterval(keepAliveSeconds), ignored);
        this->socket.set_option(KeepCount(keepAliveProbes), ignored);
    }
}

void HttpCall::setProgressLimit(Milliseconds limit) noexcept
{
    this->limits.progress = limit;
}

void HttpCall::setTotalLimit(Milliseconds limit) noexcept
{
    this->limits.progress = limit;
    this->totalDeadline = std::chrono::steady_clock::now() + limit;
}

void HttpCall::setMinRate(std::size_t bytesPerSecond) noexcept
{
    this->minBytesPerSecond = bytesPerSecond;
}

void HttpCall::onTimeout(std::function<Milliseconds()> handler)
{
    this->timeoutHandler = std::move(handler);
}

void HttpCall::suspendTimeouts()
{
    this->isWatchdogActive = false;
    this->watchdog.cancel();
}

void HttpCall::watchIdle()
{
    this->suspendTimeouts();
    this->isIdle = true;
    this->socket.async_wait(asio::socket_base::wait_read,
                            [this, alive = this->alive](const boost::system::error_code &error) {
                                if (!error && *alive && this->isIdle) {
                                    this->close();
                                }
                            });
}

bool HttpCall::reusable() const
{
    return this->socket.is_open() && this->parser && this->parser->is_done() && this->buffer.size() == 0
        && this->parser->get().keep_alive() && !hasConnectionOption(this->responseHead, "close")
        && !this->parser->get().need_eof();
}

bool HttpCall::isOpen()
{
    if (!this->socket.is_open()) {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<bool> HttpCall::send(const HttpRequest &request, LastReason &reason)
{
    boost::system::error_code error;
    ++this->calls;
    if (this->isIdle) {
        this->isIdle = false;
        this->socket.cancel(error);
    }
    this->callProgress = CallProgress{.step = Step::Send};
    this->setDeadline(this->limits.progress);
    http::serializer<true, http::string_body> serializer(request);
    // A failed write may have sent part of the request: from here on, bytes count as sent.
    this->callProgress.bytesSent = request.body().size() + 1;
    co_await http::async_write(this->socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    this->isWaiting = false;
    if (error) {
        reason.fail(this->failureOf(error));
        co_return false;
    }
    this->callProgress.step = Step::Answer;
    co_return true;
}

asio::awaitable<std::optional<HttpResponse>> HttpCall::readWhole(LastReason &reason)
{
    const auto status = co_await this->readHead(reason);
    if (!status) {
        co_return std::nullopt;
    }
    HttpResponse response;
    response.base() = this->responseHead;
    while (true) {
        auto piece = co_await this->readSome(reason);
        if (!piece) {
            co_return std::nullopt;
        }
        if (piece->empty()) {
            co_return response;
        }
        response.body().append(*piece);
    }
}

asio::awaitable<std::optional<int>> HttpCall::readHead(LastReason &reason)
{
    for (unsigned interim = 0; interim <= maxInterimResponses; ++interim) {
        const auto status = co_await this->readNextHead(reason);
        if (!status || *status >= statusOk) {
            this->callProgress.status = status;
            co_return status;
        }
    }
    co_return this->rejectResponse("too many interim responses", reason);
}

asio::awaitable<std::optional<int>> HttpCall::readNextHead(LastReason &reason)
{
    boost::system::error_code error;
    this->parser.emplace();
    this->parser->body_limit(this->limits.bodyBytes);
    this->parser->on_chunk_header(this->chunkHandler);
    this->buffer.startRecording();
    this->setDeadline(this->limits.progress);
    co_await http::async_read_header(this->socket, this->buffer, *this->parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    this->isWaiting = false;
    const std::string lines = this->buffer.stopRecording();
    if (error) {
        reason.fail(this->failureOf(error));
        co_return std::nullopt;
    }
    this->responseHead = this->parser->get();
    if (auto defect = findHeadDefect(this->responseHead, lines, this->parser->chunked())) {
        co_return this->rejectResponse(std::move(*defect), reason);
    }
    this->isFirstChunkAwaited = this->parser->chunked();
    co_return this->responseHead.result_int();
}

std::nullopt_t HttpCall::rejectResponse(std::string defect, LastReason &reason)
{
    this->close();
    return reason.fail({.id = ErrorId::BadUpstreamData,
                        .step = this->callProgress.step,
                        .peer = this->peer,
                        .runState = RunState::Unknown,
                        .detail = std::move(defect)});
}

asio::awaitable<std::optional<std::string>> HttpCall::readSome(LastReason &reason)
{
    while (!this->parser->is_done()) {
        boost::system::error_code error;
        this->parser->get().body().data = this->readBuffer.data();
        this->parser->get().body().size = this->readBuffer.size();
        this->setDeadline(this->limits.progress);
        if (std::exchange(this->isFirstChunkAwaited, false)) {
            co_await awaitFirstChunk(this->socket, this->buffer, error);
        }
        if (!error) {
            co_await http::async_read_some(this->socket, this->buffer, *this->parser,
                                           asio::redirect_error(asio::use_awaitable, error));
        }
        this->isWaiting = false;
        const std::size_t filled = this->readBuffer.size() - this->parser->get().body().size;
        if (filled > 0) {
            if (this->minBytesPerSecond > 0) {
                this->totalDeadline += std::chrono::microseconds(std::micro::den * filled / this->minBytesPerSecond);
            }
            co_return std::string(this->readBuffer.data(), filled);
        }
        if (error && error != http::error::need_buffer) {
            reason.fail(this->failureOf(error));
            co_return std::nullopt;
        }
    }
    if (auto defect = findTrailerDefect(this->buffer.stopRecording())) {
        co_return this->rejectResponse(std::move(*defect), reason);
    }
    co_return std::string();
}

void HttpCall::close() noexcept
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->suspendTimeouts();
}

Failure HttpCall::failureOf(const boost::system::error_code &error) const
{
    Failure failure{
        .id = ErrorId::UpstreamLost, .step = this->callProgress.step, .peer = this->peer, .detail = error.message()};
    const bool connecting = this->callProgress.step == Step::Connect;
    failure.runState = connecting ? RunState::NotRun : RunState::Unknown;
    if (connecting) {
        failure.id = ErrorId::ConnectFailed;
    } else if (this->expired || error == asio::error::timed_out) {
        failure.id = ErrorId::UpstreamSilent;
    } else if (error.category() == http::make_error_code(http::error::bad_version).category()
               && error != http::error::end_of_stream && error != http::error::partial_message) {
        failure.id = ErrorId::BadUpstreamData;
    }
    return failure;
}

void logMalformedResponse(const std::string &peer, const Failure &failure)
{
    constexpr double minSeconds = 0.1;
    if (failure.id == ErrorId::BadUpstreamData) {
        LOG_EVERY_T(WARNING, minSeconds) << "malformed response of " << peer << ": " << failure.detail;
    }
}

HttpRequest makeRequest(http::verb verb, const std::string &target, std::string body)
{
    constexpr unsigned http11 = 11;
    HttpRequest request(verb, target, http11);
    request.set(http::field::host, "parsleyvane");
    request.set(http::field::connection, "close");
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

asio::awaitable<std::optional<HttpResponse>> httpCall(std::string peer, asio::ip::tcp::endpoint endpoint,
                                                      HttpRequest request, CallLimits limits, CallProgress &progress,
                                                      LastReason &reason)
{
    HttpCall call(co_await asio::this_coro::executor, std::move(peer), std::move(endpoint), limits);
    std::optional<HttpResponse> response;
    if (co_await call.connect(reason) && co_await call.send(request, reason)) {
        response = co_await call.readWhole(reason);
        if (!response) {
            logMalformedResponse(call.name(), reason.failure());
        }
    }
    progress = call.progress();
    co_return response;
}

} // namespace parsleyvane
