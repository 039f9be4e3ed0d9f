#include "suite.h"

#include "parsleyvane/quarantine/quarantine.h"

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{10000}};
constexpr Milliseconds spread{500};
const InstanceId here("entry-1");
const InstanceId there("entry-2");
const UpstreamId engine("engine-1");
const UpstreamId otherEngine("engine-2");
const Fingerprint poison("poison");
const Fingerprint innocent("innocent");

bool runsFreely(const Quarantine &quarantine, const Fingerprint &print, TimePoint now)
{
    return std::holds_alternative<RunUnrestricted>(quarantine.decideRun(print, now));
}

bool isRefused(const Quarantine &quarantine, const Fingerprint &print, TimePoint now)
{
    return std::holds_alternative<RefuseRun>(quarantine.decideRun(print, now));
}

/// An instance whose engine crashed with both requests in flight.
Quarantine afterOneCrash(const InstanceId &self)
{
    Quarantine quarantine(self);
    quarantine.onDispatch(poison, engine, AttemptId("p1"), start);
    quarantine.onDispatch(innocent, engine, AttemptId("i1"), start);
    quarantine.onUpstreamCrash(engine, start);
    return quarantine;
}

SuspectReport arbitraryReport()
{
    SuspectReport report{.fingerprint = *rc::gen::element(poison, innocent),
                         .sinceLastCrash = Milliseconds{*rc::gen::inRange(0, 10000)}};
    const CrashSite site{*rc::gen::element(engine, otherEngine), *rc::gen::element(here, there)};
    for (const int time : *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 20))) {
        report.sites[site].open.insert(TimePoint{Milliseconds{time}});
    }
    report.sites[site].clearedUpTo = TimePoint{Milliseconds{*rc::gen::inRange(0, 20)}};
    return report;
}

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(fingerprintsTellAccountAndContentApart);
    CPPUNIT_TEST(crashMakesAllInFlightSuspects);
    CPPUNIT_TEST(suspectRunsAloneAfterPeersKnow);
    CPPUNIT_TEST(wholeAnswerClearsASuspectEverywhere);
    CPPUNIT_TEST(secondCrashQuarantinesEverywhere);
    CPPUNIT_TEST(onlyOneWitnessMayTryASuspect);
    CPPUNIT_TEST(oneCrashSeenByTwoWitnessesCountsOnce);
    CPPUNIT_TEST(suspectInFlightClosesItsUpstreamAndItself);
    CPPUNIT_TEST(failureIsHeldBackUntilPeersKnow);
    CPPUNIT_TEST(evidenceExpires);
    CPPUNIT_TEST(requestAnsweredJustBeforeACrashIsNoSuspect);
    CPPUNIT_TEST(answerHereExcusesACrashReportedLater);
    CPPUNIT_TEST(clearedSuspectsAreForgottenSoon);
    CPPUNIT_TEST(entriesAreBoundedAndTheGuiltyStay);
    CPPUNIT_TEST(mergingAgreesInAnyOrderAndNumber);
    CPPUNIT_TEST_SUITE_END();

public:
    void fingerprintsTellAccountAndContentApart()
    {
        CPPUNIT_ASSERT(fingerprint(AccountId("ab"), "c") == fingerprint(AccountId("ab"), "c"));
        CPPUNIT_ASSERT(fingerprint(AccountId("ab"), "c") != fingerprint(AccountId("a"), "bc"));
        CPPUNIT_ASSERT(fingerprint(AccountId("a"), "c") != fingerprint(AccountId("a"), "d"));
    }

    void crashMakesAllInFlightSuspects()
    {
        Quarantine quarantine = afterOneCrash(here);
        CPPUNIT_ASSERT(!runsFreely(quarantine, poison, start));
        CPPUNIT_ASSERT(!runsFreely(quarantine, innocent, start));
        CPPUNIT_ASSERT(runsFreely(quarantine, Fingerprint("bystander elsewhere"), start));
        CPPUNIT_ASSERT(!quarantine.isBusy(engine));
    }

    void suspectRunsAloneAfterPeersKnow()
    {
        const Quarantine quarantine = afterOneCrash(here);
        CPPUNIT_ASSERT(std::get<RunInIsolation>(quarantine.decideRun(poison, start)).notBefore == start + spread);
    }

    void wholeAnswerClearsASuspectEverywhere()
    {
        Quarantine quarantine = afterOneCrash(here);
        Quarantine peer(there);
        peer.merge(quarantine.report(start), start);
        CPPUNIT_ASSERT(isRefused(peer, innocent, start));
        const auto before = quarantine.report(start);
        quarantine.onDispatch(innocent, otherEngine, AttemptId("i2"), start + spread);
        quarantine.onFinished(AttemptId("i2"), start + spread);
        peer.merge(quarantine.report(start), start);
        peer.merge(before, start); // an old report that comes late changes nothing
        CPPUNIT_ASSERT(runsFreely(quarantine, innocent, start));
        CPPUNIT_ASSERT(runsFreely(peer, innocent, start));
        CPPUNIT_ASSERT(isRefused(peer, poison, start));
    }

    void secondCrashQuarantinesEverywhere()
    {
        Quarantine quarantine = afterOneCrash(here);
        quarantine.onDispatch(poison, otherEngine, AttemptId("p2"), start + spread);
        quarantine.onUpstreamCrash(otherEngine, start + spread);
        Quarantine peer(there);
        peer.merge(quarantine.report(start + spread), start + spread);
        for (const Quarantine *instance : {&quarantine, &peer}) {
            const auto verdict = std::get<RefuseRun>(instance->decideRun(poison, start + spread));
            CPPUNIT_ASSERT(verdict.failure.id == ErrorId::Quarantined);
            CPPUNIT_ASSERT(verdict.failure.runState == RunState::NotRun);
            CPPUNIT_ASSERT(instance->quarantined(start + spread) == std::set<Fingerprint>{poison});
        }
    }

    void onlyOneWitnessMayTryASuspect()
    {
        Quarantine quarantine = afterOneCrash(here);
        Quarantine peer = afterOneCrash(there);
        quarantine.merge(peer.report(start), start);
        peer.merge(quarantine.report(start), start);
        CPPUNIT_ASSERT(std::holds_alternative<RunInIsolation>(quarantine.decideRun(poison, start)));
        CPPUNIT_ASSERT(isRefused(peer, poison, start));
    }

    void oneCrashSeenByTwoWitnessesCountsOnce()
    {
        Quarantine quarantine = afterOneCrash(here);
        quarantine.merge(afterOneCrash(there).report(start), start);
        CPPUNIT_ASSERT(quarantine.quarantined(start).empty());
    }

    void suspectInFlightClosesItsUpstreamAndItself()
    {
        Quarantine quarantine = afterOneCrash(here);
        quarantine.onDispatch(poison, otherEngine, AttemptId("p2"), start + spread);
        CPPUNIT_ASSERT(quarantine.isReserved(otherEngine));
        CPPUNIT_ASSERT(!quarantine.isReserved(engine));
        CPPUNIT_ASSERT(isRefused(quarantine, poison, start + spread));
        quarantine.onEnded(AttemptId("p2"));
        CPPUNIT_ASSERT(!quarantine.isReserved(otherEngine));
        CPPUNIT_ASSERT(std::holds_alternative<RunInIsolation>(quarantine.decideRun(poison, start + spread)));
    }

    void failureIsHeldBackUntilPeersKnow()
    {
        const Quarantine quarantine = afterOneCrash(here);
        CPPUNIT_ASSERT(quarantine.failureWithheldUntil(poison, start) == start + spread);
        CPPUNIT_ASSERT(!quarantine.failureWithheldUntil(poison, start + spread));
        CPPUNIT_ASSERT(!quarantine.failureWithheldUntil(Fingerprint("another"), start));
    }

    void evidenceExpires()
    {
        Quarantine quarantine = afterOneCrash(here);
        const TimePoint later = start + QuarantineLimits().life;
        CPPUNIT_ASSERT(!runsFreely(quarantine, poison, later - Milliseconds{1}));
        CPPUNIT_ASSERT(runsFreely(quarantine, poison, later));
        Quarantine peer(there);
        peer.merge(quarantine.report(later), later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peer.size());
        quarantine.expire(later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine.size());
    }

    void requestAnsweredJustBeforeACrashIsNoSuspect()
    {
        const Milliseconds memory = QuarantineLimits().finishMemory;
        for (const Milliseconds age : {memory, memory + Milliseconds{1}}) {
            Quarantine quarantine(here);
            quarantine.onDispatch(innocent, otherEngine, AttemptId("i1"), start);
            quarantine.onFinished(AttemptId("i1"), start);
            quarantine.onDispatch(innocent, engine, AttemptId("i2"), start + age);
            quarantine.onUpstreamCrash(engine, start + age);
            CPPUNIT_ASSERT_EQUAL(age == memory, runsFreely(quarantine, innocent, start + age));
        }
    }

    void answerHereExcusesACrashReportedLater()
    {
        Quarantine peer(there);
        peer.onDispatch(innocent, otherEngine, AttemptId("i2"), start);
        peer.onFinished(AttemptId("i2"), start + Milliseconds{100});
        Quarantine quarantine = afterOneCrash(here);
        peer.merge(quarantine.report(start), start + spread);
        CPPUNIT_ASSERT(runsFreely(peer, innocent, start + spread));
        CPPUNIT_ASSERT(isRefused(peer, poison, start + spread));
        quarantine.merge(peer.report(start + spread), start + spread);
        CPPUNIT_ASSERT(runsFreely(quarantine, innocent, start + spread));
    }

    void clearedSuspectsAreForgottenSoon()
    {
        Quarantine quarantine = afterOneCrash(here);
        quarantine.onDispatch(innocent, otherEngine, AttemptId("i2"), start);
        quarantine.onFinished(AttemptId("i2"), start);
        const TimePoint later = start + QuarantineLimits().clearedLife;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine.report(later - Milliseconds{1}).size());
        quarantine.expire(later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine.size());
        CPPUNIT_ASSERT(!runsFreely(quarantine, poison, later));
    }

    void entriesAreBoundedAndTheGuiltyStay()
    {
        Quarantine quarantine(here, {.capacity = 3});
        for (const UpstreamId &upstream : {engine, otherEngine}) {
            quarantine.onDispatch(poison, upstream, AttemptId("p"), start);
            quarantine.onUpstreamCrash(upstream, start);
        }
        for (int number = 0; number < 10; ++number) {
            const std::string name = std::to_string(number);
            quarantine.onDispatch(Fingerprint(name), engine, AttemptId(name), start);
            quarantine.onUpstreamCrash(engine, start + Milliseconds{number});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine.size());
        CPPUNIT_ASSERT(quarantine.quarantined(start).contains(poison));
    }

    void mergingAgreesInAnyOrderAndNumber()
    {
        test::property("instances that heard the same reports, in any order and number, agree", []() {
            const auto reports
                = *rc::gen::container<std::vector<SuspectReport>>(5, rc::gen::exec([]() { return arbitraryReport(); }));
            std::vector<SuspectReport> other(reports.rbegin(), reports.rend());
            other.push_back(*rc::gen::elementOf(reports));
            Quarantine first(here);
            Quarantine second(here);
            first.merge(reports, start);
            for (const SuspectReport &report : other) {
                second.merge({report}, start);
            }
            RC_ASSERT(first.report(start) == second.report(start));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);

} // namespace parsleyvane
