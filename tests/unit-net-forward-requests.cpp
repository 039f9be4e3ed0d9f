#include "suite.h"

#include "capturedoutput.h"
#include "forwardrig.h"
#include "instancerig.h"
#include "rawmessage.h"

namespace parsleyvane::test {

namespace {

const std::string content = "the body";
/// Well before the end of a connection that stays open.
constexpr Milliseconds promptly{900};

/// A header of forwardrig.h without its line end.
std::string lineOf(const std::string &header)
{
    return header.substr(0, header.find("\r\n"));
}

RawMessage soundRequest()
{
    return rawRequest({lineOf(requestIdHeader())}, content);
}

/// Follows on the connection of the request under test, which it closes.
std::string nextRequest()
{
    return clientRequest("/r/next");
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// @brief An ingress with one route, whose upstream runs all that it receives.
class RequestRig : public ForwardRig
{
public:
    explicit RequestRig(const ForwardRigLimits &limits = {})
        : ForwardRig(limits)
    {
        this->route("r", Repeatability::Always);
        this->upstream("u", {{.answer = upstreamAnswer(200, "ok"), .closesConnection = false}});
    }

    std::string send(const std::string &bytes)
    {
        const TimePoint startedAt = bootClockNow();
        std::string answer = this->exchange(bytes);
        this->took = bootClockNow() - startedAt;
        return answer;
    }

    /// @brief What the upstream ran.
    const std::vector<std::string> &runs() const
    {
        return this->upstreams.front()->requests;
    }

    Milliseconds took{0};
};

/// Nothing may run, neither the request nor what follows it, and the client learns so before the connection closes.
void expectRefused(const std::string &name, const std::string &bytes, int status = 400)
{
    RequestRig rig;
    const std::string answer = rig.send(bytes);
    const std::string what = name + ": " + answer;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, rig.runs().size());
    CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 " + std::to_string(status)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, countOf(answer, "HTTP/1.1 "));
    CPPUNIT_ASSERT_MESSAGE(what, rig.took < promptly);
    CPPUNIT_ASSERT_MESSAGE(what, contains(answer, "Connection: close\r\n"));
    CPPUNIT_ASSERT_MESSAGE(what, contains(answer, R"("run":"not_run")") && contains(answer, notExecutedHeader));
}

void expectRefused(const std::vector<MessageChange> &changes)
{
    for (const MessageChange &change : changes) {
        expectRefused(change.name, change.changed(soundRequest()) + nextRequest());
    }
}

std::vector<std::string> piecesOf(const std::string &bytes, std::size_t pieceBytes)
{
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        pieces.push_back(bytes.substr(at, pieceBytes));
    }
    return pieces;
}

/// The request and the one after it run once each, with the body that was sent.
void expectRun(const std::string &name, const RawMessage &request, bool isByteByByte = false)
{
    RequestRig rig;
    const std::string bytes = request.text() + nextRequest();
    const std::string answer = rig.exchange(piecesOf(bytes, isByteByByte ? 1 : bytes.size()));
    const std::string what = name + ": " + answer;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{2}, rig.runs().size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{2}, countOf(answer, "HTTP/1.1 200"));
    const std::string &run = rig.runs().front();
    CPPUNIT_ASSERT_MESSAGE(what + "\n" + run, run.starts_with(request.startLine + "\r\n"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, request.content, run.substr(run.find("\r\n\r\n") + 4));
    CPPUNIT_ASSERT_MESSAGE(what, !contains(run, "chunked"));
    CPPUNIT_ASSERT_MESSAGE(what, rig.runs().back().ends_with("\r\n\r\nhi"));
}

} // namespace

/// Requests that are not well-formed HTTP/1.1, and unusual ones that are, as the upstream and the client see them.
class RequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTest);
    CPPUNIT_TEST(aRequestInsideABodyOfAnotherCodingIsNotRun);
    CPPUNIT_TEST(anUnsupportedTransferCodingIsRefused);
    CPPUNIT_TEST(aMalformedRequestLineIsRefused);
    CPPUNIT_TEST(aMalformedFieldIsRefused);
    CPPUNIT_TEST(malformedFramingIsRefused);
    CPPUNIT_TEST(aFoldedFieldIsRefused);
    CPPUNIT_TEST(aRequestWithoutOneValidHostIsRefused);
    CPPUNIT_TEST(aHostOfOneConnectionIsRefused);
    CPPUNIT_TEST(aChunkWithoutEndIsRefused);
    CPPUNIT_TEST(theRefusalReachesAClientThatGoesOnSending);
    CPPUNIT_TEST(anUnusualFormIsRun);
    CPPUNIT_TEST(aRequestThatArrivesByteByByteIsRun);
    CPPUNIT_TEST(aLastChunkInPiecesIsRead);
    CPPUNIT_TEST(anyBytesInAnyPiecesLeaveTheIngressRunning);
    CPPUNIT_TEST(pipelinedRequestsAreRunInOrder);
    CPPUNIT_TEST(trailersAreNotForwardedAsFields);
    CPPUNIT_TEST(optionsOfEachConnectionLineAreRemoved);
    CPPUNIT_TEST(aRequestAfterOneThatClosesIsNotRun);
    CPPUNIT_TEST(aRequestWithoutAnIdIsRefused);
    CPPUNIT_TEST(aRefusedRequestIsLoggedAndCounted);
    CPPUNIT_TEST(everyListenerOfTheIngressRefusesAMalformedRequest);
    CPPUNIT_TEST(everyListenerOfTheIngressAcceptsAnUnusualForm);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that an attacker hides in the body of another one (request smuggling).
    void aRequestInsideABodyOfAnotherCodingIsNotRun()
    {
        for (const MessageChange &change : unsupportedCodings()) {
            RawMessage request = soundRequest();
            change.apply(request);
            request.body = clientRequest("/r/hidden");
            expectRefused(change.name, request.text());
        }
    }

    void anUnsupportedTransferCodingIsRefused()
    {
        expectRefused(unsupportedCodings());
    }

    void aMalformedRequestLineIsRefused()
    {
        expectRefused(malformedRequestLines());
    }

    void aMalformedFieldIsRefused()
    {
        expectRefused(malformedFields());
    }

    void malformedFramingIsRefused()
    {
        expectRefused(malformedFraming());
    }

    void aFoldedFieldIsRefused()
    {
        expectRefused(foldedFields());
    }

    void aRequestWithoutOneValidHostIsRefused()
    {
        expectRefused(malformedHosts());
    }

    void aHostOfOneConnectionIsRefused()
    {
        expectRefused(hostsOfOneConnection());
    }

    /// Guards against a client that exhausts the memory with a chunk's extensions or with trailers.
    void aChunkWithoutEndIsRefused()
    {
        constexpr std::size_t tooMany = 1U << 20U;
        for (const std::string begin : {"1;", "0\r\nX-Late: "}) {
            RawMessage request = soundRequest();
            request.framing = {"Transfer-Encoding: chunked"};
            request.body = begin + std::string(tooMany, 'x');
            expectRefused(begin, request.text(), 413);
        }
    }

    /// Guards against a reset, by which a client would lose the refusal that it has not read yet.
    void theRefusalReachesAClientThatGoesOnSending()
    {
        constexpr std::size_t uploadBytes = 4U << 20U;
        for (const MessageChange &change : unsupportedCodings()) {
            RawMessage request = soundRequest();
            change.apply(request);
            request.body = std::string(uploadBytes, 'u');
            expectRefused(change.name, request.text());
        }
    }

    void anUnusualFormIsRun()
    {
        for (const MessageChange &change : unusualRequests()) {
            RawMessage request = soundRequest();
            change.apply(request);
            expectRun(change.name, request);
        }
    }

    void aRequestThatArrivesByteByByteIsRun()
    {
        for (const MessageChange &change : unusualRequests()) {
            RawMessage request = soundRequest();
            change.apply(request);
            expectRun(change.name + ", byte by byte", request, true);
        }
    }

    /// Guards against a client that ends the process with an empty chunked body in several segments.
    void aLastChunkInPiecesIsRead()
    {
        for (const std::string body : {"0\r\n\r\n", "00\r\n\r\n", "0;a\r\n\r\n", "0\r\nX-Late: 1\r\n\r\n"}) {
            for (std::size_t pieceBytes = 1; pieceBytes < body.size(); ++pieceBytes) {
                RequestRig rig;
                // The head is a piece of its own.
                RawMessage request = soundRequest();
                request.framing = {"Transfer-Encoding: chunked"};
                request.body.clear();
                std::vector<std::string> pieces = piecesOf(body, pieceBytes);
                pieces.insert(pieces.begin(), request.text());
                pieces.push_back(nextRequest());
                const std::string answer = rig.exchange(pieces);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(body + answer, std::size_t{2}, rig.runs().size());
                CPPUNIT_ASSERT_MESSAGE(body + answer, rig.runs().front().ends_with("\r\n\r\n"));
            }
        }
    }

    void anyBytesInAnyPiecesLeaveTheIngressRunning()
    {
        const std::vector<MessageChange> changes = unusualRequests();
        RequestRig rig({.server = {.requestTimeout = Milliseconds(20), .idleTimeout = Milliseconds(20)}});
        property("the next client is served whatever was received", [&]() {
            std::string bytes = changes.at(*rc::gen::inRange<std::size_t>(0, changes.size())).changed(soundRequest());
            const auto damages = *rc::gen::inRange(0, 4);
            for (int damage = 0; damage < damages; ++damage) {
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                if (*rc::gen::arbitrary<bool>()) {
                    bytes.at(at) = *rc::gen::arbitrary<char>();
                } else {
                    bytes.erase(at, *rc::gen::inRange<std::size_t>(0, 3));
                }
            }
            std::vector<std::string> pieces;
            for (std::size_t at = 0; at < bytes.size(); at += pieces.back().size()) {
                pieces.push_back(bytes.substr(at, *rc::gen::inRange<std::size_t>(1, 40)));
            }
            rig.exchange(pieces);
            RC_ASSERT(rig.exchange(nextRequest()).starts_with("HTTP/1.1 200"));
        });
    }

    void pipelinedRequestsAreRunInOrder()
    {
        constexpr int requests = 20;
        RequestRig rig;
        std::string bytes;
        for (int number = 0; number < requests; ++number) {
            RawMessage request = rawRequest({lineOf(requestIdHeader())}, std::to_string(number) + ": " + content);
            if (number % 2 == 0) {
                request.setChunked();
            }
            bytes.append(request.text());
        }
        const std::string answer = rig.send(bytes + nextRequest());
        CPPUNIT_ASSERT_EQUAL(std::size_t{requests + 1}, rig.runs().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{requests + 1}, countOf(answer, "HTTP/1.1 200"));
        for (int number = 0; number < requests; ++number) {
            CPPUNIT_ASSERT(rig.runs().at(number).ends_with("\r\n\r\n" + std::to_string(number) + ": " + content));
        }
    }

    /// Guards against trailers that change what the router and the upstream read in the head (RFC 9110, 6.5.1).
    void trailersAreNotForwardedAsFields()
    {
        for (const std::string line : {"X-Late: 1", "Host: other", "Connection: Host", "Connection: close",
                                       "X-Folded: a", "Last-Event-Id: 7", "Session: other"}) {
            RawMessage request = soundRequest();
            request.setChunked("0\r\n" + line + "\r\n\r\n");
            expectRun("trailer " + line, request);
            RequestRig rig;
            rig.send(request.text() + nextRequest());
            CPPUNIT_ASSERT_MESSAGE(line, !contains(rig.runs().front(), line));
        }
    }

    void optionsOfEachConnectionLineAreRemoved()
    {
        RequestRig rig;
        RawMessage request = soundRequest();
        request.fields.insert(request.fields.end(),
                              {"Connection: X-First", "X-First: 1", "Connection: X-Second, X-Third", "X-Second: 1"});
        rig.send(request.text() + nextRequest());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rig.runs().size());
        CPPUNIT_ASSERT_MESSAGE(rig.runs().front(), !contains(rig.runs().front(), "X-First"));
        CPPUNIT_ASSERT_MESSAGE(rig.runs().front(), !contains(rig.runs().front(), "X-Second"));
    }

    /// Guards against running what a client sends after its last request (RFC 9112, section 9.6).
    void aRequestAfterOneThatClosesIsNotRun()
    {
        for (const std::vector<std::string> &lines :
             std::vector<std::vector<std::string>>{{"Connection: close"},
                                                   {"Connection: keep-alive", "Connection: close"},
                                                   {"Connection: X-Any", "Connection: X-Other, Close"}}) {
            RequestRig rig;
            RawMessage request = soundRequest();
            request.fields.insert(request.fields.end(), lines.begin(), lines.end());
            const std::string answer = rig.send(request.text() + nextRequest());
            const std::string what = lines.back() + ": " + answer;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, rig.runs().size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, countOf(answer, "HTTP/1.1 200"));
            CPPUNIT_ASSERT_MESSAGE(what, contains(answer, "Connection: close\r\n"));
            CPPUNIT_ASSERT_MESSAGE(what, rig.took < promptly);
        }
    }

    void aRequestWithoutAnIdIsRefused()
    {
        expectRefused("no id", rawRequest({}, content).text() + nextRequest());
        const std::string id = lineOf(requestIdHeader());
        expectRefused("two ids", rawRequest({id, id}, content).text() + nextRequest());
    }

    void aRefusedRequestIsLoggedAndCounted()
    {
        const std::string output = capturedOutput(STDOUT_FILENO, []() {
            RequestRig rig({.log = {}});
            rig.send(unsupportedCodings().front().changed(soundRequest()));
            rig.log.flush();
            CPPUNIT_ASSERT(contains(rig.metrics.text(), "refused_request"));
        });
        const std::string line = "event=refused_request id=r-1 status=400 why=malformed-request run=not_run "
                                 "detail=\"unsupported transfer coding\"";
        CPPUNIT_ASSERT_MESSAGE(output, contains(output, line));
    }

    /// Callers, operators and other instances: one rule for all of them.
    void everyListenerOfTheIngressRefusesAMalformedRequest()
    {
        InstanceRig rig(Milliseconds(0), testBound, true);
        rig.start();
        for (const auto &changes : {unsupportedCodings(), malformedRequestLines(), malformedFields(),
                                    malformedFraming(), hostsOfOneConnection(), malformedHosts(), foldedFields()}) {
            for (const MessageChange &change : changes) {
                for (const asio::ip::tcp::endpoint &listener : rig.listeners()) {
                    const auto client = rig.send(listener, change.changed(soundRequest()) + nextRequest());
                    const std::string what = change.name + " at port " + std::to_string(listener.port());
                    CPPUNIT_ASSERT_MESSAGE(what, rig.runUntil([&]() { return client->ended; }));
                    CPPUNIT_ASSERT_MESSAGE(what + ": " + client->answer, client->answer.starts_with("HTTP/1.1 400"));
                    CPPUNIT_ASSERT_MESSAGE(what + ": " + client->answer,
                                           contains(client->answer, "malformed-request")
                                               && contains(client->answer, R"("run":"not_run")"));
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1}, countOf(client->answer, "HTTP/1.1 "));
                }
            }
        }
        rig.stop();
    }

    void everyListenerOfTheIngressAcceptsAnUnusualForm()
    {
        InstanceRig rig(Milliseconds(0), testBound, true);
        rig.start();
        for (const MessageChange &change : unusualRequests()) {
            for (const asio::ip::tcp::endpoint &listener : rig.listeners()) {
                const auto client = rig.send(listener, change.changed(soundRequest()) + nextRequest());
                const std::string what = change.name + " at port " + std::to_string(listener.port());
                CPPUNIT_ASSERT_MESSAGE(what, rig.runUntil([&]() { return client->ended; }));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + client->answer, std::size_t{2},
                                             countOf(client->answer, "HTTP/1.1 "));
                CPPUNIT_ASSERT_MESSAGE(what + ": " + client->answer, !contains(client->answer, "malformed-request"));
            }
        }
        rig.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);

} // namespace parsleyvane::test
