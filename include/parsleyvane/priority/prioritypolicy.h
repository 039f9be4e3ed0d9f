/**
 * @file
 * @brief Decides what claimed priority does: places in an engine's queue, and which work under way makes room.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/ids.h"

#include <optional>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief What the policy knows of a request that is to be sent to an engine.
struct PriorityInput
{
    bool claimed = false;
    bool resumable = false;
    /// @brief Time since the request was accepted in which no engine ran it.
    Milliseconds waited{0};
};

/// @brief Work of this instance at an engine that may have to make room.
struct InterruptCandidate
{
    AttemptId attempt;
    bool resumable = false;
    /// @brief Whether the engine has begun to run it; what waits in the queue holds no slot.
    bool running = false;
    bool interrupted = false;
    /// @brief How often its request was interrupted before.
    unsigned interruptions = 0;
    TimePoint startedAt{};
};

/// @brief An engine that could take a claimed request, as this instance sees it.
struct EngineCapacity
{
    UpstreamId upstream;
    unsigned slots = 0;
    /// @brief Requests known to run or wait at the engine, by own count or by its report.
    unsigned load = 0;
    /// @brief Whether the request waited there in vain: its report was out of date.
    bool reportIsStale = false;
    /// @brief This instance's work at the engine.
    std::vector<InterruptCandidate> work;
};

/// @brief Send it to this engine, which seems to have a free slot; decide again after the grace time without a head.
struct UseFreeSlot
{
    UpstreamId upstream;
    Milliseconds recheckAfter{0};
};

/**
 * @brief Send the request to this engine, and interrupt this attempt there if the head has not come after the time.
 *
 * The request must wait in the engine's queue before the slot is freed; otherwise the slot goes to other work.
 */
struct InterruptAttempt
{
    UpstreamId upstream;
    AttemptId attempt;
    Milliseconds after{0};
};

/// @brief Nothing here can make room; ask the other instances in turn to interrupt one attempt at any engine.
struct AskPeers
{
};

/// @brief How a claimed request gets its slot.
using SlotDecision = std::variant<UseFreeSlot, InterruptAttempt, AskPeers>;

/// @brief Tunable values of PriorityPolicy.
struct PriorityOptions
{
    int claimed = 100;
    int interactive = 10;
    int resumable = 1;
    /// @brief Waiting time that raises resumable work's priority by one.
    Milliseconds ageStep{6000};
    /// @brief A resumable request interrupted this often is left alone, so that it arrives.
    unsigned maxInterruptions = 20;
    /// @brief A request interrupted n times runs n times as long before the next interruption.
    Milliseconds minRunPerInterruption{500};
    /// @brief Time for a request to reach an engine and the answer's head to come back when a slot is free.
    Milliseconds headGrace{10};
};

/**
 * @brief The borrowed reserve: all capacity serves ordinary work until a claim interrupts resumable work.
 *
 * It keeps no state, so that an outage of the store changes nothing and each instance decides alone.
 *
 * @code
 * const PriorityPolicy policy;
 * const int number = policy.enginePriority({.claimed = true});
 * @endcode
 */
class PriorityPolicy
{
public:
    // constructors
    explicit PriorityPolicy(PriorityOptions options = PriorityOptions())
        : options(options)
    {
    }

    // observers
    /**
     * @brief The number that orders an engine's queue, higher first.
     *
     * Resumable work ages to just above interactive work, never to a claim's number. Complexity: constant.
     */
    int enginePriority(const PriorityInput &question) const noexcept;
    /**
     * @brief After this long in an engine's queue, cancel and send again with the aged number.
     *
     * Zero when the number no longer rises. Complexity: constant.
     */
    Milliseconds requeueAfter(const PriorityInput &question) const noexcept;
    /**
     * @brief Where a claimed request goes, and what makes room for it.
     *
     * A slot that seems free comes first, at the least loaded engine; then the victim that costs least.
     * Complexity: linear in the work.
     */
    SlotDecision chooseSlot(const std::vector<EngineCapacity> &engines, TimePoint now) const;
    /**
     * @brief The attempt that makes room when a peer asks: the least often interrupted one, the latest among equals.
     * @return empty when there is none. Complexity: linear in the work.
     */
    std::optional<InterruptAttempt> chooseVictim(const std::vector<EngineCapacity> &engines, TimePoint now) const;
    /**
     * @brief Whether one more claim stays within the share that the account bought.
     * @param underWay claimed requests of the account under way at this instance
     * @param slots of all engines that serve the account
     */
    static bool withinShare(const PriorityTerms &terms, unsigned underWay, unsigned slots) noexcept;
    /**
     * @brief Engines on which a version must stay loaded, so that the bought share never meets a cold model.
     *
     * Claims are to be at most `claimDensity` of the slots there: the rest is what they interrupt.
     */
    static unsigned warmEngines(const PriorityTerms &terms, unsigned engines) noexcept;

    /// @brief Share of a warm engine's slots that claims may fill.
    static constexpr double claimDensity = 0.12;

private:
    int mostAged() const noexcept;
    bool mayInterrupt(const InterruptCandidate &work, TimePoint now) const noexcept;

    PriorityOptions options;
};

} // namespace parsleyvane
