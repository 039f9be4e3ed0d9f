#include "suite.h"

#include "rig/scenario.h"

#include <algorithm>

namespace parsleyvane::rig {

namespace {

constexpr const char *shortLinger = "[limits]\ndrain-linger-ms = 1500";
/// @brief How long these tests keep sending to a stopping instance; shorter than its linger time.
constexpr Milliseconds testBalancerLag{1000};
constexpr Milliseconds waitAfterDeparture = departureBound + Milliseconds(2000);

/// @brief Returns a function that sends a stream to instance `only`, or to the instances in turn.
std::function<void(std::size_t)> streamSender(Scenario &scenario, std::optional<std::size_t> only = {})
{
    return [&scenario, only](std::size_t sent) {
        Ask request = scenario.ask("long", "[[tokens=200]] Question " + std::to_string(sent));
        request.stream = true;
        scenario.chat(only.value_or(sent % scenario.fleet.instanceCount()), request);
    };
}

void assertNoViolations(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

/// @brief The failed requests, one per line.
std::string failuresOf(const std::vector<ClientObservation> &callers)
{
    std::string lines;
    for (const ClientObservation &observation : callers) {
        if (!observation.succeeded) {
            lines += observation.instance.str() + " sent at " + std::to_string(observation.sentAt) + " answered at "
                + std::to_string(observation.answerReceivedAt)
                + (observation.cutOff ? " cut off" : " error " + observation.error) + "\n";
        }
    }
    return lines;
}

/// @brief Sends traffic, drains engine 0 with `leave`, and checks that the engine starts no work past the bound.
template<typename Leave>
void assertDrains(Scenario &scenario, Leave leave)
{
    std::vector<Departure> departures;
    {
        const Traffic traffic(streamSender(scenario));
        std::this_thread::sleep_for(Milliseconds(1000));
        leave();
        departures.push_back({UpstreamId(scenario.fleet.engine(0).id), bootMilliseconds()});
        std::this_thread::sleep_for(waitAfterDeparture);
    }
    const Records records = scenario.fleet.records();
    CPPUNIT_ASSERT(std::any_of(records.runs.begin(), records.runs.end(),
                               [&](const Run &run) { return run.upstream == departures.front().upstream; }));
    CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkDepartures(records, departures)));
    assertNoViolations(scenario);
}

} // namespace

class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(upstreamDrainedByAnOperatorGetsNoNewWork);
    CPPUNIT_TEST(upstreamListedAsLeavingGetsNoNewWork);
    CPPUNIT_TEST(refusingUpstreamGetsNoNewWorkWhileTheListLags);
    CPPUNIT_TEST(plannedStopsFailNoRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void upstreamDrainedByAnOperatorGetsNoNewWork()
    {
        Scenario scenario({.name = "leaving-drained", .tokenDelayUs = 1000});
        assertDrains(scenario, [&] {
            scenario.fleet.runTool("parsleyvanectl",
                                   {"upstream", "drain", "--platform=" + scenario.fleet.platform().address,
                                    "--operator=rig", "--upstream=" + scenario.fleet.engine(0).id});
        });
    }

    void upstreamListedAsLeavingGetsNoNewWork()
    {
        Scenario scenario({.name = "leaving-listed", .tokenDelayUs = 1000});
        assertDrains(scenario, [&] { scenario.fleet.registerMember(scenario.fleet.engine(0), true); });
    }

    void refusingUpstreamGetsNoNewWorkWhileTheListLags()
    {
        Scenario scenario({.name = "leaving-refuses", .tokenDelayUs = 1000});
        scenario.fleet.fault(scenario.fleet.platform(), {{"listLagMs", 30000}});
        assertDrains(scenario, [&] {
            scenario.fleet.registerMember(scenario.fleet.engine(0), true);
            scenario.fleet.fault(scenario.fleet.engine(0), {{"leaving", true}});
        });
    }

    void plannedStopsFailNoRequest()
    {
        Scenario scenario({.name = "leaving-stop", .settings = shortLinger, .tokenDelayUs = 10000});
        std::vector<PlannedStop> stops;
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            Member &instance = scenario.fleet.instance(index);
            {
                const Traffic traffic(streamSender(scenario, index));
                std::this_thread::sleep_for(Milliseconds(500));
                stops.push_back({InstanceId(instance.id), bootMilliseconds()});
                instance.process->terminate();
                std::this_thread::sleep_for(testBalancerLag);
            }
            CPPUNIT_ASSERT(instance.process->wait() == 0);
            scenario.fleet.restart(instance);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(instance); }));
        }
        const std::vector<ClientObservation> callers = scenario.callers();
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkPlannedStops(callers, stops, testBalancerLag)));
        CPPUNIT_ASSERT_EQUAL(std::string(), failuresOf(callers));
        assertNoViolations(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace parsleyvane::rig
