/**
 * @file
 * @brief A caller of the router: sends one request and reports all that came back.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <optional>
#include <string>

namespace parsleyvane::rig {

/// @brief One request as a caller sends it.
struct Ask
{
    std::string apiKey;
    std::string account;
    std::string task;
    /// @brief The single user message of a chat completion, or the JSON body of a plain-service task.
    std::string body;
    bool stream = false;
    /// @brief "MODEL", "MODEL@VERSION", or empty for the task's chain.
    std::string model;
    std::string idempotencyKey;
    /// @brief "new", a token, or empty for no session.
    std::string session;
    /// @brief Names the conversation for the checkers; not sent.
    std::string conversation;
    bool claimsPriority = false;
    std::optional<Milliseconds> deadline;
    /// @brief How long the caller waits for progress before it gives up by itself.
    Milliseconds responseTimeout{30000};
};

/// @brief The error object that a caller received.
struct ErrorTold
{
    int id = 0;
    std::string name;
    std::string step;
    std::string peer;
    /// @brief "not_run", "ran" or "unknown".
    std::string run;
    std::string message;
};

/// @brief All that a caller received.
struct Answer
{
    /// @brief 0 when the connection gave no response head.
    int status = 0;
    std::string request;
    std::string version;
    std::string session;
    std::string retryAfter;
    /// @brief The answer's text, or the body of a plain-service answer.
    std::string text;
    /// @brief The end was explicit: `[DONE]` of a stream, or a whole body.
    bool done = false;
    std::optional<ErrorTold> error;
    std::int64_t microCost = 0;
    double firstTokenMs = 0;
    std::int64_t sentAt = 0;
    std::int64_t answerReceivedAt = 0;

    // observers
    /// @brief Whether the whole answer came, without an error.
    bool succeeded() const noexcept
    {
        return this->status == 200 && this->done && !this->error;
    }
    /// @brief What the caller was told of a failure; "unknown" when it was told nothing.
    std::string runTold() const
    {
        return this->succeeded() ? "ran" : this->error ? this->error->run : "unknown";
    }
};

/// @brief The prompt that the router makes of the single user message.
std::string promptOf(const Ask &ask);
/// @brief Sends a chat completion to `POST /v1/chat/completions` of the instance at `address`.
Answer sendChat(const std::string &address, const Ask &ask);
/// @brief Sends a plain-service task to `POST /v1/tasks/NAME` of the instance at `address`.
Answer sendTask(const std::string &address, const Ask &ask);

} // namespace parsleyvane::rig
