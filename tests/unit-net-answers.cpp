#include "suite.h"

#include "capturedoutput.h"
#include "forwardrig.h"
#include "rawmessage.h"
#include "sampleconfiguration.h"

#include "parsleyvane/core/textcodec.h"
#include "parsleyvane/forward/storerelay.h"
#include "parsleyvane/net/blockingclient.h"
#include "parsleyvane/net/crashprobe.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/loadpoller.h"
#include "parsleyvane/net/modelcall.h"
#include "parsleyvane/net/servicecall.h"
#include "parsleyvane/relay/relaymessage.h"

#include "net/storeprobe.h"

#include <thread>

namespace parsleyvane::test {

namespace {

/// Sound contents, one for each kind of reader.
const std::string rowContent = R"({"key":"config/head","version":7,"value":{}})";
const std::string ratingContent = R"({"passed":true,"score":1.0})";
const std::string membersContent = R"({"members":[]})";
const std::string loadContent = R"({"running":3,"waiting":0})";
const std::string serviceContent = R"({"done":true})";
/// Stands for the id of the attempt, which the engine repeats in each event.
const std::string attemptPlaceholder(32, '-');
const std::string modelContent = R"(data: {"attempt":")" + attemptPlaceholder + R"(","offset":0,"text":"the text"})"
    + "\n\n" + R"(data: {"attempt":")" + attemptPlaceholder
    + R"(","offset":8,"end":true,"promptTokens":1,"cachedTokens":0,"outputTokens":2})" + "\n\n";

asio::ip::tcp::endpoint endpointOf(const ScriptedUpstream &upstream)
{
    LastReason reason;
    return *parseEndpoint(upstream.address(), reason);
}

/// Runs the call to its end.
template<typename Result>
Result await(asio::io_context &io, asio::awaitable<Result> call)
{
    std::optional<Result> result;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { result = co_await std::move(call); }, asio::detached);
    while (!result) {
        io.run_one();
    }
    return std::move(*result);
}

/// @brief What an instance asks a reader, and whether it took over the answer.
class RecordingKnowledge : public RelayKnowledge
{
public:
    RelayPoll makePoll() override
    {
        ++this->polls;
        return {.from = InstanceId("asker"), .report = this->report};
    }
    bool applyOffer(const InstanceId &, const RelayPoll &, const RelayOffer &) override
    {
        this->hasApplied = true;
        return true;
    }
    void onAsked() override
    {
    }
    bool hasNews(const RelayPoll &) const override
    {
        return false;
    }
    RelayOffer makeOffer(const RelayPoll &) const override
    {
        return {};
    }
    void onLoad(const RelayPoll &) override
    {
    }
    void onReport(const InstanceId &, const std::string &) override
    {
    }

    std::string report;
    unsigned polls = 0;
    bool hasApplied = false;
};

/// @brief What the chat front's calls share, with one upstream for all of them.
struct ChatRig
{
    explicit ChatRig(const ScriptedResponse &response)
    {
        this->upstream.scriptedResponses = {response};
        Configuration configuration = sampleConfiguration();
        for (Upstream &entry : configuration.upstreams) {
            entry.address = this->upstream.address();
        }
        this->blackboard.configuration = std::make_shared<const Configuration>(std::move(configuration));
        this->blackboard.phase = InstancePhase::Ready;
        this->blackboard.confirmations.storeConfirmedAt = bootClockNow();
    }

    EndableContext io;
    ScriptedUpstream upstream{io, "e1"};
    Blackboard blackboard;
    PlatformClient platform{endpointOf(this->upstream)};
    Metrics metrics;
    BillWriter bills{io, platform, metrics, Milliseconds(100)};
    EvidenceBoard evidence{InstanceId("i")};
    RouterContext context{.io = io,
                          .blackboard = blackboard,
                          .platform = platform,
                          .bills = bills,
                          .metrics = metrics,
                          .evidence = evidence,
                          .placement = Placement(1),
                          .cascade = CascadeController(1),
                          .priority = PriorityPolicy(),
                          .retryBudget = RetryBudget(0, 0),
                          .upstreamLimits = {}};
};

/// @brief How a reader took an answer.
struct Reading
{
    bool isAccepted = false;
    bool mayHaveRun = true; ///< as the failure says; true of readers whose requests change nothing
    std::string detail; ///< of the failure, where the reader passes it on
};

Reading failedCall(const Failure &failure)
{
    return {false, failure.runState != RunState::NotRun, failure.detail};
}

Reading failedRead(const Failure &failure)
{
    return {.detail = failure.detail};
}

/// @brief Reads one answer. @param padding for the body of the request, of readers whose requests have one
using ReadOne = std::function<Reading(const ScriptedResponse &response, const std::string &padding)>;

/// @brief A reader of answers, and the content that it expects.
struct Reader
{
    std::string name;
    std::string content;
    ReadOne read;
    bool needsEnd = true; ///< otherwise the content names its own end, and nothing after it is read
    bool hasUpload = false; ///< its requests may be long
    std::string peer; ///< who is named in the log, unless the reader passes the failure on
};

Reading readBlocking(const ScriptedResponse &response, const std::string &padding)
{
    asio::io_context io;
    ScriptedUpstream upstream(io, "u");
    upstream.scriptedResponses = {response};
    std::atomic<bool> ended = false;
    std::optional<HttpResponse> received;
    LastReason reason;
    std::thread client([&]() {
        received = blockingCall(upstream.address(), makeRequest(boost::beast::http::verb::post, "/", padding), reason);
        ended = true;
    });
    while (!ended) {
        io.run_one_for(std::chrono::milliseconds(1));
    }
    client.join();
    if (received) {
        // The commands report other statuses as failures.
        return {received->result_int() == 200 && received->body() == rowContent};
    }
    return failedCall(reason.failure());
}

Reading readRow(const ScriptedResponse &response, const std::string &)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    const PlatformClient client(endpointOf(store));
    LastReason reason;
    const auto row = await(io, client.readRow("config/head", reason));
    return row && row->version == 7 ? Reading{true} : failedRead(reason.failure());
}

Reading committed(const TransactionOutcome &outcome)
{
    if (const auto *unknown = std::get_if<TransactionIndeterminate>(&outcome)) {
        return {false, true, unknown->failure.detail};
    }
    return {std::holds_alternative<TransactionCommitted>(outcome), false};
}

Reading transact(const ScriptedResponse &response, const std::string &padding)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    const PlatformClient client(endpointOf(store));
    return committed(await(io, client.transact({.puts = {{"key", "\"" + padding + "\""}}})));
}

Reading rate(const ScriptedResponse &response, const std::string &padding)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    const PlatformClient client(endpointOf(store));
    LastReason reason;
    const auto rating = await(io, client.rate(AccountId("a"), TaskName("t"), "question", padding, reason));
    return rating ? Reading{true} : failedRead(reason.failure());
}

Reading probe(const ScriptedResponse &response, const std::string &)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    LastReason reason;
    const auto result = await(io, probeStore(endpointOf(store), StoreProbe::Read, 1, reason));
    return result ? Reading{true} : failedRead(reason.failure());
}

Reading readInstances(const ScriptedResponse &response, const std::string &)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    LastReason reason;
    const auto list = await(io, readInstanceList(endpointOf(store), reason));
    return list ? Reading{true} : failedRead(reason.failure());
}

Reading readIngressTable(const ScriptedResponse &response, const std::string &)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    platform::Platform client(io.get_executor(), endpointOf(store));
    LastReason reason;
    const auto snapshot = await(io, client.readTable(StoreTable::Orders, reason));
    return snapshot ? Reading{true} : failedRead(reason.failure());
}

Reading transactAtIngress(const ScriptedResponse &response, const std::string &padding)
{
    asio::io_context io;
    ScriptedUpstream store(io, "store");
    store.scriptedResponses = {response};
    platform::Platform client(io.get_executor(), endpointOf(store));
    return committed(await(io, client.transact({.puts = {{"status/rollout/s", padding}}})));
}

Reading askReader(const ScriptedResponse &response, const std::string &padding)
{
    Reading reading;
    reading.detail = capturedOutput(STDOUT_FILENO, [&]() {
        ForwardRig rig({.log = {}});
        ScriptedUpstream reader(rig.io, "reader");
        reader.scriptedResponses = {response};
        RecordingKnowledge knowledge;
        knowledge.report = padding;
        StoreRelay relay(rig.context, InstanceId("asker"), knowledge);
        std::vector<PeerMember> members = {{InstanceId("reader"), reader.address(), 4}};
        for (const char *name : {"gone-1", "gone-2", "gone-3", "gone-4"}) {
            members.push_back({InstanceId(name), "127.0.0.1:1", 0});
        }
        relay.setMembers(members);
        relay.start();
        // The next reader is asked as soon as the answer of the first one was read.
        while (knowledge.polls < 2) {
            rig.io.run_one();
        }
        rig.log.flush();
        reading.isAccepted = knowledge.hasApplied;
    });
    return reading;
}

Reading pollLoad(const ScriptedResponse &response, const std::string &)
{
    ChatRig rig(response);
    LoadPoller poller(rig.context);
    poller.start();
    const UpstreamView &view = rig.blackboard.upstreams[UpstreamId("e1")];
    // Once the request was received, the I/O context is idle only after the answer was read.
    while (view.reportedRunning == 0
           && (rig.io.run_one_for(std::chrono::milliseconds(5)) > 0 || rig.upstream.requests.empty())) { }
    return {view.reportedRunning > 0};
}

Reading callModel(const ScriptedResponse &response, const std::string &padding)
{
    ScriptedResponse streamed = response;
    streamed.answerTo = [&response](const std::string &request) {
        std::string answer = response.answer;
        const std::string field = R"("attempt":")";
        const std::string attempt = request.substr(request.find(field) + field.size(), attemptPlaceholder.size());
        for (std::size_t at = 0; (at = answer.find(attemptPlaceholder)) != std::string::npos;) {
            answer.replace(at, attemptPlaceholder.size(), attempt);
        }
        return answer;
    };
    ChatRig rig(streamed);
    ModelCallParameters parameters{.request = RequestId("r"),
                                   .account = AccountId("agents"),
                                   .version = version("karri", "7"),
                                   .prompt = padding,
                                   .maxWait = Milliseconds(2000)};
    ModelCall call(rig.context, std::move(parameters), {});
    LastReason reason;
    const auto answer = await(rig.io, call.run(reason));
    return answer && answer->text == "the text" ? Reading{true} : failedCall(reason.failure());
}

Reading callService(const ScriptedResponse &response, const std::string &padding)
{
    ChatRig rig(response);
    ServiceCallParameters parameters{.request = RequestId("r"),
                                     .account = AccountId("agents"),
                                     .task = {ServiceName("ledger"), "unlock"},
                                     .body = padding,
                                     .repeatable = true,
                                     .maxWait = Milliseconds(2000)};
    ServiceCall call(rig.context, std::move(parameters));
    LastReason reason;
    const auto answer = await(rig.io, call.run(reason));
    return answer && answer->body == serviceContent ? Reading{true} : failedCall(reason.failure());
}

std::vector<Reader> readers()
{
    const std::string offer = serialise(RelayOffer{.era = 1, .members = 5});
    return {
        {"parsleyvanectl", rowContent, readBlocking, true, true},
        {"the store's row", rowContent, readRow, true, false, "platform"},
        {"the store's transaction", R"({"committed":true})", transact, true, true, "platform"},
        {"a rating", ratingContent, rate, true, true, "platform"},
        {"the configuration probe", rowContent, probe, true, false, "platform"},
        {"the instance list", membersContent, readInstances, true, false, "platform"},
        {"the ingress's table", emptyTableContent, readIngressTable, true, false},
        {"the ingress's transaction", "{}", transactAtIngress, true, true},
        {"the relay", offer, askReader, true, true},
        {"the load report", loadContent, pollLoad, true, false, "e1"},
        {"a service call", serviceContent, callService, true, true, "s1"},
        {"a model call", modelContent, callModel, false, true, "e2"},
    };
}

RawMessage soundAnswer(const Reader &reader)
{
    return RawMessage::withLength({"Content-Type: application/json"}, reader.content);
}

void expectRejected(const Reader &reader, const MessageChange &change, bool closes)
{
    const ScriptedResponse response{.answer = change.changed(soundAnswer(reader)), .closesConnection = closes};
    const Reading reading = reader.read(response, "{}");
    const std::string what = reader.name + ", " + change.name + ", " + reading.detail;
    CPPUNIT_ASSERT_MESSAGE(what, !reading.isAccepted);
    CPPUNIT_ASSERT_MESSAGE(what, reading.mayHaveRun);
}

void expectRejected(const std::vector<MessageChange> &changes)
{
    for (const Reader &reader : readers()) {
        for (const MessageChange &change : changes) {
            if (change.isAtEnd && !reader.needsEnd) {
                continue;
            }
            expectRejected(reader, change, true);
            expectRejected(reader, change, false);
        }
    }
}

} // namespace

/// Every reader of answers beside the routes, by the same malformed and unusual answers.
class ReadersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReadersTest);
    CPPUNIT_TEST(noReaderAcceptsAnInvalidStatusCode);
    CPPUNIT_TEST(noReaderAcceptsAMalformedField);
    CPPUNIT_TEST(noReaderAcceptsAFoldedField);
    CPPUNIT_TEST(noReaderAcceptsAnUnsupportedTransferCoding);
    CPPUNIT_TEST(noReaderAcceptsMalformedFraming);
    CPPUNIT_TEST(noReaderTakesTheContentOfAnError);
    CPPUNIT_TEST(everyReaderAcceptsAnUnusualForm);
    CPPUNIT_TEST(noReaderAcceptsAnAnswerThatIsResetDuringTheUpload);
    CPPUNIT_TEST(aMalformedAnswerIsNoCrash);
    CPPUNIT_TEST(aMalformedAnswerIsLoggedOrPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void noReaderAcceptsAnInvalidStatusCode()
    {
        expectRejected(invalidStatusCodes());
    }

    void noReaderAcceptsAMalformedField()
    {
        expectRejected(malformedFields());
    }

    void noReaderAcceptsAFoldedField()
    {
        expectRejected(foldedFields());
    }

    void noReaderAcceptsAnUnsupportedTransferCoding()
    {
        expectRejected(unsupportedCodings());
    }

    void noReaderAcceptsMalformedFraming()
    {
        expectRejected(malformedStatusLines());
        expectRejected(malformedFraming());
    }

    void noReaderTakesTheContentOfAnError()
    {
        const MessageChange change{"status 500", [](RawMessage &answer) {
                                       answer.startLine = "HTTP/1.1 500 Any";
                                   }};
        for (const Reader &reader : readers()) {
            expectRejected(reader, change, true);
        }
    }

    void everyReaderAcceptsAnUnusualForm()
    {
        for (const Reader &reader : readers()) {
            for (const MessageChange &change : unusualAnswers()) {
                const Reading reading = reader.read({.answer = change.changed(soundAnswer(reader))}, "{}");
                CPPUNIT_ASSERT_MESSAGE(reader.name + ", " + change.name + ", " + reading.detail, reading.isAccepted);
            }
        }
    }

    /// The answers have no length, so that only the close of the connection could tell their end.
    void noReaderAcceptsAnAnswerThatIsResetDuringTheUpload()
    {
        constexpr std::size_t uploadBytes = 4U << 20U;
        const std::string padding(uploadBytes, 'u');
        for (const Reader &reader : readers()) {
            for (const std::size_t readBytes : {std::size_t{1}, uploadBytes / 2, uploadBytes + 1}) {
                for (const int pause : {0, 1, 10}) {
                    if (!reader.hasUpload) {
                        continue;
                    }
                    RawMessage answer = soundAnswer(reader);
                    answer.framing.clear();
                    if (!reader.needsEnd) {
                        answer.body.resize(answer.body.size() / 2);
                    }
                    const Reading reading = reader.read(
                        {.answer = answer.text(), .pause = std::chrono::milliseconds(pause), .readBytes = readBytes},
                        padding);
                    const std::string what = reader.name + ", reset after " + std::to_string(readBytes) + " bytes and "
                        + std::to_string(pause) + " ms, " + reading.detail;
                    CPPUNIT_ASSERT_MESSAGE(what, !reading.isAccepted);
                    CPPUNIT_ASSERT_MESSAGE(what, reading.mayHaveRun);
                }
            }
        }
    }

    void aMalformedAnswerIsNoCrash()
    {
        for (const auto &changes : {invalidStatusCodes(), malformedFields(), foldedFields(), unsupportedCodings()}) {
            const RawMessage sound = RawMessage::withLength({"Content-Type: application/json"}, loadContent);
            asio::io_context io;
            ScriptedUpstream upstream(io, "u");
            upstream.scriptedResponses = {{.answer = changes.front().changed(sound)}};
            HttpCall call(io.get_executor(), "u", endpointOf(upstream));
            CPPUNIT_ASSERT_MESSAGE(changes.front().name, !await(io, hasProcessExited(call)));
        }
    }

    void aMalformedAnswerIsLoggedOrPassedOn()
    {
        const MessageChange change = invalidStatusCodes().front();
        for (const Reader &reader : readers()) {
            // Lines in quick succession are dropped.
            std::this_thread::sleep_for(std::chrono::milliseconds(120));
            Reading reading;
            const std::string output = capturedOutput(
                STDERR_FILENO, [&]() { reading = reader.read({.answer = change.changed(soundAnswer(reader))}, "{}"); });
            const std::string what = reader.name + ": " + reading.detail + ", " + output;
            if (reader.peer.empty()) {
                CPPUNIT_ASSERT_MESSAGE(what, reading.detail.find("status 000") != std::string::npos);
                continue;
            }
            const std::string line = "malformed response of " + reader.peer + ": status 000\n";
            CPPUNIT_ASSERT_MESSAGE(what, output.find(line) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadersTest);

} // namespace parsleyvane::test
