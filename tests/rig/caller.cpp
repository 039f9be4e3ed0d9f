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

HttpRequest requestOf(const Ask &clientRequest, const std::string &target, std::string body)
{
    HttpRequest request = makeRequest(http::verb::post, target, std::move(body));
    request.set(http::field::authorization, "Bearer " + clientRequest.apiKey);
    request.set("Parsleyvane-Task", clientRequest.task);
    if (!clientRequest.idempotencyKey.empty()) {
        request.set("Idempotency-Key", clientRequest.idempotencyKey);
    }
    if (!clientRequest.session.empty()) {
        request.set("Parsleyvane-Session", clientRequest.session);
    }
    if (clientRequest.claimsPriority) {
        request.set("Parsleyvane-Priority", "claim");
    }
    if (clientRequest.deadline) {
        request.set("Parsleyvane-Deadline-Ms", std::to_string(clientRequest.deadline->count()));
    }
    return request;
}

Json chatBody(const Ask &clientRequest)
{
    const Json message{{"role", "user"}, {"content", clientRequest.body}};
    Json body{{"messages", Json::array({message})}, {"stream", clientRequest.stream}};
    if (!clientRequest.model.empty()) {
        body["model"] = clientRequest.model;
    }
    return body;
}

/// @brief Assembles an answer from an event stream or a JSON body.
class Collector
{
public:
    // constructors
    explicit Collector(Answer &answer)
        : answer(answer)
    {
    }

    // modifiers
    /// @brief Appends received bytes and processes each complete event.
    void addPiece(const std::string &piece)
    {
        this->raw.append(piece);
        this->pending.append(piece);
        for (auto end = this->pending.find(eventEnd); end != std::string::npos; end = this->pending.find(eventEnd)) {
            this->addEvent(this->pending.substr(0, end));
            this->pending.erase(0, end + eventEnd.size());
        }
    }
    /// @brief Processes a `chat.completion`, a `chat.completion.chunk` or an error object.
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
    /// @brief All received bytes, for bodies that are not event streams.
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
            = ReceivedError{error.value("id", 0),    error.value("name", ""),       error.value("step", ""),
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

void readHeader(const HttpResponse &response, Answer &answer)
{
    answer.status = static_cast<int>(response.result_int());
    answer.request = response["Parsleyvane-Request"];
    answer.version = response["Parsleyvane-Version"];
    answer.session = response["Parsleyvane-Session"];
    answer.retryAfter = response["Retry-After"];
}

CallLimits limitsOf(const Ask &clientRequest)
{
    CallLimits limits;
    limits.progress = clientRequest.responseTimeout;
    return limits;
}

/// @brief Reads a body that is not an event stream; the body of a plain service is kept unparsed.
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

Answer send(const std::string &address, const Ask &clientRequest, const HttpRequest &request, bool chat)
{
    Answer answer;
    answer.sentAt = bootMilliseconds();
    Collector collector(answer);
    LastReason reason;
    const auto collect = [&collector](const std::string &piece) {
        collector.addPiece(piece);
        return true;
    };
    const auto response = blockingStream(address, request, collect, reason, limitsOf(clientRequest));
    answer.answerReceivedAt = bootMilliseconds();
    if (!response) {
        return answer;
    }
    readHeader(*response, answer);
    const bool streamed = (*response)[http::field::content_type].starts_with("text/event-stream");
    if (!streamed) {
        readWhole(collector.body(), chat, collector, answer);
    }
    return answer;
}

} // namespace

std::string promptOf(const Ask &clientRequest)
{
    return "user: " + clientRequest.body + "\n";
}

Answer sendChat(const std::string &address, const Ask &clientRequest)
{
    return send(address, clientRequest,
                requestOf(clientRequest, "/v1/chat/completions", chatBody(clientRequest).dump()), true);
}

Answer sendTask(const std::string &address, const Ask &clientRequest)
{
    return send(address, clientRequest, requestOf(clientRequest, "/v1/tasks/" + clientRequest.task, clientRequest.body),
                false);
}

} // namespace parsleyvane::rig
