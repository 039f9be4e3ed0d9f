/**
 * @file
 * @brief The HTTP server and command line shared by the stand-ins.
 */
#pragma once

#include "faults.h"

#include <absl/flags/declare.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

ABSL_DECLARE_FLAG(std::string, name);
ABSL_DECLARE_FLAG(std::string, zone);
ABSL_DECLARE_FLAG(std::string, record);

namespace parsleyvane::standins {

/// @brief A request with its complete body.
using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A complete response.
struct Reply
{
    unsigned status = 200;
    std::string body = "{}";
    std::optional<int> retryAfterSeconds;
    std::string contentType = "application/json";
};

/// @brief A reply with a JSON body.
Reply jsonReply(unsigned status, const Json &body);
/// @brief A 404 reply, for a path that the stand-in does not serve.
Reply unknownPath();
/// @brief Sets the faults in the request body; replies 400 when one is unknown.
Reply faultsReply(const Request &request, const std::map<std::string, FaultField> &fields);

/**
 * @brief A client's connection.
 *
 * A failed write closes it; later writes have no effect.
 */
class Connection
{
public:
    // constructors
    explicit Connection(boost::asio::ip::tcp::socket socket);

    // observers
    bool isOpen() const;
    /// @brief Whether the client closed its end or reset the connection.
    bool peerClosed();

    // modifiers
    /// @brief Reads the next request; nothing when the connection ends or the read fails.
    boost::asio::awaitable<std::optional<Request>> read();
    boost::asio::awaitable<void> send(Reply reply);
    /// @brief Sends the response head of a stream of server-sent events.
    boost::asio::awaitable<void> beginEvents();
    /// @brief Sends `data: PAYLOAD` as one event in its own chunk.
    boost::asio::awaitable<void> sendEvent(std::string payload);
    /// @brief Sends the last chunk, which completes the body.
    boost::asio::awaitable<void> endEvents();
    /// @brief Sends bytes without framing.
    boost::asio::awaitable<void> sendBytes(std::string bytes);
    /// @brief Sends nothing until the client closes the connection, then closes it.
    boost::asio::awaitable<void> holdSilent();
    void close();
    /// @brief Closes with a TCP reset.
    void reset();

private:
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    bool keepAlive = true;
};

/// @brief Handles one request on its connection.
using Handler = std::function<boost::asio::awaitable<void>(Connection &, const Request &)>;

/// @brief Suspends the calling coroutine for `duration`, on its own executor.
boost::asio::awaitable<void> waitFor(std::chrono::milliseconds duration);

/// @brief Parses the flags; `usage` is the help text.
void parseCommandLine(int argc, char **argv, const std::string &usage);

/**
 * @brief Listens on the address of the `listen` flag and serves until SIGTERM or SIGINT.
 * @param program the program name in the line printed once it listens
 * @return the exit code
 */
int runServer(const std::string &program, const Handler &handler);

} // namespace parsleyvane::standins
