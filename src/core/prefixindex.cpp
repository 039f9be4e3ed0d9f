#include "parsleyvane/routing/prefixindex.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Entries older than this are not believed.
constexpr Milliseconds entryLife{300000};
/// Prefixes kept; about 4 MiB.
constexpr std::size_t maxPrefixes = 16384;

TimePoint newest(const std::map<UpstreamId, TimePoint> &holders)
{
    TimePoint latest{};
    for (const auto &[engine, at] : holders) {
        latest = std::max(latest, at);
    }
    return latest;
}

} // namespace

void PrefixIndex::onKept(const std::string &prefix, const UpstreamId &engine, TimePoint now)
{
    if (this->entries.size() >= maxPrefixes && !this->entries.contains(prefix)) {
        this->dropOldest();
    }
    this->entries[prefix][engine] = now;
}

void PrefixIndex::onDropped(const std::string &prefix, const UpstreamId &engine)
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

std::set<UpstreamId> PrefixIndex::holders(const std::string &prefix, TimePoint now) const
{
    std::set<UpstreamId> engines;
    const auto found = this->entries.find(prefix);
    if (found == this->entries.end()) {
        return engines;
    }
    for (const auto &[engine, at] : found->second) {
        if (now - at < entryLife) {
            engines.insert(engine);
        }
    }
    return engines;
}

void PrefixIndex::dropOldest()
{
    // One pass for many insertions: a quarter goes at once.
    std::vector<TimePoint> ages;
    ages.reserve(this->entries.size());
    for (const auto &[prefix, holders] : this->entries) {
        ages.push_back(newest(holders));
    }
    const auto quarter = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 4);
    std::nth_element(ages.begin(), quarter, ages.end());
    std::erase_if(this->entries, [&](const auto &entry) { return newest(entry.second) <= *quarter; });
}

} // namespace parsleyvane
