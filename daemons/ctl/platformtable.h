/**
 * @file
 * @brief Access to the platform's table over HTTP for parsleyvanectl.
 */
#pragma once

#include "parsleyvane/config/submission.h"

#include <string>
#include <vector>

namespace parsleyvane::ctl {

/// @brief Reads and commits configurations through the platform's HTTP interface.
class PlatformTable : public ConfigurationTable
{
public:
    // constructors
    /// @param address IP address and port of the platform
    explicit PlatformTable(std::string address);

    // observers
    /// @brief Reads the row and confirms that it is not stale with a transaction that checks its version and writes
    /// nothing.
    std::optional<HeadRow> readHead(LastReason &reason) override;
    std::optional<AuditEntry> readAuditEntry(Revision revision, LastReason &reason) override;
    /// @brief The latest entries of the audit trail, oldest first. Complexity: linear in `limit`, independent of the
    /// trail's length. @param reason why the result is empty
    std::optional<std::vector<AuditEntry>> readAuditTrail(std::size_t limit, LastReason &reason);

    // modifiers
    CommitOutcome commit(std::uint64_t rowVersion, const Configuration &configuration, const AuditEntry &entry,
                         LastReason &reason) override;
    void waitBeforeRetry() override;

private:
    std::string address;
};

} // namespace parsleyvane::ctl
