#include "suite.h"

#include "forwardrig.h"

namespace parsleyvane {

using namespace test;

namespace {

const std::string lastChunk = "0\r\n\r\n";

/// An answer that begins some time after the hedge was sent.
ScriptedResponse late(const std::string &answer, std::chrono::milliseconds pause = std::chrono::milliseconds(90))
{
    return {.answer = "", .rest = answer, .pause = pause};
}

const ScriptedResponse silent{.answer = "", .staysSilent = true};

/// An ingress that hedges after about 20 ms. The upstream "u" is chosen first.
class HedgeRig : public ForwardRig
{
public:
    explicit HedgeRig(Repeatability repeat = Repeatability::Always, bool streams = false)
    {
        this->route("r", repeat, streams);
        this->hedge("r", Milliseconds(15));
    }

    ScriptedUpstream &first(const ScriptedResponse &response)
    {
        return this->upstream("u", {response});
    }

    ScriptedUpstream &second(const ScriptedResponse &response)
    {
        return this->remoteUpstream("v", {response});
    }

    std::string send(const std::string &more = "")
    {
        return this->exchange(clientRequest("/r/", "r-1", more));
    }

    bool hasCounted(const std::string &event) const
    {
        return this->metrics.text().find("{event=\"" + event + "\"} 1") != std::string::npos;
    }

    /// Attempts in flight at both upstreams.
    unsigned running() const
    {
        unsigned sum = 0;
        this->context.fleetView.upstreams.forEachUsable(
            ServiceName("s"), [&](const RegisteredUpstream &upstream) { sum += upstream.running; });
        return sum;
    }
};

} // namespace

class HedgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgeTest);
    CPPUNIT_TEST(aSlowFirstUpstreamIsOvertaken);
    CPPUNIT_TEST(aStreamWithoutItsFirstEventIsOvertaken);
    CPPUNIT_TEST(aFirstAnswerBeforeTheHedgesWins);
    CPPUNIT_TEST(aFirstEventBeforeTheHedgesWins);
    CPPUNIT_TEST(aFastOrBegunAnswerIsNotHedged);
    CPPUNIT_TEST(theHedgeAnswersForAFailedFirst);
    CPPUNIT_TEST(afterBothFailAThirdIsTried);
    CPPUNIT_TEST(bothCrashesAreRecorded);
    CPPUNIT_TEST(bothConnectionsCloseWhenTheClientLeaves);
    CPPUNIT_TEST(bothAreGivenUpAtTheDeadline);
    CPPUNIT_TEST(onlyRefusalsByBothPromiseThatNothingRan);
    CPPUNIT_TEST(aPoorAnswerIsEscalatedAtOnce);
    CPPUNIT_TEST(withheldHedgesAreNotSent);
    CPPUNIT_TEST(aFailedHedgeIsClosedBeforeTheFirstEnds);
    CPPUNIT_TEST(anOvertakenUpstreamIsKnownToBeSlow);
    CPPUNIT_TEST(aLeavingUpstreamIsNoShortage);
    CPPUNIT_TEST(aRefusedHedgeTakesNoAdmissionBack);
    CPPUNIT_TEST(anExceptionEndsTheHedge);
    CPPUNIT_TEST(aHedgeInFlightEndsWithTheContext);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a hedge that does not shorten the wait, and an upstream that goes on working for nobody.
    void aSlowFirstUpstreamIsOvertaken()
    {
        HedgeRig rig;
        auto &first = rig.first(silent);
        auto &second = rig.second({upstreamAnswer(200, "second")});
        const TimePoint startedAt = bootClockNow();
        CPPUNIT_ASSERT(rig.send().ends_with("second"));
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(200));
        rig.runFor(Milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(1U, first.closedByClient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
        CPPUNIT_ASSERT(rig.hasCounted("hedge_sent") && rig.hasCounted("hedge_won"));
        CPPUNIT_ASSERT_EQUAL(0.0, rig.context.fleetView.upstreams.find(UpstreamId("u"))->failureRate);
    }

    /// Guards against a head of one answer with the events of another, and lost events that were read early.
    void aStreamWithoutItsFirstEventIsOvertaken()
    {
        HedgeRig rig(Repeatability::Resumable, true);
        auto &first = rig.first({.answer = streamHead("r-1", "X-From: first\r\n") + "5\r\nid: 1", .staysSilent = true});
        rig.second({.answer = streamHead("r-1", "X-From: second\r\n") + chunkedEvent(1),
                    .rest = chunkedEvent(2) + chunkedEvent(3) + lastChunk});
        const std::string answer = rig.send();
        CPPUNIT_ASSERT(answer.find("X-From: second") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("X-From: first") == std::string::npos);
        for (int id = 1; id <= 3; ++id) {
            const std::string event = "id: " + std::to_string(id) + "\n";
            CPPUNIT_ASSERT(answer.find(event) != std::string::npos && answer.find(event) == answer.rfind(event));
        }
        CPPUNIT_ASSERT(answer.ends_with(lastChunk));
        CPPUNIT_ASSERT_EQUAL(1U, first.closedByClient);
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
    }

    /// Guards against a loser whose connection stays open.
    void aFirstAnswerBeforeTheHedgesWins()
    {
        HedgeRig rig;
        rig.first(late(upstreamAnswer(200, "first")));
        auto &second = rig.second(silent);
        const TimePoint startedAt = bootClockNow();
        CPPUNIT_ASSERT(rig.send().ends_with("first"));
        rig.runFor(Milliseconds(20));
        // Well before the silence limit of 300 ms, which would close the connection too.
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(1U, second.closedByClient);
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
        CPPUNIT_ASSERT(rig.hasCounted("hedge_lost"));
    }

    /// Guards against a hedge that is closed only when the stream has ended.
    void aFirstEventBeforeTheHedgesWins()
    {
        HedgeRig rig(Repeatability::Resumable, true);
        unsigned closedBeforeEnd = 0;
        auto &second = rig.second({.answer = streamHead(), .staysSilent = true});
        ScriptedResponse stream = late(streamHead() + chunkedEvent(1));
        stream.nextPiece = [&](unsigned number) {
            closedBeforeEnd = number < 8 ? second.closedByClient : closedBeforeEnd;
            return number < 20 ? chunkedEvent(static_cast<int>(number) + 2) : lastChunk;
        };
        stream.pieceInterval = std::chrono::milliseconds(5);
        rig.first(stream);
        CPPUNIT_ASSERT(rig.send().find("id: 21\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1U, closedBeforeEnd);
    }

    /// Guards against needless hedges, and two answers whose events are mixed.
    void aFastOrBegunAnswerIsNotHedged()
    {
        for (const bool streams : {false, true}) {
            HedgeRig rig(Repeatability::Resumable, streams);
            rig.first({.answer = streams ? streamHead() + chunkedEvent(1) : upstreamAnswer(200, lastChunk),
                       .rest = streams ? chunkedEvent(2) + lastChunk : "",
                       .pause = std::chrono::milliseconds(120)});
            auto &second = rig.second({upstreamAnswer(200, "second")});
            CPPUNIT_ASSERT(rig.send().ends_with(lastChunk));
            rig.runFor(Milliseconds(50));
            CPPUNIT_ASSERT(second.requests.empty());
        }
    }

    /// Guards against a hedge that is dropped when it has become the only attempt.
    void theHedgeAnswersForAFailedFirst()
    {
        for (const std::string &failure : {upstreamAnswer(500, "failed"), notExecutedAnswer, std::string(" ")}) {
            HedgeRig rig;
            rig.first(late(failure, std::chrono::milliseconds(50)));
            auto &second = rig.second(late(upstreamAnswer(200, "second"), std::chrono::milliseconds(90)));
            CPPUNIT_ASSERT(rig.send().ends_with("second"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
        }
    }

    /// Guards against a request that ends with two failed attempts while a third is permitted.
    void afterBothFailAThirdIsTried()
    {
        HedgeRig rig;
        rig.first(late(upstreamAnswer(500, "failed")));
        rig.second({upstreamAnswer(500, "failed")});
        auto &third = rig.remoteUpstream("w", {{upstreamAnswer(500, "failed")}});
        CPPUNIT_ASSERT(rig.send().ends_with("failed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.requests.size());
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
    }

    /// Guards against a prompt that crashes upstreams twice as fast as it is found out.
    void bothCrashesAreRecorded()
    {
        HedgeRig rig;
        rig.first(late(" "));
        auto &second = rig.second(late(" ", std::chrono::milliseconds(20)));
        rig.send();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rig.context.fleetView.crashes.report().crashes.size());
    }

    /// Guards against upstreams that work for a client that has gone.
    void bothConnectionsCloseWhenTheClientLeaves()
    {
        HedgeRig rig;
        auto &first = rig.first(silent);
        auto &second = rig.second(silent);
        rig.disconnectsEarly = true;
        rig.send();
        rig.runFor(Milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(1U, first.closedByClient);
        CPPUNIT_ASSERT_EQUAL(1U, second.closedByClient);
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.context.inFlight);
    }

    void bothAreGivenUpAtTheDeadline()
    {
        HedgeRig rig;
        rig.first(silent);
        rig.second(silent);
        const TimePoint startedAt = bootClockNow();
        CPPUNIT_ASSERT(rig.send(deadlineHeader(Milliseconds(250))).starts_with("HTTP/1.1 504"));
        CPPUNIT_ASSERT(bootClockNow() - startedAt < Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
    }

    /// Guards against "not run" after the hedge's connection broke, and "may have run" after two refusals.
    void onlyRefusalsByBothPromiseThatNothingRan()
    {
        for (const bool isHedgeRefused : {true, false}) {
            HedgeRig rig;
            rig.first(late(notExecutedAnswer));
            rig.second(late(isHedgeRefused ? notExecutedAnswer : " ", std::chrono::milliseconds(20)));
            CPPUNIT_ASSERT(rig.send().starts_with(isHedgeRefused ? "HTTP/1.1 503" : "HTTP/1.1 502"));
        }
    }

    /// Guards against a fast but doubtful answer that reaches the client, and against a wait for the first attempt,
    /// whose answer to the same request would be as doubtful: the larger model gets the request at once.
    void aPoorAnswerIsEscalatedAtOnce()
    {
        HedgeRig rig;
        rig.table->addRoute({.name = RouteName("r"),
                             .host = "h",
                             .prefix = "/r/",
                             .repeat = Repeatability::Resumable,
                             .streams = true,
                             .timeout = Milliseconds(1200),
                             .objective = Milliseconds(200),
                             .interEventObjective = Milliseconds(200),
                             .maxAttempts = 4,
                             .sizes = {ModelName("small"), ModelName("large")},
                             .services = {{ServiceName("s"), 1}}});
        rig.context.sizes.minConfidence = 60;
        const ScriptedResponse large{streamHead("r-1", confidenceHeader(0) + "X-From: large\r\n") + chunkedEvent(1)
                                     + lastChunk};
        const ScriptedResponse small
            = late(streamHead("r-1", confidenceHeader(90) + "X-From: first\r\n") + chunkedEvent(1) + lastChunk);
        auto &first = rig.upstream("u", {small, large});
        auto &second
            = rig.remoteUpstream("v", {{streamHead("r-1", confidenceHeader(10)) + chunkedEvent(1) + lastChunk}, large});
        CPPUNIT_ASSERT(rig.send().find("X-From: large") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.requests.size() + second.requests.size());
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
        CPPUNIT_ASSERT(rig.hasCounted("hedge_failed"));
    }

    /// Guards against hedges that the policy, the limits or the versions do not permit.
    void withheldHedgesAreNotSent()
    {
        const auto expectNone
            = [](const std::string &reason, auto prepare, Repeatability repeat = Repeatability::Always) {
                  HedgeRig rig(repeat);
                  rig.first(late(upstreamAnswer(200, "first")));
                  auto &second = rig.second({upstreamAnswer(200, "second")});
                  prepare(rig);
                  CPPUNIT_ASSERT(rig.send().ends_with("first"));
                  CPPUNIT_ASSERT(second.requests.empty());
                  CPPUNIT_ASSERT(reason.empty() || rig.hasCounted("hedge_withheld_" + reason));
              };
        const auto entryOf = [](HedgeRig &rig) {
            return rig.context.fleetView.upstreams.find(UpstreamId("v"))->entry;
        };
        expectNone(
            "not_repeatable", [](HedgeRig &) {}, Repeatability::Once);
        expectNone("", [](HedgeRig &rig) { rig.context.hedges.setShare(0, Milliseconds(10000)); });
        expectNone("retry_budget", [](HedgeRig &rig) { rig.context.budget.setBounds({.ratio = 0, .slack = 0}); });
        expectNone("suspected_prompt", [](HedgeRig &rig) {
            const CrashSuspects request = crashSuspects({}, "\n/r/", "hi");
            rig.context.fleetView.crashes.onLost(request, "other", bootClockNow());
        });
        expectNone("short_of_capacity", [&](HedgeRig &rig) {
            rig.context.sharesLoad = true;
            for (int number = 0; number < 20; ++number) {
                rig.context.fleetView.load.record(entryOf(rig), {.outcome = UpstreamOutcome::Refused}, bootClockNow());
            }
        });
        expectNone("no_upstream", [&](HedgeRig &rig) {
            UpstreamEntry other = entryOf(rig);
            other.version = VersionName("v2");
            rig.context.fleetView.upstreams.update(other);
        });
        expectNone("no_upstream", [&](HedgeRig &rig) {
            rig.context.fleetView.upstreamLimiter.onAnswer(entryOf(rig), RequestRate{.perSecond = 100}, bootClockNow(),
                                                           bootClockNow());
        });
    }

    /// Guards against a failed hedge whose upstream goes on sending until the first attempt ends.
    void aFailedHedgeIsClosedBeforeTheFirstEnds()
    {
        HedgeRig rig(Repeatability::Resumable, true);
        unsigned closedBeforeEnd = 0;
        // Without a signature, it is not the application's answer.
        auto &second = rig.second({.answer = upstreamAnswer(200, "x", "r-1", ""), .staysSilent = true});
        ScriptedResponse stream = late(streamHead() + chunkedEvent(1));
        stream.nextPiece = [&](unsigned number) {
            closedBeforeEnd = number < 8 ? second.closedByClient : closedBeforeEnd;
            return number < 20 ? chunkedEvent(static_cast<int>(number) + 2) : lastChunk;
        };
        stream.pieceInterval = std::chrono::milliseconds(5);
        rig.first(stream);
        CPPUNIT_ASSERT(rig.send().find("id: 21\n") != std::string::npos);
        CPPUNIT_ASSERT(rig.hasCounted("hedge_failed"));
        CPPUNIT_ASSERT_EQUAL(1U, closedBeforeEnd);
    }

    /// Guards against a hung upstream that is chosen again and again, since its hedges answer in its place.
    void anOvertakenUpstreamIsKnownToBeSlow()
    {
        for (const bool isSilent : {false, true}) {
            HedgeRig rig;
            rig.context.sharesLoad = true;
            for (int number = 0; isSilent && number < 1000; ++number) {
                rig.context.hedges.onResponse(hedgeKind("r/0", 0), Milliseconds(200), bootClockNow());
            }
            rig.first(silent);
            // The silence limit is 300 ms, and the hedge is then sent after 80 ms.
            rig.second(isSilent ? late(upstreamAnswer(200, "second"), std::chrono::milliseconds(250))
                                : ScriptedResponse{upstreamAnswer(200, "second")});
            const UpstreamList &upstreams = rig.context.fleetView.upstreams;
            LoadView &load = rig.context.fleetView.load;
            for (int number = 0; number < 20; ++number) {
                load.record(upstreams.find(UpstreamId("v"))->entry, {.workKind = "r/0/whole", .time = Milliseconds(8)},
                            bootClockNow());
            }
            CPPUNIT_ASSERT(rig.send().ends_with("second"));
            const RegisteredUpstream &first = *upstreams.find(UpstreamId("u"));
            CPPUNIT_ASSERT(rig.hasCounted("hedge_won"));
            CPPUNIT_ASSERT_EQUAL(isSilent, first.failureRate > 0);
            CPPUNIT_ASSERT_EQUAL(isSilent, first.avoidUntil > bootClockNow());
            const auto condition = load.condition(first.entry, bootClockNow());
            CPPUNIT_ASSERT(condition && condition->relativeTime > 1.2);
        }
    }

    /// Guards against hedging that stops at each roll-out, when upstreams leave.
    void aLeavingUpstreamIsNoShortage()
    {
        HedgeRig rig;
        const ServiceName service("s");
        for (int number = 0; number < 7; ++number) {
            rig.context.hedges.onAttempt(service, false, bootClockNow());
        }
        rig.first({"HTTP/1.1 421 Leaving\r\n" + notExecutedHeader + "Content-Length: 0\r\n\r\n"});
        rig.second({upstreamAnswer(200, "second")});
        CPPUNIT_ASSERT(rig.send().ends_with("second"));
        const HedgeFacts facts{.service = service,
                               .kind = hedgeKind("r/0", 0),
                               .mayRepeat = true,
                               .hasAttemptLeft = true,
                               .retriesLeft = 1,
                               .timeLeft = Milliseconds(1000),
                               .objective = Milliseconds(200)};
        CPPUNIT_ASSERT(rig.context.hedges.decide(facts, bootClockNow()) == HedgeVerdict::Send);
    }

    /// Guards against more admissions than the upstreams have room for, since no admission was counted for the hedge.
    void aRefusedHedgeTakesNoAdmissionBack()
    {
        HedgeRig rig;
        rig.context.controlsAdmission = true;
        rig.first(late(upstreamAnswer(200, "first")));
        auto &second = rig.second({notExecutedAnswer});
        CPPUNIT_ASSERT(rig.send().ends_with("first"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
        const AdmissionQuery query{.service = ServiceName("s"), .route = RouteName("r")};
        const AdmissionDecision decision = rig.context.admission.onRetryWanted(query, bootClockNow());
        CPPUNIT_ASSERT(decision.attempts > 0);
        CPPUNIT_ASSERT_EQUAL(0.0, decision.refusals);
    }

    /// Guards against a hedge that goes on using a request that an exception has ended.
    void anExceptionEndsTheHedge()
    {
        HedgeRig rig;
        rig.first(late(" "));
        auto &second = rig.second(silent);
        rig.context.evidenceChanged = []() {
            throw std::runtime_error("test");
        };
        rig.exchange(clientRequest("/r/"), Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
        CPPUNIT_ASSERT_EQUAL(1U, second.closedByClient);
        CPPUNIT_ASSERT_EQUAL(0U, rig.running());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.context.inFlight);
    }

    /// Guards, under the address sanitizer, against a hedge that outlives what it uses.
    void aHedgeInFlightEndsWithTheContext()
    {
        HedgeRig rig;
        rig.first(silent);
        auto &second = rig.second(silent);
        rig.exchange(clientRequest("/r/"), Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.requests.size());
        CPPUNIT_ASSERT_EQUAL(2U, rig.running());
        rig.io.endOperations();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgeTest);

} // namespace parsleyvane
