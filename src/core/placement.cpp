#include "parsleyvane/routing/placement.h"

#include "parsleyvane/core/overloaded.h"
#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>

namespace parsleyvane {

namespace {

bool isUsable(const Blackboard &blackboard, const Upstream &upstream, const std::set<UpstreamId> &tried, TimePoint now)
{
    if (tried.contains(upstream.id)) {
        return false;
    }
    const auto view = blackboard.upstreams.find(upstream.id);
    if (view == blackboard.upstreams.end()) {
        return true;
    }
    return !view->second.leaving && view->second.avoidUntil <= now;
}

bool loadsVersion(const Upstream &upstream, const ModelVersion &version)
{
    const auto *engine = std::get_if<Engine>(&upstream.kind);
    return engine != nullptr && std::find(engine->loads.begin(), engine->loads.end(), version) != engine->loads.end();
}

Failure noUpstream(const std::string &what)
{
    constexpr Milliseconds retryAfter{1000};
    return {.id = ErrorId::NoCapacity,
            .step = Step::Route,
            .detail = "no upstream takes " + what,
            .retryAfter = retryAfter};
}

} // namespace

Placement::Placement(std::uint64_t seed, PlacementOptions options)
    : random(seed)
    , options(std::move(options))
{
}

std::optional<UpstreamId> Placement::chooseEngine(const Blackboard &blackboard, const PlacementRequirements &question,
                                                  TimePoint now, LastReason &reason)
{
    std::vector<Candidate> candidates;
    for (const Upstream &upstream : blackboard.configuration->upstreams) {
        if (!loadsVersion(upstream, question.version) || !isUsable(blackboard, upstream, question.tried, now)) {
            continue;
        }
        candidates.push_back({&upstream, this->workAt(blackboard, upstream.id, now)});
    }
    auto chosen = this->choosePreferred(candidates, question.prefix, now);
    if (!chosen) {
        chosen = this->chooseByLoad(candidates);
    }
    if (!chosen) {
        return reason.fail(noUpstream(question.version.model.str() + "@" + question.version.version.str()));
    }
    this->onCacheEvent(question.prefix, *chosen, true, now);
    return chosen;
}

std::optional<UpstreamId> Placement::chooseService(const Blackboard &blackboard, const ServiceName &service,
                                                   const std::set<UpstreamId> &tried, TimePoint now, LastReason &reason)
{
    std::vector<Candidate> candidates;
    for (const Upstream &upstream : blackboard.configuration->upstreams) {
        const auto *plain = std::get_if<PlainService>(&upstream.kind);
        if (plain == nullptr || plain->name != service || !isUsable(blackboard, upstream, tried, now)) {
            continue;
        }
        candidates.push_back({&upstream, this->workAt(blackboard, upstream.id, now)});
    }
    if (auto chosen = this->chooseByLoad(candidates)) {
        return chosen;
    }
    return reason.fail(noUpstream(service.str()));
}

void Placement::onCacheEvent(const std::string &prefix, const UpstreamId &engine, bool cached, TimePoint now)
{
    auto *learned = std::get_if<LearnedAffinity>(&this->options.affinity);
    if (learned == nullptr) {
        return;
    }
    if (cached) {
        learned->index.onCached(prefix, engine, now);
    } else {
        learned->index.onEvicted(prefix, engine);
    }
}

std::optional<UpstreamId> Placement::choosePreferred(const std::vector<Candidate> &candidates,
                                                     const std::string &prefix, TimePoint now) const
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    double total = 0;
    for (const Candidate &candidate : candidates) {
        total += candidate.work;
    }
    const double mean = total / static_cast<double>(candidates.size());
    const double maxWork = this->options.affinityLoadFactor * mean + this->options.affinityLoadMargin;
    for (const UpstreamId &id : this->preferredEngines(candidates, prefix, now)) {
        for (const Candidate &candidate : candidates) {
            if (candidate.upstream->id == id && candidate.work < maxWork) {
                return id;
            }
        }
    }
    return std::nullopt;
}

std::vector<UpstreamId> Placement::preferredEngines(const std::vector<Candidate> &candidates, const std::string &prefix,
                                                    TimePoint now) const
{
    std::vector<UpstreamId> engines;
    const auto learned = [&](const LearnedAffinity &affinity) {
        for (const UpstreamId &replica : affinity.index.replicas(prefix, now)) {
            engines.push_back(replica);
        }
    };
    const auto rendezvous = [&](const RendezvousAffinity &affinity) {
        std::vector<std::string> names;
        names.reserve(candidates.size());
        for (const Candidate &candidate : candidates) {
            names.push_back(candidate.upstream->id.str());
        }
        for (std::string &name : chooseByRendezvous(prefix, names, affinity.replicas)) {
            engines.emplace_back(std::move(name));
        }
    };
    std::visit(Overloaded{[](const NoAffinity &) {}, learned, rendezvous}, this->options.affinity);
    return engines;
}

std::optional<UpstreamId> Placement::chooseByLoad(const std::vector<Candidate> &candidates)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto twoChoices = [&](const PowerOfTwoChoices &) {
        return this->lessLoadedOfTwo(candidates).upstream->id;
    };
    const auto leastWork = [&](const LeastLoaded &) {
        return this->leastLoaded(candidates).upstream->id;
    };
    return std::visit(Overloaded{twoChoices, leastWork}, this->options.balance);
}

const Placement::Candidate &Placement::lessLoadedOfTwo(const std::vector<Candidate> &candidates)
{
    std::uniform_int_distribution<std::size_t> randomIndex(0, candidates.size() - 1);
    const Candidate &first = candidates[randomIndex(this->random)];
    const Candidate &second = candidates[randomIndex(this->random)];
    return second.work < first.work ? second : first;
}

const Placement::Candidate &Placement::leastLoaded(const std::vector<Candidate> &candidates)
{
    const Candidate *best = nullptr;
    std::size_t equalCount = 0;
    for (const Candidate &candidate : candidates) {
        if (best == nullptr || candidate.work < best->work) {
            best = &candidate;
            equalCount = 1;
            continue;
        }
        // Reservoir sampling: each of the equal candidates is chosen with the same probability.
        if (candidate.work <= best->work
            && std::uniform_int_distribution<std::size_t>(0, equalCount++)(this->random) == 0) {
            best = &candidate;
        }
    }
    return *best;
}

double Placement::workAt(const Blackboard &blackboard, const UpstreamId &id, TimePoint now) const
{
    const auto found = blackboard.upstreams.find(id);
    if (found == blackboard.upstreams.end()) {
        return 0;
    }
    const UpstreamView &view = found->second;
    const auto age = static_cast<double>((now - view.reportedAt).count());
    const double ageWeight = std::clamp(1 - age / static_cast<double>(this->options.maxReportAge.count()), 0.0, 1.0);
    return view.inFlightHere + this->options.reportWeight * ageWeight * (view.reportedRunning + view.reportedWaiting);
}

} // namespace parsleyvane
