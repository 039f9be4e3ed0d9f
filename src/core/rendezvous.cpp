#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace parsleyvane {

namespace {

struct Weighed
{
    std::uint64_t weight;
    const std::string *name;
};

bool heavier(const Weighed &a, const Weighed &b)
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
    std::vector<Weighed> weighed;
    weighed.reserve(candidates.size());
    for (const std::string &name : candidates) {
        weighed.push_back({rendezvousWeight(purpose, name, salt), &name});
    }
    const auto chosen = static_cast<std::ptrdiff_t>(std::min(count, weighed.size()));
    std::partial_sort(weighed.begin(), weighed.begin() + chosen, weighed.end(), heavier);
    std::vector<std::string> names;
    for (auto row = weighed.begin(); row != weighed.begin() + chosen; ++row) {
        names.push_back(*row->name);
    }
    return names;
}

} // namespace parsleyvane
