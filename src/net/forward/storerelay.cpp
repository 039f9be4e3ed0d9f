#include "parsleyvane/forward/storerelay.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/httpstatus.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

const std::string relayPath = "/relay";
const std::string jsonType = "application/json";
/// Interval at which an instance that reads for itself checks whether there is a reader to ask.
constexpr Milliseconds readerCheckInterval{2000};

ServerLimits relayLimits()
{
    constexpr std::size_t maxConnections = 1024;
    constexpr std::uint64_t maxBody = 262144;
    constexpr Milliseconds idleTimeout{30000};
    return {.bodyBytes = maxBody, .connections = maxConnections, .idleTimeout = idleTimeout};
}

} // namespace

StoreRelay::StoreRelay(ForwardContext &context, const InstanceId &self, RelayKnowledge &knowledge)
    : context(context)
    , knowledge(knowledge)
    , choice(self)
    , server(context.io, relayLimits(), [this](Exchange &exchange) { return this->handle(exchange); })
    , readerCheck(context.io)
{
}

bool StoreRelay::listen(const asio::ip::tcp::endpoint &endpoint, LastReason &reason)
{
    return this->server.listen(endpoint, reason);
}

void StoreRelay::start()
{
    asio::co_spawn(this->context.io, this->askLoop(), asio::detached);
}

void StoreRelay::setMembers(std::vector<PeerMember> members)
{
    this->choice.setMembers(std::move(members));
    this->readerCheck.cancel();
}

void StoreRelay::setAge(Milliseconds newAge)
{
    this->age = newAge;
}

void StoreRelay::notify()
{
    for (asio::steady_timer *timer : this->waiting) {
        timer->cancel();
    }
}

void StoreRelay::leave()
{
    this->isLeaving = true;
    this->notify();
}

bool StoreRelay::isAsked(TimePoint now) const
{
    constexpr int askedFactor = 3;
    return this->askedAt && now - *this->askedAt < askedFactor * this->age;
}

bool StoreRelay::isReader(TimePoint now) const
{
    return !this->choice.reader(now);
}

asio::awaitable<void> StoreRelay::handle(Exchange &exchange)
{
    LastReason reason;
    const auto poll = parseRelayPoll(exchange.request().body(), reason);
    if (exchange.request().target() != relayPath || !poll) {
        this->context.metrics.countEvent("relay_poll_malformed");
        co_await exchange.respond(statusBadRequest, jsonType, "{}");
        co_return;
    }
    this->askedAt = bootClockNow();
    this->knowledge.onAsked();
    this->knowledge.onLoad(*poll);
    if (!poll->report.empty()) {
        this->knowledge.onReport(poll->from, poll->report);
    }
    if (!this->isLeaving && !this->knowledge.hasNews(*poll)) {
        asio::steady_timer timer(this->context.io, this->age);
        boost::system::error_code cancelled;
        this->waiting.insert(&timer);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        this->waiting.erase(&timer);
    }
    RelayOffer offer = this->knowledge.makeOffer(*poll);
    offer.isLeaving = this->isLeaving;
    offer.members = this->members();
    co_await exchange.respond(statusOk, jsonType, serialise(offer));
}

asio::awaitable<void> StoreRelay::askLoop()
{
    while (true) {
        const auto reader = this->choice.reader(bootClockNow());
        if (!reader) {
            this->connection.reset();
            this->askedReader = InstanceId();
            boost::system::error_code cancelled;
            this->readerCheck.expires_after(readerCheckInterval);
            co_await this->readerCheck.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
            continue;
        }
        if (co_await this->ask(*reader)) {
            this->choice.onAnswered(reader->id);
            continue;
        }
        this->choice.onFailed(reader->id, bootClockNow());
        this->connection.reset();
    }
}

asio::awaitable<bool> StoreRelay::ask(const PeerMember &reader)
{
    if (reader.id != this->askedReader) {
        this->context.log.line("relay_reader",
                               {{"reader", reader.id.str()}, {"members", static_cast<std::int64_t>(this->members())}});
        this->askedReader = reader.id;
        this->connection.reset();
    }
    const RelayPoll poll = this->knowledge.makePoll();
    const TimePoint startedAt = bootClockNow();
    LastReason reason;
    const auto response = co_await this->call(reader, poll, reason);
    std::optional<RelayOffer> offer;
    if (response && response->result_int() == statusOk) {
        offer = parseRelayOffer(response->body(), reason);
    }
    const bool isUseful = offer && this->knowledge.applyOffer(reader.id, poll, *offer) && !offer->isLeaving;
    if (!isUseful) {
        this->context.metrics.countEvent("relay_failed");
        this->context.log.line("relay_failed",
                               {{"reader", reader.id.str()},
                                {"detail", offer ? std::string("too old, or leaving") : reason.failure().detail},
                                {"era", static_cast<std::int64_t>(offer ? offer->era : 0)},
                                {"confirmed", offer ? offer->confirmed.count() : 0},
                                {"ms", (bootClockNow() - startedAt).count()}});
    }
    co_return isUseful;
}

asio::awaitable<std::optional<HttpResponse>> StoreRelay::call(const PeerMember &reader, const RelayPoll &poll,
                                                              LastReason &reason)
{
    constexpr int connectDivisor = 2;
    constexpr int answerFactor = 2;
    if (this->connection && !(this->connection->reusable() && this->connection->isOpen())) {
        this->connection.reset();
    }
    if (!this->connection) {
        const auto endpoint = parseEndpoint(reader.address, reason);
        if (!endpoint) {
            co_return std::nullopt;
        }
        const CallLimits limits{.connect = this->age / connectDivisor, .acknowledgementTimeout = this->age};
        this->connection
            = std::make_unique<HttpCall>(this->context.io.get_executor(), reader.id.str(), *endpoint, limits);
        if (!co_await this->connection->connect(reason)) {
            co_return std::nullopt;
        }
    }
    HttpRequest request = makeRequest(http::verb::post, relayPath, serialise(poll));
    request.keep_alive(true);
    this->connection->setTotalLimit(this->age * answerFactor);
    if (!co_await this->connection->send(request, reason)) {
        co_return std::nullopt;
    }
    co_return co_await this->connection->readWhole(reason);
}

} // namespace parsleyvane
