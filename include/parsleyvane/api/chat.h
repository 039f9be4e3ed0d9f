/**
 * @file
 * @brief The chat-completions shape that callers use: reading requests, writing answers.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/failure.h"
#include "parsleyvane/stream/assembler.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief What a caller asks.
struct ChatRequest
{
    std::string prompt; ///< the messages, one "role: content" a line
    bool stream = false;
    std::optional<unsigned> maxTokens;
    std::optional<ModelName> model; ///< when the caller names one
    std::optional<VersionName> version; ///< when the caller names one, as MODEL@VERSION
};

/// @brief Reads the body of a chat completion. @param reason MalformedRequest, with what is wrong
std::optional<ChatRequest> parseChatRequest(const std::string &body, LastReason &reason);

/// @brief What the router adds to an answer.
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
 * @brief Writes the events of one streamed answer. Complexity: linear in the text.
 */
class ChatEvents
{
public:
    // constructors
    ChatEvents(const RequestId &request, const ModelVersion &version);

    // observers
    /// @brief The event for a piece of text.
    std::string piece(const std::string &text) const;
    /// @brief The last events: usage and facts, then `[DONE]`.
    std::string end(const AnswerMetadata &facts) const;

private:
    std::string before;
    std::string after;
};

/// @brief The body of a whole answer.
std::string chatBody(const std::string &text, const AnswerMetadata &facts);

} // namespace parsleyvane
