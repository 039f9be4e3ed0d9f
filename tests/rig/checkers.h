/**
 * @file
 * @brief Checks of the ten invariants, as pure functions over the records of the stand-ins and clients.
 *
 * The only output of the router itself that a checker reads is the revision in the /status of its instances. Times are
 * milliseconds of CLOCK_BOOTTIME.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane::rig {

/// @brief The start of an attempt on an engine.
struct Run
{
    UpstreamId upstream;
    AttemptId attempt;
    RequestId request;
    AccountId account;
    ModelVersion version;
    std::int64_t at = 0;
};

/// @brief The end of an attempt on an engine.
struct RunEnd
{
    UpstreamId upstream;
    AttemptId attempt;
    std::int64_t outputTokens = 0;
    std::int64_t at = 0;
};

/// @brief An operation that a plain service applied.
struct AppliedOperation
{
    UpstreamId upstream;
    std::string operation;
    IdempotencyKey key;
    AttemptId attempt;
    RequestId request;
    AccountId account;
    std::int64_t at = 0;
};

/// @brief One write of a request's bill to the platform's table.
struct BillWrite
{
    RequestId request;
};

/// @brief Everything that the stand-ins recorded.
struct Records
{
    std::vector<Run> runs;
    std::vector<RunEnd> ends;
    std::vector<AppliedOperation> applied;
    std::vector<BillWrite> bills;
};

/// @brief One request as its client saw it: what was sent and received.
struct ClientObservation
{
    AccountId account;
    RequestId request;
    /// @brief Empty when the request had no idempotency key.
    IdempotencyKey key;
    /// @brief Identifies the conversation; empty for a request without one.
    std::string conversation;
    /// @brief The instance that received the request.
    InstanceId instance;
    std::optional<ModelVersion> version;
    /// @brief Whether the complete answer arrived without an error.
    bool succeeded = false;
    /// @brief Whether the connection ended without an answer or an error object.
    bool cutOff = false;
    RunState reportedRunState = RunState::Unknown;
    /// @brief The name of the received error; empty when there was none.
    std::string error;
    std::string text;
    /// @brief The engine's own answer to the same prompt; set only where checkAnswers() compares it.
    std::optional<std::string> expected;
    std::int64_t sentAt = 0;
    std::int64_t answerReceivedAt = 0;
};

/// @brief The withdrawal of a version by an accepted configuration.
struct Withdrawal
{
    ModelVersion version;
    std::int64_t at = 0;
};

/// @brief The time at which an upstream began to drain.
struct Departure
{
    UpstreamId upstream;
    std::int64_t at = 0;
};

/// @brief The time at which an instance was asked to stop (SIGTERM).
struct PlannedStop
{
    InstanceId instance;
    std::int64_t at = 0;
};

/// @brief The acceptance of a configuration.
struct Acceptance
{
    Revision revision;
    std::int64_t at = 0;
};

/// @brief A revision as shown in an instance's /status.
struct RevisionSeen
{
    InstanceId instance;
    Revision revision;
    std::int64_t at = 0;
};

/// @brief One violation of an invariant.
struct Violation
{
    /// @brief The invariant's number, 1 to 10.
    int invariant = 0;
    std::string what;
};

using Violations = std::vector<Violation>;

/// @brief The account of the reference requests that tests send directly to an engine; its records are ignored.
constexpr std::string_view referenceAccount = "rig-reference";
/// @brief The longest time after a withdrawal at which a run may still start.
constexpr Milliseconds withdrawalBound{5000};
/// @brief The longest time after an upstream began to drain at which it may still start a run.
constexpr Milliseconds departureBound{3000};
/// @brief The longest time from an acceptance until all instances show the revision.
constexpr Milliseconds acceptanceBound{5000};
/// @brief How long the load balancer keeps sending requests to an instance that is stopping.
constexpr Milliseconds balancerLag{5000};

/// @brief Appends a stand-in's record file to `records`; lines that are not JSON objects, such as a truncated last one,
/// are skipped.
void readRecords(const std::filesystem::path &file, const UpstreamId &upstream, Records &records);

/// @brief Invariant 1: each run is of a version that the configuration allows for its account.
Violations checkAllowedVersions(const Records &records, const Configuration &configuration);
/// @brief Invariant 2: no run of a withdrawn version starts later than `bound` after the withdrawal.
Violations checkWithdrawals(const Records &records, const std::vector<Withdrawal> &withdrawals,
                            Milliseconds bound = withdrawalBound);
/// @brief Invariant 3: all answers and runs of a conversation use one version.
Violations checkSessions(const Records &records, const std::vector<ClientObservation> &callers);
/// @brief Invariant 4: each answered request has exactly one bill, and no request has two.
Violations checkBills(const Records &records, const std::vector<ClientObservation> &callers);
/// @brief Invariant 5: each complete answer equals the engine's own answer to the same prompt.
Violations checkAnswers(const std::vector<ClientObservation> &callers);
/// @brief Invariant 6: a request that was reported as "not run" has no run, unless it was also sent before that run
/// with another reported state.
Violations checkNotRun(const Records &records, const std::vector<ClientObservation> &callers);
/// @brief For runs without faults: no request ran twice on one version.
Violations checkRunOnce(const Records &records);
/// @brief Invariant 7: an operation is applied at most once per account and idempotency key.
Violations checkAtMostOnce(const Records &records);
/// @brief Invariant 8: a draining upstream starts no work later than `bound` after it began to drain.
Violations checkDepartures(const Records &records, const std::vector<Departure> &departures,
                           Milliseconds bound = departureBound);
/// @brief Invariant 9: a planned stop cuts off no request that was sent within `lag` of the stop.
Violations checkPlannedStops(const std::vector<ClientObservation> &callers, const std::vector<PlannedStop> &stops,
                             Milliseconds lag = balancerLag);
/// @brief Invariant 10: an instance's revision never decreases, and each accepted one is shown everywhere within
/// `bound`.
Violations checkRevisions(const std::vector<RevisionSeen> &seen, const std::vector<Acceptance> &acceptances,
                          Milliseconds bound = acceptanceBound);

} // namespace parsleyvane::rig
