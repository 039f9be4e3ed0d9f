/**
 * @file
 * @brief Lists what differs between two configurations.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <string>
#include <vector>

namespace parsleyvane {

/// @brief One member that differs.
struct ConfigurationChange
{
    /// @brief Where, such as "accounts[lumara-agents].tasks[fault-triage].maxWaitMs"; entries by identifier.
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
 * Entries are matched by their identifiers, so that order does not matter there. The revision and the change note are
 * left out, and secrets of session keys are given as their hashes.
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

/// @brief One line for people: "PLACE: BEFORE -> AFTER", "PLACE: added ..." or "PLACE: removed ...".
std::string describe(const ConfigurationChange &change);

} // namespace parsleyvane
