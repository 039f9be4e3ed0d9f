#include "parsleyvane/ingress/upstreamchoice.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>

namespace parsleyvane {

namespace {

struct Candidate
{
    const RegisteredUpstream *upstream;
    bool tried;
    bool avoided;
    double work; ///< of this instance, by slot
    std::uint64_t weight = 0;
};

std::vector<Candidate> candidates(const UpstreamList &list, const UpstreamQuestion &question, TimePoint now,
                                  const ChoiceLimits &limits)
{
    std::vector<Candidate> found;
    list.forEachUsable(question.service, [&](const RegisteredUpstream &upstream) {
        if (question.versionAllowed && !question.versionAllowed(upstream.entry.version)) {
            return;
        }
        const bool avoided = now < upstream.avoidUntil || upstream.failureRate > limits.sickRate;
        const double slots = std::max(1U, upstream.entry.slots);
        found.push_back({.upstream = &upstream,
                         .tried = question.tried.contains(upstream.entry.id),
                         .avoided = avoided,
                         .work = upstream.running / slots});
    });
    return found;
}

/// Keeps the candidates of the best tier: untried before tried, sound before avoided.
void keepBestTier(std::vector<Candidate> &found)
{
    const auto tier = [](const Candidate &candidate) {
        return (candidate.tried ? 2 : 0) + (candidate.avoided ? 1 : 0);
    };
    int best = 4;
    for (const Candidate &candidate : found) {
        best = std::min(best, tier(candidate));
    }
    std::erase_if(found, [&](const Candidate &candidate) { return tier(candidate) != best; });
}

const RegisteredUpstream *byAffinity(std::vector<Candidate> &found, const std::string &affinity,
                                     const ChoiceLimits &limits)
{
    double total = 0;
    for (Candidate &candidate : found) {
        candidate.weight = rendezvousWeight(affinity, candidate.upstream->entry.id.str());
        total += candidate.upstream->running;
    }
    std::sort(found.begin(), found.end(), [](const Candidate &a, const Candidate &b) { return a.weight > b.weight; });
    const double bound = limits.loadFactor * total / static_cast<double>(found.size()) + limits.loadSlack;
    for (const Candidate &candidate : found) {
        if (candidate.upstream->running <= bound) {
            return candidate.upstream;
        }
    }
    return found.front().upstream;
}

const RegisteredUpstream *byWork(const std::vector<Candidate> &found, const ZoneId &zone, std::mt19937_64 &random,
                                 const ChoiceLimits &limits)
{
    // A small draw keeps instances from choosing the same one of equals.
    std::uniform_real_distribution<double> draw(0, 0.05);
    const RegisteredUpstream *best = nullptr;
    double least = 0;
    for (const Candidate &candidate : found) {
        const bool far = candidate.upstream->entry.zone != zone;
        const double cost
            = candidate.work + (far ? limits.zoneCost : 0) + candidate.upstream->failureRate + draw(random);
        if (best == nullptr || cost < least) {
            best = candidate.upstream;
            least = cost;
        }
    }
    return best;
}

} // namespace

std::optional<UpstreamEntry> chooseUpstream(const UpstreamList &list, const UpstreamQuestion &question, TimePoint now,
                                            std::mt19937_64 &random, const ChoiceLimits &limits)
{
    std::vector<Candidate> found = candidates(list, question, now, limits);
    if (found.empty()) {
        return std::nullopt;
    }
    keepBestTier(found);
    const RegisteredUpstream *chosen = question.affinity.empty() ? byWork(found, question.zone, random, limits)
                                                                 : byAffinity(found, question.affinity, limits);
    return chosen->entry;
}

} // namespace parsleyvane
