/**
 * @file
 * @brief What one instance tells the others through a row of its own.
 */
#pragma once

#include "parsleyvane/ingress/crashledger.h"
#include "parsleyvane/ingress/versionshift.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Evidence of one instance. Its row is written only when there is any.
struct FleetReport
{
    std::vector<CrashReport> crashes;
    std::vector<VersionReport> versions; ///< of roll-outs whose new version looks worse

    friend bool operator==(const FleetReport &, const FleetReport &) = default;
};

/// @brief The report as JSON text. Complexity: linear.
std::string serialise(const FleetReport &report);
/// @brief Reads what serialise() wrote. @param reason BadPeerData when it makes no sense
std::optional<FleetReport> parseFleetReport(const std::string &text, LastReason &reason);

} // namespace parsleyvane
