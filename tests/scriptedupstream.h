/**
 * @file
 * @brief An upstream on loopback that sends scripted answers.
 */
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane::test {

namespace asio = boost::asio;

/// @brief The reaction of the upstream to one request.
struct ScriptedResponse
{
    std::string answer;
    bool closesConnection = true; ///< the connection closes after the answer
    bool staysSilent = false; ///< sends nothing after the answer until the client closes the connection
    std::function<void()> onSent; ///< called after the answer and the pause, in which the client reads the answer
    std::string rest; ///< sent after the pause
    std::chrono::milliseconds pause{20};
    std::function<std::string(unsigned)> nextPiece; ///< called for pieces that are sent until the client closes
    std::chrono::milliseconds pieceInterval{0};
    std::function<std::string(const std::string &request)> answerTo; ///< makes the answer, instead of the text
    std::optional<std::size_t> readBytes; ///< of the request; the rest is left unread, and the connection is reset
};

/// @brief An upstream that sends its scripted answers in order and repeats the last one.
class ScriptedUpstream
{
public:
    ScriptedUpstream(asio::io_context &context, std::string id)
        : id(std::move(id))
        , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, ScriptedUpstream::accept(this), asio::detached);
    }

    /// @brief Limits what the kernel receives on later connections before it is read.
    void limitReceiveBuffer(int bytes)
    {
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(bytes));
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    std::string id;
    std::deque<ScriptedResponse> scriptedResponses;
    std::vector<std::string> requests; ///< in order of arrival
    unsigned connections = 0;
    unsigned closedByClient = 0; ///< connections that the client closed or used again while the upstream stayed silent
    unsigned endlessOpen = 0; ///< connections on which pieces without end are being sent
    std::size_t endlessBytes = 0; ///< bytes of such pieces that were sent

private:
    static asio::awaitable<void> accept(ScriptedUpstream *self)
    {
        while (true) {
            auto socket = co_await self->acceptor.async_accept(asio::use_awaitable);
            ++self->connections;
            asio::co_spawn(self->acceptor.get_executor(), ScriptedUpstream::serve(self, std::move(socket)),
                           asio::detached);
        }
    }

    static std::size_t requestEnd(const std::string &bytes)
    {
        const std::size_t head = bytes.find("\r\n\r\n");
        if (head == std::string::npos) {
            return std::string::npos;
        }
        constexpr std::size_t maxDigits = 20;
        const std::size_t field = bytes.find("Content-Length: ");
        const std::size_t body = field < head ? std::stoul(bytes.substr(field + 16, maxDigits)) : 0;
        return head + 4 + body <= bytes.size() ? head + 4 + body : std::string::npos;
    }

    static asio::awaitable<void> serve(ScriptedUpstream *self, asio::ip::tcp::socket socket)
    {
        std::string bytes;
        std::vector<char> space(readBufferBytes);
        while (true) {
            const auto early = self->scriptedResponses.front().readBytes;
            while (requestEnd(bytes) == std::string::npos && (!early || bytes.size() < *early)) {
                boost::system::error_code error;
                const auto count = co_await socket.async_read_some(asio::buffer(space),
                                                                   asio::redirect_error(asio::use_awaitable, error));
                if (error) {
                    co_return;
                }
                bytes.append(space.data(), count);
            }
            const std::size_t end = std::min(requestEnd(bytes), bytes.size());
            self->requests.push_back(bytes.substr(0, end));
            bytes.erase(0, end);
            ScriptedResponse response = self->scriptedResponses.front();
            if (self->scriptedResponses.size() > 1) {
                self->scriptedResponses.pop_front();
            }
            if (response.answerTo) {
                response.answer = response.answerTo(self->requests.back());
            }
            boost::system::error_code error;
            const auto answer = asio::buffer(response.answer);
            co_await asio::async_write(socket, answer, asio::redirect_error(asio::use_awaitable, error));
            if (response.onSent || !response.rest.empty() || response.readBytes) {
                asio::steady_timer pause(socket.get_executor(), response.pause);
                co_await pause.async_wait(asio::use_awaitable);
            }
            if (response.onSent) {
                response.onSent();
            }
            if (!response.rest.empty()) {
                const auto rest = asio::buffer(response.rest);
                co_await asio::async_write(socket, rest, asio::redirect_error(asio::use_awaitable, error));
            }
            if (response.nextPiece) {
                // Otherwise the kernel takes megabytes that the client has not read.
                socket.set_option(asio::socket_base::send_buffer_size(maxUnreadBytes));
                ++self->endlessOpen;
                co_await ScriptedUpstream::sendPieces(self, &socket, &response);
                --self->endlessOpen;
                co_return;
            }
            if (response.readBytes) {
                // The destructor would not reset the connection.
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
                co_return;
            }
            if (response.staysSilent) {
                co_await socket.async_read_some(asio::buffer(space), asio::redirect_error(asio::use_awaitable, error));
                ++self->closedByClient;
                co_return;
            }
            if (response.closesConnection) {
                co_return;
            }
        }
    }

    /// Sends pieces until the client closes the connection; after maxEndlessBytes, only waits for that.
    static asio::awaitable<void> sendPieces(ScriptedUpstream *self, asio::ip::tcp::socket *socket,
                                            const ScriptedResponse *response)
    {
        boost::system::error_code error;
        std::size_t sent = 0;
        for (unsigned number = 0; !error && sent < maxEndlessBytes; ++number) {
            const std::string piece = response->nextPiece(number);
            const auto bytes = asio::buffer(piece);
            const auto count
                = co_await asio::async_write(*socket, bytes, asio::redirect_error(asio::use_awaitable, error));
            sent += count;
            self->endlessBytes += count;
            asio::steady_timer pause(socket->get_executor(), response->pieceInterval);
            co_await pause.async_wait(asio::use_awaitable);
        }
        std::array<char, 4096> space{};
        while (!error) {
            co_await socket->async_read_some(asio::buffer(space), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    static constexpr int maxUnreadBytes = 65536;
    static constexpr std::size_t readBufferBytes = 65536;
    static constexpr std::size_t maxEndlessBytes = 64U << 20U; ///< protects the machine from a client without bounds
    asio::ip::tcp::acceptor acceptor;
};

} // namespace parsleyvane::test
