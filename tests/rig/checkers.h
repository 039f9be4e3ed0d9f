/**
 * @file
 * @brief The ten invariants as pure functions over what the stand-ins and callers recorded.
 *
 * No checker reads what the router says of itself, except the revisions that its instances show in /status. Times are
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

/// @brief An engine began to run an attempt.
struct Run
{
    UpstreamId upstream;
    AttemptId attempt;
    RequestId request;
    AccountId account;
    ModelVersion version;
    std::int64_t at = 0;
};

/// @brief An engine came to the end of an attempt.
struct Ran
{
    UpstreamId upstream;
    AttemptId attempt;
    std::int64_t outputTokens = 0;
    std::int64_t at = 0;
};

/// @brief A plain service applied an operation.
struct Applied
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
struct Billed
{
    RequestId request;
};

/// @brief All that the stand-ins recorded.
struct Records
{
    std::vector<Run> runs;
    std::vector<Ran> ends;
    std::vector<Applied> applied;
    std::vector<Billed> bills;
};

/// @brief What one caller sent and received.
struct ClientObservation
{
    AccountId account;
    RequestId request;
    /// @brief Empty where the caller sent none.
    IdempotencyKey key;
    /// @brief Names the conversation; empty outside of one.
    std::string conversation;
    /// @brief The instance that was asked.
    InstanceId instance;
    std::optional<ModelVersion> version;
    /// @brief Whether the whole answer came, without an error.
    bool succeeded = false;
    /// @brief Whether the connection ended without an answer or an error object.
    bool cutOff = false;
    RunState reportedRunState = RunState::Unknown;
    /// @brief The name of the error that the caller was told; empty when it was told none.
    std::string error;
    std::string text;
    /// @brief What the engine answers to the same prompt, where the checks compare it.
    std::optional<std::string> expected;
    std::int64_t sentAt = 0;
    std::int64_t answerReceivedAt = 0;
};

/// @brief A version was withdrawn by an accepted configuration.
struct Withdrawal
{
    ModelVersion version;
    std::int64_t at = 0;
};

/// @brief An upstream began to leave.
struct Departure
{
    UpstreamId upstream;
    std::int64_t at = 0;
};

/// @brief An instance was told to stop.
struct PlannedStop
{
    InstanceId instance;
    std::int64_t at = 0;
};

/// @brief A configuration was accepted.
struct Acceptance
{
    Revision revision;
    std::int64_t at = 0;
};

/// @brief An instance's /status showed a revision.
struct RevisionSeen
{
    InstanceId instance;
    Revision revision;
    std::int64_t at = 0;
};

/// @brief One breach of an invariant.
struct Violation
{
    /// @brief The invariant's number, 1 to 10.
    int invariant = 0;
    std::string what;
};

using Violations = std::vector<Violation>;

/// @brief The account under which rigs ask an engine directly; its records are left out.
constexpr std::string_view referenceAccount = "rig-reference";
/// @brief From a withdrawal to the last run that may begin.
constexpr Milliseconds withdrawalBound{5000};
/// @brief From an upstream's leaving to the last new run.
constexpr Milliseconds departureBound{3000};
/// @brief From an acceptance until all instances show the revision.
constexpr Milliseconds acceptanceBound{5000};
/// @brief How long the balancer goes on sending to an instance that stops.
constexpr Milliseconds balancerLag{5000};

/// @brief Reads a stand-in's record file into `records`; a last line that was cut short is left out.
void readRecords(const std::filesystem::path &file, const UpstreamId &upstream, Records &records);

/// @brief Invariant 1: each run is of a version that the account's answers permit.
Violations checkAllowedVersions(const Records &records, const Configuration &configuration);
/// @brief Invariant 2: no run of a withdrawn version begins later than the bound.
Violations checkWithdrawals(const Records &records, const std::vector<Withdrawal> &withdrawals,
                            Milliseconds bound = withdrawalBound);
/// @brief Invariant 3: the answers and runs of a conversation are all of one version.
Violations checkSessions(const Records &records, const std::vector<ClientObservation> &callers);
/// @brief Invariant 4: each answered request has exactly one bill, and no request has two.
Violations checkBills(const Records &records, const std::vector<ClientObservation> &callers);
/// @brief Invariant 5: each answered caller holds the engine's own answer to its prompt.
Violations checkAnswers(const std::vector<ClientObservation> &callers);
/// @brief Invariant 6: a request that was told "not run" has no run that another sending of it doesn't explain.
Violations checkNotRun(const Records &records, const std::vector<ClientObservation> &callers);
/// @brief Where nothing failed: no request ran twice on one version.
Violations checkRunOnce(const Records &records);
/// @brief Invariant 7: at most one application for each account, operation and key.
Violations checkAtMostOnce(const Records &records);
/// @brief Invariant 8: a leaving upstream begins nothing later than the bound.
Violations checkDepartures(const Records &records, const std::vector<Departure> &departures,
                           Milliseconds bound = departureBound);
/// @brief Invariant 9: no request that a stopping instance was sent while the balancer still knew it was cut off.
Violations checkPlannedStops(const std::vector<ClientObservation> &callers, const std::vector<PlannedStop> &stops,
                             Milliseconds lag = balancerLag);
/// @brief Invariant 10: shown revisions never fall, and each accepted one shows everywhere within the bound.
Violations checkRevisions(const std::vector<RevisionSeen> &seen, const std::vector<Acceptance> &acceptances,
                          Milliseconds bound = acceptanceBound);

} // namespace parsleyvane::rig
