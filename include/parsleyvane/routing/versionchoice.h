/**
 * @file
 * @brief Chooses the version of a model for new work.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <optional>
#include <string>

namespace parsleyvane {

/**
 * @brief Chooses by weight among the versions that the account may use and that accept new work.
 *
 * The same key gets the same version while the weights are unchanged; raising a version's weight moves keys only to
 * that version. Complexity: linear in the versions.
 * @param key the session's or request's identifier
 * @param reason ModelNotAllowed when the account may use no version of the model, NoCapacity when none accepts new work
 */
std::optional<ModelVersion> chooseVersion(const Configuration &configuration, const Account &account,
                                          const ModelName &model, const std::string &key, LastReason &reason);

/**
 * @brief Whether work for the account may be sent to the version at this moment; checked before every dispatch.
 * @param pinnedSession whether the work belongs to a session that began on the version
 * @return empty if it may; ModelNotAllowed if the account may not use the version; if the version does not accept such
 * work, SessionVersionWithdrawn for a pinned session and NoCapacity otherwise
 */
std::optional<Failure> versionRefusal(const Configuration &configuration, const AccountId &account,
                                      const ModelVersion &version, bool pinnedSession);

} // namespace parsleyvane
