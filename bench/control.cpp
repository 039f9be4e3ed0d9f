/**
 * @file
 * @brief Measures how the cost and delay of membership and configuration exchange grow with the fleet (virtual clock).
 *
 * Prints lines `name value unit bound verdict` and exits with 1 if a bound is violated.
 */
#include "fakefleet.h"
#include "net/peercodec.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>

namespace {

using parsleyvane::Digest;
using parsleyvane::Milliseconds;
using parsleyvane::TimePoint;
using parsleyvane::test::FakeFleet;
using parsleyvane::test::FakeInstance;
using parsleyvane::test::FakeTraffic;

constexpr unsigned seed = 4744;
constexpr Milliseconds warmUp{10000};
constexpr Milliseconds measured{10000};
constexpr Milliseconds changeLimit{5000};
constexpr Milliseconds lookStep{10};
/// @brief Size of the RPC frames of one call in both directions: call, return and finish.
constexpr std::size_t frameBytes = 202;
constexpr double bytesBound = 2000;
constexpr double readsBound = 2000;
constexpr unsigned changes = 4;

/// @brief One size of the fleet.
struct Size
{
    std::size_t instances;
    std::size_t zones;
};

constexpr Size sizes[] = {{7, 4}, {25, 5}, {100, 10}, {400, 25}, {1000, 25}};

/// @brief Prints measurements and records whether all are within their bounds.
class Report
{
public:
    void line(const std::string &name, double value, const std::string &unit, double bound)
    {
        const bool good = value <= bound;
        this->passed = this->passed && good;
        std::cout << std::left << std::setw(34) << name << ' ' << std::fixed << std::setprecision(1) << value << ' '
                  << unit << ' ' << bound << ' ' << (good ? "ok" : "PASSED-BOUND") << '\n';
    }
    bool good() const
    {
        return this->passed;
    }

private:
    bool passed = true;
};

bool allHaveNewest(const FakeFleet &fleet)
{
    const auto newest = fleet.store.newest();
    return std::all_of(fleet.instances.begin(), fleet.instances.end(), [&](const FakeInstance &instance) {
        return instance.spread->revision() == newest && instance.takesWork(fleet.now);
    });
}

/// @brief Time in ms until every instance has the newest revision and accepts work; capped at the limit plus a step.
double timeUntilAll(FakeFleet &fleet)
{
    const TimePoint start = fleet.now;
    while (!allHaveNewest(fleet) && fleet.now - start <= changeLimit) {
        fleet.runUntil(fleet.now + lookStep);
    }
    return static_cast<double>((fleet.now - start).count());
}

/// @brief Measures control traffic while the configuration does not change.
void measureIdle(FakeFleet &fleet, const std::string &suffix, Report &report, const std::string &state)
{
    fleet.traffic = FakeTraffic();
    fleet.runUntil(fleet.now + measured);
    const double seconds = static_cast<double>(measured.count()) / 1000;
    const double share = seconds * static_cast<double>(fleet.instances.size());
    const auto calls = static_cast<double>(fleet.traffic.calls);
    const double bytes = static_cast<double>(fleet.traffic.bytes) + calls * frameBytes;
    report.line("calls-" + state + suffix, calls / share, "1/s", 6);
    report.line("bytes-" + state + suffix, bytes / share, "B/s", bytesBound);
    report.line("store-reads-" + state + suffix, static_cast<double>(fleet.traffic.storeReads) / seconds, "1/s",
                readsBound);
}

double slowestChange(FakeFleet &fleet)
{
    double slowest = 0;
    for (unsigned change = 0; change < changes; ++change) {
        fleet.runUntil(fleet.now + Milliseconds(3000 + 137 * change));
        fleet.commit();
        slowest = std::max(slowest, timeUntilAll(fleet));
    }
    return slowest;
}

double recoveryAfterCut(FakeFleet &fleet)
{
    const parsleyvane::ZoneId cut("zone-0");
    for (FakeInstance &instance : fleet.instances) {
        const bool inside = instance.zone == cut;
        instance.side = inside ? 1 : 0;
        instance.cutFromStore = inside;
    }
    fleet.runUntil(fleet.now + warmUp);
    fleet.commit();
    fleet.runUntil(fleet.now + changeLimit);
    for (FakeInstance &instance : fleet.instances) {
        instance.side = 0;
        instance.cutFromStore = false;
    }
    return timeUntilAll(fleet);
}

void measure(const Size &size, Report &report)
{
    const std::string suffix = "-" + std::to_string(size.instances);
    FakeFleet fleet(size.instances, size.zones, seed);
    fleet.sizeOf = parsleyvane::wireSize;
    fleet.runUntil(fleet.now + warmUp);
    measureIdle(fleet, suffix, report, "idle");
    const auto limit = static_cast<double>(changeLimit.count());
    report.line("change-in-force" + suffix, slowestChange(fleet), "ms", limit);
    report.line("recovery-after-zone-cut" + suffix, recoveryAfterCut(fleet), "ms", limit);
    fleet.store.down = true;
    fleet.runUntil(fleet.now + warmUp);
    measureIdle(fleet, suffix, report, "outage");
    const auto working = std::count_if(fleet.instances.begin(), fleet.instances.end(),
                                       [&](const FakeInstance &instance) { return instance.takesWork(fleet.now); });
    const double idle = static_cast<double>(fleet.instances.size()) - static_cast<double>(working);
    report.line("stopped-in-outage" + suffix, 100 * idle / static_cast<double>(fleet.instances.size()), "%", 0);
    fleet.store.down = false;
    fleet.commit();
    report.line("recovery-after-outage" + suffix, timeUntilAll(fleet), "ms", limit);
}

} // namespace

int main()
{
    std::cout << "seed " << seed << '\n';
    Report report;
    for (const Size &size : sizes) {
        measure(size, report);
    }
    return report.good() ? 0 : 1;
}
