#include "ledgerworld.h"
#include "suite.h"

namespace parsleyvane {

namespace {

using test::Agent;
using test::Fault;
using test::LedgerWorld;

constexpr unsigned worldsInACase = 40;
constexpr std::size_t steps = 120;
const std::array<std::string, 2> keys = {"k1", "k2"};
const std::string firstBody = "hash-1";
const std::string otherBody = "hash-2";

/// How often the interesting endings were met, so that no property passes for want of them.
struct Seen
{
    unsigned worlds = 0;
    unsigned sends = 0;
    unsigned notRun = 0;
    unsigned replays = 0;
    unsigned claimedAnew = 0;
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
        world.start(keys.at(world.draw(keys.size())), world.draw(6) == 0 ? otherBody : firstBody);
    }
}

void checkSafety(const LedgerWorld &world)
{
    RC_ASSERT(world.table.forbidden == 0U);
    for (const std::string &key : keys) {
        RC_ASSERT(world.applications(key) <= 1U);
    }
    for (const Agent &agent : world.agents) {
        RC_ASSERT(agent.sends <= 1U);
        if (agent.toldNotRun()) {
            RC_ASSERT(agent.applications == 0U);
        }
    }
}

/// Every result that any caller got is the one of the attempt that ran.
void checkResults(const LedgerWorld &world)
{
    std::map<std::string, std::string> results;
    for (const Agent &agent : world.agents) {
        if (agent.applications > 0) {
            results[agent.key] = "result of " + agent.id;
        }
    }
    for (const Agent &agent : world.agents) {
        if (const auto *delivered = std::get_if<DeliverResult>(&agent.next)) {
            RC_ASSERT(delivered->result == results[agent.key]);
        }
        if (const auto *replayed = std::get_if<ReplayResult>(&agent.next)) {
            RC_ASSERT(replayed->result == results[agent.key]);
        }
    }
}

/// Whether anything happened to the key that leaves its outcome in doubt for ever.
bool inDoubt(const LedgerWorld &world, const std::string &key)
{
    for (const Agent &agent : world.agents) {
        if (agent.key == key && (agent.killed || agent.outcomeLost)) {
            return true;
        }
    }
    return false;
}

/// The body that the key is bound to.
std::string boundBody(LedgerWorld &world, const std::string &key)
{
    const ClaimRow &row = world.table.rows[key];
    return row.version == 0 ? firstBody : row.bodyHash;
}

/// A fresh attempt after the faults: replays what ran, and sends what provably did not.
void checkFreshAttempt(LedgerWorld &world, const std::string &key, Seen &seen)
{
    const bool ran = world.applications(key) > 0;
    const bool doubtful = inDoubt(world, key);
    const bool released = world.table.rows[key].state == ClaimState::Released;
    Agent &fresh = world.start(key, boundBody(world, key));
    world.heal();
    if (doubtful) {
        return;
    }
    if (ran) {
        RC_ASSERT(std::holds_alternative<ReplayResult>(fresh.next));
        ++seen.replays;
        return;
    }
    RC_ASSERT(fresh.sends == 1U);
    seen.claimedAnew += released ? 1 : 0;
}

void count(const LedgerWorld &world, Seen &seen)
{
    ++seen.worlds;
    for (const Agent &agent : world.agents) {
        seen.sends += agent.sends;
        seen.notRun += agent.toldNotRun() ? 1 : 0;
        seen.tombstones += agent.sends == 0 && agent.machine.pendingCleanUp() ? 1 : 0;
    }
}

void runWorld(std::uint64_t seed, Seen &seen)
{
    std::mt19937_64 random(seed);
    LedgerWorld world(random(), twoFaults(random));
    startAttempts(world);
    for (std::size_t step = 0; step < steps; ++step) {
        world.step();
    }
    count(world, seen);
    world.heal();
    checkSafety(world);
    for (const std::string &key : keys) {
        checkFreshAttempt(world, key, seen);
    }
    world.landAll();
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
        Seen seen;
        test::property("a key runs at most once, 'not run' is true, and what did not run can be claimed anew", [&]() {
            const auto seed = test::seed();
            for (std::uint64_t world = 0; world < worldsInACase; ++world) {
                runWorld(seed + world, seen);
            }
        });
        std::cout << "worlds " << seen.worlds << ", sends " << seen.sends << ", told not run " << seen.notRun
                  << ", replays " << seen.replays << ", claimed anew " << seen.claimedAnew << ", tombstones "
                  << seen.tombstones << '\n';
        for (const unsigned met : {seen.sends, seen.notRun, seen.replays, seen.claimedAnew, seen.tombstones}) {
            CPPUNIT_ASSERT(met > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerInterleavingsTest);

} // namespace parsleyvane
