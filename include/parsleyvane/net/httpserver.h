/**
 * @file
 * @brief HTTP/1.1 towards callers and operators, within bounds on size, time and connections.
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

/// @brief Bounds on what a caller may send and hold.
struct ServerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;
    std::size_t connections = 4096;
    Milliseconds requestTimeout{10000}; ///< to receive a whole request
    Milliseconds writeTimeout{30000}; ///< for a write without progress
    Milliseconds idleTimeout{10000}; ///< for a connection on which no request is under way
};

/// @brief A header of a response.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/**
 * @brief One request of a caller and the means to answer it, once.
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
        return this->begun;
    }
    /// @brief Whether the connection can carry another request.
    bool reusable() const noexcept
    {
        return this->whole && !this->closing && this->received.keep_alive();
    }

    // modifiers
    /// @brief A header that the response will carry.
    void addHeader(HttpHeader header);
    /// @brief Answers with a whole body. Returns false when the caller is gone.
    boost::asio::awaitable<bool> respond(int status, std::string contentType, std::string body);
    /// @brief Answers with a failure as JSON, or as the last event of a stream already begun.
    boost::asio::awaitable<bool> respond(Failure failure);
    /// @brief Writes the head of a streamed answer.
    boost::asio::awaitable<bool> beginStream(std::string contentType);
    /// @brief Writes a piece of a streamed answer. Returns false when the caller is gone.
    boost::asio::awaitable<bool> write(std::string piece);
    /// @brief Ends a streamed answer properly.
    boost::asio::awaitable<bool> endStream();
    /// @brief Answers with an upstream's status, headers and whole body, unchanged.
    boost::asio::awaitable<bool> relay(int status, std::vector<HttpHeader> head, std::string body);
    /// @brief Begins to answer with an upstream's status and headers, and the first piece of a body to come.
    boost::asio::awaitable<bool> beginRelay(int status, std::vector<HttpHeader> head, std::string piece);
    /// @brief The connection ends after this answer.
    void closeAfterwards() noexcept
    {
        this->closing = true;
    }
    /// @brief Breaks the connection, so that what was answered so far cannot look complete.
    void abort();
    /// @brief Calls once when the caller closes the connection, until the exchange ends.
    void onClientDisconnect(std::function<void()> gone);

private:
    struct Watch;

    boost::asio::awaitable<bool> writeRaw(std::string bytes);
    void stopWatching();

    boost::beast::tcp_stream &stream;
    HttpRequest received;
    Milliseconds writeTimeout;
    std::vector<HttpHeader> headers;
    std::shared_ptr<Watch> watch;
    bool begun = false;
    bool whole = false;
    bool closing = false;
};

/// @brief Answers one exchange; runs as a coroutine for each request.
using ExchangeHandler = std::function<boost::asio::awaitable<void>(Exchange &)>;

/// @brief JSON text of a failure as callers see it.
std::string failureJson(const Failure &failure);

/**
 * @brief Accepts connections and serves their requests one after the other.
 *
 * A malformed, oversized or slow request gets a numbered error, or the connection is closed.
 */
class HttpServer
{
public:
    // constructors
    HttpServer(boost::asio::io_context &context, ServerLimits limits, ExchangeHandler handler);

    // modifiers
    /// @brief Listens. @param reason InvalidSetting when the address cannot be used
    bool listen(const boost::asio::ip::tcp::endpoint &endpoint, LastReason &reason);
    /// @brief Bounds for requests from now on.
    void setLimits(const ServerLimits &newLimits);
    /// @brief Takes no new connections; requests under way go on, and their connections close after them.
    void stopAccepting();
    /// @brief Closes the connections on which no request has begun to arrive.
    void closeIdle();

    // observers
    /// @brief Open connections.
    std::size_t connections() const noexcept
    {
        return this->open;
    }

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveOne(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer);

    boost::asio::io_context &context;
    ServerLimits limits;
    ExchangeHandler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<boost::beast::tcp_stream *> idle;
    std::size_t open = 0;
    bool accepting = true;
};

} // namespace parsleyvane
