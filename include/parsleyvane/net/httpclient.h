/**
 * @file
 * @brief HTTP calls to upstreams and the platform, with the step at which a call failed and the bytes sent by then.
 */
#pragma once

#include "parsleyvane/core/failure.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief A request with a text body.
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
/// @brief A response with a text body.
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief How far a call came; judge() turns it into a run state.
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
    /// @brief For sending the request and for each read without progress.
    Milliseconds progress{5000};
    std::size_t bodyBytes = 16U << 20U;
    /// @brief A peer that acknowledges no bytes for this long is gone; 0 leaves it to the system.
    Milliseconds acknowledgementTimeout{0};
};

/**
 * @brief One connection, and the call under way on it.
 *
 * Another call may follow on the same connection once the answer before was read to its end and reusable() holds. A
 * request that may not be repeated takes a fresh one, which keeps "not run" provable.
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
    /// @param peer the name that failures carry
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
    /// @brief Reads the head only; returns the status. @param reason as readWhole()
    boost::asio::awaitable<std::optional<int>> readHead(LastReason &reason);
    /**
     * @brief After readHead(): the next bytes of the body, as many as have come.
     * @return the bytes; an empty text at the body's proper end; nothing when the connection was cut
     */
    boost::asio::awaitable<std::optional<std::string>> readSome(LastReason &reason);
    /// @brief Sets the limit for sending and for each read from now on.
    void setProgressLimit(Milliseconds limit) noexcept;
    /// @brief Pauses the time limits between two calls.
    void suspendTimeouts();
    /// @brief Closes the connection at once; a read under way ends with UpstreamLost. Safe to call twice.
    void close() noexcept;

    // observers
    /// @brief The peer's name.
    const std::string &name() const noexcept
    {
        return this->peer;
    }
    /// @brief How far the call came.
    const CallProgress &progress() const noexcept
    {
        return this->reached;
    }
    /// @brief Whether the answer was read to its end, nothing followed it, and the peer keeps the connection.
    bool reusable() const;
    /// @brief Whether a resting connection is open and silent, as far as this side knows.
    bool isOpen();
    /// @brief Whether the connection carried a call before this one.
    bool isReused() const noexcept
    {
        return this->calls > 1;
    }
    /// @brief The response's head. @pre readHead() succeeded
    const boost::beast::http::response_header<> &head() const
    {
        return this->parser->get();
    }

private:
    using HeadParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    Failure failureOf(const boost::system::error_code &error) const;
    void allow(Milliseconds limit);
    void watch();
    void setSocketOptions();

    std::string peer;
    boost::asio::ip::tcp::endpoint endpoint;
    CallLimits limits;
    CallProgress reached;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::optional<HeadParser> parser;
    /// One timer a call that looks at the deadline now and then; one a read would cost more than the read.
    boost::asio::steady_timer watchdog;
    boost::asio::steady_timer::time_point deadline;
    std::chrono::steady_clock::time_point armedFor;
    bool watching = false;
    bool expired = false;
    unsigned calls = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::vector<char> space;
};

/// @brief A JSON request. @param body the JSON text; empty for none
HttpRequest makeRequest(boost::beast::http::verb verb, const std::string &target, std::string body = {});

/**
 * @brief Sends and reads in one go.
 * @param progress how far the call came, also when it failed
 */
boost::asio::awaitable<std::optional<HttpResponse>> httpCall(std::string peer, boost::asio::ip::tcp::endpoint endpoint,
                                                             HttpRequest request, CallLimits limits,
                                                             CallProgress &progress, LastReason &reason);

} // namespace parsleyvane
