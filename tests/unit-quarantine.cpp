#include "suite.h"

#include "parsleyvane/quarantine/quarantine.h"

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{10000}};
constexpr Milliseconds propagation{500};
const InstanceId localInstance("entry-1");
const InstanceId peerInstance("entry-2");
const UpstreamId engine("engine-1");
const UpstreamId otherEngine("engine-2");
const Fingerprint crashing("poison");
const Fingerprint harmless("innocent");

bool runsUnrestricted(const Quarantine &quarantine, const Fingerprint &print, TimePoint now)
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
    quarantine.onDispatch(crashing, engine, AttemptId("p1"), start);
    quarantine.onDispatch(harmless, engine, AttemptId("i1"), start);
    quarantine.onUpstreamCrash(engine, start);
    return quarantine;
}

SuspectReport arbitraryReport()
{
    SuspectReport report{.fingerprint = *rc::gen::element(crashing, harmless),
                         .sinceLastCrash = Milliseconds{*rc::gen::inRange(0, 10000)}};
    const CrashSite site{*rc::gen::element(engine, otherEngine), *rc::gen::element(localInstance, peerInstance)};
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
    CPPUNIT_TEST(fingerprintDependsOnAccountAndContent);
    CPPUNIT_TEST(crashMakesAllRequestsInFlightSuspects);
    CPPUNIT_TEST(suspectRunsInIsolationOncePeersKnowOfTheCrash);
    CPPUNIT_TEST(completeAnswerClearsASuspectOnAllInstances);
    CPPUNIT_TEST(secondCrashQuarantinesOnAllInstances);
    CPPUNIT_TEST(onlyOneWitnessMayRunASuspect);
    CPPUNIT_TEST(oneCrashSeenByTwoWitnessesCountsOnce);
    CPPUNIT_TEST(suspectInFlightReservesItsUpstreamAndBlocksItsRetry);
    CPPUNIT_TEST(failureIsWithheldUntilPeersKnowOfTheCrash);
    CPPUNIT_TEST(evidenceExpires);
    CPPUNIT_TEST(requestCompletedShortlyBeforeACrashIsNoSuspect);
    CPPUNIT_TEST(localCompletionClearsACrashReportedLater);
    CPPUNIT_TEST(clearedSuspectsExpireSooner);
    CPPUNIT_TEST(evictionBoundsSuspectsAndKeepsQuarantinedOnes);
    CPPUNIT_TEST(mergeIsIndependentOfOrderAndRepetition);
    CPPUNIT_TEST_SUITE_END();

public:
    void fingerprintDependsOnAccountAndContent()
    {
        CPPUNIT_ASSERT(fingerprint(AccountId("ab"), "c") == fingerprint(AccountId("ab"), "c"));
        CPPUNIT_ASSERT(fingerprint(AccountId("ab"), "c") != fingerprint(AccountId("a"), "bc"));
        CPPUNIT_ASSERT(fingerprint(AccountId("a"), "c") != fingerprint(AccountId("a"), "d"));
    }

    void crashMakesAllRequestsInFlightSuspects()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        CPPUNIT_ASSERT(!runsUnrestricted(quarantine, crashing, start));
        CPPUNIT_ASSERT(!runsUnrestricted(quarantine, harmless, start));
        CPPUNIT_ASSERT(runsUnrestricted(quarantine, Fingerprint("bystander elsewhere"), start));
        CPPUNIT_ASSERT(!quarantine.isBusy(engine));
    }

    void suspectRunsInIsolationOncePeersKnowOfTheCrash()
    {
        const Quarantine quarantine = afterOneCrash(localInstance);
        CPPUNIT_ASSERT(std::get<RunInIsolation>(quarantine.decideRun(crashing, start)).notBefore
                       == start + propagation);
    }

    void completeAnswerClearsASuspectOnAllInstances()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        Quarantine peer(peerInstance);
        peer.merge(quarantine.report(start), start);
        CPPUNIT_ASSERT(isRefused(peer, harmless, start));
        const auto before = quarantine.report(start);
        quarantine.onDispatch(harmless, otherEngine, AttemptId("i2"), start + propagation);
        quarantine.onFinished(AttemptId("i2"), start + propagation);
        peer.merge(quarantine.report(start), start);
        peer.merge(before, start); // a delayed older report changes nothing
        CPPUNIT_ASSERT(runsUnrestricted(quarantine, harmless, start));
        CPPUNIT_ASSERT(runsUnrestricted(peer, harmless, start));
        CPPUNIT_ASSERT(isRefused(peer, crashing, start));
    }

    void secondCrashQuarantinesOnAllInstances()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        quarantine.onDispatch(crashing, otherEngine, AttemptId("p2"), start + propagation);
        quarantine.onUpstreamCrash(otherEngine, start + propagation);
        Quarantine peer(peerInstance);
        peer.merge(quarantine.report(start + propagation), start + propagation);
        for (const Quarantine *instance : {&quarantine, &peer}) {
            const auto decision = std::get<RefuseRun>(instance->decideRun(crashing, start + propagation));
            CPPUNIT_ASSERT(decision.failure.id == ErrorId::Quarantined);
            CPPUNIT_ASSERT(decision.failure.runState == RunState::NotRun);
            CPPUNIT_ASSERT(instance->quarantined(start + propagation) == std::set<Fingerprint>{crashing});
        }
    }

    void onlyOneWitnessMayRunASuspect()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        Quarantine peer = afterOneCrash(peerInstance);
        quarantine.merge(peer.report(start), start);
        peer.merge(quarantine.report(start), start);
        CPPUNIT_ASSERT(std::holds_alternative<RunInIsolation>(quarantine.decideRun(crashing, start)));
        CPPUNIT_ASSERT(isRefused(peer, crashing, start));
    }

    void oneCrashSeenByTwoWitnessesCountsOnce()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        quarantine.merge(afterOneCrash(peerInstance).report(start), start);
        CPPUNIT_ASSERT(quarantine.quarantined(start).empty());
    }

    void suspectInFlightReservesItsUpstreamAndBlocksItsRetry()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        quarantine.onDispatch(crashing, otherEngine, AttemptId("p2"), start + propagation);
        CPPUNIT_ASSERT(quarantine.isReserved(otherEngine));
        CPPUNIT_ASSERT(!quarantine.isReserved(engine));
        CPPUNIT_ASSERT(isRefused(quarantine, crashing, start + propagation));
        quarantine.onEnded(AttemptId("p2"));
        CPPUNIT_ASSERT(!quarantine.isReserved(otherEngine));
        CPPUNIT_ASSERT(std::holds_alternative<RunInIsolation>(quarantine.decideRun(crashing, start + propagation)));
    }

    void failureIsWithheldUntilPeersKnowOfTheCrash()
    {
        const Quarantine quarantine = afterOneCrash(localInstance);
        CPPUNIT_ASSERT(quarantine.failureWithheldUntil(crashing, start) == start + propagation);
        CPPUNIT_ASSERT(!quarantine.failureWithheldUntil(crashing, start + propagation));
        CPPUNIT_ASSERT(!quarantine.failureWithheldUntil(Fingerprint("another"), start));
    }

    void evidenceExpires()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        const TimePoint later = start + QuarantineLimits().evidenceLifetime;
        CPPUNIT_ASSERT(!runsUnrestricted(quarantine, crashing, later - Milliseconds{1}));
        CPPUNIT_ASSERT(runsUnrestricted(quarantine, crashing, later));
        Quarantine peer(peerInstance);
        peer.merge(quarantine.report(later), later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peer.size());
        quarantine.expire(later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quarantine.size());
    }

    void requestCompletedShortlyBeforeACrashIsNoSuspect()
    {
        const Milliseconds retention = QuarantineLimits().completionRetention;
        for (const Milliseconds age : {retention, retention + Milliseconds{1}}) {
            Quarantine quarantine(localInstance);
            quarantine.onDispatch(harmless, otherEngine, AttemptId("i1"), start);
            quarantine.onFinished(AttemptId("i1"), start);
            quarantine.onDispatch(harmless, engine, AttemptId("i2"), start + age);
            quarantine.onUpstreamCrash(engine, start + age);
            CPPUNIT_ASSERT_EQUAL(age == retention, runsUnrestricted(quarantine, harmless, start + age));
        }
    }

    void localCompletionClearsACrashReportedLater()
    {
        Quarantine peer(peerInstance);
        peer.onDispatch(harmless, otherEngine, AttemptId("i2"), start);
        peer.onFinished(AttemptId("i2"), start + Milliseconds{100});
        Quarantine quarantine = afterOneCrash(localInstance);
        peer.merge(quarantine.report(start), start + propagation);
        CPPUNIT_ASSERT(runsUnrestricted(peer, harmless, start + propagation));
        CPPUNIT_ASSERT(isRefused(peer, crashing, start + propagation));
        quarantine.merge(peer.report(start + propagation), start + propagation);
        CPPUNIT_ASSERT(runsUnrestricted(quarantine, harmless, start + propagation));
    }

    void clearedSuspectsExpireSooner()
    {
        Quarantine quarantine = afterOneCrash(localInstance);
        quarantine.onDispatch(harmless, otherEngine, AttemptId("i2"), start);
        quarantine.onFinished(AttemptId("i2"), start);
        const TimePoint later = start + QuarantineLimits().clearedLifetime;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, quarantine.report(later - Milliseconds{1}).size());
        quarantine.expire(later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine.size());
        CPPUNIT_ASSERT(!runsUnrestricted(quarantine, crashing, later));
    }

    void evictionBoundsSuspectsAndKeepsQuarantinedOnes()
    {
        Quarantine quarantine(localInstance, {.capacity = 3});
        for (const UpstreamId &upstream : {engine, otherEngine}) {
            quarantine.onDispatch(crashing, upstream, AttemptId("p"), start);
            quarantine.onUpstreamCrash(upstream, start);
        }
        for (int number = 0; number < 10; ++number) {
            const std::string name = std::to_string(number);
            quarantine.onDispatch(Fingerprint(name), engine, AttemptId(name), start);
            quarantine.onUpstreamCrash(engine, start + Milliseconds{number});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine.size());
        CPPUNIT_ASSERT(quarantine.quarantined(start).contains(crashing));
    }

    void mergeIsIndependentOfOrderAndRepetition()
    {
        test::property("instances agree after receiving the same reports in any order and number", []() {
            const auto reports
                = *rc::gen::container<std::vector<SuspectReport>>(5, rc::gen::exec([]() { return arbitraryReport(); }));
            std::vector<SuspectReport> other(reports.rbegin(), reports.rend());
            other.push_back(*rc::gen::elementOf(reports));
            Quarantine first(localInstance);
            Quarantine second(localInstance);
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
