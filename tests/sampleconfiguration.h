/**
 * @file
 * @brief A small valid configuration for tests, with two models, two engines and a service.
 */
#pragma once

#include "parsleyvane/config/configuration.h"

namespace parsleyvane::test {

/// @brief The model version `model`@`name`.
inline ModelVersion version(const std::string &model, const std::string &name)
{
    return {ModelName(model), VersionName(name)};
}

/// @brief A configuration that validate() accepts.
inline Configuration sampleConfiguration()
{
    const ModelVersion wattle = version("wattle", "3");
    const ModelVersion wattleNext = version("wattle", "4");
    const ModelVersion karri = version("karri", "7");
    Account account{.id = AccountId("agents"), .organisation = "lumara"};
    account.keyHashes = {std::string(64, 'a')};
    account.allowed = {wattle, wattleNext, karri};
    account.tasks.push_back({TaskName("triage"), ModelTask{{ModelName("wattle"), ModelName("karri")}}, true});
    account.tasks.push_back({TaskName("unlock"), ServiceTask{ServiceName("ledger"), "unlock"}, false});
    Configuration sample;
    sample.accounts.push_back(account);
    sample.versions = {{wattle, VersionState::Serving, 100, MicroCost(2)},
                       {wattleNext, VersionState::Warming, 0, MicroCost(3)},
                       {karri, VersionState::Serving, 1, MicroCost(9)}};
    sample.upstreams.push_back({UpstreamId("e1"), "127.0.0.1:1", ZoneId("a"), Engine{{wattle, wattleNext}}});
    sample.upstreams.push_back({UpstreamId("e2"), "127.0.0.1:2", ZoneId("b"), Engine{{wattle, karri}}});
    sample.upstreams.push_back({UpstreamId("s1"), "127.0.0.1:3", ZoneId("a"), PlainService{ServiceName("ledger")}});
    sample.sessionKeys.push_back({"key-1", std::string(64, '1')});
    return sample;
}

} // namespace parsleyvane::test
