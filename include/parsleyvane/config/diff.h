/**
 * @file
 * @brief Lists what differs between two configurations.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <string>
#include <vector>

namespace parsleyvane {

/// @brief A difference in one member of two configurations.
struct ConfigurationChange
{
    /// @brief Path of the member, with list entries by identifier, such as
    /// "accounts[lumara-agents].tasks[fault-triage].maxWaitMs".
    std::string place;
    /// @brief Its JSON text before; empty when it was added.
    std::string before;
    /// @brief Its JSON text after; empty when it was removed.
    std::string after;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

/**
 * @brief Compares two configurations member by member.
 *
 * List entries are matched by identifier, so their order is ignored. The revision and the change note are not compared,
 * and the secrets of session keys appear only as hashes.
 *
 * Complexity: linear in both documents, times the logarithm of their longest list.
 *
 * @code
 * for (const ConfigurationChange &change : diff(before, after)) {
 *     std::cout << describe(change) << '\n';
 * }
 * @endcode
 */
std::vector<ConfigurationChange> diff(const Configuration &before, const Configuration &after);

/// @brief Formats a change as one line for operators: "PLACE: BEFORE -> AFTER", "PLACE: added AFTER" or
/// "PLACE: removed BEFORE".
std::string describe(const ConfigurationChange &change);

} // namespace parsleyvane
