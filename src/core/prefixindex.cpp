#include "parsleyvane/routing/prefixindex.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Entries from this age on are ignored.
constexpr Milliseconds maxEntryAge{300000};
/// Maximum number of prefixes; about 4 MiB.
constexpr std::size_t maxPrefixes = 16384;

TimePoint latestUse(const std::map<UpstreamId, TimePoint> &replicas)
{
    TimePoint latest{};
    for (const auto &[engine, at] : replicas) {
        latest = std::max(latest, at);
    }
    return latest;
}

} // namespace

void PrefixIndex::onCached(const std::string &prefix, const UpstreamId &engine, TimePoint now)
{
    if (this->entries.size() >= maxPrefixes && !this->entries.contains(prefix)) {
        this->evictOldest();
    }
    this->entries[prefix][engine] = now;
}

void PrefixIndex::onEvicted(const std::string &prefix, const UpstreamId &engine)
{
    const auto found = this->entries.find(prefix);
    if (found == this->entries.end()) {
        return;
    }
    found->second.erase(engine);
    if (found->second.empty()) {
        this->entries.erase(found);
    }
}

std::set<UpstreamId> PrefixIndex::replicas(const std::string &prefix, TimePoint now) const
{
    std::set<UpstreamId> engines;
    const auto found = this->entries.find(prefix);
    if (found == this->entries.end()) {
        return engines;
    }
    for (const auto &[engine, at] : found->second) {
        if (now - at < maxEntryAge) {
            engines.insert(engine);
        }
    }
    return engines;
}

void PrefixIndex::evictOldest()
{
    // Removing a quarter of the entries at once amortises the linear pass over many insertions.
    std::vector<TimePoint> latestUses;
    latestUses.reserve(this->entries.size());
    for (const auto &[prefix, replicas] : this->entries) {
        latestUses.push_back(latestUse(replicas));
    }
    const auto quarter = latestUses.begin() + static_cast<std::ptrdiff_t>(latestUses.size() / 4);
    std::nth_element(latestUses.begin(), quarter, latestUses.end());
    std::erase_if(this->entries, [&](const auto &entry) { return latestUse(entry.second) <= *quarter; });
}

} // namespace parsleyvane
