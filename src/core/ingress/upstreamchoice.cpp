#include "parsleyvane/ingress/upstreamchoice.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>

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

std::vector<Candidate> candidates(const UpstreamList &list, const UpstreamRequirements &question, TimePoint now,
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

/// Keeps the holders of a prefix that do not have too much work.
void keepHolders(std::vector<Candidate> &found, const UpstreamRequirements &question, const ChoiceLimits &limits)
{
    double total = 0;
    for (Candidate &candidate : found) {
        candidate.weight = rendezvousWeight(question.affinity, candidate.upstream->entry.id.str());
        total += candidate.upstream->running;
    }
    const auto all = static_cast<double>(found.size());
    const double bound = limits.loadFactor * total / all + limits.loadSlack;
    const double shortness
        = std::max(1.0, limits.longPrefix / std::max<double>(1, static_cast<double>(question.affinityTokens)));
    const auto holders = static_cast<std::size_t>(std::min(all, std::ceil((1 + all / limits.holderShare) * shortness)));
    std::sort(found.begin(), found.end(), [](const Candidate &a, const Candidate &b) { return a.weight > b.weight; });
    std::vector<Candidate> kept;
    for (const Candidate &candidate : found) {
        if (kept.size() < holders && candidate.upstream->running <= bound) {
            kept.push_back(candidate);
        }
    }
    if (!kept.empty()) {
        found = std::move(kept);
    }
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

std::optional<UpstreamEntry> chooseUpstream(const UpstreamList &list, const UpstreamRequirements &question,
                                            TimePoint now, std::mt19937_64 &random, const ChoiceLimits &limits)
{
    std::vector<Candidate> found = candidates(list, question, now, limits);
    if (found.empty()) {
        return std::nullopt;
    }
    keepBestTier(found);
    if (!question.affinity.empty()) {
        keepHolders(found, question, limits);
    }
    return byWork(found, question.zone, random, limits)->entry;
}

} // namespace parsleyvane
