#include "suite.h"

#include "parsleyvane/cascade/cascadecontroller.h"

namespace parsleyvane {

namespace {

const CascadeKey key{AccountId("lumara-agents"), TaskName("triage")};
const ModelName cheap("wattle");
const ModelName best("banksia");

CascadeTerms terms(double costWeight = 0.8)
{
    return {{cheap, best}, 0.9, costWeight};
}

void recordAnswers(CascadeController &controller, const ModelName &model, std::int64_t cost, std::int64_t ms,
                   unsigned times = 50)
{
    for (unsigned i = 0; i < times; ++i) {
        controller.onAnswer(key, model, MicroCost(cost), Milliseconds(ms));
    }
}

/// Records ratings of the cheap model; every n-th one failed, none for 0.
void recordRatings(CascadeController &controller, unsigned times, unsigned failEvery)
{
    for (unsigned i = 1; i <= times; ++i) {
        controller.onRating(key, cheap, failEvery == 0 || i % failEvery != 0);
    }
}

} // namespace

class CascadeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CascadeTest);
    CPPUNIT_TEST(newModelGetsRequestsFirstAndIsAlwaysRated);
    CPPUNIT_TEST(provenModelIsRatedBySampling);
    CPPUNIT_TEST(lastModelIsNeverRated);
    CPPUNIT_TEST(ratedShareMeetsTheQualityTarget);
    CPPUNIT_TEST(failingModelIsSkippedButProbedOccasionally);
    CPPUNIT_TEST(latencyWeightedAccountAvoidsASlowPath);
    CPPUNIT_TEST(declineIsDetectedWithinFewRatings);
    CPPUNIT_TEST(improvementIsDetected);
    CPPUNIT_TEST(statisticsOfAccountsAreSeparate);
    CPPUNIT_TEST_SUITE_END();

public:
    void newModelGetsRequestsFirstAndIsAlwaysRated()
    {
        CascadeController controller(4744);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), controller.chooseFirstModel(key, terms()));
        CPPUNIT_ASSERT_EQUAL(1.0, controller.rateShare(key, terms(), 0));
        CPPUNIT_ASSERT(controller.shouldRate(key, terms(), 0));
    }

    void provenModelIsRatedBySampling()
    {
        CascadeController controller(4744);
        recordRatings(controller, 449, 50);
        CPPUNIT_ASSERT_EQUAL(CascadeOptions().minRatedShare, controller.rateShare(key, terms(), 0));
        // One more failure makes a decline suspected, which raises the share.
        controller.onRating(key, cheap, false);
        CPPUNIT_ASSERT_EQUAL(CascadeOptions().suspectedRatedShare, controller.rateShare(key, terms(), 0));
    }

    void lastModelIsNeverRated()
    {
        CascadeController controller(4744);
        CPPUNIT_ASSERT(!controller.shouldRate(key, terms(), 1));
        CPPUNIT_ASSERT(!controller.shouldRate(key, {{cheap}, 0.9, 0.5}, 0));
    }

    void ratedShareMeetsTheQualityTarget()
    {
        test::property("rated and escalated answers bring the served quality to the target", []() {
            const auto failEvery = *rc::gen::inRange<unsigned>(2, 40);
            const double target = *rc::gen::inRange(50, 99) / 100.0;
            const CascadeOptions options;
            CascadeController controller(4744, options);
            recordRatings(controller, 400, failEvery);
            const CascadeTerms targetTerms{{cheap, best}, target, 0.5};
            const double rated = controller.rateShare(key, targetTerms, 0);
            const double lower = controller.chance(key, cheap).lowerBound();
            const double served = lower + (1 - lower) * rated * options.assumedEscalationPassRate;
            RC_ASSERT(rated == 1 || served >= target - 1e-9);
            RC_ASSERT(rated >= options.minRatedShare);
        });
    }

    void failingModelIsSkippedButProbedOccasionally()
    {
        CascadeController controller(4744);
        recordAnswers(controller, cheap, 90, 2000);
        recordAnswers(controller, best, 100, 1000);
        recordRatings(controller, 100, 1);
        unsigned probes = 0;
        constexpr unsigned requests = 1000;
        for (unsigned i = 0; i < requests; ++i) {
            probes += controller.chooseFirstModel(key, terms()) == 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(probes > 0);
        CPPUNIT_ASSERT(probes < requests / 20);
    }

    void latencyWeightedAccountAvoidsASlowPath()
    {
        CascadeController controller(4744, {.explorationShare = 0});
        recordAnswers(controller, cheap, 10, 900);
        recordAnswers(controller, best, 100, 1000);
        recordRatings(controller, 100, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), controller.chooseFirstModel(key, terms(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), controller.chooseFirstModel(key, terms(0.1)));
    }

    void declineIsDetectedWithinFewRatings()
    {
        CascadeController controller(4744);
        recordRatings(controller, 400, 50);
        recordRatings(controller, 12, 2);
        CPPUNIT_ASSERT(controller.chance(key, cheap).drifts() > 0);
        CPPUNIT_ASSERT(controller.chance(key, cheap).lowerBound() < terms().qualityTarget);
        CPPUNIT_ASSERT(controller.rateShare(key, terms(), 0) > 0.5);
    }

    void improvementIsDetected()
    {
        CascadeController controller(4744);
        recordRatings(controller, 400, 2);
        const double before = controller.chance(key, cheap).mean();
        recordRatings(controller, 60, 0);
        CPPUNIT_ASSERT(before < 0.6);
        CPPUNIT_ASSERT(controller.chance(key, cheap).mean() > 0.85);
    }

    void statisticsOfAccountsAreSeparate()
    {
        CascadeController controller(4744);
        recordRatings(controller, 400, 50);
        const CascadeKey other{AccountId("txoko-members"), key.task};
        CPPUNIT_ASSERT_EQUAL(1.0, controller.rateShare(other, terms(), 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CascadeTest);

} // namespace parsleyvane
