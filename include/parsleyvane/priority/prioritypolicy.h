/**
 * @file
 * @brief Implements claimed priority: queue priorities at an engine, and the choice of the work to interrupt.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/ids.h"

#include <optional>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief Properties of a request to an engine that determine its priority.
struct PriorityInput
{
    bool claimed = false;
    bool resumable = false;
    /// @brief Time since the request was accepted, without the time in which an engine ran it.
    Milliseconds waited{0};
};

/// @brief An attempt of this instance at an engine, as a candidate for interruption.
struct InterruptCandidate
{
    AttemptId attempt;
    bool resumable = false;
    /// @brief Whether the engine has started it; a queued attempt holds no slot.
    bool running = false;
    bool interrupted = false;
    /// @brief Number of earlier interruptions of its request.
    unsigned interruptions = 0;
    TimePoint startedAt{};
};

/// @brief An engine that could run a claimed request: its slots and load as known to this instance.
struct EngineCapacity
{
    UpstreamId upstream;
    unsigned slots = 0;
    /// @brief Requests running or queued at the engine, by this instance's count or by the engine's report.
    unsigned load = 0;
    /// @brief Whether the claimed request already waited there for a slot that was not free: the report was stale.
    bool reportIsStale = false;
    /// @brief This instance's attempts at the engine.
    std::vector<InterruptCandidate> work;
};

/// @brief Send the request to this engine, which seems to have a free slot; decide again if no response head has
/// arrived after this time.
struct UseFreeSlot
{
    UpstreamId upstream;
    Milliseconds recheckAfter{0};
};

/**
 * @brief Send the request to this engine, and interrupt this attempt there if no response head has arrived after this
 * time.
 *
 * The request has to be in the engine's queue before the slot is freed; otherwise the slot goes to other work.
 */
struct InterruptAttempt
{
    UpstreamId upstream;
    AttemptId attempt;
    Milliseconds after{0};
};

/// @brief No attempt of this instance can be interrupted; request the other instances, one after another, to interrupt
/// one of theirs at any engine.
struct RequestPeerInterruption
{
};

/// @brief How a claimed request gets its slot.
using SlotDecision = std::variant<UseFreeSlot, InterruptAttempt, RequestPeerInterruption>;

/// @brief Tunable values of PriorityPolicy.
struct PriorityOptions
{
    int claimed = 100;
    int interactive = 10;
    int resumable = 1;
    /// @brief Waiting time that raises the priority of a resumable request by one.
    Milliseconds ageStep{6000};
    /// @brief A resumable request interrupted this often is not interrupted again, so that it completes.
    unsigned maxInterruptions = 20;
    /// @brief A request interrupted n times runs at least n times this long before the next interruption.
    Milliseconds minRunPerInterruption{500};
    /// @brief Time for a request to reach an engine with a free slot and for the response head to arrive.
    Milliseconds responseHeadTimeout{10};
};

/**
 * @brief Priority by preemption: no capacity is reserved for claims; a claim interrupts resumable work instead.
 *
 * It is stateless: each instance decides independently, also during an outage of the store.
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
     * @brief The request's priority in an engine's queue; higher ones run first.
     *
     * Resumable work ages to just above interactive work, but always stays below a claim. Complexity: constant.
     */
    int enginePriority(const PriorityInput &input) const noexcept;
    /**
     * @brief Time in an engine's queue after which the request is cancelled and sent again with its aged priority.
     *
     * Zero if the priority no longer rises. Complexity: constant.
     */
    Milliseconds requeueAfter(const PriorityInput &input) const noexcept;
    /**
     * @brief Chooses the engine for a claimed request and how it gets a slot there.
     *
     * A slot that seems free is preferred, at the engine with the most of them; then the cheapest interruption.
     * Complexity: linear in the work.
     */
    SlotDecision chooseSlot(const std::vector<EngineCapacity> &engines, TimePoint now) const;
    /**
     * @brief The attempt to interrupt, also on a peer's request: the least often interrupted one, the latest among
     * equals.
     * @return empty when there is none. Complexity: linear in the work.
     */
    std::optional<InterruptAttempt> chooseVictim(const std::vector<EngineCapacity> &engines, TimePoint now) const;
    /**
     * @brief Whether one more claim stays within the share that the account bought.
     * @param inFlight claimed requests of the account in flight at this instance
     * @param slots of all engines that serve the account
     */
    static bool withinShare(const PriorityTerms &terms, unsigned inFlight, unsigned slots) noexcept;
    /**
     * @brief Number of engines on which a version stays loaded, so that claims within the bought share never wait for a
     * model to load.
     *
     * Claims fill at most `claimDensity` of the slots there; the rest runs work that they can interrupt.
     */
    static unsigned warmEngines(const PriorityTerms &terms, unsigned engines) noexcept;

    /// @brief Share of a warm engine's slots that claims may fill.
    static constexpr double claimDensity = 0.12;

private:
    int maxAgedPriority() const noexcept;
    bool mayInterrupt(const InterruptCandidate &work, TimePoint now) const noexcept;

    PriorityOptions options;
};

} // namespace parsleyvane
