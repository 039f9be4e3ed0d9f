#include "suite.h"

#include "parsleyvane/limits/accountlimiter.h"

namespace parsleyvane {

namespace {

constexpr TimePoint start{Milliseconds{1000000}};

} // namespace

class LimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitsTest);
    CPPUNIT_TEST(aBucketGrantsAtMostItsBurstAndRate);
    CPPUNIT_TEST(aBucketGrantsItsRateInTheLongRun);
    CPPUNIT_TEST(aReturnedTokenCanBeTakenAgain);
    CPPUNIT_TEST(aBucketWithoutRateNeverHasAToken);
    CPPUNIT_TEST(anAccountGetsItsBurstAndThenItsRate);
    CPPUNIT_TEST(anAccountsRequestsInFlightAreLimited);
    CPPUNIT_TEST(instancesShareAnAccountsRate);
    CPPUNIT_TEST_SUITE_END();

public:
    void aBucketGrantsAtMostItsBurstAndRate()
    {
        test::property("burst + rate x time", [] {
            const double rate = *rc::gen::inRange(1, 100) / 10.0;
            const double burst = *rc::gen::inRange(1, 10);
            TokenBucket bucket;
            bucket.configure({rate}, burst, start);
            bucket.fill();
            TimePoint now = start;
            unsigned granted = 0;
            for (const int pause : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 900))) {
                now += Milliseconds(pause);
                granted += bucket.take(now) ? 1 : 0;
                const double elapsed = std::chrono::duration<double>(now - start).count();
                RC_ASSERT(granted <= burst + rate * elapsed + 1e-6);
            }
        });
    }

    void aBucketGrantsItsRateInTheLongRun()
    {
        TokenBucket bucket;
        bucket.configure({2.5}, 1, start);
        unsigned granted = 0;
        for (int ms = 0; ms < 100000; ms += 10) {
            granted += bucket.take(start + Milliseconds(ms)) ? 1 : 0;
        }
        CPPUNIT_ASSERT(granted >= 249 && granted <= 250);
    }

    void aReturnedTokenCanBeTakenAgain()
    {
        TokenBucket bucket;
        bucket.configure({0.1}, 1, start);
        bucket.fill();
        CPPUNIT_ASSERT(bucket.take(start));
        CPPUNIT_ASSERT(!bucket.take(start));
        bucket.giveBack();
        bucket.giveBack();
        CPPUNIT_ASSERT(bucket.take(start));
        CPPUNIT_ASSERT(!bucket.take(start));
    }

    void aBucketWithoutRateNeverHasAToken()
    {
        TokenBucket bucket;
        bucket.configure({0}, 1, start);
        CPPUNIT_ASSERT(!bucket.take(start + Milliseconds(1000000)));
        CPPUNIT_ASSERT(!bucket.untilNext(start).has_value());
    }

    void anAccountGetsItsBurstAndThenItsRate()
    {
        AccountLimiter limiter;
        const Account account = accountWith(2, 3, 100);
        for (int request = 0; request < 3; ++request) {
            CPPUNIT_ASSERT(!limiter.tryAcquire(account, 1, start));
        }
        const auto refused = limiter.tryAcquire(account, 1, start);
        CPPUNIT_ASSERT(refused && refused->id == ErrorId::RateLimited);
        CPPUNIT_ASSERT(refused->retryAfter == Milliseconds(500));
        CPPUNIT_ASSERT(!limiter.tryAcquire(account, 1, start + Milliseconds(500)));
    }

    void anAccountsRequestsInFlightAreLimited()
    {
        AccountLimiter limiter;
        const Account account = accountWith(100, 100, 2);
        CPPUNIT_ASSERT(!limiter.tryAcquire(account, 1, start));
        CPPUNIT_ASSERT(!limiter.tryAcquire(account, 1, start));
        CPPUNIT_ASSERT(limiter.tryAcquire(account, 1, start));
        limiter.release(account.id);
        CPPUNIT_ASSERT(!limiter.tryAcquire(account, 1, start));
    }

    void instancesShareAnAccountsRate()
    {
        AccountLimiter limiter;
        const Account account = accountWith(4, 4, 100);
        CPPUNIT_ASSERT(!limiter.tryAcquire(account, 4, start));
        const auto refused = limiter.tryAcquire(account, 4, start);
        CPPUNIT_ASSERT(refused && refused->retryAfter == Milliseconds(1000));
    }

private:
    static Account accountWith(double perSecond, double burst, unsigned inFlight)
    {
        Account account;
        account.id = AccountId("a");
        account.limits.requestsPerSecond = perSecond;
        account.limits.burst = burst;
        account.limits.inFlight = inFlight;
        return account;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);

} // namespace parsleyvane
