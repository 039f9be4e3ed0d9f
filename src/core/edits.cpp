#include "parsleyvane/config/edits.h"

#include "parsleyvane/config/questionnaire.h"

#include <algorithm>

namespace parsleyvane {

namespace {

const std::string running = "running";
const std::string halted = "halted";
const std::string done = "done";

std::nullopt_t refuse(const std::string &detail, LastReason &reason)
{
    return reason.fail({.id = ErrorId::InvalidConfiguration, .step = Step::Configure, .detail = detail});
}

VersionEntry *entryOf(Configuration &configuration, const ModelName &model, const VersionName &version)
{
    const auto found
        = std::find_if(configuration.versions.begin(), configuration.versions.end(), [&](const VersionEntry &entry) {
              return entry.id.model == model && entry.id.version == version;
          });
    return found != configuration.versions.end() ? &*found : nullptr;
}

Rollout *rolloutOf(Configuration &configuration, const ModelName &model)
{
    const auto found = std::find_if(configuration.rollouts.begin(), configuration.rollouts.end(),
                                    [&](const Rollout &rollout) { return rollout.model == model; });
    return found != configuration.rollouts.end() ? &*found : nullptr;
}

bool isUnderWay(const Rollout &rollout)
{
    return rollout.state != done;
}

bool isNamed(const VersionName &asked, const VersionName &actual)
{
    return asked.empty() || asked == actual;
}

/// The roll-out that the request names, if it is under way.
Rollout *requestedRollout(Configuration &configuration, const RolloutRequest &request, LastReason &reason)
{
    Rollout *rollout = rolloutOf(configuration, request.model);
    if (rollout == nullptr || !isUnderWay(*rollout)) {
        refuse("no roll-out of '" + request.model.str() + "' is under way", reason);
        return nullptr;
    }
    if (!isNamed(request.from, rollout->from) || !isNamed(request.to, rollout->to)) {
        refuse("the roll-out under way is from '" + rollout->from.str() + "' to '" + rollout->to.str() + "'", reason);
        return nullptr;
    }
    return rollout;
}

/// Keeps the relation of the model's other versions to the two, whose joint weight becomes 1000.
void rescaleOthers(Configuration &configuration, const Rollout &rollout, std::uint64_t jointWeight)
{
    if (jointWeight == 0) {
        return;
    }
    for (VersionEntry &entry : configuration.versions) {
        const bool other
            = entry.id.model == rollout.model && entry.id.version != rollout.from && entry.id.version != rollout.to;
        if (!other || entry.weight == 0) {
            continue;
        }
        const std::uint64_t scaled = entry.weight * std::uint64_t{wholePerMille} / jointWeight;
        entry.weight = static_cast<unsigned>(std::max<std::uint64_t>(scaled, 1));
    }
}

/// Shares new work between the two versions of a roll-out.
void setShare(Configuration &configuration, Rollout &rollout, VersionEntry &from, VersionEntry &to, unsigned perMille)
{
    rescaleOthers(configuration, rollout, std::uint64_t{from.weight} + to.weight);
    rollout.perMille = perMille;
    to.weight = perMille;
    from.weight = wholePerMille - perMille;
}

/// Ends a roll-out with all new work on one of its versions; the other keeps its sessions, unless it is withdrawn.
void finish(Configuration &configuration, Rollout &rollout, VersionEntry &winner, VersionEntry &loser)
{
    const bool onNew = winner.id.version == rollout.to;
    VersionEntry &from = onNew ? loser : winner;
    VersionEntry &to = onNew ? winner : loser;
    setShare(configuration, rollout, from, to, onNew ? wholePerMille : 0);
    winner.state = VersionState::Serving;
    if (loser.state != VersionState::Withdrawn) {
        loser.state = VersionState::Closed;
    }
    rollout.state = done;
}

/// The two versions of a roll-out, both configured.
struct VersionPair
{
    VersionEntry *from;
    VersionEntry *to;
};

std::optional<VersionPair> findPair(Configuration &configuration, const ModelName &model, const VersionName &from,
                                    const VersionName &to, LastReason &reason)
{
    const VersionPair pair{entryOf(configuration, model, from), entryOf(configuration, model, to)};
    if (pair.from == nullptr || pair.to == nullptr) {
        const VersionName &missing = pair.from == nullptr ? from : to;
        return refuse("'" + versionText({model, missing}) + "' is not configured", reason);
    }
    return pair;
}

bool mayStart(const VersionPair &pair, const Rollout *existing, LastReason &reason)
{
    if (existing != nullptr && isUnderWay(*existing)) {
        refuse("a roll-out of the model is under way; step it, take it back or finish it first", reason);
        return false;
    }
    if (pair.from == pair.to || pair.from->state != VersionState::Serving) {
        refuse("'" + versionText(pair.from->id) + "' has to be serving, and another version than the new one", reason);
        return false;
    }
    if (pair.to->state == VersionState::Withdrawn) {
        refuse("'" + versionText(pair.to->id) + "' is withdrawn", reason);
        return false;
    }
    return true;
}

bool loads(const Upstream &upstream, const ModelVersion &version)
{
    const auto *engine = std::get_if<Engine>(&upstream.kind);
    return engine != nullptr && std::find(engine->loads.begin(), engine->loads.end(), version) != engine->loads.end();
}

bool isLoaded(const Configuration &configuration, const ModelVersion &version, LastReason &reason)
{
    const auto &upstreams = configuration.upstreams;
    if (std::none_of(upstreams.begin(), upstreams.end(),
                     [&](const Upstream &upstream) { return loads(upstream, version); })) {
        refuse("no engine loads '" + versionText(version) + "'", reason);
        return false;
    }
    return true;
}

/// Whether closing the old version leaves some account that used it without the new one.
bool allMayMove(const Configuration &configuration, const VersionPair &pair, LastReason &reason)
{
    std::string left;
    for (const Account &account : configuration.accounts) {
        if (allows(account, pair.from->id) && !allows(account, pair.to->id)) {
            left += (left.empty() ? "" : ", ") + account.id.str();
        }
    }
    if (!left.empty()) {
        refuse("these accounts do not allow '" + versionText(pair.to->id) + "': " + left, reason);
    }
    return left.empty();
}

bool isShare(unsigned perMille, LastReason &reason)
{
    if (perMille > wholePerMille) {
        refuse("the share is over 1000 per mille", reason);
        return false;
    }
    return true;
}

/// Ends the model's roll-out under way when one of its versions is withdrawn.
void finishWithout(Configuration &configuration, VersionEntry &withdrawn, LastReason &reason)
{
    Rollout *rollout = rolloutOf(configuration, withdrawn.id.model);
    if (rollout == nullptr || !isUnderWay(*rollout)) {
        return;
    }
    const auto pair = findPair(configuration, rollout->model, rollout->from, rollout->to, reason);
    if (!pair || (pair->from != &withdrawn && pair->to != &withdrawn)) {
        return;
    }
    VersionEntry &other = pair->from == &withdrawn ? *pair->to : *pair->from;
    if (other.state == VersionState::Withdrawn) {
        rollout->state = done;
        return;
    }
    finish(configuration, *rollout, other, withdrawn);
}

} // namespace

std::optional<Configuration> startRollout(const Configuration &current, const RolloutRequest &request,
                                          LastReason &reason)
{
    Configuration edited = current;
    const auto pair = findPair(edited, request.model, request.from, request.to, reason);
    const Rollout *existing = rolloutOf(edited, request.model);
    if (!pair || !mayStart(*pair, existing, reason) || !isShare(request.perMille, reason)
        || !isLoaded(edited, pair->to->id, reason)) {
        return std::nullopt;
    }
    std::erase_if(edited.rollouts, [&](const Rollout &rollout) { return rollout.model == request.model; });
    edited.rollouts.push_back({request.model, request.from, request.to, running, 0});
    pair->to->state = VersionState::Serving;
    setShare(edited, edited.rollouts.back(), *pair->from, *pair->to, request.perMille);
    return edited;
}

std::optional<Configuration> stepRollout(const Configuration &current, const RolloutRequest &request,
                                         LastReason &reason)
{
    Configuration edited = current;
    Rollout *rollout = requestedRollout(edited, request, reason);
    if (rollout == nullptr || !isShare(request.perMille, reason)) {
        return std::nullopt;
    }
    const auto pair = findPair(edited, rollout->model, rollout->from, rollout->to, reason);
    if (!pair) {
        return std::nullopt;
    }
    if (request.perMille == wholePerMille) {
        if (!allMayMove(edited, *pair, reason)) {
            return std::nullopt;
        }
        finish(edited, *rollout, *pair->to, *pair->from);
        return edited;
    }
    rollout->state = running;
    setShare(edited, *rollout, *pair->from, *pair->to, request.perMille);
    return edited;
}

std::optional<Configuration> haltRollout(const Configuration &current, const RolloutRequest &request,
                                         LastReason &reason)
{
    Configuration edited = current;
    Rollout *rollout = requestedRollout(edited, request, reason);
    if (rollout == nullptr) {
        return std::nullopt;
    }
    rollout->state = halted;
    return edited;
}

std::optional<Configuration> backRollout(const Configuration &current, const RolloutRequest &request,
                                         LastReason &reason)
{
    Configuration edited = current;
    Rollout *rollout = rolloutOf(edited, request.model);
    if (rollout == nullptr || !isNamed(request.from, rollout->from) || !isNamed(request.to, rollout->to)) {
        return refuse("there is no such roll-out of '" + request.model.str() + "'", reason);
    }
    const auto pair = findPair(edited, rollout->model, rollout->from, rollout->to, reason);
    if (!pair) {
        return std::nullopt;
    }
    if (pair->from->state == VersionState::Withdrawn) {
        return refuse("'" + versionText(pair->from->id) + "' is withdrawn", reason);
    }
    finish(edited, *rollout, *pair->from, *pair->to);
    return edited;
}

std::optional<Configuration> withdrawVersion(const Configuration &current, const RolloutRequest &request,
                                             LastReason &reason)
{
    Configuration edited = current;
    VersionEntry *entry = entryOf(edited, request.model, request.to);
    if (entry == nullptr) {
        return refuse("'" + versionText({request.model, request.to}) + "' is not configured", reason);
    }
    entry->state = VersionState::Withdrawn;
    finishWithout(edited, *entry, reason);
    entry->weight = 0;
    return edited;
}

std::optional<Configuration> drainUpstream(const Configuration &current, const UpstreamId &id, LastReason &reason)
{
    Configuration edited = current;
    const auto removed = std::erase_if(edited.upstreams, [&](const Upstream &upstream) { return upstream.id == id; });
    if (removed == 0) {
        return refuse("upstream '" + id.str() + "' is not configured", reason);
    }
    return edited;
}

Edit rolloutEdit(RolloutOperation operation, const RolloutRequest &request)
{
    return Edit{{"versions[" + request.model.str() + "@", "rollouts[" + request.model.str() + "]"},
                [operation, request](const Configuration &current, LastReason &reason) {
                    return operation(current, request, reason);
                }};
}

Edit drainEdit(const UpstreamId &id)
{
    return Edit{{"upstreams[" + id.str() + "]"}, [id](const Configuration &current, LastReason &reason) {
                    return drainUpstream(current, id, reason);
                }};
}

} // namespace parsleyvane
