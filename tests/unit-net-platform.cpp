#include "suite.h"

#include "forwardrig.h"

#include "parsleyvane/core/textcodec.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/platformclient.h"

namespace parsleyvane {

using test::ScriptedResponse;
using test::ScriptedUpstream;
namespace asio = boost::asio;

namespace {

std::string response(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string rowJson(const std::string &key, const std::string &value, int version)
{
    return R"({"table":"op","part":"","key":")" + key + R"(","value":")" + base64Encode(value) + R"(","ver":)"
        + std::to_string(version) + "}";
}

/// The platform's client connected to a store with scripted responses.
struct StoreRig
{
    asio::io_context io;
    ScriptedUpstream store{io, "store"};
    platform::Platform client;

    explicit StoreRig(std::deque<ScriptedResponse> scriptedResponses)
        : client(io.get_executor(), endpoint())
    {
        this->store.scriptedResponses = std::move(scriptedResponses);
    }

    asio::ip::tcp::endpoint endpoint() const
    {
        LastReason reason;
        return *parseEndpoint(this->store.address(), reason);
    }

    template<typename Result>
    Result run(asio::awaitable<Result> call)
    {
        std::optional<Result> result;
        asio::co_spawn(
            this->io, [&]() -> asio::awaitable<void> { result = co_await std::move(call); }, asio::detached);
        while (!result) {
            this->io.run_one();
        }
        return std::move(*result);
    }
};

} // namespace

class PlatformClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(readTableCombinesAllPages);
    CPPUNIT_TEST(aRowThatChangesBetweenPagesIsReadAgain);
    CPPUNIT_TEST(readChangesReturnsWrittenAndRemovedRows);
    CPPUNIT_TEST(onlyTheLastChangeOfARowIsReturned);
    CPPUNIT_TEST(statusGoneIsReportedAsLostHistory);
    CPPUNIT_TEST(consecutiveReadsReuseOneConnection);
    CPPUNIT_TEST(rejectedReadIsAFailure);
    CPPUNIT_TEST(malformedAnswersAreFailures);
    CPPUNIT_TEST(conflictCarriesTheCurrentRows);
    CPPUNIT_TEST(malformedConflictIsReportedAsIndeterminate);
    CPPUNIT_TEST(missingRatingIsReportedWithItsCause);
    CPPUNIT_TEST(rejectedWriteIsReportedAsNotSent);
    CPPUNIT_TEST(writeWithoutAnswerIsReportedAsIndeterminate);
    CPPUNIT_TEST(unansweredReadTimesOutAfterItsWait);
    CPPUNIT_TEST(aTricklingAnswerEndsAtTheReadsTimeLimit);
    CPPUNIT_TEST(aLongAnswerMayTakeLongerThanTheReadsTimeLimit);
    CPPUNIT_TEST(interruptedReadFailsImmediately);
    CPPUNIT_TEST_SUITE_END();

public:
    void readTableCombinesAllPages()
    {
        StoreRig rig(
            {{response(200, R"({"rows":[)" + rowJson("a", "1", 3) + R"(],"has_more":true,"ver":9,"now_ms":5})"), false},
             {response(200, R"({"rows":[)" + rowJson("b", "2", 4) + R"(],"has_more":false,"ver":9,"now_ms":6})"),
              false}});
        LastReason reason;
        const auto snapshot = rig.run(rig.client.readTable(StoreTable::Orders, reason));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, snapshot->rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("op/b"), snapshot->rows.back().key);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), snapshot->rows.back().value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, snapshot->version);
        CPPUNIT_ASSERT(snapshot->storeTime == Milliseconds(6));
        CPPUNIT_ASSERT(rig.store.requests.back().find("from=a%00") != std::string::npos);
    }

    void aRowThatChangesBetweenPagesIsReadAgain()
    {
        StoreRig rig(
            {{response(200, R"({"rows":[)" + rowJson("a", "1", 3) + R"(],"has_more":true,"ver":9,"now_ms":5})"), false},
             {response(200, R"({"rows":[)" + rowJson("b", "2", 4) + R"(],"has_more":false,"ver":12,"now_ms":6})"),
              false}});
        LastReason reason;
        const auto snapshot = rig.run(rig.client.readTable(StoreTable::Orders, reason));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, snapshot->version);
    }

    void onlyTheLastChangeOfARowIsReturned()
    {
        const std::string removedA = R"({"table":"op","part":"","key":"a","ver":4,"removed":true})";
        const std::string removedB = R"({"table":"op","part":"","key":"b","ver":6,"removed":true})";
        const std::string rows
            = removedA + "," + rowJson("a", "new", 5) + "," + rowJson("b", "old", 5) + "," + removedB;
        StoreRig rig({{response(200, R"({"rows":[)" + rows + R"(],"ver":9,"now_ms":5})")}});
        const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
        const auto &snapshot = std::get<TableSnapshot>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, snapshot.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("op/a"), snapshot.rows.front().key);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, snapshot.removed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("op/b"), snapshot.removed.front());
    }

    void readChangesReturnsWrittenAndRemovedRows()
    {
        StoreRig rig(
            {{response(200,
                       R"({"rows":[)" + rowJson("a", "1", 3)
                           + R"(,{"table":"op","part":"","key":"b","ver":4,"removed":true}],"ver":9,"now_ms":5})")}});
        const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
        const auto &snapshot = std::get<TableSnapshot>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, snapshot.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("op/b"), snapshot.removed.front());
        CPPUNIT_ASSERT(rig.store.requests.front().starts_with("GET /rows-feed?table=op&after=2&wait_ms=100 "));
    }

    void statusGoneIsReportedAsLostHistory()
    {
        StoreRig rig({{response(410, "{}")}});
        const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
        CPPUNIT_ASSERT(std::holds_alternative<HistoryLost>(outcome));
    }

    void consecutiveReadsReuseOneConnection()
    {
        StoreRig rig({{response(200, R"({"rows":[],"ver":9,"now_ms":5})"), false}});
        constexpr int reads = 3;
        for (int read = 0; read < reads; ++read) {
            rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
        }
        CPPUNIT_ASSERT_EQUAL(1U, rig.store.connections);
    }

    void rejectedReadIsAFailure()
    {
        StoreRig rig({{response(429, "{}")}});
        LastReason reason;
        CPPUNIT_ASSERT(!rig.run(rig.client.readTable(StoreTable::Orders, reason)));
        CPPUNIT_ASSERT(reason.failure().id == ErrorId::StoreUnavailable);
    }

    void malformedAnswersAreFailures()
    {
        for (const char *body : {"", "[]", "{}", R"({"rows":5})"}) {
            StoreRig rig({{response(200, body)}});
            const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
            CPPUNIT_ASSERT_MESSAGE(body, std::holds_alternative<Failure>(outcome));
        }
    }

    static Transaction transaction()
    {
        return {.checks = {{"status/rollout/s", 4}}, .puts = {{"status/rollout/s", "text"}}};
    }

    void conflictCarriesTheCurrentRows()
    {
        StoreRig rig({{response(412, R"({"rows":[)" + rowJson("a", "1", 3) + R"(],"ver":9,"now_ms":5})")}});
        const auto outcome = rig.run(rig.client.transact(transaction()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, std::get<TransactionConflict>(outcome).rows.front().version);
        const std::string &sent = rig.store.requests.front();
        CPPUNIT_ASSERT(sent.find(R"("key":"rollout/s")") != std::string::npos);
        CPPUNIT_ASSERT(sent.find(R"("ver":4)") != std::string::npos);
        CPPUNIT_ASSERT(sent.find(base64Encode("text")) != std::string::npos);
    }

    // Guards against a conflict without rows, which means that the store has no such row.
    void malformedConflictIsReportedAsIndeterminate()
    {
        for (const char *body : {"", "[]", "{}", R"({"rows":5})"}) {
            StoreRig rig({{response(412, body)}});
            const auto outcome = rig.run(rig.client.transact(transaction()));
            CPPUNIT_ASSERT_MESSAGE(body, std::holds_alternative<TransactionIndeterminate>(outcome));
        }
        StoreRig rig({{response(412, R"({"rows":[],"ver":9,"now_ms":5})")}});
        const auto outcome = rig.run(rig.client.transact(transaction()));
        CPPUNIT_ASSERT(std::get<TransactionConflict>(outcome).rows.empty());
    }

    // Guards against a failure that does not say with which status the service answered.
    void missingRatingIsReportedWithItsCause()
    {
        const auto rate = [](const ScriptedResponse &scripted) {
            StoreRig rig({scripted});
            const PlatformClient ratings(rig.endpoint());
            LastReason reason;
            CPPUNIT_ASSERT(!rig.run(ratings.rate(AccountId("a"), TaskName("t"), "question", "answer", reason)));
            return reason.failure().detail;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("no rating: status 503"), rate({response(503, "{}")}));
        CPPUNIT_ASSERT(rate({""}).starts_with("no rating: ") && rate({""}) != "no rating: ");
    }

    void rejectedWriteIsReportedAsNotSent()
    {
        StoreRig rig({{response(503, "{}")}});
        CPPUNIT_ASSERT(std::holds_alternative<TransactionNotSent>(rig.run(rig.client.transact(transaction()))));
    }

    void writeWithoutAnswerIsReportedAsIndeterminate()
    {
        StoreRig rig({{""}});
        CPPUNIT_ASSERT(std::holds_alternative<TransactionIndeterminate>(rig.run(rig.client.transact(transaction()))));
    }

    void unansweredReadTimesOutAfterItsWait()
    {
        StoreRig rig({{"", true, true}});
        const auto begun = std::chrono::steady_clock::now();
        const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
        CPPUNIT_ASSERT(std::holds_alternative<Failure>(outcome));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(1500));
    }

    void aTricklingAnswerEndsAtTheReadsTimeLimit()
    {
        ScriptedResponse trickle{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
        trickle.nextPiece = [](unsigned) {
            return std::string("1\r\n \r\n");
        };
        trickle.pieceInterval = std::chrono::milliseconds(50);
        StoreRig rig({trickle});
        const auto begun = std::chrono::steady_clock::now();
        std::optional<ChangesOutcome> outcome;
        asio::co_spawn(
            rig.io,
            [&]() -> asio::awaitable<void> {
                outcome = co_await rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100));
            },
            asio::detached);
        while (!outcome && std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(1500)) {
            rig.io.run_one_for(std::chrono::milliseconds(10));
        }
        rig.io.stop();
        CPPUNIT_ASSERT(outcome && std::holds_alternative<Failure>(*outcome));
    }

    void aLongAnswerMayTakeLongerThanTheReadsTimeLimit()
    {
        constexpr std::size_t pieceBytes = 16384;
        constexpr unsigned pieces = 15;
        ScriptedResponse slow{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
        slow.nextPiece = [](unsigned number) {
            if (number == pieces) {
                return std::string("19\r\n{\"rows\":[],\"ver\":9,\"x\":1}\r\n0\r\n\r\n");
            }
            return number < pieces ? "4000\r\n" + std::string(pieceBytes, ' ') + "\r\n" : std::string();
        };
        slow.pieceInterval = std::chrono::milliseconds(100);
        StoreRig rig({slow});
        const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(100)));
        CPPUNIT_ASSERT(std::holds_alternative<TableSnapshot>(outcome));
    }

    void interruptedReadFailsImmediately()
    {
        StoreRig rig({{"", true, true}});
        asio::steady_timer timer(rig.io, std::chrono::milliseconds(50));
        timer.async_wait([&](const boost::system::error_code &) { rig.client.interruptRead(StoreTable::Orders); });
        const auto begun = std::chrono::steady_clock::now();
        const auto outcome = rig.run(rig.client.readChanges(StoreTable::Orders, 2, Milliseconds(20000)));
        CPPUNIT_ASSERT(std::holds_alternative<Failure>(outcome));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(1500));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace parsleyvane
