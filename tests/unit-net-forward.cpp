#include "suite.h"

#include "forwardrig.h"
#include "parsleyvane/core/clock.h"
#include "parsleyvane/membership/rendezvous.h"

namespace parsleyvane {

using test::chunkedEvent;
using test::clientRequest;
using test::ForwardRig;
using test::notExecutedAnswer;
using test::streamHead;
using test::upstreamAnswer;

namespace {

const std::string signature = "X-Parsleyvane-Server-Signature";

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

int statusOf(const std::string &answer)
{
    constexpr std::size_t begin = 9;
    return answer.size() > begin ? std::stoi(answer.substr(begin, 3)) : 0;
}

std::size_t dispatches(const ForwardRig &rig)
{
    std::size_t sum = 0;
    for (const auto &upstream : rig.upstreams) {
        sum += upstream->requests.size();
    }
    return sum;
}

} // namespace

class ForwardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardTest);
    CPPUNIT_TEST(anAnswerIsRelayedUnchanged);
    CPPUNIT_TEST(aRefusedRequestIsRetried);
    CPPUNIT_TEST(endedAttemptsCountInTheLoad);
    CPPUNIT_TEST(aRetryIsNoFurtherDemandForItsPrefix);
    CPPUNIT_TEST(aRequestThatNoUpstreamRanGetsARetryAfter);
    CPPUNIT_TEST(aRunOnceRequestIsNotRetriedAfterALostConnection);
    CPPUNIT_TEST(aStatusThatImpliesNotRunIsNotRelayedWithoutProof);
    CPPUNIT_TEST(aRepeatableRequestIsRetriedAfterALostConnection);
    CPPUNIT_TEST(aRepeatedServerErrorIsRelayedUnchanged);
    CPPUNIT_TEST(aSuccessWithoutSignatureIsNotRelayed);
    CPPUNIT_TEST(anAnswerWithAContentCodingIsNotRelayed);
    CPPUNIT_TEST(aTruncatedAnswerIsNotRelayed);
    CPPUNIT_TEST(anAnswerEndedByConnectionCloseIsComplete);
    CPPUNIT_TEST(theAnswerToAnotherRequestIsSkipped);
    CPPUNIT_TEST(aConnectionWithUnreadBytesIsNotReused);
    CPPUNIT_TEST(aRunOnceRequestUsesANewConnection);
    CPPUNIT_TEST(aStreamResumesAfterItsLastCompleteEvent);
    CPPUNIT_TEST(eventsWithoutIdAreNotRepeatedWhenAStreamResumes);
    CPPUNIT_TEST(anErrorAfterAStreamHasBegunDoesNotReachTheClient);
    CPPUNIT_TEST(aRefusalWithoutIdOnAKeptConnectionIsNotBelieved);
    CPPUNIT_TEST(aStartedStreamResumesWithoutRetryBudget);
    CPPUNIT_TEST(aLateFirstEventIsNotCountedAsAnAnswer);
    CPPUNIT_TEST(aLateFirstEventIsEvidenceOfASlowVersion);
    CPPUNIT_TEST(aRunOnceServerErrorIsCountedAsBad);
    CPPUNIT_TEST(anAnswerUnderAnEarlierOrderIsNoEvidenceAboutTheNextVersion);
    CPPUNIT_TEST(aReturnToTheVersionBeforeARollBackIsServedAtOnce);
    CPPUNIT_TEST(anOrderThatArrivesBeforeTheFirstByteIsFollowed);
    CPPUNIT_TEST(aRollBackThatArrivesBeforeTheFirstByteIsFollowed);
    CPPUNIT_TEST(aStreamIsResumedAtTheVersionThatBeganIt);
    CPPUNIT_TEST(aRestartAsAnotherVersionBeforeTheFirstByteIsNoticed);
    CPPUNIT_TEST(requestsThatShareACrashingPartAreRefusedAfterThreeCrashes);
    CPPUNIT_TEST(aPoorAnswerIsRelayedWhenNoUpstreamIsLeft);
    CPPUNIT_TEST(aPoorAnswerIsRelayedWhenTheRequestIsQuarantinedMeanwhile);
    CPPUNIT_TEST(aSilentStreamIsNotAbandonedWhenTheRequestIsQuarantinedMeanwhile);
    CPPUNIT_TEST(aPoorAnswerIsEvidenceAboutItsOwnModel);
    CPPUNIT_TEST(aRefusalByTheReplacedProcessDoesNotConcernTheNewOne);
    CPPUNIT_TEST(anIdleConnectionFollowsNewLimits);
    CPPUNIT_TEST(aStreamThatMayNotResumeIsAborted);
    CPPUNIT_TEST(aStreamWithAMissingEventIsAborted);
    CPPUNIT_TEST(aRequestToASilentUpstreamIsRetriedInTime);
    CPPUNIT_TEST(anExpiredDeadlineIsAnsweredWithGatewayTimeout);
    CPPUNIT_TEST(theForwardedTimeoutDoesNotExceedTheReceivedOne);
    CPPUNIT_TEST(aClientDisconnectCancelsTheUpstreamCall);
    CPPUNIT_TEST(unknownPathsAndKeysAreRefused);
    CPPUNIT_TEST(aRequestThatCrashesUpstreamsIsQuarantined);
    CPPUNIT_TEST(aRequestThatCrashesUpstreamsAfterItsFirstEventIsQuarantined);
    CPPUNIT_TEST(streamsThatAreLostLaterAreNoCrashes);
    CPPUNIT_TEST(aShortWholeStreamClearsItsRequest);
    CPPUNIT_TEST(withoutAConfigurationRequestsGetARetryAfter);
    CPPUNIT_TEST(aStoppingInstanceAcceptsOnlyRequestsThatEndInTime);
    CPPUNIT_TEST(anUpstreamThatSaysThatItLeavesGetsNoMoreRequests);
    CPPUNIT_TEST(aProcessThatReplacesALeavingOneGetsRequests);
    CPPUNIT_TEST(anUpstreamThatWantsNoRequestsGetsNone);
    CPPUNIT_TEST(aRefusalTellsWhenAnUpstreamWantsRequestsAgain);
    CPPUNIT_TEST(clientsAreNotSentAwayForTheWholeWaitOfAnUpstream);
    CPPUNIT_TEST(twoContentLengthsAreRefused);
    CPPUNIT_TEST(aContentLengthWithChunkedCodingIsRefused);
    CPPUNIT_TEST(anUnknownTransferCodingIsRefused);
    CPPUNIT_TEST(aRequestInsideABodyIsForwardedAsBody);
    CPPUNIT_TEST(aTruncatedRequestIsNotForwarded);
    CPPUNIT_TEST(anIncompleteRequestTimesOut);
    CPPUNIT_TEST(anOversizedHeadIsRefused);
    CPPUNIT_TEST(systemHeadersOfClientsAreRemoved);
    CPPUNIT_TEST(aChunkedBodyIsForwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    void anAnswerIsRelayedUnchanged()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(418, "the body")}});
        const std::string answer = rig.exchange(clientRequest("/once/x?y=z"));
        CPPUNIT_ASSERT_EQUAL(418, statusOf(answer));
        CPPUNIT_ASSERT(contains(answer, signature + ": sig"));
        CPPUNIT_ASSERT(answer.ends_with("\r\n\r\nthe body"));
        CPPUNIT_ASSERT(rig.upstreams.front()->requests.front().starts_with("POST /once/x?y=z HTTP/1.1\r\n"));
    }

    void aRefusedRequestIsRetried()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u1", {{notExecutedAnswer}, {upstreamAnswer(200, "ok")}});
        rig.upstream("u2", {{notExecutedAnswer}, {upstreamAnswer(200, "ok")}});
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, dispatches(rig));
    }

    void endedAttemptsCountInTheLoad()
    {
        ForwardRig rig;
        rig.context.sharesLoad = true;
        rig.route("once", Repeatability::Once);
        rig.upstream("u1", {{notExecutedAnswer}, {upstreamAnswer(200, "ok")}});
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        const ServiceLoad load = rig.context.fleetView.load.serviceLoad(ServiceName("s"), bootClockNow());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, load.attempts, 0.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, load.refusals, 0.25);
    }

    void aRetryIsNoFurtherDemandForItsPrefix()
    {
        ForwardRig rig;
        rig.table->addRoute({.name = RouteName("cached"),
                             .host = "h",
                             .prefix = "/cached/",
                             .timeout = Milliseconds(1200),
                             .objective = Milliseconds(200),
                             .maxAttempts = 3,
                             .usesPrefixCache = true,
                             .services = {{ServiceName("s"), 1}}});
        rig.context.replicasByDemand = true;
        rig.upstream("u1", {{notExecutedAnswer}, {upstreamAnswer(200, "ok")}});
        rig.upstream("u2", {{notExecutedAnswer}, {upstreamAnswer(200, "ok")}});
        const std::string answer
            = rig.exchange(clientRequest("/cached/", "r-1", "X-Parsleyvane-Prompt-Prefix: f1:9,aa:2\r\n"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, dispatches(rig));
        const double rate = rig.context.prefixDemand.rate({.prefix = "f1/"}, bootClockNow());
        CPPUNIT_ASSERT(rate > 0.1);
        CPPUNIT_ASSERT(rate <= 0.2);
    }

    void aRequestThatNoUpstreamRanGetsARetryAfter()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{notExecutedAnswer}});
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(answer));
        CPPUNIT_ASSERT(contains(answer, "Retry-After: "));
        CPPUNIT_ASSERT(!contains(answer, signature));
    }

    void aRunOnceRequestIsNotRetriedAfterALostConnection()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u1", {{""}});
        rig.upstream("u2", {{""}});
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT_EQUAL(502, statusOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatches(rig));
    }

    void aStatusThatImpliesNotRunIsNotRelayedWithoutProof()
    {
        for (const int status : {408, 429, 503}) {
            ForwardRig rig;
            rig.route("once", Repeatability::Once);
            rig.upstream("u", {{upstreamAnswer(status, "busy")}});
            const std::string answer = rig.exchange(clientRequest("/once/"));
            CPPUNIT_ASSERT_EQUAL(502, statusOf(answer));
            CPPUNIT_ASSERT(!contains(answer, signature));
        }
    }

    void aRepeatableRequestIsRetriedAfterALostConnection()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u1", {{""}, {upstreamAnswer(200, "ok")}});
        rig.upstream("u2", {{""}, {upstreamAnswer(200, "ok")}});
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/often/"))));
    }

    void aRepeatedServerErrorIsRelayedUnchanged()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u", {{upstreamAnswer(500, "its own")}});
        const std::string answer = rig.exchange(clientRequest("/often/"));
        CPPUNIT_ASSERT_EQUAL(500, statusOf(answer));
        CPPUNIT_ASSERT(contains(answer, signature));
        CPPUNIT_ASSERT(answer.ends_with("its own"));
    }

    void aSuccessWithoutSignatureIsNotRelayed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(200, "forged", "r-1", "")}});
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(clientRequest("/once/"))));
    }

    void anAnswerWithAContentCodingIsNotRelayed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(200, "zzz", "r-1", signature + ": sig\r\nContent-Encoding: gzip\r\n")}});
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(clientRequest("/once/"))));
    }

    void aTruncatedAnswerIsNotRelayed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        const std::string whole = upstreamAnswer(200, "the whole body");
        rig.upstream("u", {{whole.substr(0, whole.size() - 3)}});
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(clientRequest("/once/"))));
    }

    void anAnswerEndedByConnectionCloseIsComplete()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u",
                     {{"HTTP/1.1 200 OK\r\nX-Parsleyvane-Attempt-Id: r-1\r\n" + signature + ": sig\r\n\r\nno length"}});
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(answer));
        CPPUNIT_ASSERT(answer.ends_with("no length"));
    }

    void theAnswerToAnotherRequestIsSkipped()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u", {{upstreamAnswer(200, "for another", "r-0") + upstreamAnswer(200, "for this")}});
        const std::string answer = rig.exchange(clientRequest("/often/"));
        CPPUNIT_ASSERT(answer.ends_with("for this"));
        CPPUNIT_ASSERT(!contains(answer, "for another"));
    }

    void aConnectionWithUnreadBytesIsNotReused()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        auto &upstream = rig.upstream("u",
                                      {{upstreamAnswer(200, "a") + upstreamAnswer(200, "late", "r-1"), false},
                                       {upstreamAnswer(200, "b", "r-2")}});
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/often/")).ends_with("a"));
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/often/", "r-2")).ends_with("b"));
        CPPUNIT_ASSERT_EQUAL(2U, upstream.connections);
    }

    void aRunOnceRequestUsesANewConnection()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u",
                                      {{upstreamAnswer(200, "a"), false},
                                       {upstreamAnswer(200, "b", "r-2"), false},
                                       {upstreamAnswer(200, "c", "r-3"), false}});
        rig.exchange(clientRequest("/often/"));
        rig.exchange(clientRequest("/often/", "r-2"));
        CPPUNIT_ASSERT_EQUAL(1U, upstream.connections);
        rig.exchange(clientRequest("/once/", "r-3"));
        CPPUNIT_ASSERT_EQUAL(2U, upstream.connections);
    }

    void aStreamResumesAfterItsLastCompleteEvent()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        const std::string truncated = streamHead() + chunkedEvent(1) + chunkedEvent(2) + "9\r\nid: 3\nda";
        const std::string resumed = streamHead() + chunkedEvent(2) + chunkedEvent(3) + "0\r\n\r\n";
        rig.upstream("u1", {{truncated}, {resumed}});
        rig.upstream("u2", {{truncated}, {resumed}});
        rig.upstreams.front()->scriptedResponses = {{truncated}, {resumed}};
        rig.upstreams.back()->scriptedResponses = {{resumed}, {resumed}};
        // Whichever upstream is chosen first, each event is relayed once and in order.
        const std::string answer = rig.exchange(clientRequest("/stream/"));
        std::size_t at = 0;
        for (const char *event : {"id: 1\n", "id: 2\n", "id: 3\n"}) {
            const std::size_t found = answer.find(event, at);
            if (std::string_view(event) == "id: 1\n" && found == std::string::npos) {
                continue;
            }
            CPPUNIT_ASSERT_MESSAGE(event, found != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(event, answer.find(event, found + 1) == std::string::npos);
            at = found;
        }
        CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
    }

    // Guards against events without an id that reach the client again from the upstream that resumes the stream.
    void eventsWithoutIdAreNotRepeatedWhenAStreamResumes()
    {
        const std::string first = "d\r\ndata: first\n\n\r\n";
        const std::string note = "c\r\ndata: note\n\n\r\n";
        const std::string done = "c\r\ndata: done\n\n\r\n";
        const std::string comment = "4\r\n: \n\n\r\n";
        const std::string begun = streamHead() + first + chunkedEvent(1) + note;
        const std::string rest = chunkedEvent(2) + done + "0\r\n\r\n";
        std::string afterLastEvent = streamHead();
        afterLastEvent.append(comment).append(note).append(rest);
        // The upstream that resumes the stream begins after the last event, or with all events.
        for (const std::string &resumed : {afterLastEvent, begun + rest}) {
            ForwardRig rig;
            rig.route("stream", Repeatability::Resumable, true);
            rig.upstream("u1", {{begun}, {resumed}});
            rig.upstream("u2", {{begun}, {resumed}});
            rig.upstreams.front()->scriptedResponses.front().onSent = [&rig, resumed]() {
                rig.upstreams.back()->scriptedResponses = {{resumed}};
            };
            rig.upstreams.back()->scriptedResponses.front().onSent = [&rig, resumed]() {
                rig.upstreams.front()->scriptedResponses = {{resumed}};
            };
            const std::string answer = rig.exchange(clientRequest("/stream/"));
            std::size_t at = 0;
            for (const char *event : {"data: first", "id: 1\n", "data: note", "id: 2\n", "data: done"}) {
                const std::size_t found = answer.find(event, at);
                CPPUNIT_ASSERT_MESSAGE(event + answer, found != std::string::npos);
                CPPUNIT_ASSERT_MESSAGE(event + answer, answer.find(event, found + 1) == std::string::npos);
                at = found;
            }
            CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
        }
    }

    void anErrorAfterAStreamHasBegunDoesNotReachTheClient()
    {
        for (const int status : {400, 404, 500, 503}) {
            ForwardRig rig;
            rig.route("stream", Repeatability::Resumable, true);
            const std::string truncated = streamHead() + chunkedEvent(1);
            const std::string failed = upstreamAnswer(status, "no such model");
            rig.upstream("u1", {{truncated}, {failed}});
            rig.upstream("u2", {{failed}});
            rig.upstreams.front()->scriptedResponses = {{truncated}, {failed}};
            rig.upstreams.back()->scriptedResponses = {{truncated}, {failed}};
            const std::string answer = rig.exchange(clientRequest("/stream/a"));
            const std::string message = std::to_string(status) + ": " + answer;
            CPPUNIT_ASSERT_MESSAGE(message, answer.find("HTTP/1.1 200") == 0);
            CPPUNIT_ASSERT_MESSAGE(message, answer.find("HTTP/1.1", 1) == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(message, answer.find("no such model") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(message, answer.find("\r\n0\r\n\r\n") == std::string::npos);
        }
    }

    void aRefusalWithoutIdOnAKeptConnectionIsNotBelieved()
    {
        ForwardRig rig;
        rig.route("kept", Repeatability::Always);
        const test::ScriptedResponse first{upstreamAnswer(200, "first", "r-1"), false};
        rig.upstream("u1", {first, {notExecutedAnswer, false}});
        rig.exchange(clientRequest("/kept/a", "r-1"));
        const std::string answer = rig.exchange(clientRequest("/kept/a", "r-2"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("HTTP/1.1 503") == std::string::npos);
    }

    void aStartedStreamResumesWithoutRetryBudget()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.context.budget.setBounds({.ratio = 0, .slack = 0});
        rig.upstream("u", {{streamHead() + chunkedEvent(1)}, {streamHead() + chunkedEvent(2) + "0\r\n\r\n"}});
        const std::string answer = rig.exchange(clientRequest("/stream/"));
        CPPUNIT_ASSERT(contains(answer, "id: 2\n"));
        CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(contains(rig.upstreams.front()->requests.back(), "Last-Event-Id: 1\r\n"));
    }

    void aLateFirstEventIsNotCountedAsAnAnswer()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {{"", true, true}});
        VersionShift &shift = rig.rollOut();
        rig.exchange(clientRequest("/stream/"));
        CPPUNIT_ASSERT(shift.report().routes.empty());
    }

    void aLateFirstEventIsEvidenceOfASlowVersion()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        VersionShift &shift = rig.rollOut();
        for (int answer = 0; answer < 20; ++answer) {
            shift.onTimeToFirstEvent(false, "stream/0", Milliseconds(4), bootClockNow());
        }
        shift.setLimits({.maxExposedShare = 1});
        rig.upstream("u", {{"", true, true}}, "v2");
        rig.exchange(clientRequest("/stream/"));
        CPPUNIT_ASSERT_GREATER(0.0, shift.report().firstEventEvidence.logOdds());
    }

    void aRunOnceServerErrorIsCountedAsBad()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(500, "failed")}});
        VersionShift &shift = rig.rollOut();
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/once/x")).starts_with("HTTP/1.1 500"));
        const AnswerCounts predecessor = shift.report().routes.at(RouteName("once")).predecessor;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, predecessor.served);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, predecessor.bad);
    }

    void anAnswerUnderAnEarlierOrderIsNoEvidenceAboutTheNextVersion()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        VersionShift &shift = rig.rollOut();
        const ServiceName service("s");
        shift.onStatus({.service = service, .to = VersionName("v2"), .state = RolloutState::Completed, .order = 1},
                       bootClockNow());
        const auto orderNext = [&]() {
            shift.onOrder({.service = service, .to = VersionName("v3"), .duration = Milliseconds(10000), .number = 2});
        };
        rig.upstream("u", {{"", true, false, orderNext, upstreamAnswer(500, "failed")}}, "v2");
        rig.exchange(clientRequest("/once/x"));
        const RouteAnswers answers = shift.report().routes.at(RouteName("once"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, answers.candidate.served);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, answers.predecessor.bad);
    }

    /// Guards against refusing all requests until the start is agreed: the version that was rolled back gets none.
    void aReturnToTheVersionBeforeARollBackIsServedAtOnce()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        VersionShift &shift = rig.rollOut();
        const ServiceName service("s");
        shift.onStatus({.service = service, .to = VersionName("v2"), .state = RolloutState::RolledBack, .order = 1},
                       bootClockNow());
        shift.onOrder({.service = service, .to = VersionName("v1"), .duration = Milliseconds(10000), .number = 2});
        rig.upstream("bad", {{upstreamAnswer(200, "rolled back")}}, "v2");
        rig.upstream("good", {{upstreamAnswer(200, "before")}});
        CPPUNIT_ASSERT(contains(rig.exchange(clientRequest("/once/x")), "before"));
    }

    /// Runs the action once, when the connection to the first upstream is being opened.
    static void whileConnecting(ForwardRig &rig, std::function<void()> action)
    {
        rig.platform.onRequestRead = [&rig, action = std::move(action)]() {
            boost::asio::post(rig.io, action);
        };
    }

    void anOrderThatArrivesBeforeTheFirstByteIsFollowed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(200, "new")}}, "v2");
        rig.remoteUpstream("v", {{upstreamAnswer(200, "old")}});
        whileConnecting(rig, [&]() { rig.rollOut().setLimits({.maxExposedShare = 0}); });
        CPPUNIT_ASSERT(contains(rig.exchange(clientRequest("/once/x")), "old"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatches(rig));
    }

    void aRollBackThatArrivesBeforeTheFirstByteIsFollowed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(200, "new")}}, "v2");
        rig.remoteUpstream("v", {{upstreamAnswer(200, "old")}});
        VersionShift &shift = rig.rollOut();
        shift.setLimits({.maxExposedShare = 1});
        whileConnecting(rig, [&]() {
            shift.onStatus(
                {.service = ServiceName("s"), .to = VersionName("v2"), .state = RolloutState::RolledBack, .order = 1},
                bootClockNow());
        });
        CPPUNIT_ASSERT(contains(rig.exchange(clientRequest("/once/x")), "old"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatches(rig));
    }

    /// Guards against a sound stream that is lost at a new, bad version, to which it was resumed.
    void aStreamIsResumedAtTheVersionThatBeganIt()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Always, true);
        VersionShift &shift = rig.rollOut();
        shift.setLimits({.maxExposedShare = 0});
        const auto raiseShare = [&]() {
            shift.setLimits({.maxExposedShare = 1});
        };
        const std::string begun = streamHead() + chunkedEvent(1);
        const std::string resumed = streamHead() + chunkedEvent(2) + "0\r\n\r\n";
        rig.upstream("u", {{.answer = begun, .onSent = raiseShare}});
        rig.upstream("w", {{upstreamAnswer(500, "bad")}}, "v2");
        rig.remoteUpstream("v", {{resumed}});
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/stream/x")).ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.upstreams.at(1)->requests.size());
    }

    void aRestartAsAnotherVersionBeforeTheFirstByteIsNoticed()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(200, "new")}});
        rig.remoteUpstream("v", {{upstreamAnswer(200, "old")}});
        rig.rollOut().setLimits({.maxExposedShare = 0});
        whileConnecting(rig, [&]() {
            UpstreamEntry entry = rig.context.fleetView.upstreams.find(UpstreamId("u"))->entry;
            entry.version = VersionName("v2");
            entry.startedAtMs = 2;
            rig.context.fleetView.upstreams.update(entry);
        });
        CPPUNIT_ASSERT(contains(rig.exchange(clientRequest("/once/x")), "old"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatches(rig));
    }

    /// Adds a resumable stream with two models.
    static void routeWithSizes(ForwardRig &rig)
    {
        rig.table->addRoute({.name = RouteName("sized"),
                             .host = "h",
                             .prefix = "/sized/",
                             .repeat = Repeatability::Resumable,
                             .streams = true,
                             .timeout = Milliseconds(1200),
                             .objective = Milliseconds(200),
                             .interEventObjective = Milliseconds(200),
                             .maxAttempts = 3,
                             .sizes = {ModelName("small"), ModelName("large")},
                             .services = {{ServiceName("s"), 1}}});
    }

    static std::string poorAnswer()
    {
        return streamHead("r-1", "X-Parsleyvane-Confidence: 0\r\n") + chunkedEvent(1) + "0\r\n\r\n";
    }

    /// Reports three crashes of the request with this path, on different upstreams.
    static void quarantine(ForwardRig &rig, const std::string &path)
    {
        const CrashSuspects suspects = crashSuspects({}, "\n" + path, "hi");
        for (const char *site : {"a@1", "b@1", "c@1"}) {
            rig.context.fleetView.crashes.onLost(suspects, site, bootClockNow());
        }
    }

    void requestsThatShareACrashingPartAreRefusedAfterThreeCrashes()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        for (const char *id : {"u", "v", "w", "x"}) {
            rig.upstream(id, {{.answer = ""}});
        }
        const auto send = [&](int number) {
            const std::string own = std::to_string(number);
            return rig.exchange(clientRequest("/stream/" + own, "r-" + own,
                                              "X-Parsleyvane-Prompt-Prefix: f1:9,dead:5,aa" + own + ":2\r\n"));
        };
        for (int number = 1; number <= 3; ++number) {
            CPPUNIT_ASSERT_EQUAL(502, statusOf(send(number)));
        }
        for (int number = 4; number <= 6; ++number) {
            CPPUNIT_ASSERT_EQUAL(503, statusOf(send(number)));
        }
        std::size_t dispatches = 0;
        for (const auto &upstream : rig.upstreams) {
            dispatches += upstream->requests.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, dispatches);
    }

    void aPoorAnswerIsRelayedWhenNoUpstreamIsLeft()
    {
        ForwardRig rig;
        routeWithSizes(rig);
        const auto remove = [&]() {
            rig.context.fleetView.upstreams.remove(UpstreamId("u"), bootClockNow());
        };
        rig.upstream("u", {{"", true, false, remove, poorAnswer()}});
        const std::string answer = rig.exchange(clientRequest("/sized/"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(answer));
        CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
    }

    void aPoorAnswerIsRelayedWhenTheRequestIsQuarantinedMeanwhile()
    {
        ForwardRig rig;
        routeWithSizes(rig);
        const auto block = [&]() {
            quarantine(rig, "/sized/");
        };
        rig.upstream("u", {{"", true, false, block, poorAnswer()}});
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/sized/"))));
    }

    void aSilentStreamIsNotAbandonedWhenTheRequestIsQuarantinedMeanwhile()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u",
                     {{.answer = streamHead() + chunkedEvent(1),
                       .rest = chunkedEvent(2) + "0\r\n\r\n",
                       .pause = std::chrono::milliseconds(700)}});
        rig.remoteUpstream("v", {{streamHead() + chunkedEvent(2) + "0\r\n\r\n"}});
        rig.platform.onUpstreamRequest = [&]() {
            quarantine(rig, "/stream/");
        };
        CPPUNIT_ASSERT(rig.exchange(clientRequest("/stream/")).ends_with("0\r\n\r\n"));
    }

    void aPoorAnswerIsEvidenceAboutItsOwnModel()
    {
        ForwardRig rig;
        routeWithSizes(rig);
        VersionShift &shift = rig.rollOut();
        shift.setLimits({.maxExposedShare = 1});
        for (int answer = 0; answer < 20; ++answer) {
            shift.onTimeToFirstEvent(false, "sized/0", Milliseconds(4), bootClockNow());
        }
        const std::string wholeAnswer
            = streamHead("r-1", "X-Parsleyvane-Confidence: 100\r\n") + chunkedEvent(1) + "0\r\n\r\n";
        rig.upstream("u", {{poorAnswer()}, {wholeAnswer}}, "v2");
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/sized/"))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, shift.report().firstEventEvidence.answers);
    }

    void aRefusalByTheReplacedProcessDoesNotConcernTheNewOne()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        UpstreamList &upstreams = rig.context.fleetView.upstreams;
        const auto restart = [&]() {
            UpstreamEntry entry = upstreams.find(UpstreamId("u"))->entry;
            entry.startedAtMs = 2;
            entry.address = "127.0.0.1:9";
            upstreams.update(entry);
        };
        rig.upstream("u",
                     {{"", true, false, restart,
                       "HTTP/1.1 421 Other\r\nX-Parsleyvane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"}});
        rig.exchange(clientRequest("/often/"));
        CPPUNIT_ASSERT(!upstreams.find(UpstreamId("u"))->reportedDraining);
    }

    void anIdleConnectionFollowsNewLimits()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u", {{upstreamAnswer(200, "whole")}});
        rig.server.setLimits({.bodyBytes = 1});
        boost::asio::ip::tcp::socket client(rig.io);
        client.connect(rig.endpoint);
        rig.runFor(Milliseconds(50));
        rig.server.setLimits({.bodyBytes = 100});
        boost::asio::write(client, boost::asio::buffer(clientRequest("/often/")));
        rig.runFor(Milliseconds(200));
        std::array<char, 4096> space{};
        const std::size_t count = client.read_some(boost::asio::buffer(space));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(std::string(space.data(), count)));
    }

    void aStreamThatMayNotResumeIsAborted()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        rig.upstream("u", {{streamHead() + chunkedEvent(1)}});
        const std::string answer = rig.exchange(clientRequest("/stream/"));
        CPPUNIT_ASSERT(contains(answer, "id: 1\n"));
        CPPUNIT_ASSERT(!answer.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatches(rig));
    }

    void aStreamWithAMissingEventIsAborted()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {{streamHead() + chunkedEvent(1) + chunkedEvent(3) + "0\r\n\r\n"}});
        const std::string answer = rig.exchange(clientRequest("/stream/"));
        CPPUNIT_ASSERT(!contains(answer, "id: 3\n"));
        CPPUNIT_ASSERT(!answer.ends_with("0\r\n\r\n"));
    }

    void aRequestToASilentUpstreamIsRetriedInTime()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u1", {{"", true, true}, {upstreamAnswer(200, "ok")}});
        rig.upstream("u2", {{"", true, true}, {upstreamAnswer(200, "ok")}});
        const TimePoint startedAt = bootClockNow();
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/often/"))));
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(1200));
    }

    void anExpiredDeadlineIsAnsweredWithGatewayTimeout()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{"", true, true}});
        const TimePoint startedAt = bootClockNow();
        const std::string answer = rig.exchange(clientRequest("/once/", "r-1", "X-Parsleyvane-Deadline-Ms: 400\r\n"));
        CPPUNIT_ASSERT_EQUAL(504, statusOf(answer));
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(900));
    }

    void theForwardedTimeoutDoesNotExceedTheReceivedOne()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        rig.exchange(clientRequest("/once/", "r-1", "X-Parsleyvane-Deadline-Ms: 900\r\n"));
        const std::string &sent = upstream.requests.front();
        const std::string field = "X-Parsleyvane-Deadline-Ms: ";
        const int forwarded = std::stoi(sent.substr(sent.find(field) + field.size()));
        CPPUNIT_ASSERT(forwarded > 0 && forwarded <= 900);
    }

    void aClientDisconnectCancelsTheUpstreamCall()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        auto &upstream = rig.upstream("u", {{streamHead() + chunkedEvent(1), true, true}});
        rig.disconnectsEarly = true;
        rig.exchange(clientRequest("/stream/"));
        rig.runFor(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1U, upstream.closedByClient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatches(rig));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.context.inFlight);
    }

    void unknownPathsAndKeysAreRefused()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.table->addKey("good", {.account = AccountId("t")});
        rig.table->requireKeys();
        rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        CPPUNIT_ASSERT_EQUAL(404, statusOf(rig.exchange(clientRequest("/else/"))));
        CPPUNIT_ASSERT_EQUAL(401, statusOf(rig.exchange(clientRequest("/once/"))));
        CPPUNIT_ASSERT_EQUAL(
            401, statusOf(rig.exchange(clientRequest("/once/", "r-1", "X-Parsleyvane-Credential: bad\r\n"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatches(rig));
        CPPUNIT_ASSERT_EQUAL(
            200, statusOf(rig.exchange(clientRequest("/once/", "r-1", "X-Parsleyvane-Credential: good\r\n"))));
        CPPUNIT_ASSERT(contains(rig.upstreams.front()->requests.front(), "X-Parsleyvane-Tenant: t\r\n"));
    }

    void aRequestThatCrashesUpstreamsIsQuarantined()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        for (const char *id : {"u1", "u2", "u3", "u4"}) {
            rig.upstream(id, {{""}});
        }
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(clientRequest("/often/", "r-1"))));
        const std::size_t before = dispatches(rig);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(clientRequest("/often/", "r-2"))));
        CPPUNIT_ASSERT_EQUAL(before, dispatches(rig));
    }

    /// Guards against a first event that clears the request which is about to crash the upstream.
    void aRequestThatCrashesUpstreamsAfterItsFirstEventIsQuarantined()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        for (const char *id : {"u", "v", "w", "x"}) {
            rig.upstream(id, {{streamHead() + chunkedEvent(1)}});
        }
        for (int request = 0; request < 3; ++request) {
            CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/stream/"))));
        }
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(clientRequest("/stream/"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, dispatches(rig));
    }

    /// Guards against the opposite error: streams that a stopping upstream cuts would block sound requests.
    void streamsThatAreLostLaterAreNoCrashes()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        for (const char *id : {"u", "v", "w", "x"}) {
            rig.upstream(id,
                         {{.answer = streamHead() + chunkedEvent(1),
                           .rest = chunkedEvent(2),
                           .pause = std::chrono::milliseconds(200)}});
        }
        for (int request = 0; request < 4; ++request) {
            CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/stream/"))));
        }
        CPPUNIT_ASSERT(rig.context.fleetView.crashes.report().crashes.empty());
    }

    /// Guards against a block that stays although the request is answered: a short stream ends within the time in which
    /// a loss would count as a crash.
    void aShortWholeStreamClearsItsRequest()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        const CrashSuspects suspects = crashSuspects({}, "\n/stream/", "hi");
        for (const char *site : {"x@1", "y@1"}) {
            rig.context.fleetView.crashes.onLost(suspects, site, bootClockNow() - Milliseconds(1));
        }
        rig.upstream("u", {{streamHead() + chunkedEvent(1) + "0\r\n\r\n"}});
        CPPUNIT_ASSERT(rig.context.fleetView.crashes.isSuspected(suspects));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/stream/"))));
        CPPUNIT_ASSERT(!rig.context.fleetView.crashes.isSuspected(suspects));
    }

    void withoutAConfigurationRequestsGetARetryAfter()
    {
        ForwardRig rig;
        rig.context.fleetView.table = nullptr;
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(answer));
        CPPUNIT_ASSERT(contains(answer, "Retry-After: "));
    }

    void aStoppingInstanceAcceptsOnlyRequestsThatEndInTime()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        rig.context.phase = ForwardPhase::Finishing;
        rig.context.stopsAt = bootClockNow() + Milliseconds(3000);
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(clientRequest("/stream/"))));
        rig.context.stopsAt = bootClockNow() + Milliseconds(300);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(clientRequest("/once/"))));
    }

    void anUpstreamThatSaysThatItLeavesGetsNoMoreRequests()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        test::ScriptedUpstream &leaving
            = rig.upstream("u", {{upstreamAnswer(200, "ok", "r-1", test::signatureHeader + "Server-Leaving: 1\r\n")}});
        test::ScriptedUpstream &other = rig.remoteUpstream("v", {{upstreamAnswer(200, "ok")}});
        // The one of the own zone is chosen first; its word binds from its first answer on.
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        for (int request = 0; request < 5; ++request) {
            CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaving.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, other.requests.size());
    }

    void aProcessThatReplacesALeavingOneGetsRequests()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        test::ScriptedUpstream &upstream
            = rig.upstream("u",
                           {{upstreamAnswer(200, "ok", "r-1", test::signatureHeader + "Server-Leaving: 1\r\n")},
                            {upstreamAnswer(200, "ok")}});
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(clientRequest("/once/"))));
        UpstreamEntry entry = rig.context.fleetView.upstreams.find(UpstreamId("u"))->entry;
        entry.startedAtMs = 1;
        rig.context.fleetView.upstreams.update(entry);
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, upstream.requests.size());
    }

    void anUpstreamThatWantsNoRequestsGetsNone()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        const std::string refusal = "HTTP/1.1 503 Full\r\n" + test::requestIdHeader() + test::notExecutedHeader
            + "Retry-After: 0.45\r\nContent-Length: 0\r\n\r\n";
        test::ScriptedUpstream &refusing = rig.upstream("u", {{refusal}, {upstreamAnswer(200, "ok")}});
        test::ScriptedUpstream &other = rig.remoteUpstream("v", {{upstreamAnswer(200, "ok")}});
        const TimePoint end = bootClockNow() + Milliseconds(400);
        unsigned requests = 0;
        while (bootClockNow() < end) {
            CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
            ++requests;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusing.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{requests}, other.requests.size());
        rig.runFor(Milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(clientRequest("/once/"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, refusing.requests.size());
    }

    void aRefusalTellsWhenAnUpstreamWantsRequestsAgain()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        const std::string refusal = "HTTP/1.1 503 Full\r\n" + test::requestIdHeader() + test::notExecutedHeader
            + "Retry-After: 5\r\nContent-Length: 0\r\n\r\n";
        test::ScriptedUpstream &upstream = rig.upstream("u", {{refusal}});
        const TimePoint sentAt = bootClockNow();
        for (int request = 0; request < 3; ++request) {
            const std::string answer = rig.exchange(clientRequest("/once/"));
            CPPUNIT_ASSERT_EQUAL(503, statusOf(answer));
            const std::size_t field = answer.find("Retry-After: ");
            CPPUNIT_ASSERT(field != std::string::npos);
            const double seconds = std::stod(answer.substr(field + std::string("Retry-After: ").size()));
            CPPUNIT_ASSERT(seconds > 4 && seconds <= 5);
        }
        // It is refused at once, not after a wait.
        CPPUNIT_ASSERT(bootClockNow() - sentAt < Milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests.size());
    }

    /// Guards against clients that stay away for a day, although another upstream may register at any moment.
    void clientsAreNotSentAwayForTheWholeWaitOfAnUpstream()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        test::ScriptedUpstream &upstream = rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        UpstreamList &upstreams = rig.context.fleetView.upstreams;
        upstreams.postpone(upstreams.find(UpstreamId("u"))->entry, bootClockNow() + Milliseconds(86400000));
        const std::string answer = rig.exchange(clientRequest("/once/"));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(answer));
        CPPUNIT_ASSERT(contains(answer, "Retry-After: 60.000\r\n"));
        CPPUNIT_ASSERT(upstream.requests.empty());
    }

    /// Sends bytes that are not a valid request; nothing may reach the upstream.
    static std::string sendMalformed(const std::string &bytes)
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        std::string answer = rig.exchange(bytes, Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatches(rig));
        return answer;
    }

    void twoContentLengthsAreRefused()
    {
        CPPUNIT_ASSERT_EQUAL(400, statusOf(sendMalformed(clientRequest("/once/", "r-1", "Content-Length: 7\r\n"))));
    }

    void aContentLengthWithChunkedCodingIsRefused()
    {
        CPPUNIT_ASSERT_EQUAL(400,
                             statusOf(sendMalformed(clientRequest("/once/", "r-1", "Transfer-Encoding: chunked\r\n"))));
    }

    void anUnknownTransferCodingIsRefused()
    {
        const std::string bytes = "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: r-1\r\n"
                                  "Transfer-Encoding: gzip\r\n\r\nGET /once/ HTTP/1.1\r\nHost: h\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(400, statusOf(sendMalformed(bytes)));
    }

    void aRequestInsideABodyIsForwardedAsBody()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        const std::string embedded = clientRequest("/once/hidden", "r-9");
        rig.exchange("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: r-1\r\nConnection: close\r\n"
                     "Content-Length: "
                     + std::to_string(embedded.size()) + "\r\n\r\n" + embedded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests.size());
        CPPUNIT_ASSERT(upstream.requests.front().ends_with(embedded));
    }

    void aTruncatedRequestIsNotForwarded()
    {
        const std::string whole = clientRequest("/once/");
        sendMalformed(whole.substr(0, whole.size() - 1));
        sendMalformed(whole.substr(0, whole.size() / 2));
    }

    void anIncompleteRequestTimesOut()
    {
        const TimePoint startedAt = bootClockNow();
        CPPUNIT_ASSERT(sendMalformed("POST /once/ HT").empty());
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(1000));
    }

    void anOversizedHeadIsRefused()
    {
        const std::string large(40000, 'x');
        CPPUNIT_ASSERT_EQUAL(413,
                             statusOf(sendMalformed(clientRequest("/once/", "r-1", "X-Large: " + large + "\r\n"))));
    }

    void systemHeadersOfClientsAreRemoved()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        rig.exchange(clientRequest(
            "/once/", "r-1", "X-Parsleyvane-Tenant: forged\r\nX-Parsleyvane-Hold: forged\r\nKv-From: forged\r\n"));
        CPPUNIT_ASSERT(!contains(upstream.requests.front(), "forged"));
    }

    void aChunkedBodyIsForwarded()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{upstreamAnswer(200, "ok")}});
        rig.exchange("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: r-1\r\nConnection: close\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3\r\nyou\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(upstream.requests.front().ends_with("\r\n\r\nhiyou"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);

} // namespace parsleyvane
