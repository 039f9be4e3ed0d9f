/**
 * @file
 * @brief Chooses the version of a model that new work runs on.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <optional>
#include <string>

namespace parsleyvane {

/**
 * @brief Chooses among the versions that the account allows and that take new work, by their weights.
 *
 * The same key gets the same version as long as the weights stay; raising a version's weight moves only work towards
 * it. Complexity: linear in the versions.
 * @param key the session's or request's identifier
 * @param reason ModelNotAllowed when the account allows no version of the model, NoCapacity when none takes new work
 */
std::optional<ModelVersion> chooseVersion(const Configuration &configuration, const Account &account,
                                          const ModelName &model, const std::string &key, LastReason &reason);

/**
 * @brief Whether work for the account may be sent to the version at this moment; checked before every dispatch.
 * @param pinnedSession whether a session began on the version
 * @return ModelNotAllowed, or SessionVersionWithdrawn or NoCapacity when the version takes no such work
 */
std::optional<Failure> versionRefusal(const Configuration &configuration, const AccountId &account,
                                      const ModelVersion &version, bool pinnedSession);

} // namespace parsleyvane
