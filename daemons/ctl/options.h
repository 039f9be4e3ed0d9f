/**
 * @file
 * @brief Flags, exit codes and output of parsleyvanectl.
 */
#pragma once

#include "parsleyvane/config/ini.h"
#include "parsleyvane/config/submission.h"

#include <absl/flags/declare.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

ABSL_DECLARE_FLAG(std::string, against);
ABSL_DECLARE_FLAG(std::string, answers);
ABSL_DECLARE_FLAG(std::string, base);
ABSL_DECLARE_FLAG(std::string, file);
ABSL_DECLARE_FLAG(std::string, format);
ABSL_DECLARE_FLAG(std::string, out);
ABSL_DECLARE_FLAG(std::string, set);
ABSL_DECLARE_FLAG(std::string, platform);
ABSL_DECLARE_FLAG(std::string, instances);
ABSL_DECLARE_FLAG(std::string, wait_instances);
ABSL_DECLARE_FLAG(std::int64_t, based_on);
ABSL_DECLARE_FLAG(std::string, operator);
ABSL_DECLARE_FLAG(std::string, summary);
ABSL_DECLARE_FLAG(std::string, model);
ABSL_DECLARE_FLAG(std::string, from);
ABSL_DECLARE_FLAG(std::string, to);
ABSL_DECLARE_FLAG(std::uint32_t, per_mille);
ABSL_DECLARE_FLAG(std::string, upstream);
ABSL_DECLARE_FLAG(std::uint32_t, limit);
ABSL_DECLARE_FLAG(bool, json);

namespace parsleyvane::ctl {

/// @brief Exit codes, which are a stable interface documented in docs/OPERATIONS.md.
enum class ExitCode {
    Ok = 0,
    Failure = 1,
    Usage = 2,
    InvalidConfiguration = 3,
    RevisionConflict = 4,
    OutcomeUnknown = 5, ///< the platform was not reached, or the outcome is unknown
};

/// @brief Positional arguments.
using Arguments = std::vector<std::string>;

/// @brief Prints a result to standard output: the JSON with --json, otherwise the text.
void print(const nlohmann::json &json, const std::string &text);
/// @brief Prints a usage error and returns ExitCode::Usage.
ExitCode usageError(const std::string &message);
/// @brief Prints a failure, with --json also as JSON, and returns `code`.
ExitCode reportFailure(ExitCode code, const Failure &failure);
/// @brief Prints why a file or the platform could not be read and returns the exit code for the cause.
ExitCode reportReadFailure(const Failure &failure);
/// @brief Prints the problems and returns ExitCode::InvalidConfiguration.
ExitCode reportSettingProblems(const std::vector<SettingProblem> &problems);
/// @brief Validates a configuration and prints its problems; Ok when there are none.
ExitCode reportConfigurationProblems(const Configuration &configuration);
/// @brief Formats the changes as a JSON array.
nlohmann::json changesJson(const std::vector<ConfigurationChange> &changes);
/// @brief Formats the changes as text, one line each.
std::string changesText(const std::vector<ConfigurationChange> &changes);
/// @brief Formats the entry as JSON.
nlohmann::json auditJson(const AuditEntry &entry);
/// @brief Formats the entry as text: a heading line, then one line per change.
std::string auditText(const AuditEntry &entry);

/// @brief Reads a file; "-" is the standard input. @param reason InvalidSetting
std::optional<std::string> readFile(const std::string &name, LastReason &reason);
/// @brief Writes a file; "-" is the standard output. @param reason InvalidSetting
bool writeFile(const std::string &name, const std::string &text, LastReason &reason);
/// @brief Reads and parses a configuration file. @param reason InvalidSetting or InvalidConfiguration
std::optional<Configuration> readConfigurationFile(const std::string &name, LastReason &reason);
/// @brief Creates the note of a change made now, from --operator and --summary, with a new identifier. Prints a usage
/// error and returns nothing when one of the flags is invalid.
std::optional<ChangeNote> makeNote(const std::string &defaultSummary);

} // namespace parsleyvane::ctl
