#include "generation.h"

namespace parsleyvane::standins {

Generation parseGeneration(const Json &body)
{
    return {.attempt = body.at("attempt").get<std::string>(),
            .request = body.at("request").get<std::string>(),
            .account = body.at("account").get<std::string>(),
            .version = {body.at("model").get<std::string>(), body.at("version").get<std::string>()},
            .prompt = body.at("prompt").get<std::string>(),
            .maxTokens = body.value("maxTokens", std::int64_t{0}),
            .priority = body.value("priority", std::int64_t{0}),
            .offset = body.value("offset", std::size_t{0}),
            .prefix = body.value("prefix", std::string())};
}

std::vector<LoadedVersion> parseLoaded(const Json &list)
{
    std::vector<LoadedVersion> loaded;
    for (const Json &entry : list) {
        loaded.push_back({entry.at("model").get<std::string>(), entry.at("version").get<std::string>()});
    }
    return loaded;
}

Json loadedJson(const std::vector<LoadedVersion> &loaded)
{
    Json list = Json::array();
    for (const LoadedVersion &entry : loaded) {
        list.push_back({{"model", entry.model}, {"version", entry.version}});
    }
    return list;
}

} // namespace parsleyvane::standins
