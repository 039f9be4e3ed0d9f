#include "suite.h"

#include "forwardrig.h"
#include "rawmessage.h"

namespace parsleyvane {

using test::chunk;
using test::chunkedEvent;
using test::clientRequest;
using test::deadlineHeader;
using test::ForwardRig;
using test::notExecutedHeader;
using test::requestIdHeader;
using test::ScriptedResponse;
using test::ScriptedUpstream;
using test::signatureHeader;
using test::streamHead;
using test::upstreamAnswer;

namespace {

using PieceSource = std::function<std::string(unsigned)>;

constexpr std::size_t fastPieceBytes = 16384;
constexpr std::chrono::milliseconds slowInterval{50};
constexpr Milliseconds clientTimeout{600};
constexpr Milliseconds clientPatience{2500}; ///< a client that waits for longer than its own timeout
constexpr Milliseconds lateness{400}; ///< of the test machine
constexpr Milliseconds closeTime{250}; ///< in which an upstream notices that its connection was closed
constexpr std::size_t maxHeadBytes = 8192;
constexpr std::size_t maxAnswerBytes = 1U << 20U;
constexpr std::size_t maxEventBytes = 64U << 10U;
constexpr std::size_t maxStreamBytes = 16U << 20U;
constexpr std::size_t socketBufferBytes = 512U << 10U; ///< sent, but not read before the connection was closed
const std::string wholeAnswer = upstreamAnswer(200, "whole");
const std::string wholeStream = streamHead() + chunkedEvent(1) + chunkedEvent(2) + "0\r\n\r\n";
const std::string signedHead = "HTTP/1.1 200 OK\r\n" + requestIdHeader() + signatureHeader;
const std::string foreignSignedHead = "HTTP/1.1 200 OK\r\n" + requestIdHeader("r-0") + signatureHeader;
const std::string foreignHead = foreignSignedHead + "\r\n";
const std::string foreignChunkedHead = foreignSignedHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string chunkedHead = signedHead + "Transfer-Encoding: chunked\r\n\r\n";

/// The text repeated until a piece is long enough to be sent fast.
PieceSource fast(const std::string &text)
{
    std::string piece;
    while (piece.size() < fastPieceBytes) {
        piece += text;
    }
    return [piece](unsigned) {
        return piece;
    };
}

PieceSource always(const std::string &text)
{
    return [text](unsigned) {
        return text;
    };
}

ScriptedResponse fastResponse(const std::string &begin, const std::string &text)
{
    return {.answer = begin, .nextPiece = fast(text)};
}

ScriptedResponse slowResponse(const std::string &begin, const std::string &text)
{
    return {.answer = begin, .nextPiece = always(text), .pieceInterval = slowInterval};
}

/// What a client with a timeout received, and after what time.
struct Received
{
    std::string answer;
    Milliseconds after{0};
};

Received request(ForwardRig &rig, const std::string &path, const std::string &id = "r-1")
{
    const TimePoint startedAt = bootClockNow();
    std::string answer = rig.exchange(clientRequest(path, id, deadlineHeader(clientTimeout)), clientPatience);
    return {std::move(answer), bootClockNow() - startedAt};
}

void expectInTime(const Received &received)
{
    CPPUNIT_ASSERT(received.after < clientTimeout + lateness);
}

/// The request may have run: nothing may look like a success, or promise that it has not run.
void expectTruthfulFailure(const Received &received)
{
    expectInTime(received);
    CPPUNIT_ASSERT(received.answer.starts_with("HTTP/1.1 502") || received.answer.starts_with("HTTP/1.1 504"));
    CPPUNIT_ASSERT(received.answer.find("Server-Signature") == std::string::npos);
}

/// A stream that has begun must not look complete.
void expectUnfinished(const Received &received)
{
    expectInTime(received);
    CPPUNIT_ASSERT(received.answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(!received.answer.ends_with("0\r\n\r\n"));
}

void expectClosed(ForwardRig &rig, const ScriptedUpstream &upstream, std::size_t maxBytes)
{
    rig.runFor(closeTime);
    CPPUNIT_ASSERT_EQUAL(0U, upstream.endlessOpen);
    CPPUNIT_ASSERT_LESSEQUAL(maxBytes + socketBufferBytes, upstream.endlessBytes);
}

/// Routes of all kinds, an upstream that sends without end, and one that answers, which is chosen after it.
struct EndlessRig : ForwardRig
{
    explicit EndlessRig(ScriptedResponse response)
    {
        this->route("once", Repeatability::Once);
        this->route("often", Repeatability::Always);
        this->route("stream", Repeatability::Resumable, true);
        this->route("live", Repeatability::Once, true);
        this->endless = &this->upstream("u", {std::move(response)});
    }

    ScriptedUpstream *endless = nullptr;
};

/// No client gets anything of the bytes, and a repeatable request is answered by another upstream.
void expectNoAnswer(const ScriptedResponse &response, std::size_t maxBytes)
{
    {
        EndlessRig rig(response);
        expectTruthfulFailure(request(rig, "/once/"));
        expectClosed(rig, *rig.endless, maxBytes);
    }
    EndlessRig rig(response);
    rig.remoteUpstream("v", {{wholeAnswer}});
    const Received received = request(rig, "/often/");
    expectInTime(received);
    CPPUNIT_ASSERT(received.answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(received.answer.ends_with("whole"));
    expectClosed(rig, *rig.endless, maxBytes);
}

void expectResumed(const ScriptedResponse &response, std::size_t maxBytes)
{
    EndlessRig rig(response);
    rig.remoteUpstream("v", {{wholeStream}});
    const Received received = request(rig, "/stream/");
    expectInTime(received);
    CPPUNIT_ASSERT(received.answer.ends_with("0\r\n\r\n"));
    const std::size_t first = received.answer.find("id: 1\n");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(received.answer.find("id: 1\n", first + 1) == std::string::npos);
    CPPUNIT_ASSERT(received.answer.find("id: 2\n") != std::string::npos);
    expectClosed(rig, *rig.endless, maxBytes);
}

void expectBrokenOff(const ScriptedResponse &response, std::size_t maxBytes)
{
    EndlessRig rig(response);
    expectUnfinished(request(rig, "/live/"));
    expectClosed(rig, *rig.endless, maxBytes);
}

/// The answer to another request arrives on a reused connection.
void expectForeignAnswerAbandoned(const ScriptedResponse &response)
{
    EndlessRig rig({upstreamAnswer(200, "first"), false});
    rig.endless->scriptedResponses.push_back(response);
    CPPUNIT_ASSERT(request(rig, "/often/").answer.ends_with("first"));
    rig.remoteUpstream("v", {{upstreamAnswer(200, "whole", "r-2")}});
    const Received received = request(rig, "/often/", "r-2");
    expectInTime(received);
    CPPUNIT_ASSERT(received.answer.ends_with("whole"));
    CPPUNIT_ASSERT_EQUAL(1U, rig.endless->connections);
    expectClosed(rig, *rig.endless, maxAnswerBytes);
}

} // namespace

class EndlessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessTest);
    CPPUNIT_TEST(garbageInsteadOfAHeadIsNotRelayed);
    CPPUNIT_TEST(aHeadWithoutEndIsNotRelayed);
    CPPUNIT_TEST(interimAnswersWithoutEndAreNotRelayed);
    CPPUNIT_TEST(aSignedInterimAnswerIsNotRelayedAsFinal);
    CPPUNIT_TEST(anInterimAnswerDoesNotPromiseNotRun);
    CPPUNIT_TEST(theAnswerAfterAnInterimOneIsRelayed);
    CPPUNIT_TEST(aBodyWithAHugeLengthIsNotRelayed);
    CPPUNIT_TEST(aChunkedBodyWithoutEndIsNotRelayed);
    CPPUNIT_TEST(aBodyWithoutLengthOrEndIsNotRelayed);
    CPPUNIT_TEST(simultaneousAnswersWithoutEndShareALimit);
    CPPUNIT_TEST(aTricklingBodyIsAbandonedAtTheDeadline);
    CPPUNIT_TEST(aChunkExtensionWithoutEndIsNotBuffered);
    CPPUNIT_TEST(trailersWithoutEndAreNotBuffered);
    CPPUNIT_TEST(aRefusalWithABodyWithoutEndIsNotRelayed);
    CPPUNIT_TEST(anEventWithoutEndIsNotBuffered);
    CPPUNIT_TEST(aTricklingEventIsAbandonedInTime);
    CPPUNIT_TEST(commentsWithoutEndAreNotProgress);
    CPPUNIT_TEST(eventsThatWereRelayedBeforeAreNotProgress);
    CPPUNIT_TEST(aStreamOfValidEventsEndsAtTheDeadline);
    CPPUNIT_TEST(anotherRequestsSlowAnswerIsAbandoned);
    CPPUNIT_TEST(anotherRequestsEndlessAnswerIsNotReadOn);
    CPPUNIT_TEST(bytesWithoutEndAfterAnAnswerCloseTheConnection);
    CPPUNIT_TEST(bytesWithoutEndAfterAStreamCloseTheConnection);
    CPPUNIT_TEST(bytesOnAnIdleConnectionCloseIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void garbageInsteadOfAHeadIsNotRelayed()
    {
        expectNoAnswer(fastResponse("", "garbage "), maxHeadBytes);
        expectNoAnswer(slowResponse("", "garbage"), maxHeadBytes);
        expectNoAnswer(slowResponse("", std::string(7, '\0')), maxHeadBytes);
    }

    void aHeadWithoutEndIsNotRelayed()
    {
        expectNoAnswer(fastResponse(signedHead, "X-More: 1\r\n"), maxHeadBytes);
        expectNoAnswer(slowResponse(signedHead, "X-More: 1\r\n"), maxHeadBytes);
        expectNoAnswer(fastResponse(signedHead + "X-Long: ", "x"), maxHeadBytes);
        expectNoAnswer(slowResponse(signedHead + "X-Long: ", "x"), maxHeadBytes);
        expectNoAnswer(fastResponse("HTTP/1.1 200 ", "x"), maxHeadBytes);
        expectNoAnswer(slowResponse("HTTP/1.1 200 ", "x"), maxHeadBytes);
    }

    void interimAnswersWithoutEndAreNotRelayed()
    {
        expectNoAnswer(fastResponse("", "HTTP/1.1 100 Continue\r\n\r\n"), maxHeadBytes);
        expectNoAnswer(slowResponse("", "HTTP/1.1 103 Early Hints\r\n\r\n"), maxHeadBytes);
    }

    void aSignedInterimAnswerIsNotRelayedAsFinal()
    {
        const std::string interim = "HTTP/1.1 102 Any\r\n" + requestIdHeader() + signatureHeader + "\r\n";
        expectNoAnswer(fastResponse("", interim), maxHeadBytes);
    }

    void anInterimAnswerDoesNotPromiseNotRun()
    {
        expectNoAnswer(fastResponse("", "HTTP/1.1 100 Any\r\n" + notExecutedHeader + "\r\n"), maxHeadBytes);
    }

    void theAnswerAfterAnInterimOneIsRelayed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{"HTTP/1.1 103 Early Hints\r\nX-Any: 1\r\n\r\n" + wholeAnswer}});
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(answer.ends_with("whole"));
    }

    void aBodyWithAHugeLengthIsNotRelayed()
    {
        const std::string head = signedHead + "Content-Length: 1099511627776\r\n\r\n";
        expectNoAnswer(fastResponse(head, "x"), maxAnswerBytes);
        expectNoAnswer(slowResponse(head, "x"), maxAnswerBytes);
    }

    void aChunkedBodyWithoutEndIsNotRelayed()
    {
        expectNoAnswer(fastResponse(chunkedHead, chunk(std::string(fastPieceBytes, 'x'))), maxAnswerBytes);
        expectNoAnswer(fastResponse(chunkedHead + "ffffffff\r\n", "x"), maxAnswerBytes);
    }

    void aBodyWithoutLengthOrEndIsNotRelayed()
    {
        expectNoAnswer(fastResponse(signedHead + "\r\n", "x"), maxAnswerBytes);
    }

    void simultaneousAnswersWithoutEndShareALimit()
    {
        AnswerMemory memory({.answerBytes = 100, .totalBytes = 150, .smallAnswerBytes = 10});
        {
            AnswerShare first(memory);
            AnswerShare second(memory);
            AnswerShare small(memory);
            CPPUNIT_ASSERT(first.take(100));
            CPPUNIT_ASSERT(!first.take(1));
            CPPUNIT_ASSERT(second.take(50));
            CPPUNIT_ASSERT(!second.take(1));
            CPPUNIT_ASSERT(small.take(10));
            CPPUNIT_ASSERT(!small.take(1));
        }
        AnswerShare later(memory);
        CPPUNIT_ASSERT(later.take(100));
    }

    void aTricklingBodyIsAbandonedAtTheDeadline()
    {
        expectNoAnswer(slowResponse(signedHead + "\r\n", "xyz"), maxAnswerBytes);
        expectNoAnswer(slowResponse(chunkedHead, chunk("x")), maxAnswerBytes);
        expectNoAnswer(slowResponse(signedHead + "Content-Length: 10000\r\n\r\n", "xyz"), maxAnswerBytes);
        expectNoAnswer(slowResponse("HTTP/1.1 500 Any\r\n" + signatureHeader + "\r\n", "x"), maxAnswerBytes);
    }

    void aChunkExtensionWithoutEndIsNotBuffered()
    {
        expectNoAnswer(fastResponse(chunkedHead + "1;", "x"), maxAnswerBytes);
        expectNoAnswer(slowResponse(chunkedHead + "1;", "x"), maxAnswerBytes);
    }

    void trailersWithoutEndAreNotBuffered()
    {
        expectNoAnswer(fastResponse(chunkedHead + "0\r\n", "X-More: 1\r\n"), maxAnswerBytes);
        expectNoAnswer(slowResponse(chunkedHead + "0\r\n", "X-More: 1\r\n"), maxAnswerBytes);
    }

    void aRefusalWithABodyWithoutEndIsNotRelayed()
    {
        EndlessRig rig(fastResponse("HTTP/1.1 503 Full\r\n" + notExecutedHeader + "\r\n", "x"));
        const Received received = request(rig, "/once/");
        expectInTime(received);
        CPPUNIT_ASSERT(received.answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(received.answer.find("xxxx") == std::string::npos);
        expectClosed(rig, *rig.endless, maxHeadBytes);
    }

    void anEventWithoutEndIsNotBuffered()
    {
        const std::string begin = streamHead() + chunkedEvent(1);
        const std::string long4Ki(4096, 'x');
        expectResumed(fastResponse(begin, chunk("data: " + long4Ki + "\n")), maxEventBytes);
        expectBrokenOff(fastResponse(begin, chunk("data: " + long4Ki + "\n")), maxEventBytes);
        expectResumed(fastResponse(begin, chunk(": " + long4Ki + "\n")), maxEventBytes);
        expectResumed(fastResponse(streamHead(), chunk(long4Ki)), maxEventBytes);
    }

    void aTricklingEventIsAbandonedInTime()
    {
        const std::string begin = streamHead() + chunkedEvent(1);
        expectResumed(slowResponse(begin, chunk("data: x\n")), maxEventBytes);
        expectBrokenOff(slowResponse(begin, chunk("data: x\n")), maxEventBytes);
        expectResumed(slowResponse(streamHead(), chunk("x")), maxEventBytes);
        expectResumed(slowResponse(begin + "1;", "x"), maxEventBytes);
    }

    void commentsWithoutEndAreNotProgress()
    {
        const std::string begin = streamHead() + chunkedEvent(1);
        expectResumed(slowResponse(begin, chunk(": comment\n\n")), maxStreamBytes);
        expectResumed(fastResponse(begin, chunk(": comment\n\n")), maxStreamBytes);
        expectBrokenOff(slowResponse(begin, chunk(": comment\n\n")), maxStreamBytes);
        expectBrokenOff(fastResponse(begin, chunk(": comment\n\n")), maxStreamBytes);
    }

    void eventsThatWereRelayedBeforeAreNotProgress()
    {
        const std::string begin = streamHead() + chunkedEvent(1);
        expectResumed(slowResponse(begin, chunkedEvent(1)), maxStreamBytes);
        expectResumed(fastResponse(begin, chunkedEvent(1)), maxStreamBytes);
        expectBrokenOff(slowResponse(begin, chunkedEvent(1)), maxStreamBytes);
        expectBrokenOff(fastResponse(begin, chunkedEvent(1)), maxStreamBytes);
    }

    void aStreamOfValidEventsEndsAtTheDeadline()
    {
        ScriptedResponse events{.answer = streamHead()};
        events.nextPiece = [](unsigned number) {
            return chunkedEvent(static_cast<int>(number) + 1);
        };
        for (const auto interval : {std::chrono::milliseconds(0), slowInterval}) {
            events.pieceInterval = interval;
            for (const char *path : {"/live/", "/stream/"}) {
                EndlessRig rig(events);
                expectUnfinished(request(rig, path));
                expectClosed(rig, *rig.endless, maxStreamBytes);
            }
        }
    }

    void anotherRequestsSlowAnswerIsAbandoned()
    {
        expectForeignAnswerAbandoned(slowResponse(foreignHead, "x"));
        expectForeignAnswerAbandoned(slowResponse(foreignChunkedHead, chunk("x")));
    }

    void anotherRequestsEndlessAnswerIsNotReadOn()
    {
        expectForeignAnswerAbandoned(fastResponse(foreignHead, "x"));
        expectForeignAnswerAbandoned(fastResponse(foreignChunkedHead, chunk("some bytes")));
    }

    void bytesWithoutEndAfterAnAnswerCloseTheConnection()
    {
        for (const char *path : {"/once/", "/often/"}) {
            EndlessRig rig(fastResponse(wholeAnswer, "x"));
            const Received received = request(rig, path);
            expectInTime(received);
            CPPUNIT_ASSERT(received.answer.ends_with("whole"));
            expectClosed(rig, *rig.endless, maxHeadBytes);
        }
    }

    void bytesWithoutEndAfterAStreamCloseTheConnection()
    {
        EndlessRig rig(fastResponse(wholeStream, "x"));
        const Received received = request(rig, "/stream/");
        expectInTime(received);
        CPPUNIT_ASSERT(received.answer.ends_with("0\r\n\r\n"));
        expectClosed(rig, *rig.endless, maxHeadBytes);
    }

    void bytesOnAnIdleConnectionCloseIt()
    {
        for (const char *text : {"x", "HTTP/1.1 200 OK\r\n\r\n"}) {
            ScriptedResponse late = fastResponse(wholeAnswer, text);
            late.onSent = []() {
            };
            EndlessRig rig(late);
            CPPUNIT_ASSERT(request(rig, "/often/").answer.ends_with("whole"));
            rig.runFor(closeTime);
            expectClosed(rig, *rig.endless, maxHeadBytes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessTest);

} // namespace parsleyvane
