#include "suite.h"

#include "rig/scenario.h"

#include <algorithm>

namespace parsleyvane::rig {

namespace {

constexpr const char *shortLinger = "[limits]\ndrain-linger-ms = 1500";
/// @brief The balancer of these tests stops sending before the linger is over.
constexpr Milliseconds testLag{1000};
constexpr Milliseconds afterDeparture = departureBound + Milliseconds(2000);

/// @brief Callers that ask the instances in turn until the scope ends; each keeps to one instance or to all.
class Traffic
{
public:
    // constructors
    Traffic(Scenario &scenario, std::optional<std::size_t> only = {})
    {
        constexpr std::size_t callerCount = 6;
        for (std::size_t number = 0; number < callerCount; ++number) {
            this->threads.emplace_back([&scenario, only, number](const std::stop_token &token) {
                for (std::size_t sent = number; !token.stop_requested(); ++sent) {
                    Ask ask = scenario.ask("long", "[[tokens=200]] Question " + std::to_string(sent));
                    ask.stream = true;
                    scenario.chat(only.value_or(sent % scenario.fleet.instanceCount()), ask);
                }
            });
        }
    }

private:
    std::vector<std::jthread> threads;
};

void assertHolds(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

/// @brief Sends traffic while engine 0 is told to leave, and checks its record.
template<typename Leave>
void assertDeparts(Scenario &scenario, Leave leave)
{
    std::vector<Departure> departures;
    {
        const Traffic traffic(scenario);
        std::this_thread::sleep_for(Milliseconds(1000));
        leave();
        departures.push_back({UpstreamId(scenario.fleet.engine(0).id), bootMilliseconds()});
        std::this_thread::sleep_for(afterDeparture);
    }
    const Records records = scenario.fleet.records();
    CPPUNIT_ASSERT(std::any_of(records.runs.begin(), records.runs.end(),
                               [&](const Run &run) { return run.upstream == departures.front().upstream; }));
    CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkDepartures(records, departures)));
    assertHolds(scenario);
}

} // namespace

class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(upstreamDrainedByAnOperator);
    CPPUNIT_TEST(upstreamLeavingInTheList);
    CPPUNIT_TEST(upstreamRefusesWhileTheListLags);
    CPPUNIT_TEST(plannedStopOfEachInstance);
    CPPUNIT_TEST_SUITE_END();

public:
    void upstreamDrainedByAnOperator()
    {
        Scenario scenario({.name = "leaving-drained", .tokenDelayUs = 1000});
        assertDeparts(scenario, [&] {
            scenario.fleet.runTool("parsleyvanectl",
                                   {"upstream", "drain", "--platform=" + scenario.fleet.platform().address,
                                    "--operator=rig", "--upstream=" + scenario.fleet.engine(0).id});
        });
    }

    void upstreamLeavingInTheList()
    {
        Scenario scenario({.name = "leaving-listed", .tokenDelayUs = 1000});
        assertDeparts(scenario, [&] { scenario.fleet.enrol(scenario.fleet.engine(0), true); });
    }

    void upstreamRefusesWhileTheListLags()
    {
        Scenario scenario({.name = "leaving-refuses", .tokenDelayUs = 1000});
        scenario.fleet.fault(scenario.fleet.platform(), {{"listLagMs", 30000}});
        assertDeparts(scenario, [&] {
            scenario.fleet.enrol(scenario.fleet.engine(0), true);
            scenario.fleet.fault(scenario.fleet.engine(0), {{"leaving", true}});
        });
    }

    void plannedStopOfEachInstance()
    {
        Scenario scenario({.name = "leaving-stop", .settings = shortLinger, .tokenDelayUs = 10000});
        std::vector<PlannedStop> stops;
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            Member &instance = scenario.fleet.instance(index);
            {
                const Traffic traffic(scenario, index);
                std::this_thread::sleep_for(Milliseconds(500));
                stops.push_back({InstanceId(instance.id), bootMilliseconds()});
                instance.process->terminate();
                std::this_thread::sleep_for(testLag);
            }
            CPPUNIT_ASSERT(instance.process->wait() == 0);
            scenario.fleet.restart(instance);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(instance); }));
        }
        const std::vector<CallerGot> callers = scenario.callers();
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkPlannedStops(callers, stops, testLag)));
        CPPUNIT_ASSERT(std::all_of(callers.begin(), callers.end(), [](const CallerGot &got) { return got.succeeded; }));
        assertHolds(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace parsleyvane::rig
