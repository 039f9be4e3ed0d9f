/**
 * @file
 * @brief Checks a configuration for invalid and inconsistent values.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <string>
#include <vector>

namespace parsleyvane {

/// @brief An invalid or inconsistent value in a configuration.
struct ConfigurationProblem
{
    ErrorId id = ErrorId::InvalidConfiguration;
    /// @brief Path of the value, such as "accounts[0].tasks[2].chain".
    std::string place;
    std::string message;

    friend bool operator==(const ConfigurationProblem &, const ConfigurationProblem &) = default;
};

/**
 * @brief Checks a configuration as a whole.
 * @return every problem, by list: accounts, versions, upstreams, session keys, roll-outs; empty when the configuration
 * is valid
 *
 * Complexity: linear in the document, times the number of versions and upstreams.
 *
 * @code
 * for (const ConfigurationProblem &problem : validate(configuration)) {
 *     std::cerr << describe(problem) << '\n';
 * }
 * @endcode
 */
std::vector<ConfigurationProblem> validate(const Configuration &configuration);

/// @brief Formats a problem as one line for operators: "602 accounts[0].keyHashes[1]: ...".
std::string describe(const ConfigurationProblem &problem);

} // namespace parsleyvane
