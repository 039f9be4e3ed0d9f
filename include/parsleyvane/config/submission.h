/**
 * @file
 * @brief Puts a configuration in force by compare-and-set, and tells a lost reply from a lost race.
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

/// @brief The key of the row that holds the configuration in force.
inline const std::string headKey = "config/head";
/// @brief The prefix of the keys of the audit trail; the revision follows.
inline const std::string auditPrefix = "audit/";

/// @brief The row of the configuration in force.
struct HeadRow
{
    /// @brief The row's version in the platform's table; 0 when there is no configuration yet.
    std::uint64_t rowVersion = 0;
    Configuration configuration;
};

/// @brief One entry of the audit trail: who changed what, from which revision.
struct AuditEntry
{
    Revision revision;
    Revision basedOn;
    /// @brief Its identifier is empty in an entry that does not exist.
    ChangeNote change;
    std::vector<ConfigurationChange> changes;
};

/// @brief Writes an audit entry as JSON; parseAuditEntry() reads the same back.
std::string serialise(const AuditEntry &entry);
/// @brief Reads an audit entry. @param reason why the result is empty: BadUpstreamData
std::optional<AuditEntry> parseAuditEntry(const std::string &text, LastReason &reason);

/// @brief How a transaction ended, as far as it is known.
enum class CommitOutcome {
    Committed, ///< certain: applied
    Refused, ///< certain: a check failed
    NotSent, ///< certain: not applied, the platform was not reached
    Unknown, ///< it may have been applied
};

/// @brief The port to the platform's table, as far as the configuration needs it.
class ConfigurationTable
{
public:
    virtual ~ConfigurationTable() = default;

    // observers
    /// @brief The row in force, never an older one. @param reason why the result is empty
    virtual std::optional<HeadRow> readHead(LastReason &reason) = 0;
    /// @brief An audit entry; one with an empty change identifier when there is none. @param reason as readHead()
    virtual std::optional<AuditEntry> readAudit(Revision revision, LastReason &reason) = 0;

    // modifiers
    /// @brief Writes head and audit entry in one transaction, if the head's row still has the version.
    virtual CommitOutcome commit(std::uint64_t rowVersion, const Configuration &configuration, const AuditEntry &entry,
                                 LastReason &reason)
        = 0;
    /// @brief Waits before the next try.
    virtual void pause() = 0;
};

/// @brief How a submission ended.
enum class SubmissionOutcome {
    Accepted,
    Lost, ///< another operator's change came first; nothing was written
    Invalid, ///< the change cannot be made; nothing was written
    Unreachable, ///< the platform was not reached; nothing was written
    Unknown, ///< it may have been written
};

/// @brief The result of a submission.
struct SubmissionResult
{
    SubmissionOutcome outcome = SubmissionOutcome::Unreachable;
    /// @brief The revision in force that was seen last; the own one when accepted.
    Revision revision;
    /// @brief The revision that the change was first made from.
    Revision basedOn;
    /// @brief What the own change altered, or would have.
    std::vector<ConfigurationChange> changes;
};

/**
 * @brief Submits a whole configuration that was made from a known revision.
 *
 * After a lost reply the audit entry of the own revision is read back: its change identifier tells whether the own
 * change was applied, also when others have followed it. The same
 * transaction may be sent again, since its check lets it apply once at most.
 *
 * @param proposed the configuration; its revision and change note are replaced
 * @param basedOn the revision it was made from
 * @param note who, when, why, and a unique identifier
 * @param reason why it was not accepted
 *
 * Complexity: at most 8 transactions and reads.
 */
SubmissionResult submit(ConfigurationTable &table, Configuration proposed, Revision basedOn, const ChangeNote &note,
                        LastReason &reason);

/// @brief A change that is worked out anew on whatever configuration is in force.
struct Edit
{
    /// @brief Beginnings of the places that it depends on; another operator's change there is a conflict.
    std::vector<std::string> subjects;
    /// @brief Makes the change. An empty result says that it cannot be made, with the reason.
    std::function<std::optional<Configuration>(const Configuration &, LastReason &)> apply;
};

/**
 * @brief Reads the head, edits it, checks the result and submits it; after a lost race it does so again, unless the
 * other operator changed what the edit depends on.
 *
 * @param note as in submit()
 * @param reason why it was not accepted
 *
 * Complexity: at most 8 submissions.
 *
 * @code
 * const Edit edit = drainEdit(UpstreamId("engine-3"));
 * const SubmissionResult result = submitEdit(table, edit, note, reason);
 * @endcode
 */
SubmissionResult submitEdit(ConfigurationTable &table, const Edit &edit, const ChangeNote &note, LastReason &reason);

} // namespace parsleyvane
