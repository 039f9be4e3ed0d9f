#include "suite.h"

#include "forwardrig.h"

namespace parsleyvane::test {

namespace {

constexpr std::size_t uploadBytes = 4U << 20U;
const std::string lastChunk = "0\r\n\r\n";
const std::string earlyHead = "HTTP/1.1 200 OK\r\n" + requestIdHeader() + signatureHeader
    + "X-Marker: 1\r\nContent-Type: text/event-stream\r\n\r\n";

/// When an upstream resets the connection.
struct Moment
{
    std::size_t readBytes = 0; ///< of the request, before it answers
    std::size_t partBytes = 0; ///< of the answer's body
    std::chrono::milliseconds pause{0}; ///< between the answer and the reset
    bool isBlocked = false; ///< the upstream's kernel receives little that the upstream does not read
};

std::vector<Moment> moments()
{
    std::vector<Moment> all;
    for (const std::size_t readBytes : {std::size_t{1}, uploadBytes / 64, uploadBytes / 2, uploadBytes}) {
        for (const std::size_t partBytes : {0U, 15U, 30000U}) {
            for (const int pause : {0, 1, 10}) {
                for (const bool isBlocked : {true, false}) {
                    all.push_back({readBytes, partBytes, std::chrono::milliseconds(pause), isBlocked});
                }
            }
        }
    }
    return all;
}

/// An answer without a length, whose end only the close of the connection tells.
ScriptedResponse earlyAnswer(const Moment &moment)
{
    std::string part;
    for (int id = 1; part.size() < moment.partBytes; ++id) {
        part.append("id: " + std::to_string(id) + "\ndata: x\n\n");
    }
    return {
        .answer = earlyHead + part.substr(0, moment.partBytes), .pause = moment.pause, .readBytes = moment.readBytes};
}

std::string uploadRequest()
{
    return "POST /r/ HTTP/1.1\r\nHost: h\r\n" + requestIdHeader() + "Connection: close\r\nContent-Length: "
        + std::to_string(uploadBytes) + "\r\n\r\n" + std::string(uploadBytes, 'u');
}

/// An ingress that takes long requests. The upstream "u" is chosen first.
class UploadRig : public ForwardRig
{
public:
    UploadRig(Repeatability repeat, bool streams, bool hedges)
        : ForwardRig({.server = {.bodyBytes = 2 * uploadBytes}})
    {
        // No upload lasts as long as these, so that only the resets end attempts.
        this->table->addRoute({.name = RouteName("r"),
                               .host = "h",
                               .prefix = "/r/",
                               .repeat = repeat,
                               .streams = streams,
                               .timeout = timeout,
                               .objective = timeout / 2,
                               .interEventObjective = timeout / 2,
                               .maxAttempts = 3,
                               .services = {{ServiceName("s"), 1}}});
        if (hedges) {
            this->hedge("r", Milliseconds(5));
        }
    }

    std::string send()
    {
        return this->exchange(uploadRequest(), timeout);
    }

private:
    static constexpr Milliseconds timeout{20000};
};

std::string text(const Moment &moment, const std::string &answer)
{
    return "read " + std::to_string(moment.readBytes) + ", sent " + std::to_string(moment.partBytes) + ", after "
        + std::to_string(moment.pause.count()) + " ms" + (moment.isBlocked ? ", blocked: " : ": ")
        + answer.substr(0, 400);
}

void limitBuffer(ScriptedUpstream &upstream, const Moment &moment)
{
    constexpr int smallBuffer = 16384;
    if (moment.isBlocked) {
        upstream.limitReceiveBuffer(smallBuffer);
    }
}

void expectNoAnswer(Repeatability repeat, bool hedges)
{
    for (const Moment &moment : moments()) {
        UploadRig rig(repeat, false, hedges);
        auto &first = rig.upstream("u", {earlyAnswer(moment)});
        limitBuffer(first, moment);
        limitBuffer(rig.remoteUpstream("v", {earlyAnswer(moment)}), moment);
        const std::string answer = rig.send();
        const std::string what = text(moment, answer);
        CPPUNIT_ASSERT_MESSAGE(what, !first.requests.empty());
        CPPUNIT_ASSERT_MESSAGE(what, answer.starts_with("HTTP/1.1 502"));
        CPPUNIT_ASSERT_MESSAGE(what, answer.find(R"("run":"unknown")") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(what, answer.find("X-Marker") == std::string::npos);
    }
}

void expectNoWholeStream(const std::deque<ScriptedResponse> &before, bool hedges)
{
    for (const Moment &moment : moments()) {
        UploadRig rig(Repeatability::Resumable, true, hedges);
        std::deque<ScriptedResponse> responses = before;
        responses.push_back(earlyAnswer(moment));
        limitBuffer(rig.upstream("u", responses), moment);
        limitBuffer(rig.remoteUpstream("v", {earlyAnswer(moment)}), moment);
        const std::string answer = rig.send();
        const std::string what = text(moment, answer);
        const bool hasBegun = answer.starts_with("HTTP/1.1 200");
        CPPUNIT_ASSERT_MESSAGE(what, hasBegun || answer.starts_with("HTTP/1.1 502"));
        CPPUNIT_ASSERT_MESSAGE(what, hasBegun || answer.find(R"("run":"unknown")") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(what, !hasBegun || !answer.ends_with(lastChunk));
        CPPUNIT_ASSERT_MESSAGE(what, hasBegun || before.empty());
    }
}

} // namespace

/// Upstreams that answer a long request before they have read it, without a length, and reset the connection.
class UploadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UploadTest);
    CPPUNIT_TEST(aResetAnswerToARepeatableRequestIsNotRelayed);
    CPPUNIT_TEST(aResetAnswerToAnUnsafeRequestIsNotRelayed);
    CPPUNIT_TEST(aResetStreamIsNotCompleted);
    CPPUNIT_TEST(aResetResumedStreamIsNotCompleted);
    CPPUNIT_TEST(resetHedgesAreNotRelayed);
    CPPUNIT_TEST(resetHedgesOfStreamsAreNotCompleted);
    CPPUNIT_TEST(anotherUpstreamAnswersARepeatableRequest);
    CPPUNIT_TEST(anUnsafeRequestIsNotRepeated);
    CPPUNIT_TEST(anEarlyAnswerThatEndsWithTheConnectionIsRelayed);
    CPPUNIT_TEST_SUITE_END();

public:
    void aResetAnswerToARepeatableRequestIsNotRelayed()
    {
        expectNoAnswer(Repeatability::Always, false);
    }

    void aResetAnswerToAnUnsafeRequestIsNotRelayed()
    {
        expectNoAnswer(Repeatability::Once, false);
        expectNoAnswer(Repeatability::Once, true);
    }

    void aResetStreamIsNotCompleted()
    {
        expectNoWholeStream({}, false);
    }

    void aResetResumedStreamIsNotCompleted()
    {
        expectNoWholeStream({{streamHead() + chunkedEvent(1)}}, false);
        expectNoWholeStream({{streamHead() + chunkedEvent(1)}}, true);
    }

    void resetHedgesAreNotRelayed()
    {
        expectNoAnswer(Repeatability::Always, true);
    }

    void resetHedgesOfStreamsAreNotCompleted()
    {
        expectNoWholeStream({}, true);
    }

    void anotherUpstreamAnswersARepeatableRequest()
    {
        for (const Moment &moment : moments()) {
            UploadRig rig(Repeatability::Always, false, false);
            limitBuffer(rig.upstream("u", {earlyAnswer(moment)}), moment);
            rig.remoteUpstream("v", {{upstreamAnswer(200, "whole")}});
            const std::string answer = rig.send();
            CPPUNIT_ASSERT_MESSAGE(text(moment, answer), answer.ends_with("\r\n\r\nwhole"));
        }
    }

    void anUnsafeRequestIsNotRepeated()
    {
        for (const Moment &moment : moments()) {
            UploadRig rig(Repeatability::Once, false, false);
            limitBuffer(rig.upstream("u", {earlyAnswer(moment)}), moment);
            auto &other = rig.remoteUpstream("v", {{upstreamAnswer(200, "whole")}});
            const std::string answer = rig.send();
            CPPUNIT_ASSERT_MESSAGE(text(moment, answer), answer.starts_with("HTTP/1.1 502"));
            CPPUNIT_ASSERT(other.requests.empty());
        }
    }

    /// The opposite error: a close without a reset is the end of such an answer.
    void anEarlyAnswerThatEndsWithTheConnectionIsRelayed()
    {
        UploadRig rig(Repeatability::Once, false, false);
        rig.upstream("u", {{earlyHead + "the whole body"}});
        const std::string answer = rig.send();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200") && answer.ends_with("the whole body"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadTest);

} // namespace parsleyvane::test
