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
    CPPUNIT_TEST(aBegunStreamIsNotAbandonedWithoutRetryBudget);
    CPPUNIT_TEST(aSilentStreamIsNotHandedToAnUpstreamThatFailed);
    CPPUNIT_TEST(aSilentStreamIsHandedToANewProcessUnderTheSameId);
    CPPUNIT_TEST(aSilentUpstreamIsNotGivenUpWithTooLittleTimeLeft);
    CPPUNIT_TEST(aSlowClientIsNoSilenceOfTheUpstream);
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

    void aBegunStreamIsNotAbandonedWithoutRetryBudget()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.context.budget.setBounds({.ratio = 0, .slack = 0});
        rig.upstream("u", {pausedStream()});
        auto &other = rig.remoteUpstream("v", {pausedStream()});
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
        CPPUNIT_ASSERT(other.requests.empty());
    }

    void aSilentStreamIsNotHandedToAnUpstreamThatFailed()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {pausedStream()});
        auto &other = rig.remoteUpstream("v", {{""}});
        const UpstreamEntry failed = rig.context.fleetView.upstreams.find(UpstreamId("v"))->entry;
        const TimePoint failedAt = bootClockNow() + Milliseconds(1000);
        rig.context.fleetView.upstreams.recordOutcome(failed, UpstreamOutcome::Lost, failedAt);
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
        CPPUNIT_ASSERT(other.requests.empty());
    }

    void aSilentStreamIsHandedToANewProcessUnderTheSameId()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        auto &replacement = rig.upstream("u", {{streamHead() + chunkedEvent(2) + lastChunk}});
        const UpstreamEntry restarted = rig.context.fleetView.upstreams.find(UpstreamId("u"))->entry;
        ScriptedResponse silent{.answer = streamHead() + chunkedEvent(1), .staysSilent = true};
        silent.onSent = [&rig, restarted]() {
            rig.context.fleetView.upstreams.update(restarted);
        };
        rig.upstream("u", {silent});
        expectWholeStream(rig.exchange(clientRequest("/stream/")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replacement.requests.size());
    }

    void aSilentUpstreamIsNotGivenUpWithTooLittleTimeLeft()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        ScriptedResponse late{.answer = "", .rest = upstreamAnswer(200, "late")};
        late.onSent = []() {
        };
        late.pause = std::chrono::milliseconds(480);
        rig.upstream("u", {late});
        auto &other = rig.remoteUpstream("v", {{"", true, true}});
        // 460 ms remain, so that the silence of 300 ms ends with less time left than the objective of 200 ms.
        const std::string deadline = deadlineHeader(Milliseconds(535));
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/often/", "r-1", deadline)).ends_with("late"));
        CPPUNIT_ASSERT(other.requests.empty());
    }

    void aSlowClientIsNoSilenceOfTheUpstream()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        constexpr int events = 400;
        constexpr std::size_t eventBytes = 32U << 10U;
        std::string stream = streamHead();
        for (int id = 1; id <= events; ++id) {
            stream.append(chunkedEvent(id, eventBytes));
        }
        rig.upstream("u", {{stream + lastChunk}});
        auto &other = rig.remoteUpstream("v", {{streamHead() + lastChunk}});
        rig.readDelay = Milliseconds(700);
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/stream/"), Milliseconds(5000)).ends_with(lastChunk));
        CPPUNIT_ASSERT(other.requests.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceTest);

} // namespace parsleyvane
