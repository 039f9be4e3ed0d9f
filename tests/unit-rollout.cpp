#include "suite.h"

#include "parsleyvane/rollout/versionjudge.h"

namespace parsleyvane {

namespace {

constexpr std::uint64_t predecessorServed = 4000;
constexpr std::uint64_t predecessorBad = 80; // 2 %

VersionObservation observed(std::uint64_t served, std::uint64_t errors, std::uint64_t failedRatings = 0)
{
    return {.candidate = {.served = served, .errors = errors, .failedRatings = failedRatings},
            .predecessor = {.served = predecessorServed, .errors = predecessorBad}};
}

bool isRolledBack(const VersionVerdict &verdict)
{
    return std::holds_alternative<RollBackVersion>(verdict);
}

} // namespace

class RolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(badVersionIsRolledBackPermanently);
    CPPUNIT_TEST(eachShareIncreaseNeedsMoreEvidence);
    CPPUNIT_TEST(nothingIsDecidedWithoutABaseline);
    CPPUNIT_TEST(decreasingCountersOfARemovedInstanceAreNoEvidence);
    CPPUNIT_TEST(failuresOfAnUnhealthyUpstreamAreNotAttributedToTheVersion);
    CPPUNIT_TEST(versionThatTurnsBadWithAllTrafficIsRolledBack);
    CPPUNIT_TEST(evidenceDependsOnTotalsOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void badVersionIsRolledBackPermanently()
    {
        VersionJudge judge;
        CPPUNIT_ASSERT(std::holds_alternative<Undecided>(judge.evaluate(observed(6, 1, 1))));
        const VersionVerdict verdict = judge.evaluate(observed(10, 2, 2));
        CPPUNIT_ASSERT(isRolledBack(verdict));
        CPPUNIT_ASSERT(std::get<RollBackVersion>(verdict).reason.starts_with("4 bad answers of 10"));
        CPPUNIT_ASSERT(isRolledBack(judge.evaluate(observed(1000, 4))));
    }

    void eachShareIncreaseNeedsMoreEvidence()
    {
        VersionJudge judge;
        CPPUNIT_ASSERT(std::holds_alternative<Undecided>(judge.evaluate(observed(30, 0))));
        CPPUNIT_ASSERT(std::holds_alternative<MayIncreaseShare>(judge.evaluate(observed(50, 0))));
        judge.onShareIncreased();
        CPPUNIT_ASSERT(std::holds_alternative<Undecided>(judge.evaluate(observed(60, 0))));
        CPPUNIT_ASSERT(std::holds_alternative<MayIncreaseShare>(judge.evaluate(observed(90, 0))));
    }

    void nothingIsDecidedWithoutABaseline()
    {
        VersionJudge judge;
        VersionObservation observation = observed(50, 50);
        observation.predecessor = {.served = 100, .errors = 2};
        CPPUNIT_ASSERT(std::holds_alternative<Undecided>(judge.evaluate(observation)));
        // Earlier answers of the candidate count once the baseline is large enough.
        CPPUNIT_ASSERT(isRolledBack(judge.evaluate(observed(50, 50))));
    }

    void decreasingCountersOfARemovedInstanceAreNoEvidence()
    {
        VersionJudge judge;
        judge.evaluate(observed(100, 2));
        const double before = judge.evidence();
        judge.evaluate(observed(60, 1));
        CPPUNIT_ASSERT_EQUAL(before, judge.evidence());
        judge.evaluate(observed(61, 2));
        CPPUNIT_ASSERT(judge.evidence() > before);
    }

    void failuresOfAnUnhealthyUpstreamAreNotAttributedToTheVersion()
    {
        VersionObservation observation = observed(40, 10);
        observation.upstreams = {{UpstreamId("engine-1"), {10, 10}, {100, 90}}, {UpstreamId("engine-2"), {30, 0}, {}}};
        VersionJudge excluded;
        CPPUNIT_ASSERT(!isRolledBack(excluded.evaluate(observation)));
        // The same counts are attributed to the version when other versions succeed at the upstream.
        observation.upstreams.front().others = {100, 2};
        VersionJudge attributed;
        CPPUNIT_ASSERT(isRolledBack(attributed.evaluate(observation)));
    }

    void versionThatTurnsBadWithAllTrafficIsRolledBack()
    {
        VersionJudge judge;
        judge.evaluate(observed(3000, 60));
        judge.onAllTraffic();
        CPPUNIT_ASSERT(!isRolledBack(judge.evaluate(observed(9000, 180))));
        CPPUNIT_ASSERT(!isRolledBack(judge.evaluate(observed(9050, 185))));
        CPPUNIT_ASSERT(isRolledBack(judge.evaluate(observed(9500, 230))));
    }

    void evidenceDependsOnTotalsOnly()
    {
        test::property("evidence does not depend on how the totals are split over reports", []() {
            const auto served = *rc::gen::inRange<std::uint64_t>(1, 300);
            const auto bad = *rc::gen::inRange<std::uint64_t>(
                0, std::min<std::uint64_t>(served, 2) + 1); // too few for a roll-back, which would stop the counting
            const auto part = *rc::gen::inRange<std::uint64_t>(0, served + 1);
            VersionJudge whole;
            whole.evaluate(observed(served, bad));
            VersionJudge split;
            split.evaluate(observed(part, std::min(part, bad)));
            split.evaluate(observed(served, bad));
            split.evaluate(observed(served, bad));
            RC_ASSERT(std::abs(whole.evidence() - split.evidence()) < 1e-9);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

} // namespace parsleyvane
