/**
 * @file
 * @brief An upstream on loopback that answers by script.
 */
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <string>

namespace parsleyvane::test {

namespace asio = boost::asio;

/// @brief What an upstream does with one request.
struct ScriptedResponse
{
    std::string answer;
    bool closes = true; ///< the connection ends after the answer
    bool waits = false; ///< it then keeps silent until the other side closes
};

/// @brief An upstream that plays its acts in turn, the last one again and again.
class ScriptedUpstream
{
public:
    ScriptedUpstream(asio::io_context &context, std::string id)
        : id(std::move(id))
        , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, ScriptedUpstream::accept(this), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    std::string id;
    std::deque<ScriptedResponse> scriptedResponses;
    std::vector<std::string> requests; ///< as they came
    unsigned connections = 0;
    unsigned closedByClient = 0; ///< while it kept silent

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
        const std::size_t field = bytes.find("Content-Length: ");
        const std::size_t body = field < head ? std::stoul(bytes.substr(field + 16)) : 0;
        return head + 4 + body <= bytes.size() ? head + 4 + body : std::string::npos;
    }

    static asio::awaitable<void> serve(ScriptedUpstream *self, asio::ip::tcp::socket socket)
    {
        std::string bytes;
        std::array<char, 4096> space{};
        while (true) {
            while (requestEnd(bytes) == std::string::npos) {
                boost::system::error_code error;
                const auto count = co_await socket.async_read_some(asio::buffer(space),
                                                                   asio::redirect_error(asio::use_awaitable, error));
                if (error) {
                    co_return;
                }
                bytes.append(space.data(), count);
            }
            self->requests.push_back(bytes.substr(0, requestEnd(bytes)));
            bytes.erase(0, requestEnd(bytes));
            const ScriptedResponse act = self->scriptedResponses.front();
            if (self->scriptedResponses.size() > 1) {
                self->scriptedResponses.pop_front();
            }
            boost::system::error_code error;
            const auto answer = asio::buffer(act.answer);
            co_await asio::async_write(socket, answer, asio::redirect_error(asio::use_awaitable, error));
            if (act.waits) {
                co_await socket.async_read_some(asio::buffer(space), asio::redirect_error(asio::use_awaitable, error));
                ++self->closedByClient;
                co_return;
            }
            if (act.closes) {
                co_return;
            }
        }
    }

    asio::ip::tcp::acceptor acceptor;
};

} // namespace parsleyvane::test
