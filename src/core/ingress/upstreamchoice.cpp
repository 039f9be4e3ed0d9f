#include "parsleyvane/ingress/upstreamchoice.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace parsleyvane {

namespace {

struct Candidate
{
    const RegisteredUpstream *upstream;
    bool tried;
    bool avoided;
    bool preferred;
    double work = 0; ///< cost of its load, for the candidates that are compared
    std::uint64_t weight = 0;
    double score = 0; ///< rendezvous weight, scaled by the upstream's weight among the replicas
};

std::vector<Candidate> candidates(const UpstreamList &list, const UpstreamRequirements &question, TimePoint now,
                                  const ChoiceLimits &limits)
{
    std::vector<Candidate> found;
    list.forEachUsable(question.service, [&](const RegisteredUpstream &upstream) {
        const bool isVersionAllowed = !question.versionAllowed || question.versionAllowed(upstream.entry.version);
        if (!isVersionAllowed || (question.excluded && isSameProcess(upstream.entry, *question.excluded))) {
            return;
        }
        if (now < upstream.notBefore) {
            return;
        }
        if (question.limitsPermit && !question.limitsPermit(upstream)) {
            return;
        }
        const bool avoided = now < upstream.avoidUntil || upstream.failureRate > limits.unhealthyFailureRate;
        if (avoided && question.onlyHealthy) {
            return;
        }
        found.push_back({.upstream = &upstream,
                         .tried = question.tried.contains(upstream.entry.id),
                         .avoided = avoided,
                         .preferred = question.prefers && question.prefers(upstream)});
    });
    return found;
}

void fillWork(std::vector<Candidate> &found, const UpstreamRequirements &question)
{
    for (Candidate &candidate : found) {
        const double slots = std::max(1U, candidate.upstream->entry.slots);
        candidate.work = question.load ? question.load(*candidate.upstream) : candidate.upstream->running / slots;
    }
}

/// Keeps the candidates of the best tier: untried before tried, then healthy before avoided, then the preferred ones.
void keepBestTier(std::vector<Candidate> &found)
{
    const auto tier = [](const Candidate &candidate) {
        return (candidate.tried ? 4 : 0) + (candidate.avoided ? 2 : 0) + (candidate.preferred ? 0 : 1);
    };
    int best = 8;
    for (const Candidate &candidate : found) {
        best = std::min(best, tier(candidate));
    }
    std::erase_if(found, [&](const Candidate &candidate) { return tier(candidate) != best; });
}

/// Attempts in flight above which a replica is overloaded.
double maxRunningOf(const std::vector<Candidate> &found, const ChoiceLimits &limits)
{
    double total = 0;
    for (const Candidate &candidate : found) {
        total += candidate.upstream->running;
    }
    return limits.loadFactor * total / static_cast<double>(found.size()) + limits.loadSlack;
}

/// Keeps the replicas of a prefix that are not overloaded; keeps all candidates when every replica is.
void keepReplicas(std::vector<Candidate> &found, const UpstreamRequirements &question, const ChoiceLimits &limits)
{
    for (Candidate &candidate : found) {
        candidate.weight = rendezvousWeight(question.affinity, candidate.upstream->entry.id.str());
    }
    const auto candidateCount = static_cast<double>(found.size());
    const double maxRunning = maxRunningOf(found, limits);
    const double replicaFactor
        = std::max(1.0, limits.longPrefixTokens / std::max<double>(1, static_cast<double>(question.affinityTokens)));
    const auto replicasByLength = static_cast<std::size_t>(
        std::min(candidateCount, std::ceil((1 + candidateCount / limits.upstreamsPerReplica) * replicaFactor)));
    std::sort(found.begin(), found.end(), [](const Candidate &a, const Candidate &b) { return a.weight > b.weight; });
    std::vector<Candidate> kept;
    for (const Candidate &candidate : found) {
        if (kept.size() < replicasByLength && candidate.upstream->running <= maxRunning) {
            kept.push_back(candidate);
        }
    }
    if (!kept.empty()) {
        found = std::move(kept);
    }
}

/// Keeps two random candidates of the own zone and two of the others. With all candidates, the instances would choose
/// the same upstream by their common view, until the view changes.
void sampleByZone(std::vector<Candidate> &found, const ZoneId &zone, std::mt19937_64 &random)
{
    constexpr std::ptrdiff_t picks = 2;
    // An instance knows for certain where it has no slot left.
    const auto hasFreeSlot = [](const Candidate &candidate) {
        return candidate.upstream->running < candidate.upstream->entry.slots;
    };
    if (std::any_of(found.begin(), found.end(), hasFreeSlot)) {
        std::erase_if(found, [&](const Candidate &candidate) { return !hasFreeSlot(candidate); });
    }
    const auto others = std::partition(
        found.begin(), found.end(), [&](const Candidate &candidate) { return candidate.upstream->entry.zone == zone; });
    std::vector<Candidate> sampled;
    std::sample(found.begin(), others, std::back_inserter(sampled), picks, random);
    std::sample(others, found.end(), std::back_inserter(sampled), picks, random);
    found = std::move(sampled);
}

const RegisteredUpstream *chooseLowestCost(const std::vector<Candidate> &found, const ZoneId &zone,
                                           std::mt19937_64 &random, const ChoiceLimits &limits)
{
    // A small random cost keeps the instances from all choosing the same one of equal candidates.
    std::uniform_real_distribution<double> tieBreaker(0, 0.05);
    const RegisteredUpstream *best = nullptr;
    double lowestCost = 0;
    for (const Candidate &candidate : found) {
        const bool otherZone = candidate.upstream->entry.zone != zone;
        const double cost = candidate.work + (otherZone ? limits.crossZoneCost : 0) + candidate.upstream->failureRate
            + tieBreaker(random);
        if (best == nullptr || cost < lowestCost) {
            best = candidate.upstream;
            lowestCost = cost;
        }
    }
    return best;
}

/// Sorts by weighted rendezvous hashing: an upstream is first for a share of the prefixes in proportion to its weight.
void sortByScore(std::vector<Candidate> &found, const UpstreamRequirements &question)
{
    constexpr double range = 18446744073709551616.0;
    for (Candidate &candidate : found) {
        const UpstreamEntry &entry = candidate.upstream->entry;
        const auto hash = static_cast<double>(rendezvousWeight(question.affinity, entry.id.str()));
        const double weight = question.replicaWeight ? question.replicaWeight(*candidate.upstream) : 1;
        candidate.score = std::log((hash + 1) / (range + 2)) / weight;
    }
    std::sort(found.begin(), found.end(), [](const Candidate &a, const Candidate &b) { return a.score > b.score; });
}

/**
 * Chooses for a prefix with a given number of replicas, which are the first upstreams in the rendezvous order that are
 * not overloaded. The prefix is cached at all of them, so the cheaper of two random ones is taken; with the cheapest
 * one, the instances would all choose the same. An upstream further down the order is taken only if it saves more
 * than recomputing the prefix costs.
 */
const RegisteredUpstream *chooseReplica(std::vector<Candidate> &found, const UpstreamRequirements &question,
                                        std::size_t wantedReplicas, std::mt19937_64 &random, const ChoiceLimits &limits)
{
    const double maxRunning = maxRunningOf(found, limits);
    std::erase_if(found, [&](const Candidate &candidate) { return candidate.upstream->running > maxRunning; });
    sortByScore(found, question);
    const auto cost = [&](std::size_t index) {
        const RegisteredUpstream &upstream = *found[index].upstream;
        return found[index].work + upstream.failureRate
            + (upstream.entry.zone != question.zone ? limits.crossZoneCost : 0);
    };
    const std::size_t replicas = std::clamp<std::size_t>(wantedReplicas, 1, found.size());
    std::uniform_int_distribution<std::size_t> anyReplica(0, replicas - 1);
    std::size_t chosen = anyReplica(random);
    const std::size_t other = anyReplica(random);
    if (cost(other) < cost(chosen)) {
        chosen = other;
    }
    const double recomputing = std::max(0.0, static_cast<double>(question.affinityTokens)) / limits.tokensPerResponse;
    for (std::size_t next = replicas; next < found.size() && cost(chosen) > cost(next) + recomputing; ++next) {
        chosen = next;
    }
    return found[chosen].upstream;
}

} // namespace

std::function<double(const RegisteredUpstream &)> loadCost(const LoadView &view, TimePoint now)
{
    return [&view, now](const RegisteredUpstream &upstream) {
        const UpstreamCondition condition = view.condition(upstream.entry, now).value_or(UpstreamCondition());
        const double slots = std::max(1U, upstream.entry.slots);
        // The choice adds the instance's own failure rate, of which the shared one is another measure.
        const double unseenFailures = std::max(0.0, condition.failureRate - upstream.failureRate);
        return condition.relativeTime + condition.refusalRate + unseenFailures + upstream.running / slots;
    };
}

std::optional<UpstreamEntry> chooseUpstream(const UpstreamList &list, const UpstreamRequirements &question,
                                            TimePoint now, std::mt19937_64 &random, const ChoiceLimits &limits)
{
    std::vector<Candidate> found = candidates(list, question, now, limits);
    if (found.empty()) {
        return std::nullopt;
    }
    keepBestTier(found);
    if (!question.affinity.empty() && question.replicas) {
        fillWork(found, question);
        return chooseReplica(found, question, *question.replicas, random, limits)->entry;
    }
    if (!question.affinity.empty()) {
        keepReplicas(found, question, limits);
    } else if (question.load) {
        sampleByZone(found, question.zone, random);
    }
    fillWork(found, question);
    return chooseLowestCost(found, question.zone, random, limits)->entry;
}

} // namespace parsleyvane
