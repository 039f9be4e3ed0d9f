/**
 * @file
 * @brief The operators' changes of a configuration: roll-outs, withdrawals, and taking upstreams out.
 *
 * Each is a pure function, and an Edit that submitEdit() can repeat on a newer configuration.
 */
#pragma once

#include "parsleyvane/config/submission.h"

namespace parsleyvane {

/// @brief The whole of new work, per mille.
constexpr unsigned wholePerMille = 1000;

/// @brief What an operator asks of a roll-out; members that an operation does not need are left empty.
struct RolloutRequest
{
    ModelName model;
    VersionName from;
    VersionName to;
    /// @brief Share of new work on the new version.
    unsigned perMille = 0;
};

/**
 * @brief Starts to move new work of a model from a serving version to another one.
 *
 * The new version serves with the share that is asked for, the old one with the rest. Other serving versions of the
 * model keep their weight in relation to the two.
 *
 * @param reason InvalidConfiguration when a version is unknown, withdrawn, not serving or loaded by no engine, or
 * another roll-out of the model is under way
 */
std::optional<Configuration> startRollout(const Configuration &current, const RolloutRequest &request,
                                          LastReason &reason);

/**
 * @brief Sets another share. A halted roll-out goes on; at 1000 the old version is closed and the roll-out done.
 * @param request `from` and `to` may be empty; when given, they have to be those of the roll-out
 * @param reason InvalidConfiguration when no such roll-out is under way, or at 1000 when an account allows the old
 * version but not the new one
 */
std::optional<Configuration> stepRollout(const Configuration &current, const RolloutRequest &request,
                                         LastReason &reason);

/// @brief Marks the model's roll-out as halted; its share stays. @param reason as stepRollout()
std::optional<Configuration> haltRollout(const Configuration &current, const RolloutRequest &request,
                                         LastReason &reason);

/**
 * @brief Gives all new work back to the old version and closes the new one, whose sessions go on.
 *
 * It also takes back the model's last roll-out when that is done. Versions that have been withdrawn stay so.
 *
 * @param reason InvalidConfiguration when there is no roll-out, or its old version is withdrawn
 */
std::optional<Configuration> backRollout(const Configuration &current, const RolloutRequest &request,
                                         LastReason &reason);

/**
 * @brief Withdraws a version: it takes nothing any more. A roll-out under way to or from it ends, with all new work on
 * its other version.
 * @param request names the version in `to`
 * @param reason InvalidConfiguration when the version is not configured
 */
std::optional<Configuration> withdrawVersion(const Configuration &current, const RolloutRequest &request,
                                             LastReason &reason);

/// @brief Takes an upstream out. @param reason InvalidConfiguration when it is not configured
std::optional<Configuration> drainUpstream(const Configuration &current, const UpstreamId &id, LastReason &reason);

/// @brief One of the roll-out functions above.
using RolloutOperation = std::optional<Configuration> (*)(const Configuration &, const RolloutRequest &, LastReason &);

/// @brief The operation as an edit; a change to another model does not conflict with it.
Edit rolloutEdit(RolloutOperation operation, const RolloutRequest &request);

/// @brief drainUpstream() as an edit; a change to another upstream does not conflict with it.
Edit drainEdit(const UpstreamId &id);

} // namespace parsleyvane
