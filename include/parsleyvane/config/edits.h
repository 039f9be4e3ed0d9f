/**
 * @file
 * @brief Configuration changes made by operators: roll-outs, version withdrawals and removal of upstreams.
 *
 * Each change is a pure function and can be wrapped in an Edit, which submitEdit() reapplies to a newer configuration.
 */
#pragma once

#include "parsleyvane/config/submission.h"

namespace parsleyvane {

/// @brief All new work, expressed as a share per mille.
constexpr unsigned fullSharePerMille = 1000;

/// @brief Parameters of a roll-out operation; members that the operation does not use stay empty.
struct RolloutRequest
{
    ModelName model;
    VersionName from;
    VersionName to;
    /// @brief Share of new work that the new version gets.
    unsigned perMille = 0;
};

/**
 * @brief Starts to move new work of a model from a serving version to another version.
 *
 * The new version gets the requested share and the old version the rest. The weights of the model's other versions are
 * rescaled, so that their proportion to these two stays the same.
 *
 * @param reason InvalidConfiguration when a version is unknown, withdrawn, not serving or loaded by no engine, or
 * another roll-out of the model is in progress
 */
std::optional<Configuration> startRollout(const Configuration &current, const RolloutRequest &request,
                                          LastReason &reason);

/**
 * @brief Changes the share. A halted roll-out resumes; at 1000 the old version is closed and the roll-out is done.
 * @param request `from` and `to` may be empty; otherwise they must match the roll-out
 * @param reason InvalidConfiguration when no such roll-out is in progress, or at 1000 when an account allows the old
 * version but not the new one
 */
std::optional<Configuration> setRolloutShare(const Configuration &current, const RolloutRequest &request,
                                             LastReason &reason);

/// @brief Marks the model's roll-out as halted; its share is unchanged. @param reason as in setRolloutShare()
std::optional<Configuration> pauseRollout(const Configuration &current, const RolloutRequest &request,
                                          LastReason &reason);

/**
 * @brief Returns all new work to the old version and closes the new one, whose existing sessions continue.
 *
 * A roll-out that is already done can be reverted too. A withdrawn version stays withdrawn.
 *
 * @param reason InvalidConfiguration when there is no roll-out, or its old version is withdrawn
 */
std::optional<Configuration> revertRollout(const Configuration &current, const RolloutRequest &request,
                                           LastReason &reason);

/**
 * @brief Withdraws a version, which then gets no work. A roll-out in progress to or from it ends, with all new work on
 * the other version.
 * @param request names the version in `to`
 * @param reason InvalidConfiguration when the version is not configured
 */
std::optional<Configuration> withdrawVersion(const Configuration &current, const RolloutRequest &request,
                                             LastReason &reason);

/// @brief Removes an upstream. @param reason InvalidConfiguration when it is not configured
std::optional<Configuration> removeUpstream(const Configuration &current, const UpstreamId &id, LastReason &reason);

/// @brief One of the roll-out functions above.
using RolloutOperation = std::optional<Configuration> (*)(const Configuration &, const RolloutRequest &, LastReason &);

/// @brief Wraps the operation in an edit, which conflicts only with changes to the model's versions or roll-out.
Edit makeRolloutEdit(RolloutOperation operation, const RolloutRequest &request);

/// @brief Wraps removeUpstream() in an edit, which conflicts only with changes to the same upstream.
Edit makeRemoveUpstreamEdit(const UpstreamId &id);

} // namespace parsleyvane
