#include "suite.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/forward/fleetsync.h"

#include <boost/asio.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

/// @brief A store in memory: rows of a table hold text such as "v2" or "1"; the tests write them directly.
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
    bool down = false;
    bool historyLost = false;
    unsigned wholeReads = 0;
    unsigned writes = 0;
    unsigned interrupts = 0;

    void put(StoreTable table, const std::string &name, const std::string &value)
    {
        TableRow row{this->rowKey(table, name), ++this->version, value};
        this->rows[row.key] = row;
        this->history.push_back({table, row});
    }

    void drop(StoreTable table, const std::string &name)
    {
        TableRow row{this->rowKey(table, name), ++this->version, {}};
        this->rows.erase(row.key);
        this->history.push_back({table, row, true});
    }

    asio::awaitable<std::optional<TableSnapshot>> readTable(StoreTable table, LastReason &reason) override
    {
        ++this->wholeReads;
        co_await this->pause();
        if (this->down) {
            co_return reason.fail({.id = ErrorId::StoreUnavailable});
        }
        TableSnapshot snapshot{.version = this->version, .storeTime = now()};
        for (const auto &[key, row] : this->rows) {
            if (key.starts_with(this->rowKey(table, ""))) {
                snapshot.rows.push_back(row);
            }
        }
        co_return snapshot;
    }

    asio::awaitable<ChangesOutcome> readChanges(StoreTable table, std::uint64_t after, Milliseconds) override
    {
        co_await this->pause();
        if (this->down) {
            co_return Failure{.id = ErrorId::StoreUnavailable};
        }
        if (this->historyLost) {
            co_return HistoryLost{};
        }
        TableSnapshot snapshot{.version = this->version, .storeTime = now()};
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

    void interruptReads() override
    {
        ++this->interrupts;
    }

    asio::awaitable<TransactionOutcome> transact(Transaction transaction) override
    {
        co_await this->pause();
        ++this->writes;
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
            const bool isStatus = put.key.starts_with("status/");
            this->put(isStatus ? StoreTable::Status : StoreTable::Fleet, put.key.substr(put.key.find('/') + 1),
                      put.value);
        }
        co_return TransactionCommitted{};
    }

    std::string rowKey(StoreTable table, const std::string &name) const override
    {
        const std::map<StoreTable, std::string> names = {{StoreTable::Orders, "orders"},
                                                         {StoreTable::Upstreams, "upstreams"},
                                                         {StoreTable::Status, "status"},
                                                         {StoreTable::Fleet, "fleet"}};
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
        return reason.fail({.id = ErrorId::InvalidConfiguration});
    }

    std::optional<UpstreamEntry> readUpstream(const TableRow &row, LastReason &reason) const override
    {
        if (row.value.empty()) {
            return reason.fail({.id = ErrorId::BadPeerData});
        }
        return UpstreamEntry{.id = UpstreamId(row.key.substr(row.key.find('/') + 1)),
                             .service = ServiceName("s"),
                             .version = VersionName(row.value)};
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
    asio::awaitable<void> pause()
    {
        asio::steady_timer timer(this->context, std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
};

/// @brief Instances over one store.
struct FleetRig
{
    struct Member
    {
        Member(asio::io_context &io, FakePlatform &platform, const std::string &name)
            : log(io, {.linesPerSecond = 0})
            , context{.io = io, .platform = platform, .metrics = this->metrics, .log = this->log, .zone = ZoneId("a")}
            , sync(this->context, InstanceId(name),
                   {.upstreamPace = Milliseconds(10),
                    .fleetPace = Milliseconds(10),
                    .firstRetry = Milliseconds(10),
                    .longestRetry = Milliseconds(20),
                    .publishPause = Milliseconds(10),
                    .tick = Milliseconds(20)})
        {
            this->sync.start([]() {});
        }
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

    /// Runs until the condition holds; the limit only ends a test that would wait for ever.
    template<typename Condition>
    bool until(Condition condition)
    {
        const auto last = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < last) {
            this->io.run_one_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    asio::io_context io;
    FakePlatform platform{io};
    std::vector<std::unique_ptr<Member>> members;
};

} // namespace

class FleetSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetSyncTest);
    CPPUNIT_TEST(takesConfigurationAndUpstreams);
    CPPUNIT_TEST(anEmptyTableIsReadWholeOnce);
    CPPUNIT_TEST(anOlderConfigurationNeverReturns);
    CPPUNIT_TEST(aLostHistoryIsReadWholeAgain);
    CPPUNIT_TEST(anOutageKeepsTheLastBeliefs);
    CPPUNIT_TEST(anOutageBreaksTheOtherReadsOnce);
    CPPUNIT_TEST(anOrderIsStartedAndCompletedByOneInstance);
    CPPUNIT_TEST(aBadVersionIsRolledBackForAll);
    CPPUNIT_TEST(crashesAreToldToTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void takesConfigurationAndUpstreams()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &beliefs = rig.add("one").context.beliefs;
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.table && beliefs.upstreamsKnown; }));
        rig.platform.put(StoreTable::Orders, "config", "4");
        rig.platform.drop(StoreTable::Upstreams, "u");
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.table->revision() == Revision(4); }));
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.upstreams.size() == 0; }));
    }

    void anEmptyTableIsReadWholeOnce()
    {
        FleetRig rig;
        rig.add("one");
        rig.until([&]() { return rig.platform.wholeReads >= 4; });
        rig.io.run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(4U, rig.platform.wholeReads);
    }

    void anOlderConfigurationNeverReturns()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "9");
        auto &beliefs = rig.add("one").context.beliefs;
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.table != nullptr; }));
        rig.platform.put(StoreTable::Orders, "config", "8");
        rig.io.run_for(std::chrono::milliseconds(60));
        CPPUNIT_ASSERT(beliefs.table->revision() == Revision(9));
    }

    void aLostHistoryIsReadWholeAgain()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &beliefs = rig.add("one").context.beliefs;
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.upstreamsKnown; }));
        rig.platform.historyLost = true;
        rig.platform.history.clear();
        rig.platform.rows.erase("upstreams/u");
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.upstreams.size() == 0; }));
    }

    void anOutageKeepsTheLastBeliefs()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &beliefs = rig.add("one").context.beliefs;
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.table && beliefs.upstreamsKnown; }));
        rig.platform.down = true;
        rig.io.run_for(std::chrono::milliseconds(100));
        rig.platform.drop(StoreTable::Upstreams, "u");
        rig.platform.down = false;
        rig.io.run_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(beliefs.table->revision() == Revision(3));
        // The entry lapsed while the store was away: its upstream has some time to return.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, beliefs.upstreams.size());
    }

    void anOutageBreaksTheOtherReadsOnce()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        auto &beliefs = rig.add("one").context.beliefs;
        CPPUNIT_ASSERT(rig.until([&]() { return beliefs.table != nullptr; }));
        rig.platform.down = true;
        rig.io.run_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1U, rig.platform.interrupts);
    }

    void anOrderIsStartedAndCompletedByOneInstance()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        const auto agreed = [&](RolloutState state) {
            return shiftOf(one, ServiceName("s")).state() == state && shiftOf(two, ServiceName("s")).state() == state;
        };
        CPPUNIT_ASSERT(rig.until([&]() { return agreed(RolloutState::Running); }));
        CPPUNIT_ASSERT(rig.until([&]() { return agreed(RolloutState::Completed); }));
        CPPUNIT_ASSERT(rig.platform.rows.at("status/s").value.starts_with("1 "));
    }

    void aBadVersionIsRolledBackForAll()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        const ServiceName service("s");
        CPPUNIT_ASSERT(rig.until([&]() { return shiftOf(one, service).state() == RolloutState::Running; }));
        for (int answer = 0; answer < 100; ++answer) {
            shiftOf(one, service).onAnswer(RouteName("r"), false, true);
        }
        for (int answer = 0; answer < 10; ++answer) {
            shiftOf(one, service).onAnswer(RouteName("r"), true, false);
        }
        CPPUNIT_ASSERT(rig.until([&]() { return shiftOf(two, service).state() == RolloutState::RolledBack; }));
    }

    void crashesAreToldToTheOthers()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        for (const char *site : {"a@1", "b@1", "c@1"}) {
            one.beliefs.crashes.onLost(Fingerprint("p"), site, bootClockNow());
        }
        one.evidenceChanged();
        CPPUNIT_ASSERT(rig.until([&]() { return two.beliefs.crashes.isBlocked(Fingerprint("p")); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSyncTest);

} // namespace parsleyvane
