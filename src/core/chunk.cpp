#include "parsleyvane/stream/assembler.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

/// Reads an unsigned integer; throws when the value is negative, fractional or too large.
std::uint64_t readCount(const Json &json, const char *member)
{
    const Json &value = json.at(member);
    if (!value.is_number_unsigned()) {
        throw std::invalid_argument(std::string(member) + " is not an unsigned integer");
    }
    return value.get<std::uint64_t>();
}

Tokens readTokens(const Json &json, const char *member)
{
    return Tokens(static_cast<std::int64_t>(readCount(json, member)));
}

} // namespace

std::optional<Chunk> parseChunk(const std::string &payload, LastReason &reason)
{
    try {
        const Json json = Json::parse(payload);
        Chunk chunk;
        chunk.attempt = AttemptId(json.at("attempt").get<std::string>());
        chunk.offset = readCount(json, "offset");
        chunk.end = json.value("end", false);
        if (!chunk.end) {
            chunk.text = json.at("text").get<std::string>();
            return chunk;
        }
        chunk.usage.promptTokens = readTokens(json, "promptTokens");
        chunk.usage.cachedTokens = readTokens(json, "cachedTokens");
        chunk.usage.outputTokens = readTokens(json, "outputTokens");
        return chunk;
    } catch (const std::exception &problem) {
        return reason.fail({.id = ErrorId::BadUpstreamData,
                            .step = Step::Answer,
                            .runState = RunState::Unknown,
                            .detail = problem.what()});
    }
}

} // namespace parsleyvane
