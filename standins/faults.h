/**
 * @file
 * @brief Faults that a request switches on and off.
 */
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace parsleyvane::standins {

using Json = nlohmann::json;

/// @brief Pointer to the setting that a fault changes.
using FaultField = std::variant<bool *, std::int64_t *, double *>;

/**
 * @brief Sets the faults named in `body`.
 * @return false, with no fault changed, when `body` names an unknown one
 */
bool applyFaults(const Json &body, const std::map<std::string, FaultField> &fields);

} // namespace parsleyvane::standins
