#include "parsleyvane/ingress/crashledger.h"

#include <algorithm>

namespace parsleyvane {

CrashLedger::CrashLedger(CrashLimits limits)
    : limits(limits)
{
}

void CrashLedger::onLost(const Fingerprint &print, const std::string &site, TimePoint now)
{
    if (this->suspects.size() >= this->limits.capacity && !this->suspects.contains(print)) {
        const auto oldest = std::min_element(this->suspects.begin(), this->suspects.end(),
                                             [](const auto &a, const auto &b) { return a.second.at < b.second.at; });
        this->suspects.erase(oldest);
    }
    Suspect &suspect = this->suspects[print];
    suspect.seenHere.insert(site);
    suspect.sites.insert(site);
    suspect.at = now;
}

void CrashLedger::onAnswered(const Fingerprint &print)
{
    this->suspects.erase(print);
}

void CrashLedger::merge(const std::vector<CrashReport> &reports, TimePoint now)
{
    for (const CrashReport &report : reports) {
        if (this->suspects.size() >= this->limits.capacity) {
            return;
        }
        Suspect &suspect = this->suspects[report.print];
        for (const std::string &site : report.sites) {
            if (suspect.sites.insert(site).second) {
                suspect.at = now;
            }
        }
    }
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(this->suspects, [&](const auto &entry) { return now - entry.second.at > this->limits.life; });
}

bool CrashLedger::isBlocked(const Fingerprint &print) const
{
    const auto found = this->suspects.find(print);
    return found != this->suspects.end() && found->second.sites.size() >= this->limits.crashes;
}

std::vector<CrashReport> CrashLedger::report() const
{
    std::vector<std::pair<TimePoint, CrashReport>> own;
    for (const auto &[print, suspect] : this->suspects) {
        if (!suspect.seenHere.empty()) {
            own.push_back({suspect.at, {print, suspect.seenHere}});
        }
    }
    std::sort(own.begin(), own.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<CrashReport> reports;
    for (auto &[at, report] : own) {
        if (reports.size() >= this->limits.reported) {
            break;
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace parsleyvane
