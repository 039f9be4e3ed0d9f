/**
 * @file
 * @brief Workload, strategies and scenarios of the priority experiment: seven controllers share one fake engine pool.
 */
#pragma once

#include "fakepool.h"
#include "parsleyvane/priority/prioritypolicy.h"

#include <array>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace parsleyvane::bench {

/// @brief One strategy for prioritising claims.
struct PriorityWay
{
    std::string name;
    bool ordersQueue = false; ///< engines receive the policy's queue priorities
    bool interrupts = false; ///< claims interrupt resumable work
    bool anyEngine = false; ///< claims use any engine that can free a slot, not only the one that placement sampled
    bool slotFirst = false; ///< the slot is freed before the claim is sent
    double reserve = 0; ///< share of each engine's slots that only claims may take
    PriorityOptions options;
};

/// @brief Conditions under which the first claim arrives.
struct PriorityScenario
{
    std::string name;
    std::size_t claimEngines = 8; ///< engines that have the claimed version loaded
    Milliseconds loadTime{0}; ///< time from the first claim until the version is loaded
    bool storeDown = false; ///< each controller counts only its own requests
    bool writeUps = true;
    double interactiveShare = 0.45;
    double claimShare = 0.15;
    bool bounded = true; ///< whether the targets apply
};

/// @brief Measurements of one run, or of several combined.
struct PriorityFigures
{
    std::vector<double> claimMs;
    std::vector<double> idleMs; ///< latency of the same claims in an idle system
    std::vector<double> firstClaimsMs;
    std::vector<double> firstIdleMs;
    std::vector<double> interactiveMs;
    std::vector<double> writeUpDelayS;
    std::vector<double> interruptions;
    double heldIdleSlotMs = 0;
    double slotMs = 0;
    unsigned missing = 0;

    void add(const PriorityFigures &other);
};

/**
 * @brief One run: an hour without claims, five minutes with claims, then until all jobs are finished.
 */
class PriorityRun
{
public:
    // constructors
    PriorityRun(const PriorityWay &way, const PriorityScenario &scenario, unsigned seed);

    // modifiers
    PriorityFigures run();

    static constexpr std::size_t controllers = 7;
    static constexpr std::size_t engines = 8;
    static constexpr unsigned slots = 10;

private:
    struct Arrivals
    {
        JobKind kind;
        double perSecond;
        Milliseconds from;
        Milliseconds until;
    };

    void addArrivals(const Arrivals &arrivals);
    void addJob(JobKind kind, TimePoint at);
    void dispatch(std::size_t index);
    bool isAdmitted(const Job &job, std::size_t engine) const;
    std::size_t chooseEngine(const Job &job);
    unsigned viewOf(std::size_t controller, std::size_t engine) const;
    void send(std::size_t index, std::size_t engine);
    void requeueLater(std::size_t index);
    void claim(std::size_t index);
    std::vector<EngineCapacity> capacitiesOf(std::size_t controller) const;
    std::vector<InterruptCandidate> workOf(std::size_t controller, std::size_t engine) const;
    void recheck(std::size_t index);
    void interruptFor(std::size_t index, const InterruptAttempt &decision);
    void askPeer(std::size_t index, std::size_t asked);
    void onReleased(std::size_t index);
    void releaseHeld(std::size_t engine);
    void report();
    void measureHeld();
    PriorityFigures figures() const;

    PriorityWay way;
    PriorityScenario scenario;
    PriorityPolicy policy;
    std::mt19937_64 random;
    VirtualClock clock;
    std::vector<Job> jobs;
    FakePool pool;
    std::vector<std::vector<std::size_t>> atEngine;
    std::array<std::array<unsigned, engines>, controllers> inFlight{};
    std::array<unsigned, engines> ordinary{};
    std::array<unsigned, engines> reported{};
    std::vector<std::array<bool, engines>> staleReports; ///< for each job
    std::deque<std::size_t> held;
    unsigned pausing = 0;
    std::size_t unfinished = 0;
    TimePoint heldSince{};
    unsigned heldIdle = 0;
    double heldIdleSlotMs = 0;
};

} // namespace parsleyvane::bench
