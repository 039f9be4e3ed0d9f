/**
 * @file
 * @brief Submits a configuration by compare-and-swap and distinguishes a lost reply from a conflicting change.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/config/diff.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Key of the row that holds the active configuration.
inline const std::string headKey = "config/head";
/// @brief Key prefix of the audit trail's rows; the revision follows it.
inline const std::string auditPrefix = "audit/";

/// @brief The row of the active configuration.
struct HeadRow
{
    /// @brief Version of the row in the platform's table; 0 while there is no configuration.
    std::uint64_t rowVersion = 0;
    Configuration configuration;
};

/// @brief An entry of the audit trail: who changed what, and based on which revision.
struct AuditEntry
{
    Revision revision;
    Revision basedOn;
    /// @brief Its identifier is empty when the entry does not exist.
    ChangeNote change;
    std::vector<ConfigurationChange> changes;
};

/// @brief Serialises an audit entry to JSON, which parseAuditEntry() reads.
std::string serialise(const AuditEntry &entry);
/// @brief Parses an audit entry. @param reason BadUpstreamData when the text is malformed
std::optional<AuditEntry> parseAuditEntry(const std::string &text, LastReason &reason);

/// @brief Outcome of a transaction, which is Unknown after a lost reply.
enum class CommitOutcome {
    Committed, ///< definitely applied
    CheckFailed, ///< definitely not applied: a version check failed
    NotSent, ///< definitely not applied: the platform was not reached
    Unknown, ///< may have been applied
};

/// @brief Port to the configuration and audit rows of the platform's table.
class ConfigurationTable
{
public:
    virtual ~ConfigurationTable() = default;

    // observers
    /// @brief The current row, never a stale one. @param reason why the result is empty
    virtual std::optional<HeadRow> readHead(LastReason &reason) = 0;
    /// @brief An audit entry, with an empty change identifier when it does not exist. @param reason as in readHead()
    virtual std::optional<AuditEntry> readAuditEntry(Revision revision, LastReason &reason) = 0;

    // modifiers
    /// @brief Writes the head row and the audit entry in one transaction if the head row is still at `rowVersion`.
    virtual CommitOutcome commit(std::uint64_t rowVersion, const Configuration &configuration, const AuditEntry &entry,
                                 LastReason &reason)
        = 0;
    /// @brief Blocks until the next attempt is due.
    virtual void waitBeforeRetry() = 0;
};

/// @brief Outcome of a submission.
enum class SubmissionOutcome {
    Accepted,
    Conflict, ///< another operator's change was committed first; nothing was written
    Invalid, ///< the change cannot be applied or its result is invalid; nothing was written
    Unreachable, ///< the platform was not reached; nothing was written
    Unknown, ///< may have been written
};

/// @brief The result of a submission.
struct SubmissionResult
{
    SubmissionOutcome outcome = SubmissionOutcome::Unreachable;
    /// @brief The latest revision read from the platform; when accepted, the submitted revision.
    Revision revision;
    /// @brief The revision that the change was first based on.
    Revision basedOn;
    /// @brief The differences of the last transaction sent, whether or not it was applied.
    std::vector<ConfigurationChange> changes;
};

/**
 * @brief Submits a whole configuration that is based on a known revision.
 *
 * After a lost reply, the audit entry of the submitted revision is read: its change identifier shows whether this
 * change was applied, even if later revisions exist. Resending the transaction is safe, because its version check lets
 * it apply at most once.
 *
 * @param proposed the configuration; its revision and change note are replaced
 * @param basedOn the revision that it is based on
 * @param note author, time, summary and a unique identifier of the change
 * @param reason why it was not accepted
 *
 * Complexity: at most 8 transactions and reads.
 */
SubmissionResult submit(ConfigurationTable &table, Configuration proposed, Revision basedOn, const ChangeNote &note,
                        LastReason &reason);

/// @brief A change that is recomputed from the active configuration for each submission.
struct Edit
{
    /// @brief Prefixes of the configuration paths that it depends on; a concurrent change to one of them is a conflict.
    std::vector<std::string> conflictPrefixes;
    /// @brief Applies the change. The result is empty, and the reason set, when that is not possible.
    std::function<std::optional<Configuration>(const Configuration &, LastReason &)> apply;
};

/**
 * @brief Reads the active configuration, applies the edit, validates the result and submits it. After a conflict, it
 * starts again, unless the concurrent change affects what the edit depends on.
 *
 * @param note as in submit()
 * @param reason why it was not accepted
 *
 * Complexity: at most 8 submissions.
 *
 * @code
 * const Edit edit = makeRemoveUpstreamEdit(UpstreamId("engine-3"));
 * const SubmissionResult result = submitEdit(table, edit, note, reason);
 * @endcode
 */
SubmissionResult submitEdit(ConfigurationTable &table, const Edit &edit, const ChangeNote &note, LastReason &reason);

} // namespace parsleyvane
