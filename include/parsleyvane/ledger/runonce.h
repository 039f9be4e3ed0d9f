/**
 * @file
 * @brief The run-once ledger: lets a request that may not be repeated run at most once, over all instances.
 *
 * One row a key in the platform's table, inserted if absent before the first byte leaves for the service. The row is a
 * permit that no other attempt may take over, however long its owner is paused. Pure: the caller carries out the
 * returned actions and reports what came of them.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace parsleyvane {

/// @brief State of a claim.
enum class ClaimState {
    Held, ///< its owner may send; nobody else may, ever
    Done, ///< it ran; the result is kept
    Released, ///< it provably did not run; the key may be claimed anew
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

/// @brief Write the row if the key's version is still `row.version` (0: absent).
struct WriteClaim
{
    ClaimRow row;
};
/// @brief Read the key's row.
struct ReadClaim
{
};
/// @brief Send the request to the service: the permit is held. Returned at most once in a machine's life.
struct SendOnce
{
};
/// @brief Answer with the kept result of the run that already happened.
struct ReplayResult
{
    int status = 0;
    std::string result;
};
/// @brief Answer with the result of the run just made.
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
/// @brief The write did not commit; this is the row that stood in its way.
struct WriteConflict
{
    ClaimRow current;
};
/// @brief No answer came: the write may or may not have taken effect.
struct WriteIndeterminate
{
};
/// @brief The write certainly did not reach the store (no connection).
struct WriteNotSent
{
};
using WriteReply = std::variant<WriteCommitted, WriteConflict, WriteIndeterminate, WriteNotSent>;

/// @brief The row as read; `version` 0 when absent.
struct ReadRow
{
    ClaimRow row;
};
/// @brief No answer came.
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
/// @brief It certainly did not run.
struct ServiceNotRun
{
    Failure failure;
};
/// @brief Nobody can tell.
struct ServiceOutcomeUnknown
{
    Failure failure;
};
using ServiceReply = std::variant<ServiceAnswered, ServiceNotRun, ServiceOutcomeUnknown>;

/**
 * @brief One attempt at one key, from claim to answer.
 *
 * @code
 * RunOnce attempt(AttemptId("a1"), RequestId("r1"), bodyHash);
 * LedgerAction next = attempt.start();
 * // carry out `next`, then feed onWrite(), onRead() or onService() with what happened, until an answer action comes
 * @endcode
 *
 * Stale reads cost at most a refusal: only the attempt itself changes its Held row, so an old sighting of it is true.
 * An attempt that is given up before SendOnce has to be carried on to it and then abandoned, or its claim may stay.
 * After an answer action, pendingCleanUp() may still hold a clean-up (recording a result, releasing a claim) to be
 * tried in the background until it is done.
 */
class RunOnce
{
public:
    // constructors
    RunOnce(AttemptId attempt, RequestId request, std::string bodyHash);

    // modifiers
    /// @brief The first action.
    LedgerAction start();
    /// @brief What to do after a write.
    LedgerAction onWrite(const WriteReply &reply);
    /// @brief What to do after a read.
    LedgerAction onRead(const ReadReply &reply);
    /// @brief What to do after the send.
    LedgerAction onService(const ServiceReply &reply);
    /**
     * @brief Gives up before the send, because the deadline passed or the dispatch check refused.
     * @pre the latest action was SendOnce and nothing was sent
     */
    LedgerAction abandon(const Failure &failure);

    // observers
    /// @brief A write that still has to be made after the answer; empty when none.
    std::optional<ClaimRow> pendingCleanUp() const;
    /// @brief Takes note of how the write of pendingCleanUp() went; only a lost or unsent one leaves it wanted.
    void onCleanUpReply(const WriteReply &reply);

private:
    enum class Phase { New, Inserting, ReadingBack, Permitted, Recording, Releasing, Answered };

    LedgerAction claimOver(std::uint64_t version);
    LedgerAction judge(const ClaimRow &current);
    LedgerAction permit(std::uint64_t version);
    LedgerAction settle(ClaimState state, Phase next, LedgerAction after);
    LedgerAction onClaimConflict(const ClaimRow &current);
    LedgerAction onSettleReply(const WriteReply &reply);
    LedgerAction storeUnavailable();
    LedgerAction refuse(ErrorId id, RunState runState, std::string detail);
    LedgerAction answer(LedgerAction action);

    ClaimRow own;
    Phase phase = Phase::New;
    unsigned claimWrites = 0;
    bool insertMayLand = false;
    std::optional<LedgerAction> pendingAnswer;
    std::optional<ClaimRow> cleanUp;
};

/// @brief The table key of a claim.
std::string claimKey(const AccountId &account, const IdempotencyKey &key);
/// @brief A row's value as JSON text (without its version).
std::string serialise(const ClaimRow &row);
/// @brief Reads what serialise() wrote. @param reason BadUpstreamData when it makes no sense
std::optional<ClaimRow> parseClaimRow(const std::string &text, std::uint64_t version, LastReason &reason);

} // namespace parsleyvane
