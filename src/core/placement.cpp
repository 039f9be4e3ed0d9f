#include "parsleyvane/routing/placement.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Reports older than this say nothing any more.
constexpr Milliseconds reportLife{10000};

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

double workAt(const Blackboard &blackboard, const UpstreamId &id, TimePoint now)
{
    const auto view = blackboard.upstreams.find(id);
    if (view == blackboard.upstreams.end()) {
        return 0;
    }
    const UpstreamView &upstream = view->second;
    const Milliseconds age = now - upstream.reportedAt;
    const double trust
        = age >= reportLife ? 0 : 1 - static_cast<double>(age.count()) / static_cast<double>(reportLife.count());
    return upstream.inFlightHere + trust * (upstream.reportedRunning + upstream.reportedWaiting);
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

Placement::Placement(std::uint64_t seed)
    : random(seed)
{
}

std::optional<UpstreamId> Placement::chooseEngine(const Blackboard &blackboard, const PlacementQuestion &question,
                                                  TimePoint now, LastReason &reason)
{
    std::vector<const Upstream *> candidates;
    for (const Upstream &upstream : blackboard.configuration->upstreams) {
        if (!loadsVersion(upstream, question.version) || !isUsable(blackboard, upstream, question.tried, now)) {
            continue;
        }
        candidates.push_back(&upstream);
    }
    if (auto chosen = this->lighterOfTwo(blackboard, candidates, now)) {
        return chosen;
    }
    return reason.fail(noUpstream(question.version.model.str() + "@" + question.version.version.str()));
}

std::optional<UpstreamId> Placement::chooseService(const Blackboard &blackboard, const ServiceName &service,
                                                   const std::set<UpstreamId> &tried, TimePoint now, LastReason &reason)
{
    std::vector<const Upstream *> candidates;
    for (const Upstream &upstream : blackboard.configuration->upstreams) {
        const auto *plain = std::get_if<PlainService>(&upstream.kind);
        if (plain == nullptr || plain->name != service || !isUsable(blackboard, upstream, tried, now)) {
            continue;
        }
        candidates.push_back(&upstream);
    }
    if (auto chosen = this->lighterOfTwo(blackboard, candidates, now)) {
        return chosen;
    }
    return reason.fail(noUpstream(service.str()));
}

std::optional<UpstreamId> Placement::lighterOfTwo(const Blackboard &blackboard,
                                                  const std::vector<const Upstream *> &candidates, TimePoint now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    const UpstreamId &first = candidates[draw(this->random)]->id;
    const UpstreamId &second = candidates[draw(this->random)]->id;
    return workAt(blackboard, second, now) < workAt(blackboard, first, now) ? second : first;
}

} // namespace parsleyvane
