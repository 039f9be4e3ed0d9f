/**
 * @file
 * @brief Checks a file that an operator is about to submit: errors, unused entries, contradictory limits, and what it
 * changes.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief How serious a finding is.
enum class FindingSeverity {
    Error, ///< the file is rejected, or read differently from what it says
    Warning, ///< the file is accepted, but an entry is unused, limits contradict each other, or something is taken away
    Note, ///< a change that takes nothing away
};

/// @brief How much a change takes away, the most harmful first.
enum class ChangeHarm {
    Removed,
    Narrowed,
    Replaced, ///< another value that is neither less nor more, such as an address
    Widened,
    Added,
};

/// @brief Something in a file that an operator should look at.
struct CheckFinding
{
    FindingSeverity severity = FindingSeverity::Error;
    std::string file;
    /// @brief The entry, with list entries by identifier, such as "accounts[agents].tasks[triage]", or the section of
    /// an INI file; empty for the file as a whole.
    std::string entry;
    /// @brief The member or key in the entry, such as "limits.burst"; empty for the entry as a whole.
    std::string field;
    std::string message;

    friend bool operator==(const CheckFinding &, const CheckFinding &) = default;
};

/// @brief The content of a file and the name to report.
struct CheckedFile
{
    std::string name;
    std::string text;
};

/**
 * @brief Checks a configuration (JSON), answers (INI) or the settings of an instance (INI); the content tells which.
 *
 * Answers are checked as part of the configuration that they generate from `against`, or from an empty one.
 *
 * @param against the version to compare with; not used for settings
 * @param reason receives why the result is empty: the text is not JSON, or none of the three kinds
 * @return the findings: errors, unused entries and contradictory limits in the order of the file, then differences by
 * harm: removed, narrowed, replaced, widened, added
 *
 * Complexity: linear in the text, times the number of accounts, versions and upstreams.
 *
 * @code
 * LastReason reason;
 * const auto findings = checkFile({"next.json", text}, std::nullopt, reason);
 * @endcode
 */
std::optional<std::vector<CheckFinding>> checkFile(const CheckedFile &file, const std::optional<Configuration> &against,
                                                   LastReason &reason);

/// @brief Reads the version to compare with: a configuration, or answers applied to an empty one.
/// @param reason InvalidConfiguration
std::optional<Configuration> readComparedVersion(const CheckedFile &file, LastReason &reason);

/// @brief Reports members that an object of a JSON text has twice; nothing for a text that cannot be parsed.
std::vector<CheckFinding> findRepeatedMembers(const CheckedFile &file);

/// @brief "removed", "narrowed", "replaced", "widened" or "added".
std::string_view harmName(ChangeHarm harm) noexcept;

/// @brief "error", "warning" or "note".
std::string_view severityName(FindingSeverity severity) noexcept;

/// @brief Formats a finding as one line for operators: "SEVERITY FILE: ENTRY FIELD: MESSAGE".
std::string describe(const CheckFinding &finding);

} // namespace parsleyvane
