/**
 * @file
 * @brief Compares strategies for prioritising claimed requests on one seeded workload.
 *
 * Prints a table for each scenario, or CSV with `--csv`, and exits with 1 if a bound is violated.
 */
#include "priorityscenario.h"
#include "report.h"

#include <cstring>

namespace {

using parsleyvane::Milliseconds;
using parsleyvane::bench::mean;
using parsleyvane::bench::percentile;
using parsleyvane::bench::PriorityFigures;
using parsleyvane::bench::PriorityRun;
using parsleyvane::bench::PriorityScenario;
using parsleyvane::bench::PriorityWay;
using parsleyvane::bench::Report;

constexpr unsigned firstSeed = 4744;
constexpr unsigned runs = 5;
constexpr double slownessBound = 1.1;
constexpr double heldIdleBound = 2;
constexpr double high = 0.95;
constexpr double median = 0.5;

std::vector<PriorityWay> allWays()
{
    const PriorityWay borrowed{.name = "borrowed", .ordersQueue = true, .interrupts = true, .anyEngine = true};
    PriorityWay drawn = borrowed;
    drawn.name = "borrowed, at the drawn engine";
    drawn.anyEngine = false;
    PriorityWay slotFirst = drawn;
    slotFirst.name = "borrowed, slot before claim";
    slotFirst.slotFirst = true;
    std::vector<PriorityWay> ways{{.name = "no lane"},
                                  {.name = "queue order", .ordersQueue = true},
                                  {.name = "reserved lane 20%", .reserve = 0.2},
                                  {.name = "reserved lane 20%, queue order", .ordersQueue = true, .reserve = 0.2},
                                  slotFirst,
                                  drawn};
    for (const unsigned most : {1U, 3U, 1000U}) {
        PriorityWay way = borrowed;
        way.name = "borrowed, no floor, at most " + std::to_string(most);
        way.options.minRunPerInterruption = Milliseconds(0);
        way.options.maxInterruptions = most;
        ways.push_back(way);
    }
    PriorityWay slow = borrowed;
    slow.name = "borrowed, floor of 2 s";
    slow.options.minRunPerInterruption = Milliseconds(2000);
    ways.push_back(slow);
    ways.push_back(borrowed);
    return ways;
}

std::vector<PriorityScenario> allScenarios()
{
    constexpr double halfShare = 0.075;
    const std::size_t warm = parsleyvane::PriorityPolicy::warmEngines({true, halfShare}, PriorityRun::engines);
    return {{.name = "full-pool"},
            {.name = "store-outage", .storeDown = true},
            {.name = "half-share-warm", .claimEngines = warm, .claimShare = halfShare},
            {.name = "half-share-warm-4-of-8", .claimEngines = 4, .claimShare = halfShare, .bounded = false},
            {.name = "warm-4-of-8", .claimEngines = 4, .bounded = false},
            {.name = "cold-30s", .loadTime = Milliseconds(30000), .bounded = false},
            {.name = "no-write-ups", .writeUps = false, .interactiveShare = 0.84, .bounded = false}};
}

PriorityFigures measure(const PriorityWay &way, const PriorityScenario &scenario)
{
    PriorityFigures all;
    for (unsigned run = 0; run < runs; ++run) {
        all.add(PriorityRun(way, scenario, firstSeed + run).run());
    }
    return all;
}

double slowness(const std::vector<double> &measured, const std::vector<double> &idle, double share)
{
    return percentile(measured, share) / percentile(idle, share);
}

double heldIdle(const PriorityFigures &figures)
{
    constexpr double percent = 100;
    return percent * figures.heldIdleSlotMs / figures.slotMs;
}

void hold(Report &report, const std::string &scenario, const PriorityFigures &figures)
{
    report.atMost("claims-p95-" + scenario, slowness(figures.claimMs, figures.idleMs, high), "x-idle", slownessBound);
    report.atMost("first-claims-p95-" + scenario, slowness(figures.firstClaimsMs, figures.firstIdleMs, high), "x-idle",
                  slownessBound);
    report.atMost("idle-reserve-" + scenario, heldIdle(figures), "%", heldIdleBound);
    report.atMost("unfinished-" + scenario, figures.missing, "requests", 0);
}

} // namespace

int main(int argc, char **argv)
{
    const bool csv = argc > 1 && std::strcmp(argv[1], "--csv") == 0;
    Report report(csv);
    std::cout << "seeds " << firstSeed << " to " << firstSeed + runs - 1 << '\n';
    for (const PriorityScenario &scenario : allScenarios()) {
        report.head(scenario.name,
                    {"way", "p50-x", "p95-x", "first20-p95-x", "idle-%", "unfinished", "delay-s", "delay-p95-s",
                     "delay-max-s", "interrupts", "most", "chat-p95-ms"});
        PriorityFigures chosen;
        for (const PriorityWay &way : allWays()) {
            chosen = measure(way, scenario);
            report.row(way.name,
                       {slowness(chosen.claimMs, chosen.idleMs, median), slowness(chosen.claimMs, chosen.idleMs, high),
                        slowness(chosen.firstClaimsMs, chosen.firstIdleMs, high), heldIdle(chosen),
                        static_cast<double>(chosen.missing), mean(chosen.writeUpDelayS),
                        percentile(chosen.writeUpDelayS, high), percentile(chosen.writeUpDelayS, 1),
                        mean(chosen.interruptions), percentile(chosen.interruptions, 1),
                        percentile(chosen.interactiveMs, high)});
        }
        if (scenario.bounded) {
            hold(report, scenario.name, chosen);
        }
    }
    return report.exitCode();
}
