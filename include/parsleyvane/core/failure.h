/**
 * @file
 * @brief Error numbers and failures: each failure names the processing step and the peer where it arose.
 *
 * docs/ERRORS.md describes the cause of each number, with an example.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/// @brief Error numbers; stable across releases.
enum class ErrorId {
    MalformedRequest = 101, ///< the request could not be parsed
    TooLarge = 102, ///< the header section or the body exceeds its size limit
    TooSlow = 103, ///< the client did not send its request within the time limit
    UnknownPath = 104, ///< no such resource or method
    BadCredentials = 201, ///< the API key belongs to no client account
    UnknownTask = 202, ///< the account has no task of that name
    ModelNotAllowed = 203, ///< the account may not use this model or version
    SessionInvalid = 204, ///< the session token is malformed, wrongly signed, or another account's
    SessionVersionWithdrawn = 205, ///< the session's model version accepts no new work
    PriorityNotBought = 206, ///< the account requested a priority that it has not bought
    KeyRequired = 207, ///< a non-repeatable task requires an idempotency key
    KeyBodyMismatch = 208, ///< the idempotency key was used with a different body
    NotReady = 301, ///< the instance is starting or has no configuration
    ConfigurationStale = 302, ///< the instance cannot confirm that its configuration is up to date
    RateLimited = 303, ///< the account's request rate or in-flight limit is reached
    NoCapacity = 304, ///< no upstream had free capacity before the deadline
    Draining = 305, ///< the instance is stopping
    RetryBudgetSpent = 306, ///< no retry is left in the budget
    Quarantined = 307, ///< the request is suspected of crashing upstreams
    ClaimHeld = 401, ///< another attempt holds this key; its outcome is unknown
    StoreUnavailable = 402, ///< the platform's store could not be reached or did not answer
    StoreConflict = 403, ///< the row was changed concurrently
    ConnectFailed = 501, ///< the connection to the upstream could not be opened
    UpstreamRefused = 502, ///< the upstream reported that it did not run the request
    UpstreamLost = 503, ///< the connection was lost; the outcome is unknown
    UpstreamSilent = 504, ///< the upstream made no progress within the time limit
    UpstreamError = 505, ///< the upstream ran the request and failed
    AnswerIncomplete = 506, ///< the answer was truncated and could not be resumed
    DeadlineExceeded = 507, ///< the client's deadline passed
    BadUpstreamData = 508, ///< data of an upstream or the store is malformed
    InvalidSetting = 601, ///< a setting is unknown, missing or invalid
    InvalidConfiguration = 602, ///< a configuration is malformed or inconsistent
    RevisionConflict = 603, ///< another operator's change was committed first
    PeerUnavailable = 701, ///< a peer instance did not answer
    BadPeerData = 702, ///< data of a peer instance is malformed
};

/// @brief The processing step in which an error arose.
enum class Step {
    Receive,
    Authenticate,
    Admit,
    Queue,
    Claim,
    Route,
    Connect,
    Send,
    Answer,
    Bill,
    Reply,
    Configure,
    Exchange
};

/// @brief Whether an upstream ran the request.
enum class RunState {
    NotRun, ///< proven: it has not run and will not run
    Ran, ///< proven: it has run
    Unknown, ///< it may have run
};

/**
 * @brief An error, where it arose, and whether the request ran.
 */
struct Failure
{
    ErrorId id = ErrorId::NotReady;
    Step step = Step::Receive;
    /// @brief The upstream, instance or service concerned; empty for a local error.
    std::string peer;
    RunState runState = RunState::NotRun;
    std::string detail;
    /// @brief How long to wait before a retry; empty when no delay is suggested.
    std::optional<Milliseconds> retryAfter;

    friend bool operator==(const Failure &, const Failure &) = default;
};

/**
 * @brief Output parameter that holds the failure behind the latest empty result.
 *
 * A function that can fail returns std::optional and takes a LastReason, which it sets when the result is empty.
 *
 * @code
 * LastReason reason;
 * const auto row = table.read("config/head", reason);
 * if (!row) {
 *     log(reason.failure().detail);
 * }
 * @endcode
 */
class LastReason
{
public:
    // observers
    /// @brief The latest failure; default-constructed when there was none.
    const Failure &failure() const noexcept
    {
        return this->latest;
    }

    // modifiers
    /// @brief Stores the failure and returns an empty optional, which allows `return reason.fail(...)`.
    std::nullopt_t fail(Failure failure)
    {
        this->latest = std::move(failure);
        return std::nullopt;
    }

private:
    Failure latest;
};

/// @brief The name of an error as listed in docs/ERRORS.md, such as "claim-held".
std::string_view errorName(ErrorId id) noexcept;
/// @brief The HTTP status sent to clients for an error.
int httpStatus(ErrorId id) noexcept;
/// @brief "receive", "admit", ...
std::string_view stepName(Step step) noexcept;
/// @brief "not_run", "ran" or "unknown".
std::string_view runStateName(RunState state) noexcept;
/// @brief A single log line: number, name, step, peer, run state and detail.
std::string describe(const Failure &failure);

} // namespace parsleyvane
