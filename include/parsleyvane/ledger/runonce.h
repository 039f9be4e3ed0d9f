/**
 * @file
 * @brief The run-once ledger: ensures that a non-repeatable request runs at most once across all instances.
 *
 * Each idempotency key has one row in the platform's table, inserted if absent before the first byte is sent to the
 * service. The row is a permit without expiry: no other attempt may take it over, however long its owner is paused.
 * Performs no I/O: the caller carries out the returned actions and reports their outcomes.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace parsleyvane {

/// @brief State of a claim row.
enum class ClaimState {
    Held, ///< only the attempt that wrote it may send; never expires
    Done, ///< the request ran; the row holds its result
    Released, ///< the request provably did not run; the key may be claimed again
};

/// @brief A row of the ledger.
struct ClaimRow
{
    AttemptId attempt;
    RequestId request;
    std::string bodyHash; ///< SHA-256 of the body, hexadecimal
    ClaimState state = ClaimState::Held;
    int status = 0; ///< HTTP status of the result, when Done
    std::string result; ///< body of the result, when Done
    std::uint64_t version = 0; ///< the table's version of the row; 0 when absent

    friend bool operator==(const ClaimRow &, const ClaimRow &) = default;
};

/// @brief Write the row if the key's version is still `row.version` (compare-and-swap; 0 when absent).
struct WriteClaim
{
    ClaimRow row;
};
/// @brief Read the key's row.
struct ReadClaim
{
};
/// @brief Send the request to the service: the permit is held. A RunOnce returns this at most once.
struct SendOnce
{
};
/// @brief Answer with the stored result of an earlier run.
struct ReplayResult
{
    int status = 0;
    std::string result;
};
/// @brief Answer with the result of this attempt's run.
struct DeliverResult
{
    int status = 0;
    std::string result;
};
/// @brief Answer with an error.
struct RefuseRequest
{
    Failure failure;
};

using LedgerAction = std::variant<WriteClaim, ReadClaim, SendOnce, ReplayResult, DeliverResult, RefuseRequest>;

/// @brief The write committed; the row now has this version.
struct WriteCommitted
{
    std::uint64_t version = 0;
};
/// @brief The write did not commit, because the key has this row.
struct WriteConflict
{
    ClaimRow current;
};
/// @brief No reply came: the write may have committed, may still commit, or may never do so.
struct WriteIndeterminate
{
};
/// @brief The write did not reach the store (no connection).
struct WriteNotSent
{
};
using WriteReply = std::variant<WriteCommitted, WriteConflict, WriteIndeterminate, WriteNotSent>;

/// @brief The row as read; `version` 0 when absent.
struct ReadRow
{
    ClaimRow row;
};
/// @brief No reply to the read came.
struct ReadLost
{
};
using ReadReply = std::variant<ReadRow, ReadLost>;

/// @brief The service answered: the request ran.
struct ServiceAnswered
{
    int status = 0;
    std::string result;
};
/// @brief The request provably did not run.
struct ServiceNotRun
{
    Failure failure;
};
/// @brief It is unknown whether the request ran or will run.
struct ServiceOutcomeUnknown
{
    Failure failure;
};
using ServiceReply = std::variant<ServiceAnswered, ServiceNotRun, ServiceOutcomeUnknown>;

/**
 * @brief State machine of one attempt to run the request of one key, from claim to answer.
 *
 * @code
 * RunOnce attempt(AttemptId("a1"), RequestId("r1"), bodyHash);
 * LedgerAction next = attempt.start();
 * // carry out `next` and report the outcome to onWrite(), onRead() or onService(), until an answer action is returned
 * @endcode
 *
 * A stale read can at most cause a refusal: only the attempt that owns a Held row changes it, so its own Held row is
 * valid even in a stale read. To give up before SendOnce, run the attempt up to SendOnce and then call abandon();
 * otherwise its claim may stay in the table. After an answer action, pendingCleanUp() may still return a row (a result
 * to record, a claim to release) that the caller has to write in the background, with retries.
 */
class RunOnce
{
public:
    // constructors
    RunOnce(AttemptId attempt, RequestId request, std::string bodyHash);

    // modifiers
    /// @brief The first action.
    LedgerAction start();
    /// @brief The next action after a write.
    LedgerAction onWrite(const WriteReply &reply);
    /// @brief The next action after a read.
    LedgerAction onRead(const ReadReply &reply);
    /// @brief The next action after the send.
    LedgerAction onService(const ServiceReply &reply);
    /**
     * @brief Gives up before the send, for instance because the deadline passed or the dispatch check refused.
     * @pre the latest action was SendOnce and nothing was sent
     */
    LedgerAction abandon(const Failure &failure);

    // observers
    /// @brief The row still to be written after the answer; empty when none.
    std::optional<ClaimRow> pendingCleanUp() const;
    /// @brief Handles the reply to the write of pendingCleanUp(); a write that was lost or not sent has to be repeated,
    /// and so has one that met this attempt's own Held row.
    void onCleanUpReply(const WriteReply &reply);

private:
    enum class Phase { New, Inserting, ReadingBack, Permitted, Recording, Releasing, Answered };

    LedgerAction writeClaimOver(std::uint64_t version);
    LedgerAction decideFromRow(const ClaimRow &current);
    LedgerAction permit(std::uint64_t version);
    LedgerAction writeFinalState(ClaimState state, Phase next, LedgerAction after);
    LedgerAction onClaimConflict(const ClaimRow &current);
    LedgerAction onFinalStateReply(const WriteReply &reply);
    LedgerAction storeUnavailable();
    LedgerAction refuse(ErrorId id, RunState runState, std::string detail);
    LedgerAction answer(LedgerAction action);

    ClaimRow own;
    Phase phase = Phase::New;
    unsigned claimWrites = 0;
    bool mayLostClaimCommit = false;
    std::optional<LedgerAction> pendingAnswer;
    std::optional<ClaimRow> cleanUp;
};

/// @brief The table key of a claim.
std::string claimKey(const AccountId &account, const IdempotencyKey &key);
/// @brief Serialises a row as JSON, without its version.
std::string serialise(const ClaimRow &row);
/// @brief Parses the output of serialise(). @param reason BadUpstreamData when the text is malformed
std::optional<ClaimRow> parseClaimRow(const std::string &text, std::uint64_t version, LastReason &reason);

} // namespace parsleyvane
