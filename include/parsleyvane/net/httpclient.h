/**
 * @file
 * @brief HTTP client for upstreams and the platform; reports how far a failed call got.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/net/messagesyntax.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief A request with a text body.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
/// @brief A response with a text body.
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Progress of a call; inferRunState() derives the run state of an attempt from such values.
struct CallProgress
{
    Step step = Step::Connect;
    std::size_t bytesSent = 0;
    std::optional<int> status;
};

/// @brief Time limits of a call.
struct CallLimits
{
    Milliseconds connect{1000};
    /// @brief For sending the request, and for each read.
    Milliseconds progress{5000};
    std::size_t bodyBytes = 16U << 20U;
    /// @brief The connection fails when the peer acknowledges no bytes for this long; 0 keeps the system default.
    Milliseconds acknowledgementTimeout{0};
};

/**
 * @brief A connection, and the call in flight on it.
 *
 * The connection may carry another call once the previous response was read to its end and reusable() returns true. A
 * request that must not be repeated needs a new connection, so that a failure to connect proves that it was not run.
 *
 * @code
 * HttpCall call(executor, "engine-1", endpoint, limits);
 * if (co_await call.connect(reason) && co_await call.send(request, reason)) {
 *     const auto response = co_await call.readWhole(reason);
 * }
 * @endcode
 */
class HttpCall
{
public:
    // constructors
    /// @param peer name of the peer in failures
    HttpCall(const boost::asio::any_io_executor &executor, std::string peer, boost::asio::ip::tcp::endpoint endpoint,
             CallLimits limits = {});
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;
    ~HttpCall();

    // modifiers
    /// @brief Connects; nothing is sent yet. @param reason ConnectFailed
    boost::asio::awaitable<bool> connect(LastReason &reason);
    /// @brief Sends the request. @pre connect() succeeded @param reason UpstreamLost
    boost::asio::awaitable<bool> send(const HttpRequest &request, LastReason &reason);
    /// @brief Reads the whole response. @param reason UpstreamLost, UpstreamSilent or BadUpstreamData
    boost::asio::awaitable<std::optional<HttpResponse>> readWhole(LastReason &reason);
    /// @brief Reads the head of the final response; interim (1xx) ones are skipped. Returns the status. @param reason
    /// as readWhole()
    boost::asio::awaitable<std::optional<int>> readHead(LastReason &reason);
    /**
     * @brief Reads the bytes of the body that arrive next. @pre readHead() succeeded @param reason as readWhole()
     * @return the bytes; an empty string at the end of the body; nothing when the read failed. Only the end shows that
     * the response was well-formed.
     */
    boost::asio::awaitable<std::optional<std::string>> readSome(LastReason &reason);
    /// @brief Sets the time limit for later sends and reads.
    void setProgressLimit(Milliseconds limit) noexcept;
    /// @brief Sets one time limit for all later sends and reads together, however many bytes arrive; also sets the
    /// progress limit.
    void setTotalLimit(Milliseconds limit) noexcept;
    /// @brief Extends the limit of setTotalLimit() for each part of a body that arrives, so that a long answer may take
    /// longer than a short one; 0 extends nothing. @param bytesPerSecond lowest rate of the whole body
    void setMinRate(std::size_t bytesPerSecond) noexcept;
    /// @brief Sets a handler that is called when a time limit expires; an empty one removes it.
    ///
    /// The handler returns by how much the limit is extended. With 0, or without a handler, the connection is closed.
    void onTimeout(std::function<Milliseconds()> handler);
    /// @brief Suspends the time limits until the next call on this connection.
    void suspendTimeouts();
    /// @brief As suspendTimeouts(), and closes the connection as soon as bytes arrive or the peer closes it.
    void watchIdle();
    /// @brief Closes the connection immediately; a pending read fails with UpstreamLost. Idempotent.
    void close() noexcept;

    // observers
    /// @brief The peer's name.
    const std::string &name() const noexcept
    {
        return this->peer;
    }
    /// @brief Progress of the latest call.
    const CallProgress &progress() const noexcept
    {
        return this->callProgress;
    }
    /// @brief Whether a time limit of this call has ended it.
    bool isExpired() const noexcept
    {
        return this->expired;
    }
    /// @brief Whether the response was read to its end, no bytes follow it, and the peer keeps the connection open.
    bool reusable() const;
    /// @brief Whether an idle connection is open and has no unread bytes, as far as the local socket shows.
    bool isOpen();
    /// @brief Whether the connection carried an earlier call.
    bool isReused() const noexcept
    {
        return this->calls > 1;
    }
    /// @brief The response's head, without trailers. @pre readHead() succeeded
    const boost::beast::http::response_header<> &head() const
    {
        return this->responseHead;
    }

private:
    using HeadParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// Reads the head of an interim or the final response; returns the status.
    boost::asio::awaitable<std::optional<int>> readNextHead(LastReason &reason);
    /// Closes the connection: where a malformed response ends is unknown.
    std::nullopt_t rejectResponse(std::string defect, LastReason &reason);
    Failure failureOf(const boost::system::error_code &error) const;
    void setDeadline(Milliseconds limit);
    void armWatchdog();
    void setSocketOptions();

    std::string peer;
    boost::asio::ip::tcp::endpoint endpoint;
    CallLimits limits;
    CallProgress callProgress;
    boost::asio::ip::tcp::socket socket;
    RecordingBuffer buffer;
    std::optional<HeadParser> parser;
    ChunkHandler chunkHandler; ///< the parser refers to it
    boost::beast::http::response_header<> responseHead; ///< the parser adds trailers to its own
    /// One timer per call, armed again on expiry if the deadline has moved; a timer per read would cost more than the
    /// read.
    boost::asio::steady_timer watchdog;
    boost::asio::steady_timer::time_point deadline;
    std::chrono::steady_clock::time_point armedDeadline;
    std::chrono::steady_clock::time_point totalDeadline = std::chrono::steady_clock::time_point::max();
    std::size_t minBytesPerSecond = 0;
    std::function<Milliseconds()> timeoutHandler;
    bool isFirstChunkAwaited = false; ///< nothing of a chunked body has been parsed
    bool isWaiting = false; ///< a connect, send or read is in progress
    bool isWatchdogActive = false;
    bool isIdle = false; ///< watchIdle() was called, and no call since
    bool expired = false;
    unsigned calls = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::vector<char> readBuffer;
};

/// @brief Logs the failure if it is a malformed response, or malformed data in one; at most ten lines a second.
/// @param peer who sent it
void logMalformedResponse(const std::string &peer, const Failure &failure);

/// @brief A JSON request. @param body the JSON text; empty for none
HttpRequest makeRequest(boost::beast::http::verb verb, const std::string &target, std::string body = {});

/**
 * @brief Sends a request on a new connection and reads the whole response; logs a malformed one.
 * @param progress progress of the call, set also when it failed
 */
boost::asio::awaitable<std::optional<HttpResponse>> httpCall(std::string peer, boost::asio::ip::tcp::endpoint endpoint,
                                                             HttpRequest request, CallLimits limits,
                                                             CallProgress &progress, LastReason &reason);

} // namespace parsleyvane
