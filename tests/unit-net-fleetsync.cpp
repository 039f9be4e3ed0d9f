#include "suite.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/forward/fleetsync.h"

#include <boost/asio.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

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
    bool isUnreachable = false;
    bool isHistoryLost = false;
    unsigned fullReads = 0;
    unsigned writes = 0;
    unsigned interruptCount = 0;
    std::function<void(const Transaction &)> onTransact; ///< before a transaction is sent

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
        co_await this->simulateLatency();
        if (this->isUnreachable) {
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
        co_await this->simulateLatency();
        if (this->isUnreachable) {
            co_return Failure{.id = ErrorId::StoreUnavailable};
        }
        if (this->isHistoryLost) {
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
        ++this->interruptCount;
    }

    asio::awaitable<TransactionOutcome> transact(Transaction transaction) override
    {
        if (this->onTransact) {
            this->onTransact(transaction);
        }
        co_await this->simulateLatency();
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
    asio::awaitable<void> simulateLatency()
    {
        asio::steady_timer timer(this->context, std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
};

/// @brief Instances that share one store.
struct FleetRig
{
    struct Member
    {
        Member(asio::io_context &io, FakePlatform &platform, const std::string &name)
            : log(io, {.linesPerSecond = 0})
            , context{.io = io, .platform = platform, .metrics = this->metrics, .log = this->log, .zone = ZoneId("a")}
            , sync(this->context, InstanceId(name),
                   {.upstreamReadInterval = Milliseconds(10),
                    .fleetReadInterval = Milliseconds(10),
                    .initialBackoff = Milliseconds(10),
                    .maxBackoff = Milliseconds(20),
                    .publishDelay = Milliseconds(10),
                    .tickInterval = Milliseconds(20)})
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

} // namespace

class FleetSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetSyncTest);
    CPPUNIT_TEST(followsConfigurationAndUpstreams);
    CPPUNIT_TEST(anEmptyTableIsReadInFullOnce);
    CPPUNIT_TEST(anOlderConfigurationIsIgnored);
    CPPUNIT_TEST(aLostHistoryCausesAFullRead);
    CPPUNIT_TEST(anOutageKeepsTheLastKnownView);
    CPPUNIT_TEST(anOutageInterruptsTheOtherReadsOnce);
    CPPUNIT_TEST(anOrderIsStartedAndCompletedByOneInstance);
    CPPUNIT_TEST(aBadVersionIsRolledBackAtAllInstances);
    CPPUNIT_TEST(anOrderThatWasReplacedIsNotStarted);
    CPPUNIT_TEST(lateEvidencePreventsTheCompletion);
    CPPUNIT_TEST(crashesAreReportedToOtherInstances);
    CPPUNIT_TEST(announcedLimitsAndDemandAreReportedToOtherInstances);
    CPPUNIT_TEST(anInstanceThatLeavesIsNoMemberAnyMore);
    CPPUNIT_TEST_SUITE_END();

public:
    void followsConfigurationAndUpstreams()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &fleetView = rig.add("one").context.fleetView;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table && fleetView.upstreamsKnown; }));
        rig.platform.put(StoreTable::Orders, "config", "4");
        rig.platform.remove(StoreTable::Upstreams, "u");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table->revision() == Revision(4); }));
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.upstreams.size() == 0; }));
    }

    void anEmptyTableIsReadInFullOnce()
    {
        FleetRig rig;
        rig.add("one");
        rig.runUntil([&]() { return rig.platform.fullReads >= 4; });
        rig.io.run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(4U, rig.platform.fullReads);
    }

    void anOlderConfigurationIsIgnored()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "9");
        auto &fleetView = rig.add("one").context.fleetView;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table != nullptr; }));
        rig.platform.put(StoreTable::Orders, "config", "8");
        rig.io.run_for(std::chrono::milliseconds(60));
        CPPUNIT_ASSERT(fleetView.table->revision() == Revision(9));
    }

    void aLostHistoryCausesAFullRead()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &fleetView = rig.add("one").context.fleetView;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.upstreamsKnown; }));
        rig.platform.isHistoryLost = true;
        rig.platform.history.clear();
        rig.platform.rows.erase("upstreams/u");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.upstreams.size() == 0; }));
    }

    void anOutageKeepsTheLastKnownView()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &fleetView = rig.add("one").context.fleetView;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table && fleetView.upstreamsKnown; }));
        rig.platform.isUnreachable = true;
        rig.io.run_for(std::chrono::milliseconds(100));
        rig.platform.remove(StoreTable::Upstreams, "u");
        rig.platform.isUnreachable = false;
        rig.io.run_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(fleetView.table->revision() == Revision(3));
        // The entry lapsed while the store was unreachable, so its upstream gets a grace period to register again.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleetView.upstreams.size());
    }

    void anOutageInterruptsTheOtherReadsOnce()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        auto &fleetView = rig.add("one").context.fleetView;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table != nullptr; }));
        rig.platform.isUnreachable = true;
        rig.io.run_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(1U, rig.platform.interruptCount);
    }

    void anOrderIsStartedAndCompletedByOneInstance()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        const auto bothReached = [&](RolloutState state) {
            return shiftOf(one, ServiceName("s")).state() == state && shiftOf(two, ServiceName("s")).state() == state;
        };
        CPPUNIT_ASSERT(rig.runUntil([&]() { return bothReached(RolloutState::Running); }));
        CPPUNIT_ASSERT(rig.runUntil([&]() { return bothReached(RolloutState::Completed); }));
        CPPUNIT_ASSERT(rig.platform.rows.at("status/s").value.starts_with("1 "));
    }

    void aBadVersionIsRolledBackAtAllInstances()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        const ServiceName service("s");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shiftOf(one, service).state() == RolloutState::Running; }));
        for (int answer = 0; answer < 100; ++answer) {
            shiftOf(one, service).onAnswer(RouteName("r"), false, true);
        }
        for (int answer = 0; answer < 10; ++answer) {
            shiftOf(one, service).onAnswer(RouteName("r"), true, false);
        }
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shiftOf(two, service).state() == RolloutState::RolledBack; }));
    }

    /// The value of the status row that a transaction writes; empty when it writes none.
    static std::string writtenStatus(const Transaction &transaction)
    {
        for (const Transaction::Put &put : transaction.puts) {
            if (put.key == "status/s") {
                return put.value;
            }
        }
        return {};
    }

    void anOrderThatWasReplacedIsNotStarted()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        const ServiceName service("s");
        const auto orderNumber = [&]() {
            const auto &order = shiftOf(one, service).order();
            return order ? order->number : 0;
        };
        unsigned outdated = 0;
        rig.platform.onTransact = [&](const Transaction &transaction) {
            const std::string status = writtenStatus(transaction);
            outdated += !status.empty() && std::stoul(status.substr(status.find(' '))) != orderNumber() ? 1 : 0;
        };
        // The instance waits for a random time before it starts an order.
        for (const char *version : {"v2", "v3", "v4", "v5", "v6", "v7"}) {
            rig.platform.put(StoreTable::Orders, "rollout", version);
            CPPUNIT_ASSERT(
                rig.runUntil([&]() { return orderNumber() == rig.platform.rows.at("orders/rollout").version; }));
            rig.io.run_for(std::chrono::milliseconds(40));
        }
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shiftOf(one, service).state() == RolloutState::Running; }));
        CPPUNIT_ASSERT_EQUAL(0U, outdated);
    }

    void lateEvidencePreventsTheCompletion()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        const ServiceName service("s");
        VersionShift &shift = shiftOf(one, service);
        bool isEvidenceKnown = false;
        bool isCompletedDespiteEvidence = false;
        rig.platform.onTransact = [&](const Transaction &transaction) {
            isCompletedDespiteEvidence
                = isCompletedDespiteEvidence || (isEvidenceKnown && writtenStatus(transaction).starts_with("1 "));
        };
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() == RolloutState::Running; }));
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.mayComplete(bootClockNow()); }));
        // The instance waits for a random time before it completes a roll-out.
        rig.io.run_for(std::chrono::milliseconds(30));
        for (int answer = 0; answer < 100; ++answer) {
            shift.onAnswer(RouteName("r"), false, true);
            shift.onAnswer(RouteName("r"), true, false);
        }
        isEvidenceKnown = true;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() != RolloutState::Running; }));
        CPPUNIT_ASSERT(!isCompletedDespiteEvidence);
    }

    void crashesAreReportedToOtherInstances()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        for (const char *site : {"a@1", "b@1", "c@1"}) {
            one.fleetView.crashes.onLost({Fingerprint("p")}, site, bootClockNow());
        }
        one.evidenceChanged();
        CPPUNIT_ASSERT(rig.runUntil([&]() { return two.fleetView.crashes.blockedOf({Fingerprint("p")}).has_value(); }));
    }

    void announcedLimitsAndDemandAreReportedToOtherInstances()
    {
        FleetRig rig;
        auto &one = rig.add("one").context.fleetView.upstreamLimiter;
        auto &two = rig.add("two").context.fleetView.upstreamLimiter;
        announceLimit(rig);
        CPPUNIT_ASSERT(
            rig.runUntil([&]() { return two.limitedUpstreams() == 1 && one.members() == 2 && two.members() == 2; }));
    }

    void anInstanceThatLeavesIsNoMemberAnyMore()
    {
        FleetRig rig;
        auto &one = rig.add("one");
        auto &two = rig.add("two").context.fleetView.upstreamLimiter;
        announceLimit(rig);
        CPPUNIT_ASSERT(rig.runUntil([&]() { return two.members() == 2; }));
        one.sync.leave();
        CPPUNIT_ASSERT(rig.runUntil([&]() { return two.members() == 1; }));
    }

private:
    /// The first instance is told of a limit.
    static void announceLimit(FleetRig &rig)
    {
        ForwardContext &context = rig.members.front()->context;
        const TimePoint now = bootClockNow();
        context.fleetView.upstreamLimiter.onAnswer(
            {.id = UpstreamId("u"), .service = ServiceName("s"), .startedAtMs = 1}, RequestRate{2}, now, now);
        context.evidenceChanged();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSyncTest);

} // namespace parsleyvane
