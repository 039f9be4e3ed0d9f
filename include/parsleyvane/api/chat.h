/**
 * @file
 * @brief The chat-completions API: parses requests and writes answers.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/failure.h"
#include "parsleyvane/stream/assembler.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief A parsed chat-completion request.
struct ChatRequest
{
    std::string prompt; ///< the messages, one "role: content" per line
    bool stream = false;
    std::optional<unsigned> maxTokens;
    std::optional<ModelName> model; ///< empty when the client names none
    std::optional<VersionName> version; ///< set when the client sends MODEL@VERSION
};

/// @brief Parses the body of a chat-completion request. @param reason MalformedRequest with the cause
std::optional<ChatRequest> parseChatRequest(const std::string &body, LastReason &reason);

/// @brief Routing metadata that is sent along with an answer.
struct AnswerMetadata
{
    RequestId request;
    ModelVersion version;
    MicroCost cost;
    Milliseconds firstToken{0};
    unsigned attempts = 0;
    std::vector<ModelVersion> attemptedVersions;
    Usage usage;
};

/**
 * @brief Writes the server-sent events of one streamed answer. Complexity: linear in the text.
 */
class ChatEvents
{
public:
    // constructors
    ChatEvents(const RequestId &request, const ModelVersion &version);

    // observers
    /// @brief The event that carries the next part of the text.
    std::string piece(const std::string &text) const;
    /// @brief The final events: usage and metadata, then `[DONE]`.
    std::string end(const AnswerMetadata &metadata) const;

private:
    std::string prefix;
    std::string suffix;
};

/// @brief The response body of an answer that is not streamed.
std::string chatBody(const std::string &text, const AnswerMetadata &metadata);

} // namespace parsleyvane
