#include "parsleyvane/ingress/prefixdemand.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace parsleyvane {

namespace {

constexpr std::size_t evictedFraction = 4; ///< a quarter
constexpr double maxReplicas = 1000000; ///< keeps the conversion to an integer defined
constexpr double msPerSecond = 1000;

std::uint64_t keyOf(std::string_view prefix)
{
    return rendezvousWeight("prefix demand", prefix);
}

std::uint64_t sessionOf(const PrefixRequest &request)
{
    return request.session.empty() ? 0 : rendezvousWeight("session", request.session);
}

} // namespace

PrefixDemand::PrefixDemand(PrefixDemandLimits limits)
    : limits(limits)
{
}

void PrefixDemand::setInstances(std::size_t number)
{
    this->instances = static_cast<double>(std::max<std::size_t>(1, number));
}

void PrefixDemand::onRequest(const PrefixRequest &request, TimePoint now)
{
    const std::uint64_t key = keyOf(request.prefix);
    if (this->counts.size() >= this->limits.maxPrefixes && !this->counts.contains(key)) {
        this->evict(now);
    }
    Count &count = this->counts[key];
    count = this->decayed(count, now);
    const std::uint64_t session = sessionOf(request);
    if (session == 0 || session != count.session) {
        count.requests += std::exchange(count.inARow, 0);
        count.session = session;
    }
    ++(session == 0 ? count.requests : count.inARow);
}

std::size_t PrefixDemand::replicas(const PrefixRequest &request, double ratePerReplica, TimePoint now) const
{
    const double perReplica = ratePerReplica > 0 ? ratePerReplica : defaultReplicaRate;
    return 1 + static_cast<std::size_t>(std::min(maxReplicas, this->rate(request, now) / perReplica));
}

double PrefixDemand::rate(const PrefixRequest &request, TimePoint now) const
{
    const auto found = this->counts.find(keyOf(request.prefix));
    if (found == this->counts.end()) {
        return 0;
    }
    const Count count = this->decayed(found->second, now);
    const bool isSameSession = count.session != 0 && count.session == sessionOf(request);
    const double seconds = static_cast<double>(this->limits.decayTime.count()) / msPerSecond;
    return (count.requests * this->instances + count.inARow * (isSameSession ? 1 : this->instances)) / seconds;
}

PrefixDemand::Count PrefixDemand::decayed(const Count &count, TimePoint now) const
{
    const auto elapsed = static_cast<double>(std::max(Milliseconds(0), now - count.at).count());
    const double factor = std::exp(-elapsed / static_cast<double>(this->limits.decayTime.count()));
    return {.requests = count.requests * factor,
            .inARow = count.inARow * factor,
            .session = count.session,
            .at = std::max(count.at, now)};
}

void PrefixDemand::evict(TimePoint now)
{
    const auto requestsOf = [&](const Count &count) {
        const Count decayed = this->decayed(count, now);
        return decayed.requests + decayed.inARow;
    };
    std::vector<double> requests;
    requests.reserve(this->counts.size());
    for (const auto &[key, count] : this->counts) {
        requests.push_back(requestsOf(count));
    }
    const std::size_t evicted = std::max<std::size_t>(1, requests.size() / evictedFraction);
    const auto last = requests.begin() + static_cast<std::ptrdiff_t>(evicted - 1);
    std::nth_element(requests.begin(), last, requests.end());
    // Entries with equal counts may be more than the quarter.
    std::size_t left = evicted;
    std::erase_if(this->counts,
                  [&](const auto &entry) { return left > 0 && requestsOf(entry.second) <= *last && left-- > 0; });
}

} // namespace parsleyvane
