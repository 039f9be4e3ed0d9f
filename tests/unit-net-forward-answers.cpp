#include "suite.h"

#include "capturedoutput.h"
#include "forwardrig.h"
#include "rawmessage.h"

namespace parsleyvane::test {

namespace {

/// Kinds of routes, by what may follow after an answer that is unusable.
enum class RouteKind { Plain, Unsafe, Stream, ResumedStream };

constexpr std::array routeKinds = {RouteKind::Plain, RouteKind::Unsafe, RouteKind::Stream, RouteKind::ResumedStream};
/// Well before the deadline, which is that of an upstream that stays silent.
constexpr Milliseconds promptly{900};
const std::string lastChunk = "0\r\n\r\n";
const std::string events = "id: 2\ndata: y\n\nid: 3\ndata: z\n\n";

bool isStream(RouteKind kind)
{
    return kind == RouteKind::Stream || kind == RouteKind::ResumedStream;
}

RawMessage soundAnswer(RouteKind kind)
{
    std::string content = isStream(kind) ? events : "the body";
    if (kind == RouteKind::Stream) {
        content.insert(0, "id: 1\ndata: x\n\n");
    }
    const std::string lines = requestIdHeader() + signatureHeader;
    return RawMessage::withLength({lines + "X-Marker: 1", "Content-Type: text/event-stream"}, content);
}

/// An ingress with one route and two upstreams, of which "u" is chosen first.
class AnswerRig : public ForwardRig
{
public:
    explicit AnswerRig(RouteKind kind, bool hedges = false, LogLimits logLimits = {.linesPerSecond = 0})
        : ForwardRig({.log = logLimits})
        , kind(kind)
        , hedges(hedges)
    {
        const Repeatability repeat = isStream(kind) ? Repeatability::Resumable
            : kind == RouteKind::Plain              ? Repeatability::Always
                                                    : Repeatability::Once;
        this->route("r", repeat, isStream(kind));
        if (hedges) {
            this->hedge("r", Milliseconds(5));
        }
    }

    /// The first upstream begins a stream that is to be resumed, and sends its own answer late if hedges are enabled.
    ScriptedUpstream &first(const std::string &answer, bool closes)
    {
        std::deque<ScriptedResponse> responses;
        if (this->kind == RouteKind::ResumedStream) {
            responses.push_back({streamHead() + chunkedEvent(1)});
        }
        ScriptedResponse response{.answer = answer, .closesConnection = closes};
        if (this->hedges) {
            response
                = {.answer = "", .closesConnection = closes, .rest = answer, .pause = std::chrono::milliseconds(20)};
        }
        responses.push_back(response);
        return this->upstream("u", responses);
    }

    ScriptedUpstream &second(const std::string &answer, bool closes)
    {
        return this->remoteUpstream("v", {{.answer = answer, .closesConnection = closes}});
    }

    std::string send()
    {
        const TimePoint startedAt = bootClockNow();
        std::string answer = this->exchange(clientRequest("/r/"));
        this->took = bootClockNow() - startedAt;
        return answer;
    }

    Milliseconds took{0};

private:
    RouteKind kind;
    bool hedges;
};

/// No part of an upstream's answer may reach the client, which learns that its request may have run.
void expectNoAnswer(RouteKind kind, bool hedges, const MessageChange &change, bool closes)
{
    AnswerRig rig(kind, hedges);
    const std::string broken = change.changed(soundAnswer(kind));
    rig.first(broken, closes);
    rig.second(broken, closes);
    const std::string answer = rig.send();
    const std::string what = change.name + ", route " + std::to_string(static_cast<int>(kind))
        + (hedges ? ", hedged" : "") + (closes ? ", closed: " : ", kept open: ") + answer;
    CPPUNIT_ASSERT_MESSAGE(what, rig.took < promptly);
    if (isStream(kind) && change.isAtEnd) {
        // Its events were relayed before the defect was received.
        CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 200") && !answer.ends_with(lastChunk));
        return;
    }
    if (kind == RouteKind::ResumedStream) {
        CPPUNIT_ASSERT_MESSAGE(what, answer.find("id: 1\n") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(what, answer.find("id: 2\n") == std::string::npos && !answer.ends_with(lastChunk));
        return;
    }
    CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 502"));
    CPPUNIT_ASSERT_MESSAGE(what, answer.find(R"("run":"unknown")") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(what, answer.find("X-Marker") == std::string::npos);
}

void expectNoAnswer(const std::vector<MessageChange> &changes)
{
    for (const MessageChange &change : changes) {
        for (const RouteKind kind : routeKinds) {
            expectNoAnswer(kind, false, change, true);
            expectNoAnswer(kind, false, change, false);
            expectNoAnswer(kind, true, change, false);
        }
    }
}

std::string contentOf(const std::string &answer)
{
    std::string content;
    std::size_t at = answer.find("\r\n\r\n") + 4;
    if (answer.find("Transfer-Encoding: chunked") > at) {
        return answer.substr(at);
    }
    for (std::size_t size = std::stoul(answer.substr(at), nullptr, 16); size > 0;
         size = std::stoul(answer.substr(at), nullptr, 16)) {
        at = answer.find("\r\n", at) + 2;
        content.append(answer.substr(at, size));
        at += size + 2;
    }
    return content;
}

} // namespace

/// Answers that are not well-formed HTTP/1.1, and unusual ones that are, on each kind of route.
class AnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerTest);
    CPPUNIT_TEST(anInvalidStatusCodeIsNoAnswer);
    CPPUNIT_TEST(aMalformedFieldIsNoAnswer);
    CPPUNIT_TEST(aFoldedFieldIsNoAnswer);
    CPPUNIT_TEST(anUnsupportedTransferCodingIsNoAnswer);
    CPPUNIT_TEST(malformedFramingIsNoAnswer);
    CPPUNIT_TEST(anUnusualFormIsRelayed);
    CPPUNIT_TEST(anotherUpstreamAnswersWhereARepeatIsAllowed);
    CPPUNIT_TEST(aMalformedAnswerIsLogged);
    CPPUNIT_TEST(trailersAreNotRelayedAsFields);
    CPPUNIT_TEST(anEmptyAnswerInPiecesIsRelayed);
    CPPUNIT_TEST(optionsOfEachConnectionLineAreRemoved);
    CPPUNIT_TEST(aConnectionThatAnyLineClosesIsNotUsedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void anInvalidStatusCodeIsNoAnswer()
    {
        expectNoAnswer(invalidStatusCodes());
    }

    void aMalformedFieldIsNoAnswer()
    {
        expectNoAnswer(malformedFields());
    }

    void aFoldedFieldIsNoAnswer()
    {
        expectNoAnswer(foldedFields());
    }

    void anUnsupportedTransferCodingIsNoAnswer()
    {
        expectNoAnswer(unsupportedCodings());
    }

    void malformedFramingIsNoAnswer()
    {
        expectNoAnswer(malformedStatusLines());
        expectNoAnswer(malformedFraming());
    }

    void anUnusualFormIsRelayed()
    {
        for (const MessageChange &change : unusualAnswers()) {
            for (const RouteKind kind : routeKinds) {
                for (const bool hedges : {false, true}) {
                    AnswerRig rig(kind, hedges);
                    const std::string sound = change.changed(soundAnswer(kind));
                    rig.first(sound, true);
                    rig.second(sound, true);
                    const std::string answer = rig.send();
                    const std::string what = change.name + ", route " + std::to_string(static_cast<int>(kind))
                        + (hedges ? ", hedged: " : ": ") + answer;
                    CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 200"));
                    const std::string expected = isStream(kind) ? "id: 1\ndata: x\n\n" + events : "the body";
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, expected, contentOf(answer));
                }
            }
        }
    }

    void anotherUpstreamAnswersWhereARepeatIsAllowed()
    {
        for (const MessageChange &change : {invalidStatusCodes().front(), unsupportedCodings().front()}) {
            for (const RouteKind kind : routeKinds) {
                AnswerRig rig(kind);
                rig.first(change.changed(soundAnswer(kind)), false);
                const ScriptedUpstream &other = rig.second(soundAnswer(kind).text(), true);
                const std::string answer = rig.send();
                if (kind == RouteKind::Unsafe) {
                    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502"));
                    CPPUNIT_ASSERT(other.requests.empty());
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.requests.size());
                const std::string expected = isStream(kind) ? "id: 1\ndata: x\n\n" + events : "the body";
                CPPUNIT_ASSERT_EQUAL(expected, contentOf(answer));
            }
        }
    }

    /// Guards against a log from which an operator cannot tell which upstream sends what.
    void aMalformedAnswerIsLogged()
    {
        const std::vector<std::pair<MessageChange, std::string>> defects
            = {{invalidStatusCodes().front(), "status 000"},
               {malformedFields().front(), "bad field"},
               {foldedFields().at(1), "folded field line"},
               {unsupportedCodings().front(), "unsupported transfer coding"}};
        for (const auto &[change, defect] : defects) {
            const std::string output = capturedOutput(STDOUT_FILENO, [&change = change]() {
                AnswerRig rig(RouteKind::Unsafe, false, {});
                rig.first(change.changed(soundAnswer(RouteKind::Unsafe)), true);
                rig.send();
                rig.log.flush();
            });
            const std::size_t line = output.find("event=malformed_answer");
            CPPUNIT_ASSERT_MESSAGE(output, line != std::string::npos);
            const std::string text = output.substr(line, output.find('\n', line) - line);
            CPPUNIT_ASSERT_MESSAGE(text, text.find("upstream=u") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(text, text.find("id=r-1") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(text, text.find("defect=\"" + defect + "\"") != std::string::npos);
        }
    }

    void trailersAreNotRelayedAsFields()
    {
        for (const std::string &content : {std::string(), ": no event\n\n" + events}) {
            AnswerRig rig(RouteKind::Stream);
            RawMessage sound = soundAnswer(RouteKind::Stream);
            sound.framing = {"Transfer-Encoding: chunked"};
            sound.body = (content.empty() ? content : chunk(content)) + "0\r\nX-Late: 1\r\n\r\n";
            rig.first(sound.text(), true);
            const std::string answer = rig.send();
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200") && answer.ends_with(lastChunk));
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("X-Marker") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.find("X-Late") == std::string::npos);
        }
    }

    void optionsOfEachConnectionLineAreRemoved()
    {
        RawMessage sound = soundAnswer(RouteKind::Plain);
        sound.fields.insert(sound.fields.end(),
                            {"Connection: X-First", "X-First: 1", "Connection: X-Any, X-Second", "X-Second: 1"});
        AnswerRig rig(RouteKind::Plain);
        rig.upstream("u", {{sound.text()}});
        const std::string answer = rig.send();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("X-First") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("X-Second") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("X-Marker") != std::string::npos);
    }

    void aConnectionThatAnyLineClosesIsNotUsedAgain()
    {
        for (const std::string option : {"X-Any", "close"}) {
            RawMessage sound = soundAnswer(RouteKind::Plain);
            sound.fields.insert(sound.fields.end(), {"Connection: keep-alive", "Connection: " + option});
            AnswerRig rig(RouteKind::Plain);
            const auto &upstream = rig.upstream("u", {{.answer = sound.text(), .closesConnection = false}});
            rig.send();
            rig.send();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(option, std::size_t{2}, upstream.requests.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(option, option == "close" ? 2U : 1U, upstream.connections);
        }
    }

    /// Guards against an upstream that ends the process with the last chunk in several segments.
    void anEmptyAnswerInPiecesIsRelayed()
    {
        const std::vector<std::string> pieces = {"0", "\r\n", "\r", "\n"};
        RawMessage sound = soundAnswer(RouteKind::Plain);
        sound.framing = {"Transfer-Encoding: chunked"};
        sound.body.clear();
        AnswerRig rig(RouteKind::Plain);
        rig.upstream("u",
                     {{.answer = sound.text(),
                       .nextPiece = [&](unsigned number) { return number < pieces.size() ? pieces.at(number) : ""; },
                       .pieceInterval = std::chrono::milliseconds(10)}});
        const std::string answer = rig.send();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::string(), contentOf(answer));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTest);

} // namespace parsleyvane::test
