#include "prefixcache.h"

#include "answer.h"
#include "parsleyvane/core/digest.h"

#include <algorithm>

namespace parsleyvane::standins {

namespace {

constexpr std::size_t cachedPrefixBytes = 256;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : capacity(capacity)
{
}

CacheUse PrefixCache::use(const std::string &prompt)
{
    const std::string start = prompt.substr(0, cachedPrefixBytes);
    const std::string prefix = sha256Hex(start);
    CacheUse result;
    const auto found = std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
    if (found != this->prefixes.end()) {
        this->prefixes.erase(found);
        result.cachedTokens = countWords(start);
    } else {
        result.changes.push_back({prefix, true});
    }
    this->prefixes.push_back(prefix);
    while (this->prefixes.size() > this->capacity) {
        result.changes.push_back({this->prefixes.front(), false});
        this->prefixes.pop_front();
    }
    return result;
}

} // namespace parsleyvane::standins
