/**
 * @file
 * @brief An upstream on loopback that answers at random, and a record of what it received and sent.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "platform/names.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <sys/socket.h>

namespace parsleyvane::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using FuzzClock = std::chrono::steady_clock;
using FuzzTime = FuzzClock::time_point;

/// @brief The reaction of a fuzzed upstream to one request.
enum class Reaction {
    Whole,
    Slow,
    InPieces,
    Refused,
    Misdirected,
    ServerError,
    Unsigned,
    BrokenBeforeHead,
    BrokenMidway,
    SilentBeforeHead,
    SilentMidway,
    LowConfidence,
    ForeignFirst,
    Garbage,
    ResetWithoutLength,
    RepeatedEvents,
    MissingEvent,
};

inline const char *reactionName(Reaction reaction)
{
    constexpr std::array names
        = {"whole",         "slow",         "in pieces",     "refused",         "misdirected",   "server error",
           "unsigned",      "broken early", "broken midway", "silent early",    "silent midway", "low confidence",
           "foreign first", "garbage",      "reset",         "repeated events", "missing event"};
    return names.at(static_cast<std::size_t>(reaction));
}

/// @brief A request that an upstream received, and what it sent.
struct ReceivedRequest
{
    std::string requestId;
    std::string upstream;
    ServiceName service;
    FuzzTime receivedAt;
    std::optional<FuzzTime> endedAt; ///< when the upstream stopped to work on it
    std::string path;
    std::string body;
    std::string account;
    std::string model;
    std::string timeoutMs;
    bool carriesKey = false;
    Reaction reaction = Reaction::Whole;
    bool isRefused = false; ///< not run
    bool isBroken = false; ///< no complete, valid answer, by the fault of the upstream
    bool hasSentEvent = false;
    bool closesConnection = false; ///< after a complete answer, which announces it
    int status = 0;
    std::string signature;
    std::string answer; ///< the body; empty for a stream
};

/// @brief Draws a number from 0 to max.
inline std::uint64_t upTo(std::mt19937_64 &random, std::uint64_t max)
{
    return std::uniform_int_distribution<std::uint64_t>(0, max)(random);
}

/// @brief Draws true with the given chance of 100.
inline bool isDrawn(std::mt19937_64 &random, unsigned percent)
{
    return upTo(random, 99) < percent;
}

/// @brief An upstream that reacts at random. A path below /stream- asks for a stream, up to the event that the last
/// part of the path names.
class FuzzedUpstream
{
public:
    FuzzedUpstream(asio::io_context &context, std::string id, ServiceName service, std::mt19937_64 &random,
                   std::deque<ReceivedRequest> &record)
        : id(std::move(id))
        , service(std::move(service))
        , random(random)
        , record(record)
        , acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, FuzzedUpstream::accept(this), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    /// @brief Breaks off all answers.
    void restart()
    {
        ++this->generation;
    }

    std::string id;
    ServiceName service;

private:
    using Socket = asio::ip::tcp::socket;

    static asio::awaitable<void> accept(FuzzedUpstream *self)
    {
        while (true) {
            auto socket = co_await self->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(self->acceptor.get_executor(), FuzzedUpstream::serve(self, std::move(socket)),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(FuzzedUpstream *self, Socket socket)
    {
        beast::flat_buffer buffer;
        while (true) {
            http::request_parser<http::string_body> parser;
            boost::system::error_code error;
            co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            ReceivedRequest &run = self->record.emplace_back();
            run.receivedAt = FuzzClock::now();
            self->readHead(parser.get(), run);
            const bool keepsConnection = co_await self->react(socket, parser.get(), run);
            run.endedAt = FuzzClock::now();
            if (!keepsConnection) {
                co_return;
            }
            if (isDrawn(self->random, 10)) {
                // A late extra answer to an earlier request.
                co_await self->write(socket, wholeAnswer("late-1", "sig", 200, "late"));
            }
        }
    }

    static beast::string_view name(std::string_view text)
    {
        return {text.data(), text.size()};
    }

    static std::string header(std::string_view name, const std::string &value)
    {
        return std::string(name) + ": " + value + "\r\n";
    }

    static std::string headers(const std::string &requestId, const std::string &signature)
    {
        return header(platform::requestIdHeader, requestId) + header(platform::signatureHeader, signature);
    }

    static std::string wholeAnswer(const std::string &requestId, const std::string &signature, int status,
                                   const std::string &body, const std::string &more = "")
    {
        return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + headers(requestId, signature) + more
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string chunk(const std::string &bytes)
    {
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        return size.data() + bytes + "\r\n";
    }

    static std::string closeHeader(const ReceivedRequest &run)
    {
        return run.closesConnection ? header("Connection", "close") : std::string();
    }

    static std::string eventText(const ReceivedRequest &run, std::uint64_t number)
    {
        return "id: " + std::to_string(number) + "\ndata: " + run.requestId + " " + run.signature + "\n\n";
    }

    void readHead(const http::request<http::string_body> &request, ReceivedRequest &run)
    {
        const auto value = [&](std::string_view header) {
            return std::string(request[name(header)]);
        };
        run.requestId = value(platform::requestIdHeader);
        run.upstream = this->id;
        run.service = this->service;
        run.path = std::string(request.target());
        run.body = request.body();
        run.account = value(platform::accountHeader);
        run.model = value(platform::modelHeader);
        run.timeoutMs = value(platform::timeoutHeader);
        run.carriesKey = request.count(name(platform::apiKeyHeader)) > 0;
        run.signature = this->id + "." + std::to_string(this->record.size());
        run.reaction = this->draw(run.path.starts_with("/stream-"));
        if (value(platform::upstreamHeader) != this->id) {
            run.reaction = Reaction::Misdirected;
        }
    }

    Reaction draw(bool isStream)
    {
        if (isDrawn(this->random, 45)) {
            return Reaction::Whole;
        }
        const auto last = isStream ? Reaction::MissingEvent : Reaction::ResetWithoutLength;
        auto drawn = static_cast<Reaction>(upTo(this->random, static_cast<std::uint64_t>(last)));
        const bool isRare = drawn == Reaction::Misdirected || drawn == Reaction::Garbage;
        return isRare && isDrawn(this->random, 70) ? Reaction::InPieces : drawn;
    }

    /// Returns whether the connection carries another request.
    asio::awaitable<bool> react(Socket &socket, const http::request<http::string_body> &request, ReceivedRequest &run)
    {
        const unsigned born = this->generation;
        switch (run.reaction) {
        case Reaction::Refused:
        case Reaction::Misdirected: {
            run.isRefused = true;
            run.status = run.reaction == Reaction::Refused ? 503 : 421;
            const std::string more = header(platform::notRunHeader, "1");
            co_return co_await this->write(socket, wholeAnswer(run.requestId, run.signature, run.status, "", more));
        }
        case Reaction::BrokenBeforeHead:
            run.isBroken = true;
            co_await this->pause(socket, this->shortPause(), born, run);
            this->breakOff(socket, run);
            co_return false;
        case Reaction::SilentBeforeHead:
            co_await this->pause(socket, silence, born, run);
            co_return false;
        case Reaction::Garbage:
            run.isBroken = true;
            co_await this->write(socket, "no answer in this protocol\r\n\r\n");
            co_return false;
        case Reaction::ServerError:
            run.isBroken = true;
            run.status = 500;
            run.answer = "failed " + run.requestId;
            co_return co_await this->write(socket, wholeAnswer(run.requestId, run.signature, 500, run.answer));
        case Reaction::ForeignFirst:
            co_await this->write(socket, wholeAnswer("foreign-1", "sig", 200, "foreign"));
            break;
        case Reaction::Slow:
            if (!co_await this->pause(socket, std::chrono::milliseconds(50 + upTo(this->random, 150)), born, run)) {
                co_return false;
            }
            break;
        default:
            if (!co_await this->pause(socket, this->shortPause(), born, run)) {
                co_return false;
            }
        }
        run.status = 200;
        run.closesConnection = isDrawn(this->random, 30);
        const bool isDelivered = run.path.starts_with("/stream-")
            ? co_await this->sendStream(socket, request, run, born)
            : co_await this->sendWhole(socket, run, born);
        co_return isDelivered &&isDrawn(this->random, 70);
    }

    asio::awaitable<bool> sendWhole(Socket &socket, ReceivedRequest &run, unsigned born)
    {
        run.answer = run.requestId + " " + run.signature + " " + std::string(upTo(this->random, 20000), 'x') + ".";
        std::string answer = wholeAnswer(run.requestId, run.signature, 200, run.answer, closeHeader(run));
        if (run.reaction == Reaction::Unsigned) {
            run.isBroken = true;
            answer = "HTTP/1.1 200 Any\r\n" + header(platform::requestIdHeader, run.requestId) + closeHeader(run)
                + "Content-Length: 2\r\n\r\nno";
        }
        if (run.reaction == Reaction::ResetWithoutLength) {
            answer = "HTTP/1.1 200 Any\r\n" + headers(run.requestId, run.signature) + "\r\n" + run.answer;
        }
        const std::size_t cut = answer.size() - upTo(this->random, run.answer.size());
        const bool isCut = run.reaction == Reaction::BrokenMidway || run.reaction == Reaction::SilentMidway
            || run.reaction == Reaction::ResetWithoutLength;
        if (!isCut && run.reaction != Reaction::InPieces) {
            co_return co_await this->write(socket, answer);
        }
        run.isBroken = isCut && run.reaction != Reaction::SilentMidway;
        if (!co_await this->write(socket, answer.substr(0, std::min(cut, answer.size() - 1)))) {
            co_return false;
        }
        if (!co_await this->pause(socket, this->shortPause(), born, run)) {
            co_return false;
        }
        if (!isCut) {
            co_return co_await this->write(socket, answer.substr(std::min(cut, answer.size() - 1)));
        }
        co_return co_await this->endMidway(socket, run, born);
    }

    asio::awaitable<bool> sendStream(Socket &socket, const http::request<http::string_body> &request,
                                     ReceivedRequest &run, unsigned born)
    {
        const std::string resumed(request[name(platform::lastEventHeader)]);
        const std::uint64_t first = resumed.empty() ? 1 : std::stoull(resumed) + 1;
        const std::uint64_t last = std::stoull(run.path.substr(run.path.rfind('/') + 1));
        const std::uint64_t odd = first + upTo(this->random, last >= first ? last - first : 0);
        const bool isUnsigned = run.reaction == Reaction::Unsigned;
        run.isBroken = isUnsigned;
        const int confidence = run.reaction == Reaction::LowConfidence ? 0 : 100;
        const std::string identity
            = isUnsigned ? header(platform::requestIdHeader, run.requestId) : headers(run.requestId, run.signature);
        const std::string head = "HTTP/1.1 200 Any\r\n" + identity + closeHeader(run)
            + header(platform::confidenceHeader, std::to_string(confidence))
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!co_await this->write(socket, head)) {
            co_return false;
        }
        const bool endsMidway = run.reaction == Reaction::BrokenMidway || run.reaction == Reaction::SilentMidway
            || run.reaction == Reaction::ResetWithoutLength;
        for (std::uint64_t number = first; number <= last; ++number) {
            const std::string event = eventText(run, number);
            // No page names the first id of a stream, so only a gap after another event is a fault.
            if (number == odd && number > 1 && run.reaction == Reaction::MissingEvent) {
                run.isBroken = true;
                continue;
            }
            if (number == odd && endsMidway) {
                co_await this->write(socket, chunk(event.substr(0, upTo(this->random, event.size() - 2) + 1)));
                co_return co_await this->endMidway(socket, run, born);
            }
            if (run.reaction == Reaction::InPieces) {
                const std::size_t cut = 1 + upTo(this->random, event.size() - 2);
                if (!co_await this->write(socket, chunk(event.substr(0, cut)))
                    || !co_await this->pause(socket, this->shortPause(), born, run)
                    || !co_await this->write(socket, chunk(event.substr(cut)))) {
                    co_return false;
                }
            } else if (!co_await this->write(socket, chunk(event))) {
                co_return false;
            }
            run.hasSentEvent = true;
            if (number == odd && run.reaction == Reaction::RepeatedEvents && number > 1) {
                co_await this->write(socket, chunk(eventText(run, number - 1) + event));
            }
            if (isDrawn(this->random, 50) && !co_await this->pause(socket, this->shortPause(), born, run)) {
                co_return false;
            }
        }
        if (endsMidway && last < first) {
            co_return co_await this->endMidway(socket, run, born);
        }
        if (run.isBroken && odd == last && !isUnsigned) {
            // Without a later event, the router can't tell that one is missing: the answer must not end as complete.
            this->breakOff(socket, run);
            co_return false;
        }
        co_return co_await this->write(socket, "0\r\n\r\n");
    }

    asio::awaitable<bool> endMidway(Socket &socket, ReceivedRequest &run, unsigned born)
    {
        if (run.reaction == Reaction::SilentMidway) {
            co_await this->pause(socket, silence, born, run);
            co_return false;
        }
        run.isBroken = true;
        this->breakOff(socket, run);
        co_return false;
    }

    std::chrono::milliseconds shortPause()
    {
        return std::chrono::milliseconds(upTo(this->random, 12));
    }

    static void reset(Socket &socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    /// An answer without a length is complete when its connection is closed, so that one is reset.
    void breakOff(Socket &socket, const ReceivedRequest &run)
    {
        boost::system::error_code ignored;
        if (run.reaction == Reaction::ResetWithoutLength || isDrawn(this->random, 50)) {
            reset(socket);
        } else {
            socket.close(ignored);
        }
    }

    asio::awaitable<bool> write(Socket &socket, std::string bytes)
    {
        boost::system::error_code error;
        const auto buffer = asio::buffer(bytes);
        co_await asio::async_write(socket, buffer, asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    /// Waits. Returns false when the router closed the connection or the upstream restarted, which breaks it off.
    asio::awaitable<bool> pause(Socket &socket, std::chrono::milliseconds duration, unsigned born, ReceivedRequest &run)
    {
        constexpr std::chrono::milliseconds step{4};
        const FuzzTime end = FuzzClock::now() + duration;
        asio::steady_timer timer(socket.get_executor());
        while (FuzzClock::now() < end) {
            timer.expires_at(std::min(end, FuzzClock::now() + step));
            co_await timer.async_wait(asio::use_awaitable);
            char byte = 0;
            const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
                co_return false;
            }
            if (born != this->generation) {
                run.isBroken = true;
                this->breakOff(socket, run);
                co_return false;
            }
        }
        co_return true;
    }

    static constexpr std::chrono::milliseconds silence{3000};

    std::mt19937_64 &random;
    std::deque<ReceivedRequest> &record;
    asio::ip::tcp::acceptor acceptor;
    unsigned generation = 0;
};

} // namespace parsleyvane::test
