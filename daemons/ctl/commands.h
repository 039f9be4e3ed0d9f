/**
 * @file
 * @brief The commands of parsleyvanectl. Each reads its flags and returns the exit code.
 */
#pragma once

#include "options.h"

namespace parsleyvane::ctl {

/// @brief Generates a configuration from an answers file, or asks the questions interactively and writes the answers.
ExitCode runQuestionnaire(const Arguments &arguments);
/// @brief Lists the validation problems of a configuration file.
ExitCode runValidate(const Arguments &arguments);
/// @brief Checks a configuration, answers or settings, and what they change; see include/parsleyvane/config/check.h.
ExitCode runCheck(const Arguments &arguments);
/// @brief Compares a file with the active configuration, or with another file.
ExitCode runDiff(const Arguments &arguments);
/// @brief Writes the active configuration to a file.
ExitCode runShow(const Arguments &arguments);
/// @brief Submits a configuration file.
ExitCode runSubmit(const Arguments &arguments);
/// @brief Shows the state of each instance.
ExitCode runStatus(const Arguments &arguments);
/// @brief Runs a roll-out operation: start, step, halt, back or withdraw.
ExitCode runRollout(const Arguments &arguments);
/// @brief Removes an upstream from the configuration.
ExitCode runUpstream(const Arguments &arguments);
/// @brief Prints the latest entries of the audit trail.
ExitCode runAudit(const Arguments &arguments);

/// @brief Reports the outcome of a submission; after a conflict, with the audit entries of the other changes.
ExitCode reportSubmission(const std::string &platform, const SubmissionResult &result, const ChangeNote &note,
                          const Failure &failure);
/// @brief Waits up to 10 s until all instances of --wait_instances report the revision or a newer one.
/// Returns Ok at once when the flag is empty.
ExitCode waitForInstances(Revision revision);

} // namespace parsleyvane::ctl
