#include "suite.h"

#include "forwardrig.h"

#include <algorithm>
#include <array>

namespace parsleyvane {

using test::chunkedEvent;
using test::clientRequest;
using test::ForwardRig;
using test::ScriptedResponse;
using test::streamHead;
using test::upstreamAnswer;

namespace {

/// A change of the configuration while a request is in flight.
enum class Change { RouteWithdrawn, RouteReplaced, RouteMoved, KeyRevoked };

/// The kind of route.
enum class Kind { Repeatable, RunOnce, ResumableStream, RunOnceStream };

constexpr std::array allChanges
    = {Change::RouteWithdrawn, Change::RouteReplaced, Change::RouteMoved, Change::KeyRevoked};
constexpr std::array allKinds = {Kind::Repeatable, Kind::RunOnce, Kind::ResumableStream, Kind::RunOnceStream};
constexpr int statusReset = 0; ///< the connection ended without a complete answer

const std::string lastChunk = "0\r\n\r\n";
const std::string notExecutedAnswer = "HTTP/1.1 503 Full\r\nX-Parsleyvane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::string describe(Kind kind, Change change)
{
    constexpr std::array kinds = {"repeatable", "run once", "resumable stream", "run-once stream"};
    constexpr std::array changes = {"withdrawn", "replaced", "moved", "key revoked"};
    return std::string(kinds.at(static_cast<std::size_t>(kind))) + ", " + changes.at(static_cast<std::size_t>(change));
}

bool isStream(Kind kind)
{
    return kind == Kind::ResumableStream || kind == Kind::RunOnceStream;
}

bool isRepeatable(Kind kind)
{
    return kind == Kind::Repeatable || kind == Kind::ResumableStream;
}

std::shared_ptr<RouteTable> makeTable(Kind kind, std::optional<Change> change)
{
    auto table = std::make_shared<RouteTable>(Revision(change ? 2 : 1));
    table->requireKeys();
    if (change != Change::KeyRevoked) {
        table->addKey("key", {.account = AccountId("account")});
    }
    constexpr std::array repeats
        = {Repeatability::Always, Repeatability::Once, Repeatability::Resumable, Repeatability::Once};
    RouteRule route{.name = RouteName("r"),
                    .host = "h",
                    .prefix = "/r/",
                    .repeat = repeats.at(static_cast<std::size_t>(kind)),
                    .streams = isStream(kind),
                    .timeout = Milliseconds(1200),
                    .objective = Milliseconds(200),
                    .interEventObjective = Milliseconds(200),
                    .maxAttempts = 3,
                    .services = {{ServiceName("s"), 1}}};
    if (isStream(kind)) {
        route.sizes = {ModelName("small"), ModelName("large")};
    }
    if (change == Change::RouteReplaced) {
        route.rank = 1;
        route.maxAttempts = 1;
        route.sizes.resize(std::min<std::size_t>(route.sizes.size(), 1));
    }
    if (change == Change::RouteMoved) {
        route.services = {{ServiceName("t"), 1}};
    }
    if (change != Change::RouteWithdrawn) {
        table->addRoute(std::move(route));
    }
    return table;
}

const std::string confidentHead = streamHead("r-1", "X-Parsleyvane-Confidence: 100\r\n");

/// An upstream's complete answer.
std::string answerTo(Kind kind)
{
    if (!isStream(kind)) {
        return upstreamAnswer(200, "whole");
    }
    return confidentHead + chunkedEvent(1) + chunkedEvent(2) + lastChunk;
}

/// The status of a complete answer; statusReset for a truncated one.
int statusOf(const std::string &answer)
{
    constexpr std::size_t begin = 9;
    const std::size_t head = answer.find("\r\n\r\n");
    if (head == std::string::npos) {
        return statusReset;
    }
    const bool isChunked = answer.find("Transfer-Encoding: chunked") < head;
    return isChunked && !answer.ends_with(lastChunk) ? statusReset : std::stoi(answer.substr(begin, 3));
}

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

/// One request of the kind, and the change that a test applies at some step of it.
class Reconfiguration
{
public:
    Reconfiguration(Kind kind, Change change)
        : kind(kind)
        , change(change)
    {
        this->rig.reconfigure(makeTable(kind, std::nullopt));
        this->rig.upstreamOf(ServiceName("t"), {{answerTo(kind)}});
    }

    /// The step at which the test applies the change.
    std::function<void()> apply()
    {
        return [this]() {
            this->rig.reconfigure(makeTable(this->kind, this->change));
        };
    }

    /// Applies the change when the current handler has returned.
    std::function<void()> applySoon()
    {
        return [this]() {
            boost::asio::post(this->rig.io, this->apply());
        };
    }

    std::string send()
    {
        return this->rig.exchange(clientRequest("/r/", "r-1", "X-Parsleyvane-Credential: key\r\n"));
    }

    /// Expects what the new configuration says, since the request has not run.
    void expectNewConfiguration()
    {
        const std::string message = describe(this->kind, this->change);
        const std::string answer = this->send();
        constexpr std::array statuses = {404, 200, 200, 401};
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, statuses.at(static_cast<std::size_t>(this->change)), statusOf(answer));
        const bool isMoved = this->change == Change::RouteMoved;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{isMoved ? 1U : 0U},
                                     this->rig.upstreams.front()->requests.size());
    }

    /// Expects the complete answer of the service that the request was sent to.
    void expectAnswer(std::size_t dispatches)
    {
        const std::string message = describe(this->kind, this->change);
        const std::string answer = this->send();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 200, statusOf(answer));
        if (isStream(this->kind)) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{1}, count(answer, "id: 1\n"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{1}, count(answer, "id: 2\n"));
        }
        this->expectDispatches(dispatches);
    }

    void expectStatus(int status, std::size_t dispatches)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(describe(this->kind, this->change), status, statusOf(this->send()));
        this->expectDispatches(dispatches);
    }

    /// Expects that many requests at the service "s", and none at the other one.
    void expectDispatches(std::size_t dispatches)
    {
        const std::string message = describe(this->kind, this->change);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0}, this->rig.upstreams.front()->requests.size());
        std::size_t sum = 0;
        for (const auto &upstream : this->rig.upstreams) {
            sum += upstream->requests.size();
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, dispatches, sum);
    }

    Kind kind;
    Change change;
    ForwardRig rig;
};

/// Runs a check for each change, and each kind of route that the filter accepts.
template<typename Check>
void forEach(bool (*accepts)(Kind), const Check &check)
{
    for (const Kind kind : allKinds) {
        if (!accepts(kind)) {
            continue;
        }
        for (const Change change : allChanges) {
            Reconfiguration test(kind, change);
            check(test);
        }
    }
}

bool any(Kind /*kind*/)
{
    return true;
}

} // namespace

class ReconfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReconfigurationTest);
    CPPUNIT_TEST(aSilentStreamResumesWhateverChanged);
    CPPUNIT_TEST(aRequestThatIsStillConnectingFollowsTheNewConfiguration);
    CPPUNIT_TEST(aRefusedRequestFollowsTheNewConfiguration);
    CPPUNIT_TEST(aRequestThatIsBeingSentIsAnsweredWhateverChanged);
    CPPUNIT_TEST(aRequestThatAwaitsItsHeadIsAnsweredWhateverChanged);
    CPPUNIT_TEST(aWholeAnswerIsRelayedWhateverChanged);
    CPPUNIT_TEST(aStreamGoesOnWhateverChanged);
    CPPUNIT_TEST(aRequestThatMayHaveRunIsRepeatedWhateverChanged);
    CPPUNIT_TEST(aTruncatedStreamResumesWhateverChanged);
    CPPUNIT_TEST(anEscalatedRequestIsAnsweredWhateverChanged);
    CPPUNIT_TEST(aPoorAnswerIsRelayedWhenNoUpstreamIsLeftForAnother);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSilentStreamResumesWhateverChanged()
    {
        forEach([](Kind kind) { return kind == Kind::ResumableStream; },
                [](Reconfiguration &test) {
                    test.rig.upstream("u", {{confidentHead + chunkedEvent(1), true, true, test.apply()}});
                    test.rig.remoteUpstream("v", {{confidentHead + chunkedEvent(2) + lastChunk}});
                    test.expectAnswer(2);
                });
    }

    void aRequestThatIsStillConnectingFollowsTheNewConfiguration()
    {
        forEach(any, [](Reconfiguration &test) {
            test.rig.upstream("u", {{answerTo(test.kind)}});
            test.rig.platform.onRequestRead = test.applySoon();
            test.expectNewConfiguration();
        });
    }

    void aRefusedRequestFollowsTheNewConfiguration()
    {
        forEach(any, [](Reconfiguration &test) {
            test.rig.upstream("u", {{"", true, false, test.apply(), notExecutedAnswer}, {answerTo(test.kind)}});
            test.expectNewConfiguration();
        });
    }

    void aRequestThatIsBeingSentIsAnsweredWhateverChanged()
    {
        forEach(any, [](Reconfiguration &test) {
            test.rig.upstream("u", {{answerTo(test.kind)}});
            test.rig.platform.onUpstreamRequest = test.applySoon();
            test.expectAnswer(1);
        });
    }

    void aRequestThatAwaitsItsHeadIsAnsweredWhateverChanged()
    {
        forEach(any, [](Reconfiguration &test) {
            test.rig.upstream("u", {{"", true, false, test.apply(), answerTo(test.kind)}});
            test.expectAnswer(1);
        });
    }

    void aWholeAnswerIsRelayedWhateverChanged()
    {
        forEach([](Kind kind) { return !isStream(kind); },
                [](Reconfiguration &test) {
                    const std::string whole = answerTo(test.kind);
                    const std::size_t half = whole.size() - 2;
                    test.rig.upstream("u", {{whole.substr(0, half), true, false, test.apply(), whole.substr(half)}});
                    test.expectAnswer(1);
                });
    }

    void aStreamGoesOnWhateverChanged()
    {
        forEach(isStream, [](Reconfiguration &test) {
            test.rig.upstream(
                "u", {{confidentHead + chunkedEvent(1), true, false, test.apply(), chunkedEvent(2) + lastChunk}});
            test.expectAnswer(1);
        });
    }

    void aRequestThatMayHaveRunIsRepeatedWhateverChanged()
    {
        forEach(any, [](Reconfiguration &test) {
            test.rig.upstream("u", {{"", true, false, test.apply()}, {answerTo(test.kind)}});
            if (isRepeatable(test.kind)) {
                test.expectAnswer(2);
            } else {
                test.expectStatus(502, 1);
            }
        });
    }

    void aTruncatedStreamResumesWhateverChanged()
    {
        forEach(isStream, [](Reconfiguration &test) {
            test.rig.upstream("u",
                              {{confidentHead + chunkedEvent(1), true, false, test.apply()},
                               {confidentHead + chunkedEvent(2) + lastChunk}});
            if (isRepeatable(test.kind)) {
                test.expectAnswer(2);
            } else {
                test.expectStatus(statusReset, 1);
            }
        });
    }

    void anEscalatedRequestIsAnsweredWhateverChanged()
    {
        forEach(isStream, [](Reconfiguration &test) {
            const std::string poorAnswer
                = streamHead("r-1", "X-Parsleyvane-Confidence: 0\r\n") + chunkedEvent(1) + chunkedEvent(2) + lastChunk;
            test.rig.upstream("u", {{"", true, false, test.apply(), poorAnswer}, {answerTo(test.kind)}});
            test.expectAnswer(isRepeatable(test.kind) ? 2 : 1);
        });
    }

    void aPoorAnswerIsRelayedWhenNoUpstreamIsLeftForAnother()
    {
        Reconfiguration test(Kind::ResumableStream, Change::RouteReplaced);
        const std::string poorAnswer
            = streamHead("r-1", "X-Parsleyvane-Confidence: 0\r\n") + chunkedEvent(1) + chunkedEvent(2) + lastChunk;
        const auto remove = [&test]() {
            test.rig.context.fleetView.upstreams.remove(UpstreamId("u"), bootClockNow());
        };
        test.rig.upstream("u", {{"", true, false, remove, poorAnswer}});
        test.expectAnswer(1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReconfigurationTest);

} // namespace parsleyvane
