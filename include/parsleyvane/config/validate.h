/**
 * @file
 * @brief Finds the contradictions inside a configuration.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Something in a configuration that cannot be acted on.
struct ConfigurationProblem
{
    ErrorId id = ErrorId::InvalidConfiguration;
    /// @brief Where it stands, such as "accounts[0].tasks[2].chain".
    std::string place;
    std::string message;

    friend bool operator==(const ConfigurationProblem &, const ConfigurationProblem &) = default;
};

/**
 * @brief Checks a configuration as a whole.
 * @return every problem, in the order of the document; empty when it can be put in force
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

/// @brief One line for people: "602 accounts[0].keyHashes[1]: ...".
std::string describe(const ConfigurationProblem &problem);

} // namespace parsleyvane
