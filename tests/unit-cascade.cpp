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

void answer(CascadeController &controller, const ModelName &model, std::int64_t cost, std::int64_t ms,
            unsigned times = 50)
{
    for (unsigned i = 0; i < times; ++i) {
        controller.onAnswer(key, model, MicroCost(cost), Milliseconds(ms));
    }
}

/// Rates the cheap model; every n-th answer fails, none with 0.
void rate(CascadeController &controller, unsigned times, unsigned failEvery)
{
    for (unsigned i = 1; i <= times; ++i) {
        controller.onRating(key, cheap, failEvery == 0 || i % failEvery != 0);
    }
}

} // namespace

class CascadeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CascadeTest);
    CPPUNIT_TEST(unknownModelIsAskedFirstAndRatedAlways);
    CPPUNIT_TEST(provenModelIsRatedInSamples);
    CPPUNIT_TEST(lastModelIsNeverRated);
    CPPUNIT_TEST(shareRatedMeetsTheTarget);
    CPPUNIT_TEST(hopelessModelIsSkippedButTriedAgainNowAndThen);
    CPPUNIT_TEST(slowPathIsLeftByALatencyAccount);
    CPPUNIT_TEST(declineIsNoticedWithinFewRatings);
    CPPUNIT_TEST(improvementIsNoticed);
    CPPUNIT_TEST(accountsAndTasksLearnApart);
    CPPUNIT_TEST_SUITE_END();

public:
    void unknownModelIsAskedFirstAndRatedAlways()
    {
        CascadeController controller(4744);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), controller.chooseFirstModel(key, terms()));
        CPPUNIT_ASSERT_EQUAL(1.0, controller.rateShare(key, terms(), 0));
        CPPUNIT_ASSERT(controller.shouldRate(key, terms(), 0));
    }

    void provenModelIsRatedInSamples()
    {
        CascadeController controller(4744);
        rate(controller, 449, 50);
        CPPUNIT_ASSERT_EQUAL(CascadeOptions().minRatedShare, controller.rateShare(key, terms(), 0));
        // One failure raises a suspicion, and with it the share.
        controller.onRating(key, cheap, false);
        CPPUNIT_ASSERT_EQUAL(CascadeOptions().suspectedRatedShare, controller.rateShare(key, terms(), 0));
    }

    void lastModelIsNeverRated()
    {
        CascadeController controller(4744);
        CPPUNIT_ASSERT(!controller.shouldRate(key, terms(), 1));
        CPPUNIT_ASSERT(!controller.shouldRate(key, {{cheap}, 0.9, 0.5}, 0));
    }

    void shareRatedMeetsTheTarget()
    {
        test::property("what is rated and mended brings what is served to the target", []() {
            const auto failEvery = *rc::gen::inRange<unsigned>(2, 40);
            const double target = *rc::gen::inRange(50, 99) / 100.0;
            const CascadeOptions options;
            CascadeController controller(4744, options);
            rate(controller, 400, failEvery);
            const CascadeTerms asked{{cheap, best}, target, 0.5};
            const double rated = controller.rateShare(key, asked, 0);
            const double lower = controller.chance(key, cheap).lowerBound();
            const double served = lower + (1 - lower) * rated * options.mended;
            RC_ASSERT(rated == 1 || served >= target - 1e-9);
            RC_ASSERT(rated >= options.minRatedShare);
        });
    }

    void hopelessModelIsSkippedButTriedAgainNowAndThen()
    {
        CascadeController controller(4744);
        answer(controller, cheap, 90, 2000);
        answer(controller, best, 100, 1000);
        rate(controller, 100, 1);
        unsigned tries = 0;
        constexpr unsigned requests = 1000;
        for (unsigned i = 0; i < requests; ++i) {
            tries += controller.chooseFirstModel(key, terms()) == 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(tries > 0);
        CPPUNIT_ASSERT(tries < requests / 20);
    }

    void slowPathIsLeftByALatencyAccount()
    {
        CascadeController controller(4744, {.explored = 0});
        answer(controller, cheap, 10, 900);
        answer(controller, best, 100, 1000);
        rate(controller, 100, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), controller.chooseFirstModel(key, terms(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), controller.chooseFirstModel(key, terms(0.1)));
    }

    void declineIsNoticedWithinFewRatings()
    {
        CascadeController controller(4744);
        rate(controller, 400, 50);
        rate(controller, 12, 2);
        CPPUNIT_ASSERT(controller.chance(key, cheap).drifts() > 0);
        CPPUNIT_ASSERT(controller.chance(key, cheap).lowerBound() < terms().qualityTarget);
        CPPUNIT_ASSERT(controller.rateShare(key, terms(), 0) > 0.5);
    }

    void improvementIsNoticed()
    {
        CascadeController controller(4744);
        rate(controller, 400, 2);
        const double before = controller.chance(key, cheap).mean();
        rate(controller, 60, 0);
        CPPUNIT_ASSERT(before < 0.6);
        CPPUNIT_ASSERT(controller.chance(key, cheap).mean() > 0.85);
    }

    void accountsAndTasksLearnApart()
    {
        CascadeController controller(4744);
        rate(controller, 400, 50);
        const CascadeKey other{AccountId("txoko-members"), key.task};
        CPPUNIT_ASSERT_EQUAL(1.0, controller.rateShare(other, terms(), 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CascadeTest);

} // namespace parsleyvane
