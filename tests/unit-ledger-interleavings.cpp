#include "ledgerworld.h"
#include "suite.h"

namespace parsleyvane {

namespace {

using test::Fault;
using test::LedgerWorld;
using test::SimulatedAttempt;

constexpr unsigned worldsPerCase = 40;
constexpr std::size_t steps = 120;
const std::array<std::string, 2> keys = {"k1", "k2"};
const std::string firstBody = "hash-1";
const std::string otherBody = "hash-2";

/// Counts how often each ending was reached, so that the property cannot pass without covering them.
struct Coverage
{
    unsigned worlds = 0;
    unsigned sends = 0;
    unsigned reportedNotRunCount = 0;
    unsigned replays = 0;
    unsigned reclaims = 0;
    unsigned tombstones = 0;
};

std::set<Fault> twoFaults(std::mt19937_64 &random)
{
    const auto count = static_cast<std::uint64_t>(Fault::Count);
    return {static_cast<Fault>(random() % count), static_cast<Fault>(random() % count)};
}

void startAttempts(LedgerWorld &world)
{
    for (unsigned attempt = 0; attempt < 6; ++attempt) {
        world.start(keys.at(world.randomBelow(keys.size())), world.randomBelow(6) == 0 ? otherBody : firstBody);
    }
}

void checkSafety(const LedgerWorld &world)
{
    RC_ASSERT(world.table.forbiddenWrites == 0U);
    for (const std::string &key : keys) {
        RC_ASSERT(world.executions(key) <= 1U);
    }
    for (const SimulatedAttempt &attempt : world.attempts) {
        RC_ASSERT(attempt.sends <= 1U);
        if (attempt.reportedNotRun()) {
            RC_ASSERT(attempt.executions == 0U);
        }
    }
}

/// Every delivered or replayed result is the one of the attempt that ran.
void checkResults(const LedgerWorld &world)
{
    std::map<std::string, std::string> results;
    for (const SimulatedAttempt &attempt : world.attempts) {
        if (attempt.executions > 0) {
            results[attempt.key] = "result of " + attempt.id;
        }
    }
    for (const SimulatedAttempt &attempt : world.attempts) {
        if (const auto *delivered = std::get_if<DeliverResult>(&attempt.next)) {
            RC_ASSERT(delivered->result == results[attempt.key]);
        }
        if (const auto *replayed = std::get_if<ReplayResult>(&attempt.next)) {
            RC_ASSERT(replayed->result == results[attempt.key]);
        }
    }
}

/// Whether the key's outcome stays unknown, because an attempt was killed or the service's reply was lost.
bool isOutcomeUnknown(const LedgerWorld &world, const std::string &key)
{
    for (const SimulatedAttempt &attempt : world.attempts) {
        if (attempt.key == key && (attempt.killed || attempt.outcomeLost)) {
            return true;
        }
    }
    return false;
}

/// The body that the key's row is bound to; the first body when there is no row.
std::string boundBody(LedgerWorld &world, const std::string &key)
{
    const ClaimRow &row = world.table.rows[key];
    return row.version == 0 ? firstBody : row.bodyHash;
}

/// A new attempt after the faults replays the result of a run, or sends the request if it provably did not run.
void checkNewAttempt(LedgerWorld &world, const std::string &key, Coverage &coverage)
{
    const bool ran = world.executions(key) > 0;
    const bool outcomeUnknown = isOutcomeUnknown(world, key);
    const bool released = world.table.rows[key].state == ClaimState::Released;
    SimulatedAttempt &newAttempt = world.start(key, boundBody(world, key));
    world.finishWithoutFaults();
    if (outcomeUnknown) {
        return;
    }
    if (ran) {
        RC_ASSERT(std::holds_alternative<ReplayResult>(newAttempt.next));
        ++coverage.replays;
        return;
    }
    RC_ASSERT(newAttempt.sends == 1U);
    coverage.reclaims += released ? 1 : 0;
}

void count(const LedgerWorld &world, Coverage &coverage)
{
    ++coverage.worlds;
    for (const SimulatedAttempt &attempt : world.attempts) {
        coverage.sends += attempt.sends;
        coverage.reportedNotRunCount += attempt.reportedNotRun() ? 1 : 0;
        coverage.tombstones += attempt.sends == 0 && attempt.machine.pendingCleanUp() ? 1 : 0;
    }
}

void runWorld(std::uint64_t seed, Coverage &coverage)
{
    std::mt19937_64 random(seed);
    LedgerWorld world(random(), twoFaults(random));
    startAttempts(world);
    for (std::size_t step = 0; step < steps; ++step) {
        world.step();
    }
    count(world, coverage);
    world.finishWithoutFaults();
    checkSafety(world);
    for (const std::string &key : keys) {
        checkNewAttempt(world, key, coverage);
    }
    world.deliverAllDelayed();
    checkSafety(world);
    checkResults(world);
}

} // namespace

class LedgerInterleavingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerInterleavingsTest);
    CPPUNIT_TEST(aKeyRunsAtMostOnceUnderAnyTwoFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void aKeyRunsAtMostOnceUnderAnyTwoFaults()
    {
        Coverage coverage;
        test::property(
            "a key runs at most once, a reported 'not run' is true, and a key that did not run can be claimed again",
            [&]() {
                const auto seed = test::seed();
                for (std::uint64_t world = 0; world < worldsPerCase; ++world) {
                    runWorld(seed + world, coverage);
                }
            });
        std::cout << "worlds " << coverage.worlds << ", sends " << coverage.sends << ", reported not run "
                  << coverage.reportedNotRunCount << ", replays " << coverage.replays << ", reclaims "
                  << coverage.reclaims << ", tombstones " << coverage.tombstones << '\n';
        for (const unsigned endingCount :
             {coverage.sends, coverage.reportedNotRunCount, coverage.replays, coverage.reclaims, coverage.tombstones}) {
            CPPUNIT_ASSERT(endingCount > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerInterleavingsTest);

} // namespace parsleyvane
