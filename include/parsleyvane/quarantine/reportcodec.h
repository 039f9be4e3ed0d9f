/**
 * @file
 * @brief JSON encoding of quarantine reports, for the digests that instances exchange.
 */
#pragma once

#include "parsleyvane/quarantine/quarantine.h"

#include <optional>
#include <string>

namespace parsleyvane {

/// @brief Encodes a report as JSON text. Complexity: linear in its crash times.
std::string serialise(const SuspectReport &report);
/// @brief Parses the output of serialise(). @param reason BadPeerData if the text is malformed
std::optional<SuspectReport> parseSuspectReport(const std::string &text, LastReason &reason);

} // namespace parsleyvane
