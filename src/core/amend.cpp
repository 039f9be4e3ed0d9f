#include "parsleyvane/config/questionnaire.h"

#include <algorithm>

namespace parsleyvane {

namespace {

VersionEntry makeVersionEntry(const VersionAnswers &answers)
{
    return VersionEntry{answers.id, answers.state.value_or(answers.initialState),
                        answers.weight.value_or(answers.initialWeight),
                        answers.costPerMillionTokens.value_or(MicroCost())};
}

void mergeVersion(std::vector<VersionEntry> &versions, const VersionAnswers &answers)
{
    const auto existing = std::find_if(versions.begin(), versions.end(),
                                       [&](const VersionEntry &entry) { return entry.id == answers.id; });
    if (existing == versions.end()) {
        versions.push_back(makeVersionEntry(answers));
        return;
    }
    existing->state = answers.state.value_or(existing->state);
    existing->weight = answers.weight.value_or(existing->weight);
    existing->costPerMillionTokens = answers.costPerMillionTokens.value_or(existing->costPerMillionTokens);
}

void mergeUpstream(std::vector<Upstream> &upstreams, const Upstream &upstream)
{
    const auto existing = std::find_if(upstreams.begin(), upstreams.end(),
                                       [&](const Upstream &entry) { return entry.id == upstream.id; });
    if (existing == upstreams.end()) {
        upstreams.push_back(upstream);
        return;
    }
    *existing = upstream;
}

} // namespace

Configuration amend(const Configuration &base, const Answers &answers)
{
    Configuration amended = base;
    std::erase_if(amended.accounts,
                  [&](const Account &account) { return account.organisation == answers.organisation; });
    amended.accounts.insert(amended.accounts.end(), answers.accounts.begin(), answers.accounts.end());
    for (const VersionAnswers &version : answers.versions) {
        mergeVersion(amended.versions, version);
    }
    for (const Upstream &upstream : answers.upstreams) {
        mergeUpstream(amended.upstreams, upstream);
    }
    return amended;
}

} // namespace parsleyvane
