/**
 * @file
 * @brief The platform's table over HTTP, as parsleyvanectl needs it.
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
    /// @brief Reads the row and confirms by an empty transaction that it is not a stale one.
    std::optional<HeadRow> readHead(LastReason &reason) override;
    std::optional<AuditEntry> readAudit(Revision revision, LastReason &reason) override;
    /// @brief The latest entries of the audit trail, oldest first. Complexity: linear in `limit`, whatever the trail's
    /// length. @param reason why the result is empty
    std::optional<std::vector<AuditEntry>> readTrail(std::size_t limit, LastReason &reason);

    // modifiers
    CommitOutcome commit(std::uint64_t rowVersion, const Configuration &configuration, const AuditEntry &entry,
                         LastReason &reason) override;
    void pause() override;

private:
    std::string address;
};

} // namespace parsleyvane::ctl
