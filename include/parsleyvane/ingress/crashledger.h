/**
 * @file
 * @brief Finds requests that crash each upstream which begins to run them, over all instances.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "parsleyvane/quarantine/quarantine.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief The upstreams that a request seems to have crashed.
struct CrashReport
{
    Fingerprint print;
    std::set<std::string> sites; ///< upstream and start, so that two crashes of one upstream count twice

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// @brief Tunable values of CrashLedger.
struct CrashLimits
{
    std::size_t crashes = 3; ///< sites at which a request is stopped
    Milliseconds life{120000}; ///< until a report is forgotten
    std::size_t capacity = 2048; ///< fingerprints kept
    std::size_t reported = 40; ///< newest fingerprints told to the others, so that a row stays small
};

/**
 * @brief Counts for each request where its connection broke before any answer.
 *
 * A request that was answered since is cleared. Complexity: logarithmic in the fingerprints unless said otherwise.
 */
class CrashLedger
{
public:
    // constructors
    explicit CrashLedger(CrashLimits limits = {});

    // modifiers
    /// @brief The connection broke before any answer.
    void onLost(const Fingerprint &print, const std::string &site, TimePoint now);
    /// @brief The request was answered: it crashes nothing.
    void onAnswered(const Fingerprint &print);
    /// @brief Takes in what another instance reports. Complexity: linear in the reports.
    void merge(const std::vector<CrashReport> &reports, TimePoint now);
    /// @brief Forgets old reports. Complexity: linear.
    void expire(TimePoint now);

    // observers
    /// @brief Whether the request may not be sent any more.
    bool isBlocked(const Fingerprint &print) const;
    /// @brief What this instance saw itself, newest first. Complexity: n log n.
    std::vector<CrashReport> report() const;

private:
    struct Suspect
    {
        std::set<std::string> seenHere;
        std::set<std::string> sites; ///< over all instances
        TimePoint at{};
    };

    CrashLimits limits;
    std::map<Fingerprint, Suspect> suspects;
};

} // namespace parsleyvane
