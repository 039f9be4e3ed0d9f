#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace parsleyvane {

namespace {

struct WeightedName
{
    std::uint64_t weight;
    const std::string *name;
};

bool hasHigherWeight(const WeightedName &a, const WeightedName &b)
{
    return a.weight != b.weight ? a.weight > b.weight : *a.name < *b.name;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view purpose, std::string_view candidate, std::uint64_t salt) noexcept
{
    const std::uint64_t seed = XXH64(purpose.data(), purpose.size(), salt);
    return XXH64(candidate.data(), candidate.size(), seed);
}

std::vector<std::string> chooseByRendezvous(std::string_view purpose, const std::vector<std::string> &candidates,
                                            std::size_t count, std::uint64_t salt)
{
    std::vector<WeightedName> weighted;
    weighted.reserve(candidates.size());
    for (const std::string &name : candidates) {
        weighted.push_back({rendezvousWeight(purpose, name, salt), &name});
    }
    const auto chosen = static_cast<std::ptrdiff_t>(std::min(count, weighted.size()));
    std::partial_sort(weighted.begin(), weighted.begin() + chosen, weighted.end(), hasHigherWeight);
    std::vector<std::string> names;
    for (auto entry = weighted.begin(); entry != weighted.begin() + chosen; ++entry) {
        names.push_back(*entry->name);
    }
    return names;
}

} // namespace parsleyvane
