/**
 * @file
 * @brief HTTP/1.1 server for clients and operators, with limits on sizes, times and connections.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/net/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleyvane {

/// @brief Limits on requests and connections.
struct ServerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;
    std::size_t connections = 4096;
    Milliseconds requestTimeout{10000}; ///< to receive a complete request
    Milliseconds writeTimeout{30000}; ///< for a write without progress
    Milliseconds idleTimeout{10000}; ///< for a connection without a request in flight
};

/// @brief A header of a response.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/**
 * @brief A received request and its response, which is sent once.
 */
class Exchange
{
public:
    // constructors
    Exchange(boost::beast::tcp_stream &stream, HttpRequest request, Milliseconds writeTimeout);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange();

    // observers
    const HttpRequest &request() const noexcept
    {
        return this->received;
    }
    /// @brief A header's value; empty when absent.
    std::string header(const std::string &name) const;
    /// @brief Whether a response, or its head, has been written.
    bool answered() const noexcept
    {
        return this->responseStarted;
    }
    /// @brief Whether the connection can carry another request.
    bool reusable() const noexcept
    {
        return this->responseComplete && !this->closeAfterResponse && this->received.keep_alive();
    }

    // modifiers
    /// @brief Adds a header to the response.
    void addHeader(HttpHeader header);
    /// @brief Answers with a complete body. Returns false when the write fails.
    boost::asio::awaitable<bool> respond(int status, std::string contentType, std::string body);
    /// @brief Answers with a failure as JSON, or as the last event of a stream already started.
    boost::asio::awaitable<bool> respond(Failure failure);
    /// @brief Writes the head of a streamed answer.
    boost::asio::awaitable<bool> beginStream(std::string contentType);
    /// @brief Writes a piece of a streamed answer. Returns false when the write fails.
    boost::asio::awaitable<bool> write(std::string piece);
    /// @brief Ends a streamed answer with the final chunk.
    boost::asio::awaitable<bool> endStream();
    /// @brief Answers with an upstream's status, headers and complete body, unchanged.
    boost::asio::awaitable<bool> relay(int status, std::vector<HttpHeader> head, std::string body);
    /// @brief Starts a chunked response with an upstream's status and headers, and the first piece of the body.
    boost::asio::awaitable<bool> beginRelay(int status, std::vector<HttpHeader> head, std::string piece);
    /// @brief Closes the connection after this response.
    void closeAfterwards() noexcept
    {
        this->closeAfterResponse = true;
    }
    /// @brief Resets the connection, so that the client detects an unfinished response as incomplete.
    void abort();
    /// @brief Calls `onDisconnect` at most once, when the client closes the connection before the exchange ends.
    void onClientDisconnect(std::function<void()> onDisconnect);

private:
    struct Watch;

    boost::asio::awaitable<bool> writeRaw(std::string bytes);
    void stopWatching();

    boost::beast::tcp_stream &stream;
    HttpRequest received;
    Milliseconds writeTimeout;
    std::vector<HttpHeader> headers;
    std::shared_ptr<Watch> watch;
    bool responseStarted = false;
    bool responseComplete = false;
    bool closeAfterResponse = false;
};

/// @brief Coroutine that answers one request.
using ExchangeHandler = std::function<boost::asio::awaitable<void>(Exchange &)>;

/// @brief Called before the server answers a request that it refuses itself; may add headers to the response.
using RefusalHandler = std::function<void(Exchange &, const Failure &)>;

/// @brief JSON body of an error response.
std::string failureJson(const Failure &failure);

/**
 * @brief Accepts connections and serves the requests of each in order.
 *
 * A malformed, oversized or slow request gets an error response, or the connection is closed.
 */
class HttpServer
{
public:
    // constructors
    HttpServer(boost::asio::io_context &context, ServerLimits limits, ExchangeHandler handler);

    // modifiers
    /// @brief Listens. @param reason InvalidSetting when the address cannot be used
    bool listen(const boost::asio::ip::tcp::endpoint &endpoint, LastReason &reason);
    /// @brief Sets the handler of requests that the server refuses: malformed, too large or too slow.
    void onRefusal(RefusalHandler newHandler);
    /// @brief Sets the limits for later requests and connections.
    void setLimits(const ServerLimits &newLimits);
    /// @brief Stops accepting connections; requests in flight complete, and their connections close afterwards.
    void stopAccepting();
    /// @brief Closes the connections that wait for the first byte of a request.
    void closeIdle();

    // observers
    /// @brief Number of open connections.
    std::size_t connections() const noexcept
    {
        return this->openConnections;
    }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> refuse(boost::beast::tcp_stream &stream, Exchange &exchange, Failure failure);
    boost::asio::awaitable<bool> serveOne(boost::beast::tcp_stream &stream, RecordingBuffer &buffer);

    boost::asio::io_context &context;
    ServerLimits limits;
    ExchangeHandler handler;
    RefusalHandler refusalHandler;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<boost::beast::tcp_stream *> idleStreams;
    std::size_t openConnections = 0;
    bool accepting = true;
};

} // namespace parsleyvane
