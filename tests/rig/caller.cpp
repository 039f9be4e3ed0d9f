#include "rig/caller.h"

#include "parsleyvane/net/blockingclient.h"
#include "rig/process.h"

#include <nlohmann/json.hpp>

namespace parsleyvane::rig {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view eventEnd = "\n\n";

HttpRequest requestOf(const Ask &ask, const std::string &target, std::string body)
{
    HttpRequest request = makeRequest(http::verb::post, target, std::move(body));
    request.set(http::field::authorization, "Bearer " + ask.apiKey);
    request.set("Parsleyvane-Task", ask.task);
    if (!ask.idempotencyKey.empty()) {
        request.set("Idempotency-Key", ask.idempotencyKey);
    }
    if (!ask.session.empty()) {
        request.set("Parsleyvane-Session", ask.session);
    }
    if (ask.claimsPriority) {
        request.set("Parsleyvane-Priority", "claim");
    }
    if (ask.deadline) {
        request.set("Parsleyvane-Deadline-Ms", std::to_string(ask.deadline->count()));
    }
    return request;
}

Json chatBody(const Ask &ask)
{
    const Json message{{"role", "user"}, {"content", ask.body}};
    Json body{{"messages", Json::array({message})}, {"stream", ask.stream}};
    if (!ask.model.empty()) {
        body["model"] = ask.model;
    }
    return body;
}

/// @brief Collects an answer from the JSON values that carry it.
class Collector
{
public:
    // constructors
    explicit Collector(Answer &answer)
        : answer(answer)
    {
    }

    // modifiers
    /// @brief Takes the next bytes of an event stream.
    void addPiece(const std::string &piece)
    {
        this->raw.append(piece);
        this->pending.append(piece);
        for (auto end = this->pending.find(eventEnd); end != std::string::npos; end = this->pending.find(eventEnd)) {
            this->addEvent(this->pending.substr(0, end));
            this->pending.erase(0, end + eventEnd.size());
        }
    }
    /// @brief Takes a whole `chat.completion`, a chunk of one, or an error.
    void addValue(const Json &value)
    {
        if (value.contains("error")) {
            this->addError(value.at("error"));
            return;
        }
        for (const Json &choice : value.value("choices", Json::array())) {
            const Json part = choice.contains("message") ? choice.at("message") : choice.value("delta", Json::object());
            const auto content = part.find("content");
            if (content == part.end() || !content->is_string()) {
                continue;
            }
            this->answer.text += content->get<std::string>();
        }
        if (value.contains("parsleyvane")) {
            this->addSummary(value.at("parsleyvane"));
        }
    }

    // observers
    /// @brief All bytes so far, for bodies that are not event streams.
    const std::string &body() const noexcept
    {
        return this->raw;
    }

private:
    void addEvent(const std::string &event)
    {
        if (!event.starts_with(eventPrefix)) {
            return;
        }
        const std::string data = event.substr(eventPrefix.size());
        if (data == "[DONE]") {
            this->answer.done = true;
            return;
        }
        const Json value = Json::parse(data, nullptr, false);
        if (value.is_object()) {
            this->addValue(value);
        }
    }

    void addError(const Json &error)
    {
        this->answer.error
            = ErrorTold{error.value("id", 0),    error.value("name", ""),       error.value("step", ""),
                        error.value("peer", ""), error.value("run", "unknown"), error.value("message", "")};
    }

    void addSummary(const Json &summary)
    {
        this->answer.request = summary.value("request", this->answer.request);
        this->answer.version = summary.value("version", this->answer.version);
        this->answer.microCost = summary.value("cost", std::int64_t{0});
        this->answer.firstTokenMs = summary.value("firstTokenMs", 0.0);
    }

    Answer &answer;
    std::string raw;
    std::string pending;
};

void readHead(const HttpResponse &response, Answer &answer)
{
    answer.status = static_cast<int>(response.result_int());
    answer.request = response["Parsleyvane-Request"];
    answer.version = response["Parsleyvane-Version"];
    answer.session = response["Parsleyvane-Session"];
    answer.retryAfter = response["Retry-After"];
}

CallLimits limitsOf(const Ask &ask)
{
    CallLimits limits;
    limits.progress = ask.responseTimeout;
    return limits;
}

/// @brief Takes a body that came whole; a plain service's answer stays as it is.
void readWhole(const std::string &body, bool chat, Collector &collector, Answer &answer)
{
    answer.done = true;
    const Json value = Json::parse(body, nullptr, false);
    const bool failed = value.is_object() && value.contains("error");
    if (value.is_object() && (chat || failed)) {
        collector.addValue(value);
        return;
    }
    answer.text = body;
}

Answer send(const std::string &address, const Ask &ask, const HttpRequest &request, bool chat)
{
    Answer answer;
    answer.sentAt = bootMilliseconds();
    Collector collector(answer);
    LastReason reason;
    const auto keep = [&collector](const std::string &piece) {
        collector.addPiece(piece);
        return true;
    };
    const auto response = blockingStream(address, request, keep, reason, limitsOf(ask));
    answer.answerReceivedAt = bootMilliseconds();
    if (!response) {
        return answer;
    }
    readHead(*response, answer);
    const bool streamed = (*response)[http::field::content_type].starts_with("text/event-stream");
    if (!streamed) {
        readWhole(collector.body(), chat, collector, answer);
    }
    return answer;
}

} // namespace

std::string promptOf(const Ask &ask)
{
    return "user: " + ask.body + "\n";
}

Answer sendChat(const std::string &address, const Ask &ask)
{
    return send(address, ask, requestOf(ask, "/v1/chat/completions", chatBody(ask).dump()), true);
}

Answer sendTask(const std::string &address, const Ask &ask)
{
    return send(address, ask, requestOf(ask, "/v1/tasks/" + ask.task, ask.body), false);
}

} // namespace parsleyvane::rig
