/**
 * @file
 * @brief The commands of parsleyvanectl. Each reads its options and returns the exit code.
 */
#pragma once

#include "options.h"

namespace parsleyvane::ctl {

/// @brief Generates a configuration from answers, or asks for the answers.
ExitCode runQuestionnaire(const Arguments &arguments);
/// @brief Lists the contradictions of a configuration file.
ExitCode runValidate(const Arguments &arguments);
/// @brief Compares a file with the configuration in force, or with another file.
ExitCode runDiff(const Arguments &arguments);
/// @brief Writes the configuration in force to a file.
ExitCode runShow(const Arguments &arguments);
/// @brief Puts a configuration file in force.
ExitCode runSubmit(const Arguments &arguments);
/// @brief Shows the state of each instance.
ExitCode runStatus(const Arguments &arguments);
/// @brief Moves a model from one version to another, or withdraws a version.
ExitCode runRollout(const Arguments &arguments);
/// @brief Takes an upstream out of the configuration.
ExitCode runUpstream(const Arguments &arguments);
/// @brief Shows who changed what.
ExitCode runAudit(const Arguments &arguments);

/// @brief Reports how a submission ended; the loser of a race is told who changed what.
ExitCode reportSubmission(const std::string &platform, const SubmissionResult &result, const ChangeNote &note,
                          const Failure &failure);
/// @brief Waits until the instances of --wait_instances report the revision. Ok at once without any.
ExitCode waitForInstances(Revision revision);

} // namespace parsleyvane::ctl
