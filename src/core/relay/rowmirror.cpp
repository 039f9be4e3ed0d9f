#include "parsleyvane/relay/rowmirror.h"

#include <algorithm>

namespace parsleyvane {

RowMirror::RowMirror(RowMirrorLimits limits)
    : limits(limits)
{
}

void RowMirror::replace(const std::vector<TableRow> &newRows, std::uint64_t newVersion)
{
    this->rows.clear();
    this->removed.clear();
    for (const TableRow &row : newRows) {
        this->keep(row);
    }
    this->base = newVersion;
    this->version = newVersion;
    this->latestChange = newVersion;
}

void RowMirror::apply(const std::vector<TableRow> &changed, const std::vector<std::string> &removedKeys,
                      std::uint64_t newVersion)
{
    for (const TableRow &row : changed) {
        this->keep(row);
        this->removed.erase(row.key);
    }
    for (const std::string &key : removedKeys) {
        this->rows.erase(key);
        this->removed[key] = newVersion;
    }
    if (this->removed.size() > this->limits.maxRemoved) {
        this->removed.clear();
        this->base = newVersion;
    }
    this->version = std::max(this->version, newVersion);
    if (!changed.empty() || !removedKeys.empty()) {
        this->latestChange = this->version;
    }
}

void RowMirror::keep(const TableRow &row)
{
    const bool isTooLong = row.value.size() > this->limits.maxBytes;
    this->rows[row.key] = {{row.key, row.version, isTooLong ? std::string() : row.value}, row.value.size()};
}

RelayedTable RowMirror::since(std::uint64_t known) const
{
    RelayedTable relayed{.since = known, .version = this->version};
    if (known >= this->latestChange) {
        return relayed;
    }
    relayed.isFull = known < this->base;
    std::size_t bytes = 0;
    bool hasLeftOut = false;
    for (const auto &[key, kept] : this->rows) {
        if (!relayed.isFull && kept.row.version <= known) {
            continue;
        }
        bytes += key.size() + kept.bytes;
        hasLeftOut = hasLeftOut || kept.bytes > this->limits.maxBytes;
        relayed.rows.push_back(kept.row);
    }
    for (const auto &[key, goneAt] : this->removed) {
        if (!relayed.isFull && goneAt > known) {
            bytes += key.size();
            relayed.removed.push_back(key);
        }
    }
    if (hasLeftOut || bytes > (relayed.isFull ? this->limits.maxFullBytes : this->limits.maxBytes)) {
        return {.since = known, .version = this->version, .isLeftOut = true};
    }
    return relayed;
}

} // namespace parsleyvane
