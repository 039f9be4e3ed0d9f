#include "parsleyvane/config/edits.h"

#include "parsleyvane/config/questionnaire.h"

#include <algorithm>

namespace parsleyvane {

namespace {

const std::string runningState = "running";
const std::string haltedState = "halted";
const std::string doneState = "done";

std::nullopt_t reject(const std::string &detail, LastReason &reason)
{
    return reason.fail({.id = ErrorId::InvalidConfiguration, .step = Step::Configure, .detail = detail});
}

VersionEntry *findVersionEntry(Configuration &configuration, const ModelName &model, const VersionName &version)
{
    const auto found
        = std::find_if(configuration.versions.begin(), configuration.versions.end(), [&](const VersionEntry &entry) {
              return entry.id.model == model && entry.id.version == version;
          });
    return found != configuration.versions.end() ? &*found : nullptr;
}

Rollout *findRollout(Configuration &configuration, const ModelName &model)
{
    const auto found = std::find_if(configuration.rollouts.begin(), configuration.rollouts.end(),
                                    [&](const Rollout &rollout) { return rollout.model == model; });
    return found != configuration.rollouts.end() ? &*found : nullptr;
}

bool isInProgress(const Rollout &rollout)
{
    return rollout.state != doneState;
}

bool isUnsetOrEqual(const VersionName &requested, const VersionName &actual)
{
    return requested.empty() || requested == actual;
}

/// Finds the roll-out that the request names, if it is in progress.
Rollout *findRequestedRollout(Configuration &configuration, const RolloutRequest &request, LastReason &reason)
{
    Rollout *rollout = findRollout(configuration, request.model);
    if (rollout == nullptr || !isInProgress(*rollout)) {
        reject("no roll-out of '" + request.model.str() + "' is in progress", reason);
        return nullptr;
    }
    if (!isUnsetOrEqual(request.from, rollout->from) || !isUnsetOrEqual(request.to, rollout->to)) {
        reject("the roll-out in progress is from '" + rollout->from.str() + "' to '" + rollout->to.str() + "'", reason);
        return nullptr;
    }
    return rollout;
}

/// Rescales the model's other versions in proportion to the two, whose joint weight becomes 1000.
void rescaleOthers(Configuration &configuration, const Rollout &rollout, std::uint64_t jointWeight)
{
    if (jointWeight == 0) {
        return;
    }
    for (VersionEntry &entry : configuration.versions) {
        const bool isOtherVersion
            = entry.id.model == rollout.model && entry.id.version != rollout.from && entry.id.version != rollout.to;
        if (!isOtherVersion || entry.weight == 0) {
            continue;
        }
        const std::uint64_t scaled = entry.weight * std::uint64_t{fullSharePerMille} / jointWeight;
        entry.weight = static_cast<unsigned>(std::max<std::uint64_t>(scaled, 1));
    }
}

/// Splits new work between the two versions of a roll-out.
void setShare(Configuration &configuration, Rollout &rollout, VersionEntry &from, VersionEntry &to, unsigned perMille)
{
    rescaleOthers(configuration, rollout, std::uint64_t{from.weight} + to.weight);
    rollout.perMille = perMille;
    to.weight = perMille;
    from.weight = fullSharePerMille - perMille;
}

/// Ends a roll-out with all new work on the winner. The loser is closed and keeps its sessions, unless withdrawn.
void finishRollout(Configuration &configuration, Rollout &rollout, VersionEntry &winner, VersionEntry &loser)
{
    const bool newVersionWins = winner.id.version == rollout.to;
    VersionEntry &from = newVersionWins ? loser : winner;
    VersionEntry &to = newVersionWins ? winner : loser;
    setShare(configuration, rollout, from, to, newVersionWins ? fullSharePerMille : 0);
    winner.state = VersionState::Serving;
    if (loser.state != VersionState::Withdrawn) {
        loser.state = VersionState::Closed;
    }
    rollout.state = doneState;
}

/// The two versions of a roll-out, both configured.
struct VersionPair
{
    VersionEntry *from;
    VersionEntry *to;
};

std::optional<VersionPair> findVersionPair(Configuration &configuration, const ModelName &model,
                                           const VersionName &from, const VersionName &to, LastReason &reason)
{
    const VersionPair pair{findVersionEntry(configuration, model, from), findVersionEntry(configuration, model, to)};
    if (pair.from == nullptr || pair.to == nullptr) {
        const VersionName &missing = pair.from == nullptr ? from : to;
        return reject("'" + versionText({model, missing}) + "' is not configured", reason);
    }
    return pair;
}

bool canStart(const VersionPair &pair, const Rollout *existing, LastReason &reason)
{
    if (existing != nullptr && isInProgress(*existing)) {
        reject("a roll-out of the model is in progress; complete it (step) or revert it (back) first", reason);
        return false;
    }
    if (pair.from == pair.to || pair.from->state != VersionState::Serving) {
        reject("'" + versionText(pair.from->id) + "' must be serving and must differ from the new version", reason);
        return false;
    }
    if (pair.to->state == VersionState::Withdrawn) {
        reject("'" + versionText(pair.to->id) + "' is withdrawn", reason);
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
        reject("no engine loads '" + versionText(version) + "'", reason);
        return false;
    }
    return true;
}

/// Checks that each account that may use the old version may use the new one too.
bool canAllAccountsMove(const Configuration &configuration, const VersionPair &pair, LastReason &reason)
{
    std::string blockedAccounts;
    for (const Account &account : configuration.accounts) {
        if (allows(account, pair.from->id) && !allows(account, pair.to->id)) {
            blockedAccounts += (blockedAccounts.empty() ? "" : ", ") + account.id.str();
        }
    }
    if (!blockedAccounts.empty()) {
        reject("these accounts do not allow '" + versionText(pair.to->id) + "': " + blockedAccounts, reason);
    }
    return blockedAccounts.empty();
}

bool isValidShare(unsigned perMille, LastReason &reason)
{
    if (perMille > fullSharePerMille) {
        reject("the share exceeds 1000 per mille", reason);
        return false;
    }
    return true;
}

/// Ends the model's roll-out in progress if the withdrawn version is part of it.
void finishRolloutOfWithdrawn(Configuration &configuration, VersionEntry &withdrawn, LastReason &reason)
{
    Rollout *rollout = findRollout(configuration, withdrawn.id.model);
    if (rollout == nullptr || !isInProgress(*rollout)) {
        return;
    }
    const auto pair = findVersionPair(configuration, rollout->model, rollout->from, rollout->to, reason);
    if (!pair || (pair->from != &withdrawn && pair->to != &withdrawn)) {
        return;
    }
    VersionEntry &other = pair->from == &withdrawn ? *pair->to : *pair->from;
    if (other.state == VersionState::Withdrawn) {
        rollout->state = doneState;
        return;
    }
    finishRollout(configuration, *rollout, other, withdrawn);
}

} // namespace

std::optional<Configuration> startRollout(const Configuration &current, const RolloutRequest &request,
                                          LastReason &reason)
{
    Configuration edited = current;
    const auto pair = findVersionPair(edited, request.model, request.from, request.to, reason);
    const Rollout *existing = findRollout(edited, request.model);
    if (!pair || !canStart(*pair, existing, reason) || !isValidShare(request.perMille, reason)
        || !isLoaded(edited, pair->to->id, reason)) {
        return std::nullopt;
    }
    std::erase_if(edited.rollouts, [&](const Rollout &rollout) { return rollout.model == request.model; });
    edited.rollouts.push_back({request.model, request.from, request.to, runningState, 0});
    pair->to->state = VersionState::Serving;
    setShare(edited, edited.rollouts.back(), *pair->from, *pair->to, request.perMille);
    return edited;
}

std::optional<Configuration> setRolloutShare(const Configuration &current, const RolloutRequest &request,
                                             LastReason &reason)
{
    Configuration edited = current;
    Rollout *rollout = findRequestedRollout(edited, request, reason);
    if (rollout == nullptr || !isValidShare(request.perMille, reason)) {
        return std::nullopt;
    }
    const auto pair = findVersionPair(edited, rollout->model, rollout->from, rollout->to, reason);
    if (!pair) {
        return std::nullopt;
    }
    if (request.perMille == fullSharePerMille) {
        if (!canAllAccountsMove(edited, *pair, reason)) {
            return std::nullopt;
        }
        finishRollout(edited, *rollout, *pair->to, *pair->from);
        return edited;
    }
    rollout->state = runningState;
    setShare(edited, *rollout, *pair->from, *pair->to, request.perMille);
    return edited;
}

std::optional<Configuration> pauseRollout(const Configuration &current, const RolloutRequest &request,
                                          LastReason &reason)
{
    Configuration edited = current;
    Rollout *rollout = findRequestedRollout(edited, request, reason);
    if (rollout == nullptr) {
        return std::nullopt;
    }
    rollout->state = haltedState;
    return edited;
}

std::optional<Configuration> revertRollout(const Configuration &current, const RolloutRequest &request,
                                           LastReason &reason)
{
    Configuration edited = current;
    Rollout *rollout = findRollout(edited, request.model);
    if (rollout == nullptr || !isUnsetOrEqual(request.from, rollout->from)
        || !isUnsetOrEqual(request.to, rollout->to)) {
        return reject("no matching roll-out of '" + request.model.str() + "'", reason);
    }
    const auto pair = findVersionPair(edited, rollout->model, rollout->from, rollout->to, reason);
    if (!pair) {
        return std::nullopt;
    }
    if (pair->from->state == VersionState::Withdrawn) {
        return reject("'" + versionText(pair->from->id) + "' is withdrawn", reason);
    }
    finishRollout(edited, *rollout, *pair->from, *pair->to);
    return edited;
}

std::optional<Configuration> withdrawVersion(const Configuration &current, const RolloutRequest &request,
                                             LastReason &reason)
{
    Configuration edited = current;
    VersionEntry *entry = findVersionEntry(edited, request.model, request.to);
    if (entry == nullptr) {
        return reject("'" + versionText({request.model, request.to}) + "' is not configured", reason);
    }
    entry->state = VersionState::Withdrawn;
    finishRolloutOfWithdrawn(edited, *entry, reason);
    entry->weight = 0;
    return edited;
}

std::optional<Configuration> removeUpstream(const Configuration &current, const UpstreamId &id, LastReason &reason)
{
    Configuration edited = current;
    const auto removed = std::erase_if(edited.upstreams, [&](const Upstream &upstream) { return upstream.id == id; });
    if (removed == 0) {
        return reject("upstream '" + id.str() + "' is not configured", reason);
    }
    return edited;
}

Edit makeRolloutEdit(RolloutOperation operation, const RolloutRequest &request)
{
    return Edit{{"versions[" + request.model.str() + "@", "rollouts[" + request.model.str() + "]"},
                [operation, request](const Configuration &current, LastReason &reason) {
                    return operation(current, request, reason);
                }};
}

Edit makeRemoveUpstreamEdit(const UpstreamId &id)
{
    return Edit{{"upstreams[" + id.str() + "]"}, [id](const Configuration &current, LastReason &reason) {
                    return removeUpstream(current, id, reason);
                }};
}

} // namespace parsleyvane
