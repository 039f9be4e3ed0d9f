/**
 * @file
 * @brief Instances that synchronise with an in-memory store, whose faults the tests switch on.
 */
#pragma once

#include "parsleyvane/core/clock.h"
#include "parsleyvane/forward/fleetsync.h"

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleyvane::test {

namespace asio = boost::asio;

/// @brief An in-memory store. Rows hold short texts such as "v2" or "1", which the tests write directly.
class FakePlatform : public PlatformPort
{
public:
    explicit FakePlatform(asio::io_context &context)
        : context(context)
    {
    }

    struct Change
    {
        StoreTable table;
        TableRow row;
        bool removed = false;
    };

    asio::io_context &context;
    std::vector<Change> history;
    std::map<std::string, TableRow> rows;
    std::uint64_t version = 0;
    bool isUnreachable = false; ///< calls fail at once
    bool isSilent = false; ///< calls, also those in flight, are never answered
    std::set<StoreTable> unreachableTables; ///< their reads fail at once
    bool isHistoryLost = false;
    unsigned fullReads = 0;
    unsigned changeReads = 0;
    unsigned writes = 0;
    std::uint64_t era = 1;
    std::uint64_t namedEra = 0; ///< in the latest answer
    std::map<StoreTable, unsigned> interrupts; ///< calls of interruptRead()
    const std::map<StoreTable, unsigned> *callersInterrupts = nullptr; ///< of the instance whose read begins next
    std::function<void(const Transaction &)> onTransact; ///< before a transaction is sent

    /// Rows, history and version as of one moment.
    struct Copy
    {
        std::vector<Change> history;
        std::map<std::string, TableRow> rows;
        std::uint64_t version = 0;
    };

    Copy copy() const
    {
        return {this->history, this->rows, this->version};
    }

    /// Versions go back, and the era rises.
    void restore(const Copy &copy)
    {
        this->history = copy.history;
        this->rows = copy.rows;
        this->version = copy.version;
        ++this->era;
    }

    void put(StoreTable table, const std::string &name, const std::string &value)
    {
        TableRow row{this->rowKey(table, name), ++this->version, value};
        this->rows[row.key] = row;
        this->history.push_back({table, row});
    }

    void remove(StoreTable table, const std::string &name)
    {
        TableRow row{this->rowKey(table, name), ++this->version, {}};
        this->rows.erase(row.key);
        this->history.push_back({table, row, true});
    }

    asio::awaitable<std::optional<TableSnapshot>> readTable(StoreTable table, LastReason &reason) override
    {
        ++this->fullReads;
        if (!co_await this->waitWhile(table, Milliseconds(0), []() { return false; })) {
            co_return reason.fail({.id = ErrorId::StoreUnavailable});
        }
        TableSnapshot snapshot{.version = this->version, .storeTime = now(), .era = this->era};
        for (const auto &[key, row] : this->rows) {
            if (key.starts_with(this->rowKey(table, ""))) {
                snapshot.rows.push_back(row);
            }
        }
        co_return snapshot;
    }

    /// Parts are not kept apart: the members of all tests are of one zone.
    asio::awaitable<std::optional<TableSnapshot>> readPart(StoreTable table, std::string, LastReason &reason) override
    {
        co_return co_await this->readTable(table, reason);
    }

    asio::awaitable<ChangesOutcome> readChanges(StoreTable table, std::uint64_t after, Milliseconds wait) override
    {
        ++this->changeReads;
        const auto isQuiet = [this, table, after]() {
            return !this->isHistoryLost
                && std::none_of(this->history.begin(), this->history.end(), [&](const Change &change) {
                       return change.table == table && change.row.version > after;
                   });
        };
        if (!co_await this->waitWhile(table, wait, isQuiet)) {
            co_return Failure{.id = ErrorId::StoreUnavailable};
        }
        if (this->isHistoryLost) {
            co_return HistoryLost{};
        }
        if (after > this->version) {
            co_return HistoryLost{};
        }
        TableSnapshot snapshot{.version = this->version, .storeTime = now(), .era = this->era};
        for (const Change &change : this->history) {
            if (change.table != table || change.row.version <= after) {
                continue;
            }
            if (change.removed) {
                snapshot.removed.push_back(change.row.key);
            } else {
                snapshot.rows.push_back(change.row);
            }
        }
        co_return snapshot;
    }

    void interruptRead(StoreTable table) override
    {
        ++this->interrupts[table];
    }

    asio::awaitable<TransactionOutcome> transact(Transaction transaction) override
    {
        if (this->onTransact) {
            this->onTransact(transaction);
        }
        co_await this->simulateLatency();
        if (this->isUnreachable) {
            co_return TransactionNotSent{{.id = ErrorId::StoreUnavailable}};
        }
        ++this->writes;
        this->namedEra = this->era;
        for (const Transaction::Check &check : transaction.checks) {
            const auto found = this->rows.find(check.key);
            const std::uint64_t current = found != this->rows.end() ? found->second.version : 0;
            if (current != check.version) {
                TransactionConflict conflict;
                if (found != this->rows.end()) {
                    conflict.rows.push_back(found->second);
                }
                co_return conflict;
            }
        }
        for (const Transaction::Put &put : transaction.puts) {
            this->put(this->tableOf(put.key), rowName(put.key), put.value);
        }
        for (const std::string &key : transaction.removals) {
            this->remove(this->tableOf(key), rowName(key));
        }
        co_return TransactionCommitted{};
    }

    std::uint64_t storeEra() const override
    {
        return this->namedEra;
    }

    std::string rowKey(StoreTable table, const std::string &name) const override
    {
        const std::map<StoreTable, std::string> names = {{StoreTable::Orders, "orders"},
                                                         {StoreTable::Upstreams, "upstreams"},
                                                         {StoreTable::Status, "status"},
                                                         {StoreTable::Fleet, "fleet"},
                                                         {StoreTable::Members, "members"}};
        return names.at(table) + "/" + name;
    }

    std::optional<OperatorOrder> readOrder(const TableRow &row, LastReason &reason) const override
    {
        if (row.key == "orders/config") {
            return std::make_shared<RouteTable>(Revision(std::stoul(row.value)));
        }
        if (row.key == "orders/rollout") {
            return RolloutOrder{ServiceName("s"), VersionName(row.value), Milliseconds(1000), row.version};
        }
        if (auto zone = this->readEvacuatedZone(row.key)) {
            return EvacuationOrder{std::move(*zone)};
        }
        return reason.fail({.id = ErrorId::InvalidConfiguration});
    }

    std::optional<ZoneId> readEvacuatedZone(const std::string &rowKey) const override
    {
        const std::string prefix = "orders/evacuate/";
        return rowKey.starts_with(prefix) ? std::optional(ZoneId(rowKey.substr(prefix.size()))) : std::nullopt;
    }

    std::optional<UpstreamEntry> readUpstream(const TableRow &row, LastReason &reason) const override
    {
        if (row.value.empty()) {
            return reason.fail({.id = ErrorId::BadPeerData});
        }
        return UpstreamEntry{.id = UpstreamId(row.key.substr(row.key.find('/') + 1)),
                             .service = ServiceName("s"),
                             .version = VersionName(row.value),
                             .draining = row.value == "draining"};
    }

    std::optional<RolloutStatus> readStatus(const TableRow &row, LastReason &) const override
    {
        const std::size_t at = row.value.find(' ');
        return RolloutStatus{.service = ServiceName("s"),
                             .to = VersionName("v2"),
                             .state = static_cast<RolloutState>(std::stoi(row.value)),
                             .order = std::stoul(row.value.substr(at)),
                             .startedAt = now()};
    }

    std::pair<std::string, std::string> writeStatus(const RolloutStatus &status) const override
    {
        return {"s", std::to_string(static_cast<int>(status.state)) + " " + std::to_string(status.order)};
    }

    std::optional<RequestFacts> readRequest(const HttpRequest &, LastReason &) const override
    {
        return std::nullopt;
    }

    HttpHeader notRunHeader() const override
    {
        return {};
    }

    HttpRequest makeUpstreamRequest(const HttpRequest &received, const DispatchFacts &) const override
    {
        return received;
    }

    AnswerHead readAnswer(const boost::beast::http::response_header<> &) const override
    {
        return {};
    }

    static Milliseconds now()
    {
        return bootClockNow().time_since_epoch();
    }

private:
    StoreTable tableOf(const std::string &key) const
    {
        for (const StoreTable table : {StoreTable::Status, StoreTable::Members}) {
            if (key.starts_with(this->rowKey(table, ""))) {
                return table;
            }
        }
        return StoreTable::Fleet;
    }

    static constexpr Milliseconds latency{5};
    static constexpr Milliseconds answerMargin{700}; ///< after its wait, a read without an answer fails

    asio::awaitable<void> simulateLatency()
    {
        asio::steady_timer timer(this->context, latency);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /// Waits for the answer to a read. @return false when the read fails, is interrupted or never answered
    asio::awaitable<bool> waitWhile(StoreTable table, Milliseconds wait, std::function<bool()> isQuiet)
    {
        const auto *interruptsOfCaller = std::exchange(this->callersInterrupts, nullptr);
        if (interruptsOfCaller == nullptr) {
            interruptsOfCaller = &this->interrupts;
        }
        const auto interruptCount = [&]() {
            const auto found = interruptsOfCaller->find(table);
            return found != interruptsOfCaller->end() ? found->second : 0;
        };
        const unsigned interruptsBefore = interruptCount();
        bool isAnswerLost = false;
        Milliseconds waited{0};
        while (true) {
            co_await this->simulateLatency();
            waited += latency;
            isAnswerLost = isAnswerLost || this->isSilent;
            if (this->isUnreachable || this->unreachableTables.contains(table)
                || interruptCount() != interruptsBefore) {
                co_return false;
            }
            if (isAnswerLost ? waited >= wait + answerMargin : waited >= wait || !isQuiet()) {
                this->namedEra = isAnswerLost ? this->namedEra : this->era;
                co_return !isAnswerLost;
            }
        }
    }
};

/// @brief One instance's access to the store: its interrupts don't concern the reads of others.
class MemberPlatform : public PlatformPort
{
public:
    explicit MemberPlatform(FakePlatform &store)
        : store(store)
    {
    }

    asio::awaitable<std::optional<TableSnapshot>> readTable(StoreTable table, LastReason &reason) override
    {
        ++this->reads;
        this->store.callersInterrupts = &this->interrupts;
        co_return co_await this->store.readTable(table, reason);
    }

    asio::awaitable<std::optional<TableSnapshot>> readPart(StoreTable table, std::string part,
                                                           LastReason &reason) override
    {
        this->store.callersInterrupts = &this->interrupts;
        co_return co_await this->store.readPart(table, std::move(part), reason);
    }

    asio::awaitable<ChangesOutcome> readChanges(StoreTable table, std::uint64_t after, Milliseconds wait) override
    {
        ++this->reads;
        this->store.callersInterrupts = &this->interrupts;
        co_return co_await this->store.readChanges(table, after, wait);
    }

    void interruptRead(StoreTable table) override
    {
        ++this->interrupts[table];
        this->store.interruptRead(table);
    }

    asio::awaitable<TransactionOutcome> transact(Transaction transaction) override
    {
        co_return co_await this->store.transact(std::move(transaction));
    }

    std::uint64_t storeEra() const override
    {
        return this->store.storeEra();
    }

    std::string rowKey(StoreTable table, const std::string &name) const override
    {
        return this->store.rowKey(table, name);
    }

    std::optional<OperatorOrder> readOrder(const TableRow &row, LastReason &reason) const override
    {
        return this->store.readOrder(row, reason);
    }

    std::optional<ZoneId> readEvacuatedZone(const std::string &rowKey) const override
    {
        return this->store.readEvacuatedZone(rowKey);
    }

    std::optional<UpstreamEntry> readUpstream(const TableRow &row, LastReason &reason) const override
    {
        return this->store.readUpstream(row, reason);
    }

    std::optional<RolloutStatus> readStatus(const TableRow &row, LastReason &reason) const override
    {
        return this->store.readStatus(row, reason);
    }

    std::pair<std::string, std::string> writeStatus(const RolloutStatus &status) const override
    {
        return this->store.writeStatus(status);
    }

    std::optional<RequestFacts> readRequest(const HttpRequest &request, LastReason &reason) const override
    {
        return this->store.readRequest(request, reason);
    }

    HttpHeader notRunHeader() const override
    {
        return this->store.notRunHeader();
    }

    HttpRequest makeUpstreamRequest(const HttpRequest &received, const DispatchFacts &facts) const override
    {
        return this->store.makeUpstreamRequest(received, facts);
    }

    AnswerHead readAnswer(const boost::beast::http::response_header<> &head) const override
    {
        return this->store.readAnswer(head);
    }

    unsigned reads = 0; ///< of the tables that are followed

private:
    FakePlatform &store;
    std::map<StoreTable, unsigned> interrupts;
};

/// @brief Instances that share one store.
struct FleetRig
{
    struct Member
    {
        Member(asio::io_context &io, FakePlatform &platform, const std::string &name, const std::string &address = {})
            : platform(platform)
            , log(io, {.linesPerSecond = 0})
            , context{.io = io,
                      .platform = this->platform,
                      .metrics = this->metrics,
                      .log = this->log,
                      .zone = ZoneId("a")}
            , sync(this->context, InstanceId(name),
                   {.watch = {.upstreamsInterval = Milliseconds(10),
                              .fleetInterval = Milliseconds(10),
                              .relayAge = relayAge,
                              .relayStart = relayAge,
                              .initialBackoff = Milliseconds(10),
                              .maxBackoff = Milliseconds(20)},
                    .publishDelay = Milliseconds(10),
                    .gatherDelay = Milliseconds(10),
                    .tickInterval = Milliseconds(20),
                    .membersDelay = Milliseconds(600)})
        {
            LastReason reason;
            const RelaySettings relay{.address = address, .zones = {ZoneId("a")}, .isFirstStart = true};
            this->isListening = address.empty() || this->sync.startRelay(relay, reason);
            this->sync.start([]() {});
        }
        static constexpr Milliseconds relayAge{400};
        bool isListening = false;
        MemberPlatform platform;
        Metrics metrics;
        DecisionLog log;
        ForwardContext context;
        FleetSync sync;
    };

    ~FleetRig()
    {
        this->io.stop();
    }

    Member &add(const std::string &name)
    {
        return *this->members.emplace_back(std::make_unique<Member>(this->io, this->platform, name));
    }

    /// Adds an instance that exchanges what it reads with the others.
    Member &addRelaying(const std::string &name)
    {
        return *this->members.emplace_back(
            std::make_unique<Member>(this->io, this->platform, name, this->freeAddress()));
    }

    /// The listeners do not report their ports, so free ones are found beforehand.
    std::string freeAddress()
    {
        const asio::ip::tcp::acceptor probe(this->io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    }

    void runFor(Milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
    }

    /// Runs until the condition holds, or for 20 s so that a failing test ends.
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    asio::io_context io;
    FakePlatform platform{io};
    std::vector<std::unique_ptr<Member>> members;
};

} // namespace parsleyvane::test
