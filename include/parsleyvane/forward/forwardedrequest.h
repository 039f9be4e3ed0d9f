/**
 * @file
 * @brief Forwards one client's request to an upstream and relays the answer.
 */
#pragma once

#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/ingress/eventsplitter.h"
#include "parsleyvane/net/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <set>
#include <string>

namespace parsleyvane {

/// @brief How an attempt ended.
enum class AttemptResult {
    Delivered, ///< the whole answer was relayed
    ClientDisconnected, ///< the client closed its connection
    NoUpstream, ///< no upstream may run the request
    Unreachable, ///< the connection could not be established; nothing was sent
    Withdrawn, ///< the upstream or the route changed before the first byte was sent
    Refused, ///< the upstream did not run it, and will not
    Lost, ///< the connection broke
    Silent, ///< no progress within the timeout
    BadData, ///< the bytes are not a complete, valid answer to this request
    Failed, ///< a server error of the upstream, stored in case no other attempt succeeds
    PoorAnswer, ///< the confidence was low; a larger model gets the request
};

/// @brief The result's name in logs and metrics, such as "bad_data".
std::string_view resultName(AttemptResult result);

/**
 * @brief Serves one request: admits it, sends it to upstreams until one answers, and reports the result to the client.
 *
 * A request that may run only once is retried only while it has certainly not run. An interrupted stream is resumed at
 * another upstream after its last complete event, if its route permits. Call run() once.
 */
class ForwardedRequest
{
public:
    // constructors
    ForwardedRequest(ForwardContext &context, Exchange &exchange);
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;
    ~ForwardedRequest();

    // modifiers
    /// @brief Runs until the answer has been sent or aborted.
    boost::asio::awaitable<void> run();

private:
    /// An upstream's complete answer.
    struct WholeAnswer
    {
        int status = 0;
        std::vector<HttpHeader> head;
        std::string body;
    };

    std::optional<Failure> admit();
    std::optional<Failure> resolve();
    boost::asio::awaitable<void> tryUpstreams();
    bool mayRetry(AttemptResult result, std::string &why);
    void stop(std::string_view why);
    std::optional<UpstreamEntry> chooseTarget();
    boost::asio::awaitable<AttemptResult> attempt();
    boost::asio::awaitable<AttemptResult> attemptAt(const UpstreamEntry &target, HttpCall &connection);
    boost::asio::awaitable<AttemptResult> readAnswer(const UpstreamEntry &target, HttpCall &connection);
    boost::asio::awaitable<AttemptResult> readWhole(HttpCall &connection, const AnswerHead &facts);
    boost::asio::awaitable<AttemptResult> readStream(HttpCall &connection);
    boost::asio::awaitable<std::optional<AttemptResult>> forwardEvents(HttpCall &connection, EventSplitter &splitter);
    boost::asio::awaitable<AttemptResult> deliver(WholeAnswer answer);
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> refuse(const Failure &failure);
    AttemptResult failureResult(const LastReason &reason) const;
    bool isTargetStillValid(const UpstreamEntry &target);
    bool escalateToLargerModel(const AnswerHead &facts);
    void recordResult(const UpstreamEntry &target, AttemptResult result);
    void recordVersionEvidence(AttemptResult result);
    void recordTimeToFirstEvent(TimePoint now);
    void recordEventLatency();
    void announceEvidence(const VersionShift &shift);
    void updateLoadLevel(Milliseconds waited);
    DispatchFacts dispatchFacts(const UpstreamEntry &target) const;
    Milliseconds answerTimeout() const;
    Milliseconds eventTimeout() const;
    bool isLastRun() const;
    bool isRepeatable() const;
    Milliseconds remainingTime() const;
    std::string affinityKey() const;
    const Fingerprint &fingerprint();
    int rank() const;
    void logAnswer(int status, std::string_view why);

    ForwardContext &context;
    Exchange &exchange;
    TimePoint arrivedAt;
    TimePoint deadline;
    RequestFacts facts;
    std::shared_ptr<const RouteTable> table; ///< owns route and tenant
    const RouteRule *route = nullptr;
    const TenantRule *tenant = nullptr;
    ServiceName service;
    double shareSample = 0; ///< hash of the request id, from 0 to 1; selects service and version in every attempt
    std::size_t sizeIndex = 0; ///< index of the model in the sizes of the route
    bool usesCandidate = false; ///< the latest attempt targets the version that is being rolled out
    std::set<UpstreamId> sentTo;
    unsigned possibleRuns = 0; ///< attempts that may have run the request
    unsigned dispatches = 0; ///< attempts that began to send the request
    unsigned attempts = 0;
    RunState combinedRunState = RunState::NotRun;
    std::optional<WholeAnswer> failedAnswer; ///< the latest server error of an upstream
    std::optional<Failure> refusal; ///< set when a new configuration no longer permits the request
    std::optional<std::uint64_t> lastEvent; ///< id of the last event relayed
    std::uint64_t events = 0; ///< relayed in this attempt
    TimePoint firstEventAt{};
    TimePoint sentAt{};
    std::string attemptLog; ///< summary of the attempts for the log
    std::string stopReason; ///< why no further attempt was made; empty while there may be one
    Revision admittedRevision; ///< revision of the configuration that admitted the request
    Fingerprint fingerprintValue;
    HttpCall *call = nullptr; ///< the connection in use
    bool upstreamFailed = false; ///< this attempt's complete answer was a server error
    bool isEventLatencyRecorded = false; ///< the inter-event latency of this attempt was recorded
    bool clientDisconnected = false;
    bool isAnswered = false;
    bool isConnectionReusable = false; ///< the answer was read to its end, so the connection may carry another request
};

} // namespace parsleyvane
