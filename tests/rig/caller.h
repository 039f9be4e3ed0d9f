/**
 * @file
 * @brief A test client of the router: sends one request and returns everything received.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <optional>
#include <string>

namespace parsleyvane::rig {

/// @brief One request of a client.
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
    /// @brief Identifies the conversation for the checkers; not sent.
    std::string conversation;
    bool claimsPriority = false;
    std::optional<Milliseconds> deadline;
    /// @brief The client closes the connection after this time without progress.
    Milliseconds responseTimeout{30000};
};

/// @brief The error object of a response.
struct ReceivedError
{
    int id = 0;
    std::string name;
    std::string step;
    std::string peer;
    /// @brief "not_run", "ran" or "unknown".
    std::string run;
    std::string message;
};

/// @brief Everything that a client received for one request.
struct Answer
{
    /// @brief The HTTP status; 0 when no response header arrived.
    int status = 0;
    std::string request;
    std::string version;
    std::string session;
    std::string retryAfter;
    /// @brief The generated text, or the response body of a plain service.
    std::string text;
    /// @brief Whether the end was explicit: `[DONE]` of a stream, or a complete body.
    bool done = false;
    std::optional<ReceivedError> error;
    std::int64_t microCost = 0;
    double firstTokenMs = 0;
    std::int64_t sentAt = 0;
    std::int64_t answerReceivedAt = 0;

    // observers
    /// @brief Whether the complete answer arrived without an error.
    bool succeeded() const noexcept
    {
        return this->status == 200 && this->done && !this->error;
    }
    /// @brief "ran" on success, the run state of a received error, or "unknown" when no error object arrived.
    std::string runText() const
    {
        return this->succeeded() ? "ran" : this->error ? this->error->run : "unknown";
    }
};

/// @brief The prompt that the router builds from the single user message.
std::string promptOf(const Ask &request);
/// @brief Sends a chat completion to `POST /v1/chat/completions` of the instance at `address`.
Answer sendChat(const std::string &address, const Ask &request);
/// @brief Sends a plain-service task to `POST /v1/tasks/NAME` of the instance at `address`.
Answer sendTask(const std::string &address, const Ask &request);

} // namespace parsleyvane::rig
