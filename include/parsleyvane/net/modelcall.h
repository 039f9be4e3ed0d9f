/**
 * @file
 * @brief Obtains the answer of a model version to a prompt, over several attempts and upstreams if needed.
 */
#pragma once

#include "parsleyvane/net/routercontext.h"
#include "parsleyvane/stream/assembler.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace parsleyvane {

/// @brief Input of a ModelCall.
struct ModelCallParameters
{
    RequestId request;
    AccountId account;
    ModelVersion version;
    bool pinnedSession = false;
    std::string prompt;
    unsigned maxTokens = 256;
    bool claimsPriority = false; ///< whether the client claimed priority for the request
    bool repeatable = false;
    bool resumable = false;
    Milliseconds maxWait{30000}; ///< maximum time without new text
};

/// @brief A complete answer.
struct ModelAnswer
{
    std::string text;
    Usage usage;
    unsigned attempts = 0;
    std::optional<TimePoint> firstTokenAt;
};

/// @brief Receives the answer's text in order; returns false when the client disconnected.
using TextSink = std::function<boost::asio::awaitable<bool>(std::string)>;

/**
 * @brief A call of one model version with one prompt.
 *
 * After a failure or an interruption, the answer resumes at its offset; an upstream on which an attempt failed is
 * chosen again only when no other is available. Before each dispatch, the configuration in force is checked: it must
 * permit the version to the client account and must be within its staleness limit.
 */
class ModelCall
{
public:
    // constructors
    /// @param sink receives the text as it arrives; empty to only collect it
    ModelCall(RouterContext &context, ModelCallParameters parameters, TextSink sink);

    // modifiers
    /// @brief Runs the call to completion. @param reason why there is no complete answer, with the run state combined
    /// over all attempts
    boost::asio::awaitable<std::optional<ModelAnswer>> run(LastReason &reason);

    // observers
    /// @brief Whether any text has been received.
    bool hasStarted() const noexcept
    {
        return this->firstTokenAt.has_value();
    }

private:
    struct Completed
    {
    };
    struct ClientDisconnected
    {
    };
    struct Interrupted
    {
    };
    struct Failed
    {
        Failure failure;
    };
    using AttemptResult = std::variant<Completed, ClientDisconnected, Interrupted, Failed>;

    boost::asio::awaitable<AttemptResult> attempt(UpstreamId upstream);
    boost::asio::awaitable<AttemptResult> send(HttpCall &call, const UpstreamId &upstream, const AttemptId &id);
    boost::asio::awaitable<void> checkForCrash(UpstreamId upstream, const AttemptResult &result);
    std::optional<Failure> quarantineCheck(TimePoint now, bool &inIsolation) const;
    boost::asio::awaitable<AttemptResult> stream(HttpCall &call, const AttemptId &id);
    boost::asio::awaitable<std::optional<Failure>> readRefusal(HttpCall &call, int status);
    std::optional<UpstreamId> choose(LastReason &reason);
    std::set<UpstreamId> excludedUpstreams(bool inIsolation) const;
    std::optional<Failure> dispatchCheck() const;
    PriorityInput priorityInput() const;
    std::string body(const AttemptId &id) const;
    boost::asio::awaitable<void> waitForEvidencePropagation() const;
    boost::asio::awaitable<bool> waitBeforeRetry(const Failure &failure, LastReason &reason);

    RouterContext &context;
    ModelCallParameters parameters;
    TextSink sink;
    AnswerAssembler assembler;
    std::set<UpstreamId> tried;
    Fingerprint requestFingerprint;
    RunState combinedRunState = RunState::NotRun;
    unsigned attempts = 0;
    unsigned attemptsWithoutProgress = 0;
    unsigned interruptions = 0;
    TimePoint acceptedAt;
    Milliseconds runTime{0};
    TimePoint deadline;
    std::optional<TimePoint> firstTokenAt;
};

} // namespace parsleyvane
