#include "suite.h"

#include "parsleyvane/ingress/versionshift.h"

#include <cmath>
#include <random>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000000}};
constexpr Milliseconds duration{20000};
const ServiceName service("s");
const VersionName next("v2");
const RouteName route("r");

TimePoint at(double part)
{
    return start + Milliseconds(static_cast<std::int64_t>(part * static_cast<double>(duration.count())));
}

VersionShift running()
{
    VersionShift shift;
    shift.onOrder({.service = service, .to = next, .duration = duration, .number = 7});
    shift.onStatus({.service = service, .to = next, .order = 7}, start);
    return shift;
}

/// Times of one kind of work: their logarithms are normal, with the spread that pauses had on the simulated fleet.
class PaceSource
{
public:
    explicit PaceSource(unsigned seed)
        : random(seed)
    {
    }

    Milliseconds next()
    {
        return Milliseconds(static_cast<std::int64_t>(std::exp(this->logs(this->random))));
    }

private:
    std::mt19937 random;
    std::normal_distribution<double> logs{std::log(400.0), 0.5};
};

std::string session(int number)
{
    return "session-" + std::to_string(number);
}

} // namespace

class VersionShiftTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionShiftTest);
    CPPUNIT_TEST(withoutAnOrderEveryVersionServes);
    CPPUNIT_TEST(theNewVersionWaitsForTheAgreedStart);
    CPPUNIT_TEST(sessionsStayInTheFirstHalf);
    CPPUNIT_TEST(noSessionIsEverMovedBack);
    CPPUNIT_TEST(theWatchedPartStaysWithinTheExposure);
    CPPUNIT_TEST(allTrafficHasMovedBeforeCompletion);
    CPPUNIT_TEST(aBadVersionIsFoundWithinFewAnswers);
    CPPUNIT_TEST(fourBadAnswersOfAColdStartAreNotEnough);
    CPPUNIT_TEST(aGoodVersionIsNotBlamedForUsualFailures);
    CPPUNIT_TEST(evidenceOfOtherInstancesCounts);
    CPPUNIT_TEST(errorsOnOneRouteAreFoundBesideARouteThatFailsByItself);
    CPPUNIT_TEST(aVersionTwiceAsSlowIsFoundWithinTwentyAnswers);
    CPPUNIT_TEST(aVersionWithHalfItsAnswersEightTimesAsSlowIsFound);
    CPPUNIT_TEST(aGoodVersionIsSeldomTakenForASlowOne);
    CPPUNIT_TEST(aFewVeryLateAnswersDecideNothing);
    CPPUNIT_TEST(timesCountOnlyWhileTheVersionIsWatched);
    CPPUNIT_TEST(whatIsUsualIsKnownBeforeTheOrder);
    CPPUNIT_TEST(lateStartsCountOnceThePausesAreLongToo);
    CPPUNIT_TEST(slownessIsAddedUpOverTheInstances);
    CPPUNIT_TEST(whatSpeaksForADoubtedVersionIsTold);
    CPPUNIT_TEST(theOutcomeDecidesForEveryInstance);
    CPPUNIT_TEST(anOldStatusDoesNotAnswerANewOrder);
    CPPUNIT_TEST(nothingIsToldOnceTheOrderHasEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutAnOrderEveryVersionServes()
    {
        VersionShift shift;
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, start));
        CPPUNIT_ASSERT(shift.allows(VersionName("v1"), false));
        CPPUNIT_ASSERT(shift.allows(next, false));
    }

    void theNewVersionWaitsForTheAgreedStart()
    {
        VersionShift shift;
        shift.onOrder({.service = service, .to = next, .duration = duration, .number = 7});
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, start));
        CPPUNIT_ASSERT(!shift.allows(next, false));
        CPPUNIT_ASSERT(!shift.state());
    }

    void sessionsStayInTheFirstHalf()
    {
        VersionShift shift = running();
        constexpr int sessions = 500;
        for (int number = 0; number < sessions; ++number) {
            CPPUNIT_ASSERT(!shift.routesToCandidate(session(number), 0, at(0.001 * number)));
        }
    }

    void noSessionIsEverMovedBack()
    {
        test::property("over all instances, a session that reached the new version stays there", []() {
            VersionShift instances[] = {running(), running(), running()};
            std::map<std::string, bool> moved;
            double part = 0;
            while (part < 1) {
                part += 0.0001 * *rc::gen::inRange(1, 60);
                const std::string name = session(*rc::gen::inRange(0, 40));
                const bool candidate = instances[*rc::gen::inRange(0, 3)].routesToCandidate(name, 0, at(part));
                RC_ASSERT(!moved[name] || candidate);
                RC_ASSERT(!candidate || part >= 0.5);
                moved[name] = candidate;
            }
        });
    }

    void theWatchedPartStaysWithinTheExposure()
    {
        test::property("until the part rises, the new version got less than the bound of all requests so far", []() {
            const double bound = *rc::gen::element(0.05, 0.0975, 0.15, 0.3);
            VersionShift shift = running();
            shift.setLimits({.maxExposedShare = bound});
            int exposed = 0;
            constexpr int requests = 4000;
            const double end = shift.shiftLimits().rampBegin;
            for (int number = 0; number < requests; ++number) {
                exposed += shift.routesToCandidate(session(number), 0, at(end * number / requests)) ? 1 : 0;
            }
            RC_ASSERT(exposed > 0);
            RC_ASSERT(exposed < bound * requests);
        });
    }

    void allTrafficHasMovedBeforeCompletion()
    {
        VersionShift shift = running();
        const double settled = shift.shiftLimits().settle;
        CPPUNIT_ASSERT(!shift.mayComplete(at(settled - 0.01)));
        CPPUNIT_ASSERT(shift.mayComplete(at(settled)));
        constexpr int sessions = 200;
        for (int number = 0; number < sessions; ++number) {
            CPPUNIT_ASSERT(shift.routesToCandidate(session(number), 0.999, at(settled)));
        }
        CPPUNIT_ASSERT(shift.routesToCandidate("", 0.999, at(settled)));
    }

    void aBadVersionIsFoundWithinFewAnswers()
    {
        VersionShift shift = running();
        constexpr int usual = 100;
        for (int answer = 0; answer < usual; ++answer) {
            shift.onAnswer(route, false, true);
        }
        CPPUNIT_ASSERT(!shift.evaluate(start));
        constexpr int answers = 20;
        for (int answer = 0; answer < answers && !shift.isBad(); ++answer) {
            shift.onAnswer(route, true, answer % 2 == 0);
            shift.evaluate(start);
        }
        CPPUNIT_ASSERT(shift.isBad());
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, at(0.9)));
        CPPUNIT_ASSERT(!shift.mayComplete(at(0.99)));
    }

    void fourBadAnswersOfAColdStartAreNotEnough()
    {
        VersionShift shift = running();
        constexpr int usual = 100;
        for (int answer = 0; answer < usual; ++answer) {
            shift.onAnswer(route, false, true);
        }
        for (const bool good : {false, false, true, false, true, false}) {
            shift.onAnswer(route, true, good);
        }
        CPPUNIT_ASSERT(!shift.evaluate(start));
    }

    void aGoodVersionIsNotBlamedForUsualFailures()
    {
        VersionShift shift = running();
        constexpr int answers = 2000;
        for (int answer = 0; answer < answers; ++answer) {
            // One in seven fails at both: a service whose application does so by itself.
            shift.onAnswer(route, false, answer % 7 != 0);
            shift.onAnswer(route, true, answer % 7 != 3);
            CPPUNIT_ASSERT(!shift.evaluate(start));
        }
    }

    void evidenceOfOtherInstancesCounts()
    {
        VersionShift shift = running();
        const VersionReport report{.service = service,
                                   .version = next,
                                   .routes = {{route, {{40, 20}, {400, 2}}}},
                                   .firstEventEvidence = {},
                                   .latencyEvidence = {}};
        shift.merge(InstanceId("other"), report);
        CPPUNIT_ASSERT(shift.evaluate(start));
        VersionShift unrelated = running();
        VersionReport older = report;
        older.version = VersionName("v9");
        unrelated.merge(InstanceId("other"), older);
        CPPUNIT_ASSERT(!unrelated.evaluate(start));
    }

    void errorsOnOneRouteAreFoundBesideARouteThatFailsByItself()
    {
        VersionShift shift = running();
        const RouteName failing("failing");
        for (int answer = 0; answer < 400; ++answer) {
            shift.onAnswer(route, false, true);
            shift.onAnswer(failing, false, answer % 3 != 0);
        }
        constexpr int answers = 16;
        for (int answer = 0; answer < answers; ++answer) {
            shift.onAnswer(route, true, answer % 2 == 0);
            shift.onAnswer(failing, true, answer % 3 != 0);
            shift.evaluate(start);
        }
        CPPUNIT_ASSERT(shift.isBad());
    }

    void aVersionTwiceAsSlowIsFoundWithinTwentyAnswers()
    {
        VersionShift shift = running();
        PaceSource pace(1);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", pace.next(), start);
        }
        constexpr int answers = 20;
        for (int answer = 0; answer < answers; ++answer) {
            shift.onLatency(true, "r", 2 * pace.next(), start);
        }
        CPPUNIT_ASSERT(!shift.evaluate(start));
        CPPUNIT_ASSERT(shift.evaluate(start + shift.shiftLimits().confirmTime));
        CPPUNIT_ASSERT(shift.isBad());
    }

    void aVersionWithHalfItsAnswersEightTimesAsSlowIsFound()
    {
        VersionShift shift = running();
        PaceSource pace(2);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", pace.next(), start);
        }
        constexpr int answers = 30;
        for (int answer = 0; answer < answers; ++answer) {
            shift.onLatency(true, "r", (answer % 2 == 0 ? 8 : 1) * pace.next(), start);
        }
        shift.evaluate(start);
        CPPUNIT_ASSERT(shift.evaluate(start + shift.shiftLimits().confirmTime));
    }

    void aGoodVersionIsSeldomTakenForASlowOne()
    {
        constexpr int rollouts = 1000;
        constexpr int mostHalted = rollouts / 100;
        int halted = 0;
        for (int rollout = 0; rollout < rollouts; ++rollout) {
            VersionShift shift = running();
            PaceSource pace(100 + rollout);
            TimePoint now = start;
            for (int answer = 0; answer < 300 && !shift.isBad(); ++answer) {
                shift.onLatency(false, "r", pace.next(), start);
                shift.onLatency(answer % 4 == 0, "r", pace.next(), start);
                now += Milliseconds(20);
                shift.evaluate(now);
            }
            halted += shift.isBad() ? 1 : 0;
        }
        CPPUNIT_ASSERT_LESSEQUAL(mostHalted, halted);
    }

    void aFewVeryLateAnswersDecideNothing()
    {
        VersionShift shift = running();
        PaceSource pace(3);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", pace.next(), start);
        }
        for (int answer = 0; answer < 4; ++answer) {
            shift.onLatency(true, "r", Milliseconds(60000), start);
        }
        // One of a kind of work that nothing is known of.
        shift.onLatency(true, "unknown", Milliseconds(60000), start);
        shift.evaluate(start);
        CPPUNIT_ASSERT(!shift.evaluate(start + Milliseconds(5000)));
    }

    void timesCountOnlyWhileTheVersionIsWatched()
    {
        VersionShift shift = running();
        PaceSource pace(4);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", pace.next(), start);
        }
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(true, "r", 8 * pace.next(), at(shift.shiftLimits().rampBegin));
        }
        CPPUNIT_ASSERT(!shift.hasEvidence());
    }

    void whatIsUsualIsKnownBeforeTheOrder()
    {
        VersionShift shift;
        PaceSource pace(6);
        for (int answer = 0; answer < 20; ++answer) {
            shift.onLatency(false, "r", pace.next(), start);
        }
        shift.onOrder({.service = service, .to = next, .duration = duration, .number = 7});
        shift.onStatus({.service = service, .to = next, .order = 7}, start);
        for (int answer = 0; answer < 20; ++answer) {
            shift.onLatency(true, "r", 2 * pace.next(), at(0.1));
        }
        shift.evaluate(at(0.2));
        CPPUNIT_ASSERT(shift.evaluate(at(0.3)));
    }

    void lateStartsCountOnceThePausesAreLongToo()
    {
        VersionShift shift = running();
        VersionReport report{.service = service,
                             .version = next,
                             .routes = {},
                             .firstEventEvidence = {.allSlow = 20, .answers = 30},
                             .latencyEvidence = {.allSlow = 3, .someSlow = -1, .answers = 100}};
        shift.merge(InstanceId("a"), report);
        shift.evaluate(start);
        CPPUNIT_ASSERT(!shift.evaluate(start + Milliseconds(5000)));
        report.latencyEvidence.allSlow = 6;
        shift.merge(InstanceId("a"), report);
        shift.evaluate(start + Milliseconds(5000));
        CPPUNIT_ASSERT(shift.evaluate(start + Milliseconds(6000)));
    }

    void slownessIsAddedUpOverTheInstances()
    {
        VersionShift shift = running();
        const VersionReport slow{.service = service,
                                 .version = next,
                                 .routes = {},
                                 .firstEventEvidence = {},
                                 .latencyEvidence = {.allSlow = 5, .answers = 8}};
        shift.merge(InstanceId("a"), slow);
        shift.evaluate(start);
        CPPUNIT_ASSERT(!shift.evaluate(start + Milliseconds(5000)));
        shift.merge(InstanceId("b"), slow);
        shift.evaluate(start + Milliseconds(5000));
        CPPUNIT_ASSERT(shift.evaluate(start + Milliseconds(6000)));
    }

    void whatSpeaksForADoubtedVersionIsTold()
    {
        VersionShift shift = running();
        PaceSource pace(5);
        for (int answer = 0; answer < 50; ++answer) {
            shift.onLatency(false, "r", pace.next(), start);
        }
        for (int answer = 0; answer < 5; ++answer) {
            shift.onLatency(true, "r", pace.next(), start);
        }
        CPPUNIT_ASSERT(!shift.hasEvidence());
        shift.merge(InstanceId("a"),
                    {.service = service,
                     .version = next,
                     .routes = {},
                     .firstEventEvidence = {},
                     .latencyEvidence = {.allSlow = 8, .answers = 8}});
        CPPUNIT_ASSERT(shift.hasEvidence());
        CPPUNIT_ASSERT(shift.report().latencyEvidence.logOdds() < 0);
        shift.evaluate(start);
        // The other instance's report is answered before it counts.
        shift.merge(InstanceId("b"),
                    {.service = service,
                     .version = next,
                     .routes = {},
                     .firstEventEvidence = {},
                     .latencyEvidence = {.allSlow = -4, .answers = 8}});
        CPPUNIT_ASSERT(!shift.evaluate(start + shift.shiftLimits().confirmTime));
    }

    void theOutcomeDecidesForEveryInstance()
    {
        VersionShift shift = running();
        shift.onStatus({.service = service, .to = next, .state = RolloutState::RolledBack, .order = 7}, start);
        CPPUNIT_ASSERT(!shift.routesToCandidate("", 0, at(0.99)));
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(shift.routesToCandidate("", 0.999, at(0.1)));
        CPPUNIT_ASSERT(!shift.progress(at(0.1)));
    }

    void anOldStatusDoesNotAnswerANewOrder()
    {
        VersionShift shift = running();
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(shift.onOrder({.service = service, .to = VersionName("v3"), .duration = duration, .number = 9}));
        CPPUNIT_ASSERT(!shift.state());
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(!shift.state());
    }

    void nothingIsToldOnceTheOrderHasEnded()
    {
        VersionShift shift = running();
        for (int answer = 0; answer < 4; ++answer) {
            shift.onAnswer(route, true, false);
        }
        CPPUNIT_ASSERT(shift.hasEvidence());
        shift.onStatus({.service = service, .to = next, .state = RolloutState::Completed, .order = 7}, start);
        CPPUNIT_ASSERT(!shift.hasEvidence());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionShiftTest);

} // namespace parsleyvane
