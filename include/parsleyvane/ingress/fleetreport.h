/**
 * @file
 * @brief The evidence that an instance publishes to the others in a row of its own.
 */
#pragma once

#include "parsleyvane/ingress/crashledger.h"
#include "parsleyvane/ingress/upstreamlimiter.h"
#include "parsleyvane/ingress/versionshift.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Evidence of one instance. Its row is written only when there is evidence.
struct FleetReport
{
    CrashEvidence crashes;
    std::vector<VersionReport> versions; ///< for roll-outs with evidence against the new version
    LimitReport limits;

    friend bool operator==(const FleetReport &, const FleetReport &) = default;
};

/// @brief Formats the report as JSON. Complexity: linear.
std::string serialise(const FleetReport &report);
/// @brief Parses the output of serialise(). @param reason BadPeerData when the text is malformed
std::optional<FleetReport> parseFleetReport(const std::string &text, LastReason &reason);

/// @brief Evidence on new versions that a reader gathered from the instances that ask it, by instance.
using GatheredReports = std::map<InstanceId, std::vector<VersionReport>>;

/// @brief The name of the row in which the instance publishes what it gathered.
std::string gatheredRowName(const InstanceId &reader);
/// @brief Whether the row with this key holds gathered evidence.
bool isGatheredRow(const std::string &key);
/// @brief Formats gathered evidence as JSON; instances without any are left out. Complexity: linear.
std::string serialise(const GatheredReports &reports);
/// @brief Parses the output of serialise(). @param reason BadPeerData when the text is malformed
std::optional<GatheredReports> parseGathered(const std::string &text, LastReason &reason);

} // namespace parsleyvane
