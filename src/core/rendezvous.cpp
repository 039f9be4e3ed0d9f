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

double unitInterval(std::uint64_t hash) noexcept
{
    // A double holds 53 bits exactly; the conversion of more bits may round up.
    constexpr unsigned exactBits = 53;
    constexpr unsigned hashBits = 64;
    constexpr double range = static_cast<double>(std::uint64_t{1} << exactBits);
    return static_cast<double>(hash >> (hashBits - exactBits)) / range;
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
