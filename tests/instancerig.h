/**
 * @file
 * @brief A whole ingress instance in a thread of its own, before a store with prepared tables.
 */
#pragma once

#include "forwardrig.h"

#include "parsleyvane/forward/ingressinstance.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <thread>
#include <unistd.h>

namespace parsleyvane::test {

inline constexpr Milliseconds testBound{20000};

/// @brief A store with prepared tables, whose later reads and writes stay unanswered.
class UnansweringPlatform : public platform::Platform
{
public:
    UnansweringPlatform(asio::io_context &context, std::shared_ptr<const RouteTable> table,
                        std::vector<UpstreamEntry> upstreams, std::atomic<unsigned> &waitingReads,
                        std::atomic<unsigned> &waitingWrites)
        : Platform(context.get_executor(), asio::ip::tcp::endpoint())
        , context(context)
        , table(std::move(table))
        , upstreams(std::move(upstreams))
        , waitingReads(waitingReads)
        , waitingWrites(waitingWrites)
    {
    }

    asio::awaitable<std::optional<TableSnapshot>> readTable(StoreTable read, LastReason &) override
    {
        TableSnapshot snapshot{.version = 1};
        if (read == StoreTable::Orders) {
            snapshot.rows.push_back({.key = this->rowKey(read, "table"), .version = 1});
        }
        if (read == StoreTable::Upstreams) {
            for (const UpstreamEntry &upstream : this->upstreams) {
                snapshot.rows.push_back(
                    {.key = this->rowKey(read, upstream.id.str()), .version = 1, .value = upstream.id.str()});
            }
        }
        co_return snapshot;
    }

    asio::awaitable<ChangesOutcome> readChanges(StoreTable, std::uint64_t, Milliseconds) override
    {
        ++this->waitingReads;
        co_await this->neverAnswer();
        co_return TableSnapshot();
    }

    std::uint64_t storeEra() const override
    {
        return 0;
    }

    void interruptRead(StoreTable) override
    {
    }

    asio::awaitable<TransactionOutcome> transact(Transaction) override
    {
        ++this->waitingWrites;
        co_await this->neverAnswer();
        co_return TransactionCommitted();
    }

    std::optional<OperatorOrder> readOrder(const TableRow &, LastReason &) const override
    {
        return this->table;
    }

    std::optional<UpstreamEntry> readUpstream(const TableRow &row, LastReason &reason) const override
    {
        for (const UpstreamEntry &upstream : this->upstreams) {
            if (upstream.id.str() == row.value) {
                return upstream;
            }
        }
        return reason.fail({.id = ErrorId::BadPeerData});
    }

private:
    asio::awaitable<void> neverAnswer()
    {
        asio::steady_timer timer(this->context, testBound);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context &context;
    std::shared_ptr<const RouteTable> table;
    std::vector<UpstreamEntry> upstreams;
    std::atomic<unsigned> &waitingReads;
    std::atomic<unsigned> &waitingWrites;
};

/// @brief A client's connection that stays open until the other side closes it.
struct Client
{
    std::string bytes;
    std::string answer;
    bool ended = false;
};

inline asio::awaitable<void> runClient(asio::ip::tcp::endpoint endpoint, std::shared_ptr<Client> client)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    boost::system::error_code error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    const auto buffer = asio::buffer(client->bytes);
    co_await asio::async_write(socket, buffer, asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 4096> space{};
    while (!error) {
        const auto count
            = co_await socket.async_read_some(asio::buffer(space), asio::redirect_error(asio::use_awaitable, error));
        client->answer.append(space.data(), count);
    }
    client->ended = true;
}

/// @brief An ingress instance in a thread of its own; upstreams and clients run in the test's thread.
class InstanceRig
{
public:
    /// @param grace from the request to stop to the end of the process
    /// @param timeout of all routes
    /// @param isRelay whether other instances may ask this one for rows of the store
    explicit InstanceRig(Milliseconds grace = Milliseconds(0), Milliseconds timeout = testBound, bool isRelay = false)
        : timeout(timeout)
    {
        this->addUpstream("stream", {.answer = streamHead() + chunkedEvent(1), .staysSilent = true});
        this->addUpstream("silent", {.answer = "", .staysSilent = true});
        this->addUpstream("broken", {.answer = ""});
        this->addUpstream("slow",
                          {.closesConnection = false,
                           .rest = upstreamAnswer(200, "ok"),
                           .pause = std::chrono::milliseconds(timeout / 2)});
        this->callers = this->freeEndpoint();
        this->operators = this->freeEndpoint();
        this->settings.id = InstanceId("one");
        this->settings.zone = ZoneId("a");
        this->settings.front = FrontKind::Ingress;
        this->settings.listen.callers = InstanceRig::text(this->callers);
        this->settings.listen.operators = InstanceRig::text(this->operators);
        if (isRelay) {
            this->peers = this->freeEndpoint();
            this->settings.listen.peers = InstanceRig::text(*this->peers);
        }
        this->settings.bounds.grace = grace;
        this->instance = std::make_unique<IngressInstance>(
            this->settings,
            [this](asio::io_context &context) {
                return std::make_unique<UnansweringPlatform>(context, this->table, this->entries, this->waitingReads,
                                                             this->waitingWrites);
            },
            [this]() { return this->settings; });
    }

    ~InstanceRig()
    {
        if (this->thread.joinable()) {
            ::kill(::getpid(), SIGTERM);
            this->thread.join();
        }
        this->instance.reset();
    }

    /// @brief Runs the instance, and destroys it as soon as it has stopped.
    void start()
    {
        LastReason reason;
        const bool isStarted = this->instance->start(reason);
        CPPUNIT_ASSERT_MESSAGE(describe(reason.failure()), isStarted);
        this->thread = std::thread([this]() {
            this->instance->run();
            this->hasStopped = true;
            const auto stoppedAt = std::chrono::steady_clock::now();
            this->instance.reset();
            this->destructionTime
                = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
        });
        CPPUNIT_ASSERT(this->runUntil([this]() { return this->isReady(); }));
    }

    void stop()
    {
        this->requestStop();
        this->awaitEnd();
    }

    /// @brief Waits until the instance has ended and its connections are closed. @pre requestStop() was called
    void awaitEnd()
    {
        this->thread.join();
        this->runUntil([this]() { return this->haveAllEnded(); });
    }

    /// @brief Begins the planned stop; awaitEnd() waits for its end.
    void requestStop()
    {
        ::kill(::getpid(), SIGTERM);
    }

    std::shared_ptr<Client> send(const std::string &bytes)
    {
        return this->send(this->callers, bytes);
    }

    std::shared_ptr<Client> send(const asio::ip::tcp::endpoint &endpoint, const std::string &bytes)
    {
        auto client = this->clients.emplace_back(std::make_shared<Client>(Client{.bytes = bytes}));
        asio::co_spawn(this->io, runClient(endpoint, client), asio::detached);
        return client;
    }

    /// @brief Where the instance reads requests: of callers, operators and other instances.
    std::vector<asio::ip::tcp::endpoint> listeners() const
    {
        std::vector<asio::ip::tcp::endpoint> endpoints = {this->callers, this->operators};
        if (this->peers) {
            endpoints.push_back(*this->peers);
        }
        return endpoints;
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testBound;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    bool haveAllEnded() const
    {
        return std::all_of(this->clients.begin(), this->clients.end(),
                           [](const std::shared_ptr<Client> &client) { return client->ended; });
    }

    ScriptedUpstream &upstream(const std::string &name)
    {
        return *this->upstreams.at(name);
    }

    const Milliseconds timeout;
    asio::io_context io;
    asio::ip::tcp::endpoint callers;
    std::unique_ptr<IngressInstance> instance;
    std::optional<Milliseconds> destructionTime;
    std::atomic<bool> hasStopped = false;
    std::atomic<unsigned> waitingReads = 0;
    std::atomic<unsigned> waitingWrites = 0;

private:
    static std::string text(const asio::ip::tcp::endpoint &endpoint)
    {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    asio::ip::tcp::endpoint freeEndpoint()
    {
        // The instance does not report its ports. A socket that is bound but does not listen keeps others off the port.
        auto &reserved = this->reservedPorts.emplace_back(this->io, asio::ip::tcp::v4());
        reserved.set_option(asio::socket_base::reuse_address(true));
        reserved.bind({asio::ip::make_address("127.0.0.1"), 0});
        return reserved.local_endpoint();
    }

    /// Adds a service with one upstream, and a route below /NAME/.
    void addUpstream(const std::string &name, ScriptedResponse response)
    {
        auto &added = this->upstreams[name];
        added = std::make_unique<ScriptedUpstream>(this->io, name);
        added->scriptedResponses = {std::move(response)};
        this->entries.push_back({.id = UpstreamId(name),
                                 .service = ServiceName(name),
                                 .address = added->address(),
                                 .zone = ZoneId("a"),
                                 .version = VersionName("v1"),
                                 .slots = 100});
        this->table->addRoute({.name = RouteName(name),
                               .host = "h",
                               .prefix = "/" + name + "/",
                               .repeat = Repeatability::Once,
                               .streams = name == "stream",
                               .timeout = this->timeout,
                               .objective = this->timeout,
                               .interEventObjective = this->timeout,
                               .maxAttempts = 1,
                               .isPublic = true,
                               .services = {{ServiceName(name), 1}}});
    }

    bool isReady()
    {
        const auto probe = this->send(this->operators, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        this->runUntil([&]() { return probe->ended; });
        return probe->answer.starts_with("HTTP/1.1 200");
    }

    std::map<std::string, std::unique_ptr<ScriptedUpstream>> upstreams;
    std::vector<UpstreamEntry> entries;
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>(Revision(1));
    asio::ip::tcp::endpoint operators;
    std::optional<asio::ip::tcp::endpoint> peers;
    std::vector<asio::ip::tcp::socket> reservedPorts;
    InstanceSettings settings;
    std::vector<std::shared_ptr<Client>> clients;
    std::thread thread;
};

} // namespace parsleyvane::test
