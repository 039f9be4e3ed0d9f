#include "parsleyvane/ingress/crashledger.h"

#include <algorithm>

namespace parsleyvane {

CrashLedger::CrashLedger(CrashLimits limits)
    : limits(limits)
{
}

void CrashLedger::onLost(const Fingerprint &print, const std::string &site, TimePoint now)
{
    if (this->suspects.size() >= this->limits.maxFingerprints && !this->suspects.contains(print)) {
        const auto oldest
            = std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto &a, const auto &b) {
                  return a.second.lastCrashAt < b.second.lastCrashAt;
              });
        this->suspects.erase(oldest);
    }
    Suspect &suspect = this->suspects[print];
    suspect.ownSites.insert(site);
    suspect.sites.insert(site);
    suspect.lastCrashAt = now;
}

void CrashLedger::onAnswered(const Fingerprint &print)
{
    this->suspects.erase(print);
}

void CrashLedger::merge(const std::vector<CrashReport> &reports, TimePoint now)
{
    for (const CrashReport &report : reports) {
        if (this->suspects.size() >= this->limits.maxFingerprints) {
            return;
        }
        Suspect &suspect = this->suspects[report.print];
        for (const std::string &site : report.sites) {
            if (suspect.sites.insert(site).second) {
                suspect.lastCrashAt = now;
            }
        }
    }
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(this->suspects,
                  [&](const auto &entry) { return now - entry.second.lastCrashAt > this->limits.retention; });
}

bool CrashLedger::isBlocked(const Fingerprint &print) const
{
    const auto found = this->suspects.find(print);
    return found != this->suspects.end() && found->second.sites.size() >= this->limits.crashesToBlock;
}

std::vector<CrashReport> CrashLedger::report() const
{
    std::vector<std::pair<TimePoint, CrashReport>> own;
    for (const auto &[print, suspect] : this->suspects) {
        if (!suspect.ownSites.empty()) {
            own.push_back({suspect.lastCrashAt, {print, suspect.ownSites}});
        }
    }
    std::sort(own.begin(), own.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<CrashReport> reports;
    for (auto &[at, report] : own) {
        if (reports.size() >= this->limits.maxReported) {
            break;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace parsleyvane
