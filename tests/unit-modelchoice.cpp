#include "suite.h"

#include "parsleyvane/ingress/modelchoice.h"

#include <random>

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds(1000000)};
constexpr std::size_t models = 2;

FirstModelFacts factsOf(const std::string &kind)
{
    return {.kind = kind, .sizes = models, .attemptsLeft = 3};
}

/// Two models with a share of accepted answers and a time of the smaller one; the larger one takes 1000 ms.
struct Cascade
{
    double accepted;
    double time;

    static constexpr double largeTime = 1000;

    /// Mean time per request over the requests, after those that come first.
    double run(ModelChoice &choice, std::mt19937_64 &random, int uncounted, int counted) const
    {
        std::uniform_real_distribution<double> share(0, 1);
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        double total = 0;
        for (int request = 0; request < uncounted + counted; ++request) {
            const std::size_t first = choice.choose(factsOf("r/1"), start).size;
            bool isAccepted = false;
            double took = 0;
            if (first == 0) {
                isAccepted = share(random) < this->accepted;
                took += this->time;
                const auto time = Milliseconds(static_cast<std::int64_t>(this->time * spread(random)));
                choice.onAnswer("r/1", {.size = 0, .isAccepted = isAccepted, .time = time}, start);
            }
            if (!isAccepted) {
                took += largeTime;
                const auto time = Milliseconds(static_cast<std::int64_t>(largeTime * spread(random)));
                choice.onAnswer("r/1", {.size = 1, .isAccepted = true, .time = time}, start);
            }
            total += request >= uncounted ? took : 0;
        }
        return total / counted;
    }

    double bestFixed() const
    {
        return std::min(largeTime, this->time + (1 - this->accepted) * largeTime);
    }
};

} // namespace

class ModelChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ModelChoiceTest);
    CPPUNIT_TEST(theSmallestIsFirstUntilEnoughIsKnown);
    CPPUNIT_TEST(theChoiceIsAboutAsFastAsTheBestFixedOne);
    CPPUNIT_TEST(aChangeIsFollowed);
    CPPUNIT_TEST(withOneAttemptTheLargestIsFirst);
    CPPUNIT_TEST(theKindsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a model that is skipped by the chance of a few answers.
    void theSmallestIsFirstUntilEnoughIsKnown()
    {
        ModelChoice choice;
        for (int answer = 0; answer < 29; ++answer) {
            choice.onAnswer("r/1", {.size = 0, .isAccepted = false, .time = Milliseconds(900)}, start);
            choice.onAnswer("r/1", {.size = 1, .isAccepted = true, .time = Milliseconds(1000)}, start);
            CPPUNIT_ASSERT(choice.choose(factsOf("r/1"), start).reason == FirstModelReason::Smallest);
        }
        for (int answer = 0; answer < 29; ++answer) {
            choice.onAnswer("r/1", {.size = 0, .isAccepted = false, .time = Milliseconds(900)}, start);
            choice.onAnswer("r/1", {.size = 1, .isAccepted = true, .time = Milliseconds(1000)}, start);
        }
        CPPUNIT_ASSERT(choice.choose(factsOf("r/1"), start).reason == FirstModelReason::Learned);
        CPPUNIT_ASSERT(choice.choose(factsOf("r/2"), start).reason == FirstModelReason::Smallest);
    }

    // Load: a kind whose smaller model nearly always fails, or takes nearly as long as the largest one. The bound is
    // the stated one, 5 % of the best fixed choice, on the mean over drawn cascades.
    void theChoiceIsAboutAsFastAsTheBestFixedOne()
    {
        std::mt19937_64 random(4744);
        std::uniform_real_distribution<double> share(0, 1);
        constexpr int worlds = 100;
        double excess = 0;
        for (int world = 0; world < worlds; ++world) {
            const Cascade cascade{.accepted = share(random), .time = Cascade::largeTime * share(random)};
            ModelChoice choice;
            excess += cascade.run(choice, random, 200, 2000) / cascade.bestFixed() - 1;
        }
        std::cout << "mean time above the best fixed choice: " << excess / worlds << std::endl;
        CPPUNIT_ASSERT(excess / worlds < 0.05);
    }

    // Guards against a model that stays skipped after it has improved, or stays first after it has become worse.
    void aChangeIsFollowed()
    {
        std::mt19937_64 random(4744);
        ModelChoice choice;
        const Cascade poor{.accepted = 0.02, .time = 200};
        const Cascade good{.accepted = 0.9, .time = 200};
        poor.run(choice, random, 0, 500);
        CPPUNIT_ASSERT(choice.choose(factsOf("r/1"), start).size == 1);
        good.run(choice, random, 0, 300);
        CPPUNIT_ASSERT(choice.choose(factsOf("r/1"), start).size == 0);
        poor.run(choice, random, 0, 300);
        CPPUNIT_ASSERT(choice.choose(factsOf("r/1"), start).size == 1);
    }

    // Guards against a cascade without an attempt for its second model.
    void withOneAttemptTheLargestIsFirst()
    {
        ModelChoice choice;
        FirstModelFacts facts = factsOf("r/1");
        facts.attemptsLeft = 1;
        CPPUNIT_ASSERT(choice.choose(facts, start).reason == FirstModelReason::OneAttempt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choice.choose(facts, start).size);
        facts.sizes = 1;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, choice.choose(facts, start).size);
    }

    void theKindsAreBounded()
    {
        ModelChoice choice;
        for (int kind = 0; kind < 1000; ++kind) {
            choice.onAnswer(std::to_string(kind), {.size = 0, .isAccepted = true, .time = Milliseconds(1)},
                            start + Milliseconds(kind));
        }
        CPPUNIT_ASSERT_EQUAL(ModelChoiceLimits().maxKinds, choice.kinds());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelChoiceTest);

} // namespace parsleyvane
