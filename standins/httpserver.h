/**
 * @file
 * @brief The HTTP server and the command line that the stand-ins share.
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

/// @brief A request with its whole body.
using Request = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A whole answer.
struct Reply
{
    unsigned status = 200;
    std::string body = "{}";
    std::optional<int> retryAfterSeconds;
    std::string contentType = "application/json";
};

/// @brief A reply with a JSON body.
Reply jsonReply(unsigned status, const Json &body);
/// @brief 404, for a path that the stand-in does not have.
Reply unknownPath();
/// @brief Sets faults and answers; 400 for an unknown one.
Reply faultsReply(const Request &request, const std::map<std::string, FaultField> &fields);

/**
 * @brief A caller's connection.
 *
 * A failed write closes it; further writes then do nothing.
 */
class Connection
{
public:
    // constructors
    explicit Connection(boost::asio::ip::tcp::socket socket);

    // observers
    bool isOpen() const;
    /// @brief Whether the caller closed its end or reset the connection.
    bool peerClosed();

    // modifiers
    /// @brief Reads the next request; nothing at the connection's end.
    boost::asio::awaitable<std::optional<Request>> read();
    boost::asio::awaitable<void> send(Reply reply);
    /// @brief Sends the head of a stream of server-sent events.
    boost::asio::awaitable<void> beginEvents();
    /// @brief Sends `data: PAYLOAD` as an event.
    boost::asio::awaitable<void> sendEvent(std::string payload);
    /// @brief Ends the chunked body properly.
    boost::asio::awaitable<void> endEvents();
    /// @brief Sends bytes as they are.
    boost::asio::awaitable<void> sendBytes(std::string bytes);
    /// @brief Sends nothing more and waits until the caller closes.
    boost::asio::awaitable<void> holdSilent();
    void close();
    /// @brief Closes with a TCP reset.
    void reset();

private:
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    bool keepAlive = true;
};

/// @brief Answers one request on its connection.
using Handler = std::function<boost::asio::awaitable<void>(Connection &, const Request &)>;

/// @brief Waits on the executor of the calling coroutine.
boost::asio::awaitable<void> waitFor(std::chrono::milliseconds duration);

/// @brief Reads the command line.
void parseCommandLine(int argc, char **argv, const std::string &usage);

/**
 * @brief Listens as the flags say and serves until SIGTERM or SIGINT.
 * @param program the name in the line printed when listening
 * @return the exit code
 */
int runServer(const std::string &program, const Handler &handler);

} // namespace parsleyvane::standins
