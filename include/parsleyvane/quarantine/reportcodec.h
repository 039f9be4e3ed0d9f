/**
 * @file
 * @brief Reports of the quarantine as text, for the digests that instances exchange.
 */
#pragma once

#include "parsleyvane/quarantine/quarantine.h"

#include <optional>
#include <string>

namespace parsleyvane {

/// @brief A report as JSON text. Complexity: linear in its crash times.
std::string serialise(const SuspectReport &report);
/// @brief Reads what serialise() wrote. @param reason BadPeerData when it makes no sense
std::optional<SuspectReport> parseSuspectReport(const std::string &text, LastReason &reason);

} // namespace parsleyvane
