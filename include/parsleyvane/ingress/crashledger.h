/**
 * @file
 * @brief Detects requests that crash every upstream that runs them, from the reports of all instances.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "parsleyvane/quarantine/quarantine.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief The upstream processes that a request is suspected to have crashed.
struct CrashReport
{
    Fingerprint print;
    /// Upstream id and process start, so that crashes of two processes of one upstream count twice.
    std::set<std::string> sites;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// @brief Tunable values of CrashLedger.
struct CrashLimits
{
    std::size_t crashesToBlock = 3; ///< number of sites from which on a request is blocked
    Milliseconds retention{120000}; ///< after the request's latest crash
    std::size_t maxFingerprints = 2048; ///< when full, a crash observed here replaces the oldest; merge() adds none
    std::size_t maxReported = 40; ///< maximum number of fingerprints in report(), which keeps the row small
};

/**
 * @brief Counts, for each request, the upstream processes whose connection broke before any answer.
 *
 * An answer to the request clears its count. Complexity: logarithmic in the fingerprints unless said otherwise.
 */
class CrashLedger
{
public:
    // constructors
    explicit CrashLedger(CrashLimits limits = {});

    // modifiers
    /// @brief Records that the connection broke before any answer. @param site as in CrashReport::sites
    void onLost(const Fingerprint &print, const std::string &site, TimePoint now);
    /// @brief Clears the request: an upstream has answered it.
    void onAnswered(const Fingerprint &print);
    /// @brief Adds the reports of another instance. Complexity: linear in the reports.
    void merge(const std::vector<CrashReport> &reports, TimePoint now);
    /// @brief Removes requests whose retention has passed. Complexity: linear.
    void expire(TimePoint now);

    // observers
    /// @brief Whether the request has crashed too many upstream processes to be sent again.
    bool isBlocked(const Fingerprint &print) const;
    /// @brief The crashes that this instance observed itself, newest first. Complexity: n log n.
    std::vector<CrashReport> report() const;

private:
    struct Suspect
    {
        std::set<std::string> ownSites;
        std::set<std::string> sites; ///< observed by any instance
        TimePoint lastCrashAt{};
    };

    CrashLimits limits;
    std::map<Fingerprint, Suspect> suspects;
};

} // namespace parsleyvane
