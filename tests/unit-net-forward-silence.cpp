#include "suite.h"

#include "forwardrig.h"

namespace parsleyvane {

using test::chunkedEvent;
using test::clientRequest;
using test::deadlineHeader;
using test::ForwardRig;
using test::ScriptedResponse;
using test::streamHead;
using test::upstreamAnswer;

namespace {

constexpr std::chrono::milliseconds pauseBetweenEvents{1000}; ///< several times the inter-event objective
constexpr std::chrono::milliseconds pauseBeforeAnswer{700}; ///< several times the latency objective
const std::string lastChunk = "0\r\n\r\n";

/// A stream with a pause after its first event.
ScriptedResponse pausedStream()
{
    return {.answer = streamHead() + chunkedEvent(1), .rest = chunkedEvent(2) + lastChunk, .pause = pauseBetweenEvents};
}

void expectWholeStream(const std::string &answer)
{
    CPPUNIT_ASSERT(answer.find("id: 1\n") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("id: 2\n") != std::string::npos);
    CPPUNIT_ASSERT(answer.ends_with(lastChunk));
}

} // namespace

class SilenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilenceTest);
    CPPUNIT_TEST(aSilentStreamIsNotAbandonedWithoutAnotherUpstream);
    CPPUNIT_TEST(aSilentStreamIsNotAbandonedOnItsLastAttempt);
    CPPUNIT_TEST(aSilentStreamThatMayNotResumeIsNotAbandoned);
    CPPUNIT_TEST(aLateAnswerIsNotAbandonedWithoutRetryBudget);
    CPPUNIT_TEST(aSilentStreamResumesOnceAnotherUpstreamIsRegistered);
    CPPUNIT_TEST(aSilentUpstreamIsGivenUpAtTheDeadline);
    CPPUNIT_TEST_SUITE_END();

public:
    void aSilentStreamIsNotAbandonedWithoutAnotherUpstream()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        auto &upstream = rig.upstream("u", {pausedStream()});
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests.size());
    }

    void aSilentStreamIsNotAbandonedOnItsLastAttempt()
    {
        ForwardRig rig;
        rig.table->addRoute({.name = RouteName("stream"),
                             .host = "h",
                             .prefix = "/stream/",
                             .repeat = Repeatability::Resumable,
                             .streams = true,
                             .timeout = Milliseconds(1500),
                             .objective = Milliseconds(200),
                             .interEventObjective = Milliseconds(200),
                             .maxAttempts = 1,
                             .services = {{ServiceName("s"), 1}}});
        auto &upstream = rig.upstream("u", {pausedStream()});
        auto &other = rig.remoteUpstream("v", {pausedStream()});
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests.size());
        CPPUNIT_ASSERT(other.requests.empty());
    }

    void aSilentStreamThatMayNotResumeIsNotAbandoned()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        rig.upstream("u", {pausedStream()});
        auto &other = rig.remoteUpstream("v", {pausedStream()});
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
        CPPUNIT_ASSERT(other.requests.empty());
    }

    void aLateAnswerIsNotAbandonedWithoutRetryBudget()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.context.budget.setBounds({.ratio = 0, .slack = 0});
        rig.upstream("u", {{.answer = "", .rest = upstreamAnswer(200, "late"), .pause = pauseBeforeAnswer}});
        auto &other = rig.remoteUpstream("v", {{upstreamAnswer(200, "other")}});
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/often/")).ends_with("late"));
        CPPUNIT_ASSERT(other.requests.empty());
    }

    void aSilentStreamResumesOnceAnotherUpstreamIsRegistered()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        ScriptedResponse silent{.answer = streamHead() + chunkedEvent(1), .staysSilent = true};
        silent.onSent = [&rig]() {
            rig.remoteUpstream("v", {{streamHead() + chunkedEvent(2) + lastChunk}});
        };
        silent.pause = std::chrono::milliseconds(400);
        rig.upstream("u", {silent});
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
    }

    void aSilentUpstreamIsGivenUpAtTheDeadline()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u", {{"", true, true}});
        const TimePoint startedAt = bootClockNow();
        const std::string answer = rig.exchange(clientRequest("/often/", "r-1", deadlineHeader(Milliseconds(600))));
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 504"));
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(1100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceTest);

} // namespace parsleyvane
