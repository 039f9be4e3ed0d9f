#include "parsleyvane/api/chat.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

std::nullopt_t malformed(LastReason &reason, std::string detail)
{
    return reason.fail({.id = ErrorId::MalformedRequest, .step = Step::Receive, .detail = std::move(detail)});
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::string> readPrompt(const Json &messages)
{
    std::string prompt;
    for (const Json &message : messages) {
        if (!message.is_object() || !message.contains("content") || !message.at("content").is_string()) {
            return std::nullopt;
        }
        const Json role = message.value("role", Json("user"));
        prompt.append(role.is_string() ? role.get<std::string>() : "user").append(": ");
        prompt.append(message.at("content").get<std::string>()).append("\n");
    }
    return prompt;
}

void readModel(const std::string &text, ChatRequest &request)
{
    const std::size_t at = text.find('@');
    request.model = ModelName(text.substr(0, at));
    if (at != std::string::npos) {
        request.version = VersionName(text.substr(at + 1));
    }
}

Json usageJson(const Usage &usage)
{
    return Json{{"prompt_tokens", usage.promptTokens.value()},
                {"completion_tokens", usage.outputTokens.value()},
                {"total_tokens", usage.promptTokens.value() + usage.outputTokens.value()},
                {"prompt_tokens_details", Json{{"cached_tokens", usage.cachedTokens.value()}}}};
}

Json factsJson(const AnswerMetadata &facts)
{
    Json asked = Json::array();
    for (const ModelVersion &version : facts.attemptedVersions) {
        asked.push_back(versionText(version));
    }
    return Json{{"request", facts.request.str()}, {"version", versionText(facts.version)},
                {"cost", facts.cost.value()},     {"firstTokenMs", facts.firstToken.count()},
                {"attempts", facts.attempts},     {"asked", std::move(asked)}};
}

} // namespace

std::optional<ChatRequest> parseChatRequest(const std::string &body, LastReason &reason)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return malformed(reason, "the body is not a JSON object");
    }
    if (!json.contains("messages") || !json.at("messages").is_array() || json.at("messages").empty()) {
        return malformed(reason, "messages: a list with at least one message is needed");
    }
    const auto prompt = readPrompt(json.at("messages"));
    if (!prompt) {
        return malformed(reason, "messages: each needs a text as its content");
    }
    ChatRequest request;
    request.prompt = *prompt;
    const Json stream = json.value("stream", Json(false));
    const Json maxTokens = json.value("max_tokens", Json());
    const Json model = json.value("model", Json());
    constexpr std::uint64_t mostTokens = 1U << 20U;
    if (!stream.is_boolean()) {
        return malformed(reason, "stream: true or false is needed");
    }
    request.stream = stream.get<bool>();
    if (!maxTokens.is_null()) {
        if (!maxTokens.is_number_unsigned() || maxTokens.get<std::uint64_t>() == 0
            || maxTokens.get<std::uint64_t>() > mostTokens) {
            return malformed(reason, "max_tokens: a number from 1 to 1048576 is needed");
        }
        request.maxTokens = maxTokens.get<unsigned>();
    }
    if (!model.is_null() && !model.is_string()) {
        return malformed(reason, "model: a text is needed");
    }
    if (model.is_string() && !model.get<std::string>().empty()) {
        readModel(model.get<std::string>(), request);
    }
    return request;
}

ChatEvents::ChatEvents(const RequestId &request, const ModelVersion &version)
{
    // The constant parts are written once, since this runs for every token.
    this->before = R"(data: {"id":)" + dump(Json(request.str())) + R"(,"object":"chat.completion.chunk","model":)"
        + dump(Json(versionText(version))) + R"(,"choices":[{"index":0,"delta":{"content":)";
    this->after = "},\"finish_reason\":null}]}\n\n";
}

std::string ChatEvents::piece(const std::string &text) const
{
    return this->before + dump(Json(text)) + this->after;
}

std::string ChatEvents::end(const AnswerMetadata &facts) const
{
    const Json choice{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}};
    const Json event{{"id", facts.request.str()},           {"object", "chat.completion.chunk"},
                     {"model", versionText(facts.version)}, {"choices", Json::array({choice})},
                     {"usage", usageJson(facts.usage)},     {"parsleyvane", factsJson(facts)}};
    return "data: " + dump(event) + "\n\ndata: [DONE]\n\n";
}

std::string chatBody(const std::string &text, const AnswerMetadata &facts)
{
    const Json message{{"role", "assistant"}, {"content", text}};
    const Json choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    const Json body{{"id", facts.request.str()},           {"object", "chat.completion"},
                    {"model", versionText(facts.version)}, {"choices", Json::array({choice})},
                    {"usage", usageJson(facts.usage)},     {"parsleyvane", factsJson(facts)}};
    return dump(body);
}

} // namespace parsleyvane
