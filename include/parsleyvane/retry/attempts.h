/**
 * @file
 * @brief Says truthfully whether a request ran, and whether it may be tried again.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <optional>
#include <variant>

namespace parsleyvane {

/// @brief How one attempt ended without a whole answer.
struct AttemptEnd
{
    Step step = Step::Connect; ///< Connect, Send or Answer
    std::size_t bytesSent = 0; ///< request bytes handed to the connection
    bool refusedBeforeRun = false; ///< the upstream said explicitly that it had not run it
    std::optional<int> status; ///< the upstream's HTTP status, when one came
};

/// @brief Whether the request ran in that attempt. Unknown unless proven otherwise.
RunState inferRunState(const AttemptEnd &end) noexcept;

/// @brief What is known after two attempts: Ran beats Unknown beats NotRun.
RunState combine(RunState before, RunState latest) noexcept;

/// @brief Retries allowed as a share of first tries, so that overload is not multiplied.
class RetryBudget
{
public:
    // constructors
    /// @param ratio retries earned by each first try @param reserve retries allowed before any first try
    explicit RetryBudget(double ratio = 0.1, double reserve = 10);

    // modifiers
    /// @brief Counts a first try.
    void onFirstAttempt() noexcept;
    /// @brief Spends one retry; false when none is left.
    bool spend() noexcept;

    // observers
    /// @brief Retries left.
    double remaining() const noexcept;

private:
    double ratio;
    double cap;
    double balance;
};

/// @brief Try again at another upstream, not before the time given.
struct RetryAllowed
{
    TimePoint notBefore;
};
/// @brief Give the caller this answer.
struct GiveUp
{
    Failure failure;
};
using RetryDecision = std::variant<RetryAllowed, GiveUp>;

/// @brief What is known of a request when an attempt failed.
struct RetryContext
{
    bool repeatable = false; ///< the account's answers permit running it twice
    RunState combinedRunState = RunState::NotRun; ///< combined over all attempts, the latest included
    unsigned attempts = 1;
    unsigned maxAttempts = 3;
    TimePoint now;
    TimePoint deadline;
    Failure latest; ///< why the latest attempt ended
};

/**
 * @brief Decides on another attempt. A request that may have run is tried again only when it is repeatable; a refusal
 * for load waits for the hint it carries; nothing is tried past the deadline or the budget.
 *
 * The failure of a GiveUp carries `combinedRunState` as its run state.
 */
RetryDecision decideRetry(const RetryContext &question, RetryBudget &budget);

} // namespace parsleyvane
