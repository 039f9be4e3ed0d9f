/**
 * @file
 * @brief Has one version answer one prompt, over as many attempts and upstreams as it takes.
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

/// @brief What is asked of a version.
struct ModelQuestion
{
    RequestId request;
    AccountId account;
    ModelVersion version;
    bool pinnedSession = false;
    std::string prompt;
    unsigned maxTokens = 256;
    bool claimed = false; ///< whether priority was claimed for it
    bool repeatable = false;
    bool resumable = false;
    Milliseconds maxWait{30000}; ///< without progress
};

/// @brief A whole answer.
struct ModelAnswer
{
    std::string text;
    Usage usage;
    unsigned attempts = 0;
    std::optional<TimePoint> firstTokenAt;
};

/// @brief Receives the answer's text in order; returns false when the caller is gone.
using TextSink = std::function<boost::asio::awaitable<bool>(std::string)>;

/**
 * @brief One question to one version.
 *
 * An answer cut short, silent or interrupted is resumed at its offset at another upstream. Before each dispatch the
 * configuration then in force is checked for the account, the version and its own freshness.
 */
class ModelCall
{
public:
    // constructors
    /// @param sink where text goes as it comes; empty to only collect it
    ModelCall(RouterContext &context, ModelQuestion question, TextSink sink);

    // modifiers
    /// @brief Runs to the end. @param reason why there is no whole answer, with the run state over all attempts
    boost::asio::awaitable<std::optional<ModelAnswer>> run(LastReason &reason);

    // observers
    /// @brief Whether any text reached the sink.
    bool begun() const noexcept
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
    boost::asio::awaitable<void> findOutCrash(UpstreamId upstream, const AttemptResult &result);
    std::optional<Failure> quarantineCheck(TimePoint now, bool &alone) const;
    boost::asio::awaitable<AttemptResult> stream(HttpCall &call, const AttemptId &id);
    boost::asio::awaitable<std::optional<Failure>> readRefusal(HttpCall &call, int status);
    std::optional<UpstreamId> choose(LastReason &reason);
    std::set<UpstreamId> closedUpstreams(bool alone) const;
    std::optional<Failure> dispatchCheck() const;
    PriorityInput priorityQuestion() const;
    std::string body(const AttemptId &id) const;
    boost::asio::awaitable<void> holdForPeers() const;
    boost::asio::awaitable<bool> waitAfter(const Failure &failure, LastReason &reason);

    RouterContext &context;
    ModelQuestion question;
    TextSink sink;
    AnswerAssembler assembler;
    std::set<UpstreamId> tried;
    Fingerprint print;
    RunState combinedRunState = RunState::NotRun;
    unsigned attempts = 0;
    unsigned attemptsWithoutProgress = 0;
    unsigned interruptions = 0;
    TimePoint acceptedAt;
    Milliseconds ran{0};
    TimePoint deadline;
    std::optional<TimePoint> firstTokenAt;
};

} // namespace parsleyvane
