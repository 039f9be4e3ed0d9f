#include "suite.h"

#include "rig/scenario.h"

#include <algorithm>

namespace parsleyvane::rig {

namespace {

constexpr const char *shortLinger = "[limits]\ndrain-linger-ms = 1500";
/// @brief The balancer of these tests stops sending before the linger is over.
constexpr Milliseconds testLag{1000};
constexpr Milliseconds afterDeparture = departureBound + Milliseconds(2000);

/// @brief Sends a stream, to one instance or to the next one.
std::function<void(std::size_t)> streaming(Scenario &scenario, std::optional<std::size_t> only = {})
{
    return [&scenario, only](std::size_t sent) {
        Ask ask = scenario.ask("long", "[[tokens=200]] Question " + std::to_string(sent));
        ask.stream = true;
        scenario.chat(only.value_or(sent % scenario.fleet.instanceCount()), ask);
    };
}

void assertHolds(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

/// @brief The requests that were not answered, each on a line of its own.
std::string failuresOf(const std::vector<ClientObservation> &callers)
{
    std::string lines;
    for (const ClientObservation &got : callers) {
        if (!got.succeeded) {
            lines += got.instance.str() + " sent at " + std::to_string(got.sentAt) + " answered at "
                + std::to_string(got.answerReceivedAt) + (got.cutOff ? " cut off" : " told " + got.error) + "\n";
        }
    }
    return lines;
}

/// @brief Sends traffic while engine 0 is told to leave, and checks its record.
template<typename Leave>
void assertDeparts(Scenario &scenario, Leave leave)
{
    std::vector<Departure> departures;
    {
        const Traffic traffic(streaming(scenario));
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
                const Traffic traffic(streaming(scenario, index));
                std::this_thread::sleep_for(Milliseconds(500));
                stops.push_back({InstanceId(instance.id), bootMilliseconds()});
                instance.process->terminate();
                std::this_thread::sleep_for(testLag);
            }
            CPPUNIT_ASSERT(instance.process->wait() == 0);
            scenario.fleet.restart(instance);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(instance); }));
        }
        const std::vector<ClientObservation> callers = scenario.callers();
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkPlannedStops(callers, stops, testLag)));
        CPPUNIT_ASSERT_EQUAL(std::string(), failuresOf(callers));
        assertHolds(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace parsleyvane::rig
