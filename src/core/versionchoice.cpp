#include "parsleyvane/routing/versionchoice.h"

#include <cmath>
#include <xxhash.h>

namespace parsleyvane {

namespace {

/// Weighted rendezvous hashing: the highest score is chosen; a higher weight raises only the score of its own version.
double score(const std::string &key, const VersionEntry &entry)
{
    const std::string text = key + "\n" + entry.id.model.str() + "\n" + entry.id.version.str();
    const auto hash = static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11U);
    constexpr double range = 9007199254740992.0; // 2^53
    const double uniform = (hash + 0.5) / range;
    return -static_cast<double>(entry.weight) / std::log(uniform);
}

} // namespace

std::optional<ModelVersion> chooseVersion(const Configuration &configuration, const Account &account,
                                          const ModelName &model, const std::string &key, LastReason &reason)
{
    const VersionEntry *best = nullptr;
    double bestScore = 0;
    bool allowed = false;
    for (const VersionEntry &entry : configuration.versions) {
        if (entry.id.model != model || !allows(account, entry.id)) {
            continue;
        }
        allowed = true;
        if (!takesWork(entry, false) || entry.weight == 0) {
            continue;
        }
        const double entryScore = score(key, entry);
        if (best == nullptr || entryScore > bestScore) {
            best = &entry;
            bestScore = entryScore;
        }
    }
    if (best != nullptr) {
        return best->id;
    }
    const ErrorId id = allowed ? ErrorId::NoCapacity : ErrorId::ModelNotAllowed;
    const char *detail = allowed ? "no version takes new work: " : "the client account may not use the model ";
    return reason.fail({.id = id, .step = Step::Route, .detail = detail + model.str()});
}

std::optional<Failure> versionRefusal(const Configuration &configuration, const AccountId &account,
                                      const ModelVersion &version, bool pinnedSession)
{
    Failure failure{.id = ErrorId::ModelNotAllowed, .step = Step::Route};
    const Account *owner = configuration.findAccount(account);
    if (owner == nullptr || !allows(*owner, version)) {
        failure.detail = "the client account may not use " + version.model.str() + "@" + version.version.str();
        return failure;
    }
    const VersionEntry *entry = configuration.findVersion(version);
    if (entry == nullptr || !takesWork(*entry, pinnedSession)) {
        failure.id = pinnedSession ? ErrorId::SessionVersionWithdrawn : ErrorId::NoCapacity;
        failure.detail = version.model.str() + "@" + version.version.str() + " takes no new work";
        return failure;
    }
    return std::nullopt;
}

} // namespace parsleyvane
