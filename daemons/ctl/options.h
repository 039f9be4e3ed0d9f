/**
 * @file
 * @brief The options of parsleyvanectl, its exit codes, and its output.
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

ABSL_DECLARE_FLAG(std::string, answers);
ABSL_DECLARE_FLAG(std::string, base);
ABSL_DECLARE_FLAG(std::string, file);
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

/// @brief How the program ends; stable, docs/OPERATIONS.md lists them.
enum class ExitCode {
    Ok = 0,
    Failure = 1,
    Usage = 2,
    InvalidConfiguration = 3,
    LostRace = 4,
    OutcomeUnknown = 5, ///< the platform was not reached, or the outcome is not known
};

/// @brief The words after the program's name that are no options.
using Arguments = std::vector<std::string>;

/// @brief Prints a result: the JSON with --json, the text otherwise.
void print(const nlohmann::json &json, const std::string &text);
/// @brief Reports wrong usage and returns its exit code.
ExitCode usageError(const std::string &message);
/// @brief Reports a failure and returns the code that is given.
ExitCode failWith(ExitCode code, const Failure &failure);
/// @brief Reports why a file or the platform could not be read, with the code that fits the cause.
ExitCode failReading(const Failure &failure);
/// @brief Reports problems of settings or answers.
ExitCode reportProblems(const std::vector<SettingProblem> &problems);
/// @brief Reports the contradictions of a configuration, if any; Ok when there are none.
ExitCode reportContradictions(const Configuration &configuration);
/// @brief The changes as a JSON list.
nlohmann::json changesJson(const std::vector<ConfigurationChange> &changes);
/// @brief The changes as lines.
std::string changesText(const std::vector<ConfigurationChange> &changes);
/// @brief The entry as JSON.
nlohmann::json auditJson(const AuditEntry &entry);
/// @brief The entry as lines.
std::string auditText(const AuditEntry &entry);

/// @brief Reads a file; "-" is the standard input. @param reason InvalidSetting
std::optional<std::string> readFile(const std::string &name, LastReason &reason);
/// @brief Writes a file; "-" is the standard output. @param reason InvalidSetting
bool writeFile(const std::string &name, const std::string &text, LastReason &reason);
/// @brief Reads a configuration from a file. @param reason InvalidSetting or InvalidConfiguration
std::optional<Configuration> readConfigurationFile(const std::string &name, LastReason &reason);
/// @brief A note of who changes something now, with a new identifier; nothing when --operator is missing or wrong.
std::optional<ChangeNote> makeNote(const std::string &usualSummary);

} // namespace parsleyvane::ctl
