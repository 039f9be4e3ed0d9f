#include "suite.h"

#include "forwardrig.h"
#include "parsleyvane/core/clock.h"

namespace parsleyvane {

using test::ask;
using test::chunkedEvent;
using test::ForwardRig;
using test::reply;
using test::streamHead;

namespace {

const std::string signature = "X-Parsleyvane-Server-Signature";
const std::string unrun = "HTTP/1.1 503 Full\r\nX-Parsleyvane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

int statusOf(const std::string &answer)
{
    constexpr std::size_t begin = 9;
    return answer.size() > begin ? std::stoi(answer.substr(begin, 3)) : 0;
}

std::size_t sendings(const ForwardRig &rig)
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
    CPPUNIT_TEST(anAnswerIsPassedOnUnchanged);
    CPPUNIT_TEST(aRefusalIsTriedElsewhere);
    CPPUNIT_TEST(whatNobodyRanIsRefusedWithATimeToComeBack);
    CPPUNIT_TEST(aRunOnceRequestIsNeverSentTwiceAfterALoss);
    CPPUNIT_TEST(aPromiseThatMayBeFalseIsNotPassedOn);
    CPPUNIT_TEST(aRepeatableRequestGoesOnAfterALoss);
    CPPUNIT_TEST(aFailureThatRepeatsIsPassedOnAsItIs);
    CPPUNIT_TEST(aSuccessWithoutSignatureIsNotPassedOn);
    CPPUNIT_TEST(anEncodedBodyIsNotTheUpstreams);
    CPPUNIT_TEST(aTruncatedAnswerNeverLooksWhole);
    CPPUNIT_TEST(anAnswerThatEndsWithItsConnectionIsWhole);
    CPPUNIT_TEST(theAnswerToAnotherRequestIsSkipped);
    CPPUNIT_TEST(aConnectionWithBytesLeftOverIsNotUsedAgain);
    CPPUNIT_TEST(aRunOnceRequestTakesAFreshConnection);
    CPPUNIT_TEST(aStreamGoesOnAfterItsLastWholeEvent);
    CPPUNIT_TEST(aBegunStreamGoesOnWithoutBudget);
    CPPUNIT_TEST(aLateFirstEventIsNoEvidenceAgainstAVersion);
    CPPUNIT_TEST(lateFirstEventsShowASlowVersion);
    CPPUNIT_TEST(aRunOnceFailureIsEvidenceAgainstAVersion);
    CPPUNIT_TEST(aStreamThatMayNotResumeBreaksVisibly);
    CPPUNIT_TEST(aMissingEventNeverPasses);
    CPPUNIT_TEST(aSilentUpstreamIsLeftInTime);
    CPPUNIT_TEST(theDeadlineEndsInAnAnswer);
    CPPUNIT_TEST(theTimeHandedOnShrinks);
    CPPUNIT_TEST(workStopsWhenTheCallerLeaves);
    CPPUNIT_TEST(unknownPathsAndKeysAreRefused);
    CPPUNIT_TEST(aRequestThatCrashesUpstreamsIsStopped);
    CPPUNIT_TEST(withoutAConfigurationNothingIsDenied);
    CPPUNIT_TEST(aStoppingInstanceTakesWhatEndsInTime);
    CPPUNIT_TEST(twoLengthsReachNoUpstream);
    CPPUNIT_TEST(aLengthBesideChunksReachesNoUpstream);
    CPPUNIT_TEST(anUnknownCodingReachesNoUpstream);
    CPPUNIT_TEST(aRequestHiddenInABodyIsABody);
    CPPUNIT_TEST(aTornRequestReachesNoUpstream);
    CPPUNIT_TEST(aByteNowAndThenIsCutOff);
    CPPUNIT_TEST(anOversizedHeadIsRefused);
    CPPUNIT_TEST(headersOfTheSystemDoNotPass);
    CPPUNIT_TEST(aChunkedBodyIsPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void anAnswerIsPassedOnUnchanged()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{reply(418, "the body")}});
        const std::string answer = rig.exchange(ask("/once/x?y=z"));
        CPPUNIT_ASSERT_EQUAL(418, statusOf(answer));
        CPPUNIT_ASSERT(has(answer, signature + ": sig"));
        CPPUNIT_ASSERT(answer.ends_with("\r\n\r\nthe body"));
        CPPUNIT_ASSERT(rig.upstreams.front()->requests.front().starts_with("POST /once/x?y=z HTTP/1.1\r\n"));
    }

    void aRefusalIsTriedElsewhere()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u1", {{unrun}, {reply(200, "ok")}});
        rig.upstream("u2", {{unrun}, {reply(200, "ok")}});
        const std::string answer = rig.exchange(ask("/once/"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sendings(rig));
    }

    void whatNobodyRanIsRefusedWithATimeToComeBack()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{unrun}});
        const std::string answer = rig.exchange(ask("/once/"));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(answer));
        CPPUNIT_ASSERT(has(answer, "Retry-After: "));
        CPPUNIT_ASSERT(!has(answer, signature));
    }

    void aRunOnceRequestIsNeverSentTwiceAfterALoss()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u1", {{""}});
        rig.upstream("u2", {{""}});
        const std::string answer = rig.exchange(ask("/once/"));
        CPPUNIT_ASSERT_EQUAL(502, statusOf(answer));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sendings(rig));
    }

    void aPromiseThatMayBeFalseIsNotPassedOn()
    {
        for (const int status : {408, 429, 503}) {
            ForwardRig rig;
            rig.route("once", Repeatability::Once);
            rig.upstream("u", {{reply(status, "busy")}});
            const std::string answer = rig.exchange(ask("/once/"));
            CPPUNIT_ASSERT_EQUAL(502, statusOf(answer));
            CPPUNIT_ASSERT(!has(answer, signature));
        }
    }

    void aRepeatableRequestGoesOnAfterALoss()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u1", {{""}, {reply(200, "ok")}});
        rig.upstream("u2", {{""}, {reply(200, "ok")}});
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(ask("/often/"))));
    }

    void aFailureThatRepeatsIsPassedOnAsItIs()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u", {{reply(500, "its own")}});
        const std::string answer = rig.exchange(ask("/often/"));
        CPPUNIT_ASSERT_EQUAL(500, statusOf(answer));
        CPPUNIT_ASSERT(has(answer, signature));
        CPPUNIT_ASSERT(answer.ends_with("its own"));
    }

    void aSuccessWithoutSignatureIsNotPassedOn()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{reply(200, "forged", "r-1", "")}});
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(ask("/once/"))));
    }

    void anEncodedBodyIsNotTheUpstreams()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{reply(200, "zzz", "r-1", signature + ": sig\r\nContent-Encoding: gzip\r\n")}});
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(ask("/once/"))));
    }

    void aTruncatedAnswerNeverLooksWhole()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        const std::string whole = reply(200, "the whole body");
        rig.upstream("u", {{whole.substr(0, whole.size() - 3)}});
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(ask("/once/"))));
    }

    void anAnswerThatEndsWithItsConnectionIsWhole()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u",
                     {{"HTTP/1.1 200 OK\r\nX-Parsleyvane-Attempt-Id: r-1\r\n" + signature + ": sig\r\n\r\nno length"}});
        const std::string answer = rig.exchange(ask("/once/"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(answer));
        CPPUNIT_ASSERT(answer.ends_with("no length"));
    }

    void theAnswerToAnotherRequestIsSkipped()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u", {{reply(200, "for another", "r-0") + reply(200, "for this")}});
        const std::string answer = rig.exchange(ask("/often/"));
        CPPUNIT_ASSERT(answer.ends_with("for this"));
        CPPUNIT_ASSERT(!has(answer, "for another"));
    }

    void aConnectionWithBytesLeftOverIsNotUsedAgain()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        auto &upstream
            = rig.upstream("u", {{reply(200, "a") + reply(200, "late", "r-1"), false}, {reply(200, "b", "r-2")}});
        CPPUNIT_ASSERT(rig.exchange(ask("/often/")).ends_with("a"));
        CPPUNIT_ASSERT(rig.exchange(ask("/often/", "r-2")).ends_with("b"));
        CPPUNIT_ASSERT_EQUAL(2U, upstream.connections);
    }

    void aRunOnceRequestTakesAFreshConnection()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream(
            "u", {{reply(200, "a"), false}, {reply(200, "b", "r-2"), false}, {reply(200, "c", "r-3"), false}});
        rig.exchange(ask("/often/"));
        rig.exchange(ask("/often/", "r-2"));
        CPPUNIT_ASSERT_EQUAL(1U, upstream.connections);
        rig.exchange(ask("/once/", "r-3"));
        CPPUNIT_ASSERT_EQUAL(2U, upstream.connections);
    }

    void aStreamGoesOnAfterItsLastWholeEvent()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        const std::string torn = streamHead() + chunkedEvent(1) + chunkedEvent(2) + "9\r\nid: 3\nda";
        const std::string rest = streamHead() + chunkedEvent(2) + chunkedEvent(3) + "0\r\n\r\n";
        rig.upstream("u1", {{torn}, {rest}});
        rig.upstream("u2", {{torn}, {rest}});
        rig.upstreams.front()->scriptedResponses = {{torn}, {rest}};
        rig.upstreams.back()->scriptedResponses = {{rest}, {rest}};
        // Whichever is asked first, each event leaves once and in order.
        const std::string answer = rig.exchange(ask("/stream/"));
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

    void aBegunStreamGoesOnWithoutBudget()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.context.budget.setBounds({.ratio = 0, .slack = 0});
        rig.upstream("u", {{streamHead() + chunkedEvent(1)}, {streamHead() + chunkedEvent(2) + "0\r\n\r\n"}});
        const std::string answer = rig.exchange(ask("/stream/"));
        CPPUNIT_ASSERT(has(answer, "id: 2\n"));
        CPPUNIT_ASSERT(answer.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT(has(rig.upstreams.front()->requests.back(), "Last-Event-Id: 1\r\n"));
    }

    void aLateFirstEventIsNoEvidenceAgainstAVersion()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {{"", true, true}});
        VersionShift &shift = rig.rollOut();
        rig.exchange(ask("/stream/"));
        CPPUNIT_ASSERT(shift.report().routes.empty());
    }

    void lateFirstEventsShowASlowVersion()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        VersionShift &shift = rig.rollOut();
        for (int answer = 0; answer < 20; ++answer) {
            shift.onTimeToFirstEvent(false, "stream/0", Milliseconds(4), bootClockNow());
        }
        shift.setLimits({.maxExposedShare = 1});
        rig.upstream("u", {{"", true, true}}, "v2");
        rig.exchange(ask("/stream/"));
        CPPUNIT_ASSERT_GREATER(0.0, shift.report().firstEventEvidence.logOdds());
    }

    void aRunOnceFailureIsEvidenceAgainstAVersion()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{reply(500, "failed")}});
        VersionShift &shift = rig.rollOut();
        CPPUNIT_ASSERT(rig.exchange(ask("/once/x")).starts_with("HTTP/1.1 500"));
        const AnswerCounts predecessor = shift.report().routes.at(RouteName("once")).predecessor;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, predecessor.served);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, predecessor.bad);
    }

    void aStreamThatMayNotResumeBreaksVisibly()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Once, true);
        rig.upstream("u", {{streamHead() + chunkedEvent(1)}});
        const std::string answer = rig.exchange(ask("/stream/"));
        CPPUNIT_ASSERT(has(answer, "id: 1\n"));
        CPPUNIT_ASSERT(!answer.ends_with("0\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sendings(rig));
    }

    void aMissingEventNeverPasses()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {{streamHead() + chunkedEvent(1) + chunkedEvent(3) + "0\r\n\r\n"}});
        const std::string answer = rig.exchange(ask("/stream/"));
        CPPUNIT_ASSERT(!has(answer, "id: 3\n"));
        CPPUNIT_ASSERT(!answer.ends_with("0\r\n\r\n"));
    }

    void aSilentUpstreamIsLeftInTime()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        rig.upstream("u1", {{"", true, true}, {reply(200, "ok")}});
        rig.upstream("u2", {{"", true, true}, {reply(200, "ok")}});
        const TimePoint begun = bootClockNow();
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(ask("/often/"))));
        CPPUNIT_ASSERT(bootClockNow() - begun < Milliseconds(1200));
    }

    void theDeadlineEndsInAnAnswer()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{"", true, true}});
        const TimePoint begun = bootClockNow();
        const std::string answer = rig.exchange(ask("/once/", "r-1", "X-Parsleyvane-Deadline-Ms: 400\r\n"));
        CPPUNIT_ASSERT_EQUAL(504, statusOf(answer));
        CPPUNIT_ASSERT(bootClockNow() - begun < Milliseconds(900));
    }

    void theTimeHandedOnShrinks()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{reply(200, "ok")}});
        rig.exchange(ask("/once/", "r-1", "X-Parsleyvane-Deadline-Ms: 900\r\n"));
        const std::string &sent = upstream.requests.front();
        const std::string field = "X-Parsleyvane-Deadline-Ms: ";
        const int handed = std::stoi(sent.substr(sent.find(field) + field.size()));
        CPPUNIT_ASSERT(handed > 0 && handed <= 900);
    }

    void workStopsWhenTheCallerLeaves()
    {
        ForwardRig rig;
        rig.route("stream", Repeatability::Resumable, true);
        auto &upstream = rig.upstream("u", {{streamHead() + chunkedEvent(1), true, true}});
        rig.leavesEarly = true;
        rig.exchange(ask("/stream/"));
        rig.pass(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1U, upstream.closedByClient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sendings(rig));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.context.inFlight);
    }

    void unknownPathsAndKeysAreRefused()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.table->addKey("good", {.account = AccountId("t")});
        rig.table->requireKeys();
        rig.upstream("u", {{reply(200, "ok")}});
        CPPUNIT_ASSERT_EQUAL(404, statusOf(rig.exchange(ask("/else/"))));
        CPPUNIT_ASSERT_EQUAL(401, statusOf(rig.exchange(ask("/once/"))));
        CPPUNIT_ASSERT_EQUAL(401, statusOf(rig.exchange(ask("/once/", "r-1", "X-Parsleyvane-Credential: bad\r\n"))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sendings(rig));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(ask("/once/", "r-1", "X-Parsleyvane-Credential: good\r\n"))));
        CPPUNIT_ASSERT(has(rig.upstreams.front()->requests.front(), "X-Parsleyvane-Tenant: t\r\n"));
    }

    void aRequestThatCrashesUpstreamsIsStopped()
    {
        ForwardRig rig;
        rig.route("often", Repeatability::Always);
        for (const char *id : {"u1", "u2", "u3", "u4"}) {
            rig.upstream(id, {{""}});
        }
        CPPUNIT_ASSERT_EQUAL(502, statusOf(rig.exchange(ask("/often/", "r-1"))));
        const std::size_t before = sendings(rig);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(ask("/often/", "r-2"))));
        CPPUNIT_ASSERT_EQUAL(before, sendings(rig));
    }

    void withoutAConfigurationNothingIsDenied()
    {
        ForwardRig rig;
        rig.context.beliefs.table = nullptr;
        const std::string answer = rig.exchange(ask("/once/"));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(answer));
        CPPUNIT_ASSERT(has(answer, "Retry-After: "));
    }

    void aStoppingInstanceTakesWhatEndsInTime()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.route("stream", Repeatability::Resumable, true);
        rig.upstream("u", {{reply(200, "ok")}});
        rig.context.phase = ForwardPhase::Finishing;
        rig.context.stopsAt = bootClockNow() + Milliseconds(3000);
        CPPUNIT_ASSERT_EQUAL(200, statusOf(rig.exchange(ask("/once/"))));
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(ask("/stream/"))));
        rig.context.stopsAt = bootClockNow() + Milliseconds(300);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(rig.exchange(ask("/once/"))));
    }

    /// Sends bytes that are no proper request; nothing may reach the upstream.
    static std::string sendBad(const std::string &bytes)
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        rig.upstream("u", {{reply(200, "ok")}});
        std::string answer = rig.exchange(bytes, Milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sendings(rig));
        return answer;
    }

    void twoLengthsReachNoUpstream()
    {
        CPPUNIT_ASSERT_EQUAL(400, statusOf(sendBad(ask("/once/", "r-1", "Content-Length: 7\r\n"))));
    }

    void aLengthBesideChunksReachesNoUpstream()
    {
        CPPUNIT_ASSERT_EQUAL(400, statusOf(sendBad(ask("/once/", "r-1", "Transfer-Encoding: chunked\r\n"))));
    }

    void anUnknownCodingReachesNoUpstream()
    {
        const std::string bytes = "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: r-1\r\n"
                                  "Transfer-Encoding: gzip\r\n\r\nGET /once/ HTTP/1.1\r\nHost: h\r\n\r\n";
        CPPUNIT_ASSERT_EQUAL(400, statusOf(sendBad(bytes)));
    }

    void aRequestHiddenInABodyIsABody()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{reply(200, "ok")}});
        const std::string hidden = ask("/once/hidden", "r-9");
        rig.exchange("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: r-1\r\nConnection: close\r\n"
                     "Content-Length: "
                     + std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests.size());
        CPPUNIT_ASSERT(upstream.requests.front().ends_with(hidden));
    }

    void aTornRequestReachesNoUpstream()
    {
        const std::string whole = ask("/once/");
        sendBad(whole.substr(0, whole.size() - 1));
        sendBad(whole.substr(0, whole.size() / 2));
    }

    void aByteNowAndThenIsCutOff()
    {
        const TimePoint begun = bootClockNow();
        CPPUNIT_ASSERT(sendBad("POST /once/ HT").empty());
        CPPUNIT_ASSERT(bootClockNow() - begun < Milliseconds(1000));
    }

    void anOversizedHeadIsRefused()
    {
        const std::string large(40000, 'x');
        CPPUNIT_ASSERT_EQUAL(413, statusOf(sendBad(ask("/once/", "r-1", "X-Large: " + large + "\r\n"))));
    }

    void headersOfTheSystemDoNotPass()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{reply(200, "ok")}});
        rig.exchange(
            ask("/once/", "r-1", "X-Parsleyvane-Tenant: forged\r\nX-Parsleyvane-Hold: forged\r\nKv-From: forged\r\n"));
        CPPUNIT_ASSERT(!has(upstream.requests.front(), "forged"));
    }

    void aChunkedBodyIsPassedOn()
    {
        ForwardRig rig;
        rig.route("once", Repeatability::Once);
        auto &upstream = rig.upstream("u", {{reply(200, "ok")}});
        rig.exchange("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Parsleyvane-Attempt-Id: r-1\r\nConnection: close\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3\r\nyou\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(upstream.requests.front().ends_with("\r\n\r\nhiyou"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);

} // namespace parsleyvane
