/**
 * @file
 * @brief Derives whether a request ran from how its attempts ended, and decides on retries.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <optional>
#include <variant>

namespace parsleyvane {

/// @brief How one attempt without a complete answer ended.
struct AttemptEnd
{
    Step step = Step::Connect; ///< Connect, Send or Answer
    std::size_t bytesSent = 0; ///< request bytes passed to the connection
    bool refusedBeforeRun = false; ///< the upstream reported that it did not run the request
    std::optional<int> status; ///< the upstream's HTTP status, if received
};

/// @brief Whether the request ran in that attempt; Unknown unless proven.
RunState inferRunState(const AttemptEnd &end) noexcept;

/// @brief Combines the run states of two attempts: Ran takes precedence over Unknown, Unknown over NotRun.
RunState combine(RunState before, RunState latest) noexcept;

/// @brief Bounds retries to a share of the first attempts, so that retries do not amplify an overload.
class RetryBudget
{
public:
    // constructors
    /// @param ratio retries earned by each first attempt @param reserve retries available at the start
    explicit RetryBudget(double ratio = 0.1, double reserve = 10);

    // modifiers
    /// @brief Credits the budget for a first attempt.
    void onFirstAttempt() noexcept;
    /// @brief Debits one retry; false when none is left.
    bool spend() noexcept;

    // observers
    /// @brief Retries left.
    double remaining() const noexcept;

private:
    double ratio;
    double maxBalance;
    double balance;
};

/// @brief Retry on another upstream, no earlier than `notBefore`.
struct RetryAllowed
{
    TimePoint notBefore;
};
/// @brief Report this failure to the client.
struct GiveUp
{
    Failure failure;
};
using RetryDecision = std::variant<RetryAllowed, GiveUp>;

/// @brief The state of a request after a failed attempt.
struct RetryContext
{
    bool repeatable = false; ///< the request may run more than once
    RunState combinedRunState = RunState::NotRun; ///< combined over all attempts, including the latest
    unsigned attempts = 1;
    unsigned maxAttempts = 3;
    TimePoint now;
    TimePoint deadline;
    Failure latest; ///< why the latest attempt ended
};

/**
 * @brief Decides on another attempt. A request that may have run is retried only when it is repeatable. A refusal with
 * `retryAfter` is retried after that delay; one for overload without it is not retried. No retry starts past the
 * deadline or beyond the budget.
 *
 * The failure of a GiveUp has the combined run state.
 */
RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget);

} // namespace parsleyvane
