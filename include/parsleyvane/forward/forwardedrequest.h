/**
 * @file
 * @brief Forwards one client's request to an upstream and relays the answer.
 */
#pragma once

#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/ingress/eventsplitter.h"
#include "parsleyvane/ingress/resolution.h"
#include "parsleyvane/net/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
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
    Overtaken, ///< another attempt at the same time answered first; its connection was closed
};

/// @brief The result's name in logs and metrics, such as "bad_data".
std::string_view resultName(AttemptResult result);

/// @brief Logs and counts a request that the server refuses, and marks its response as that to a request not run.
void recordRefusal(ForwardContext &context, Exchange &exchange, const Failure &failure);

/**
 * @brief Serves one request: admits it, sends it to upstreams until one answers, and reports the result to the client.
 *
 * A request that may run only once is retried only while it has certainly not run. An interrupted stream is resumed at
 * another upstream after its last complete event, if its route permits. Until an upstream may have run it, a request
 * follows the newest configuration; from then on it keeps the rules that it was sent under. Call run() once.
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
    /// The upstream of one attempt.
    struct Target
    {
        UpstreamEntry entry;
        bool usesCandidate = false; ///< it runs the version that is being rolled out
        RolloutPhase rollout; ///< at the time of the choice
        bool hasColdPermit = false; ///< it was cold when the permit was taken
    };

    /// A prefix for which this request was counted. Its retries use the same number of replicas.
    struct CountedPrefix
    {
        std::string affinity;
        std::size_t replicas = 1;
    };

    /// An upstream's complete answer.
    struct WholeAnswer
    {
        int status = 0;
        std::vector<HttpHeader> head;
        std::string body;
    };

    /// A second attempt, sent while the first one waits for its first response.
    struct Hedge;

    std::optional<Failure> admit();
    std::optional<Resolution> resolveNow(LastReason &reason) const;
    bool beginTrial();
    void adopt(Resolution found);
    /// Index in the sizes of the route of the model that gets the request first.
    std::size_t firstModel();
    std::optional<Failure> followNewestConfiguration();
    /// Applies admission control before the first attempt. Returns the refusal of a rejected request.
    std::optional<Failure> checkCapacity();
    /// Whether admission control lets a request that an upstream refused be sent again; sets the refusal otherwise.
    bool mayRetryRefused();
    AdmissionQuery admissionQuery() const;
    Failure rejectionBy(const AdmissionDecision &decision);
    /// Tells admission control that the upstream had room: at the first event, since a stream ends seconds later.
    void recordAcceptance();
    /// Whether the upstream refused for lack of room; one that leaves refuses whether or not it has room.
    bool lacksRoom(const UpstreamEntry &target, AttemptResult result) const;
    void recordRoom(const UpstreamEntry &target, AttemptResult result);
    boost::asio::awaitable<void> tryUpstreams();
    std::string_view retryObstacle() const;
    bool mayRetry(AttemptResult result, std::string &why);
    void stop(std::string_view why);
    bool payForRetry();
    Milliseconds waitOrHandOver(const UpstreamEntry &silent);
    /// Whether a stream that has begun is resumed at the version that began it, as the share of the other one grows.
    bool keepsVersion(const VersionShift &shift) const;
    /// Whether the ordered version is the only one that is not excluded: a return to the version before a roll-back.
    bool isOnlyOrderedVersionLeft(const VersionShift &shift) const;
    std::optional<Target> chooseTarget(UpstreamRequirements requirements);
    /// Chooses an upstream, and takes what it needs for one request to it from the limits.
    std::optional<Target> choosePermitted(UpstreamRequirements requirements);
    void setReplicas(UpstreamRequirements &requirements, TimePoint now);
    std::optional<Target> takeTarget();
    /// Takes what the upstream's limit and cold phase require for one request.
    bool takePermits(Target &target);
    /// Whether the operator's zones and regions permit the request at the upstream.
    bool isPlaceAllowed(const UpstreamEntry &entry) const;
    ColdStart coldStart() const;
    /// When an upstream may take the request; nothing when one may now, or there is none.
    std::optional<Milliseconds> untilPermitted(TimePoint now) const;
    std::unique_ptr<HttpCall> newConnection(const UpstreamEntry &target,
                                            const boost::asio::ip::tcp::endpoint &endpoint) const;
    /// Makes one attempt, and the hedge beside it if there is one.
    boost::asio::awaitable<AttemptResult> attempt();
    /// May end, also with an exception, while its hedge is in flight.
    boost::asio::awaitable<AttemptResult> firstAttempt();
    boost::asio::awaitable<AttemptResult> attemptAt(const UpstreamEntry &target, HttpCall &connection);
    boost::asio::awaitable<AttemptResult> readAnswer(const UpstreamEntry &target, HttpCall &connection);
    /// Reads the head of this request's own answer. Returns the attempt's result if that ends it.
    boost::asio::awaitable<std::optional<AttemptResult>>
    readAnswerHead(const UpstreamEntry &target, HttpCall &connection, TimePoint sent, AnswerHead &answer);
    boost::asio::awaitable<AttemptResult> readWhole(HttpCall &connection, const AnswerHead &facts);
    /// Reads the rest of a complete answer. Returns the attempt's result if the answer must not be used.
    boost::asio::awaitable<std::optional<AttemptResult>> readBody(HttpCall &connection, const AnswerHead &facts,
                                                                  AnswerShare &share, WholeAnswer &answer);
    /// Relays a stream. @param splitter with the bytes that were read before
    boost::asio::awaitable<AttemptResult> readStream(const UpstreamEntry &target, HttpCall &connection,
                                                     EventSplitter splitter);
    boost::asio::awaitable<std::optional<AttemptResult>> forwardEvents(const UpstreamEntry &target,
                                                                       HttpCall &connection, EventSplitter &splitter);
    boost::asio::awaitable<AttemptResult> deliver(WholeAnswer answer);
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> refuse(const Failure &failure);
    /// The result of an attempt whose connection failed, or whose answer is malformed.
    AttemptResult failureResult(const LastReason &reason);
    bool isTargetStillValid(const UpstreamEntry &target) const;
    std::optional<std::size_t> largerModel(const AnswerHead &facts) const;
    bool escalateToLargerModel(const AnswerHead &facts);
    /// Arranges for a hedge once the first attempt has taken longer than usual.
    void beginHedge(const UpstreamEntry &first);
    boost::asio::awaitable<void> runHedge(std::shared_ptr<Hedge> hedge, UpstreamEntry first);
    bool takeHedgeTarget(Hedge &hedge, const UpstreamEntry &first);
    boost::asio::awaitable<AttemptResult> attemptHedge(Hedge &hedge);
    /// Reads what decides whether the hedge wins: the first event of a stream, else the whole answer.
    boost::asio::awaitable<AttemptResult> readHedge(Hedge &hedge);
    boost::asio::awaitable<AttemptResult> readFirstEvent(Hedge &hedge);
    /// Closes the hedge's connection at once, or keeps the hedge from being sent.
    void cancelHedge();
    boost::asio::awaitable<void> awaitHedge();
    /// Waits until the hedge has ended, and relays its answer if it has won. Returns the result of both attempts.
    boost::asio::awaitable<AttemptResult> finishHedge(AttemptResult first);
    boost::asio::awaitable<AttemptResult> relayHedge(Hedge &hedge);
    /// Whether the hedge has a usable answer, so that this attempt's must not be used.
    bool isOvertaken() const;
    /// Whether a hedge is in flight.
    bool isHedged() const;
    void withholdHedge(std::string_view why, bool isLogged);
    void logHedge(const Hedge &hedge, const char *change, std::string_view why);
    void recordHedge(Hedge &hedge, AttemptResult result);
    void recordResponseTime(TimePoint now);
    void endRunning(Hedge &hedge);
    void recordResult(const UpstreamEntry &target, AttemptResult result);
    /// Counts the ended attempt in the load of the upstreams.
    void recordLoad(const UpstreamEntry &target, AttemptResult result);
    /// The attempt's time, if it can be compared with others of its kind.
    AttemptSample answeredSample() const;
    /// Whether the attempt has run so long after its first event that a loss is no crash that the request caused.
    bool hasSurvived(TimePoint now) const;
    /// Records that bytes of the attempt's stream were read, and once that the request has survived.
    void recordSignOfLife(const UpstreamEntry &target);
    void recordCrash(const UpstreamEntry &target);
    void recordTrial(const UpstreamEntry &target);
    /// Records what an answer tells beside the answer: that the upstream leaves, or wants no requests for some time.
    void recordAnnouncements(const UpstreamEntry &target, const AnswerHead &answer);
    void recordRequestRate(const UpstreamEntry &target, std::optional<RequestRate> rate, TimePoint sent);
    void recordSurvival(const UpstreamEntry &target);
    void recordVersionEvidence(AttemptResult result);
    void recordTimeToFirstEvent(TimePoint now);
    void recordEventLatency();
    void announceEvidence(const VersionShift &shift);
    /// Records that an upstream's answer is not well-formed HTTP/1.1.
    void recordMalformedAnswer(const Failure &failure);
    /// Records the answer for the choice of the first model.
    void recordModelAnswer(const AnswerHead &answer);
    void updateLoadLevel(Milliseconds waited);
    DispatchFacts dispatchFacts(const UpstreamEntry &target) const;
    Milliseconds answerTimeout() const;
    Milliseconds eventTimeout() const;
    Milliseconds silenceLimit(Milliseconds expected) const;
    bool isRepeatable() const;
    Milliseconds remainingTime() const;
    std::string affinityKey() const;
    std::string promptText() const;
    int rank() const;
    int limitRank() const;
    const RouteRule &route() const
    {
        return *this->resolution->route;
    }
    const ServiceName &service() const
    {
        return this->resolution->service;
    }
    void logAnswer(int status, std::string_view why);

    ForwardContext &context;
    Exchange &exchange;
    TimePoint arrivedAt;
    TimePoint deadline;
    RequestFacts facts;
    std::optional<Resolution> resolution; ///< set by admit(); replaced between attempts, while the request has not run
    double shareSample = 0; ///< hash of the request id, from 0 to 1; selects service and version in every attempt
    std::size_t sizeIndex = 0; ///< index of the model in the sizes of the route
    bool usesCandidate = false; ///< the latest attempt targets the version that is being rolled out
    RolloutPhase rollout; ///< under which the latest attempt's upstream was chosen
    VersionName version; ///< software version of the latest attempt's upstream
    std::string workKind; ///< route and model of the latest attempt; only latencies of the same kind are compared
    std::optional<CountedPrefix> countedPrefix;
    std::set<UpstreamId> sentTo;
    unsigned possibleRuns = 0; ///< attempts that may have run the request
    unsigned dispatches = 0; ///< attempts that began to send the request
    unsigned attempts = 0;
    RunState combinedRunState = RunState::NotRun;
    std::optional<WholeAnswer> failedAnswer; ///< the latest server error of an upstream
    std::optional<Failure> refusal; ///< set when a new configuration no longer permits the request
    std::optional<std::uint64_t> lastEvent; ///< id of the last event relayed
    RepeatFilter repeatFilter; ///< of the events relayed
    std::uint64_t events = 0; ///< relayed in this attempt
    TimePoint firstEventAt{};
    TimePoint sentAt{};
    Milliseconds firstSilenceLimit{0}; ///< answerTimeout() when the latest first attempt was sent
    TimePoint answeredAt{}; ///< the latest complete answer was received; a slow client takes it later
    std::string attemptLog; ///< summary of the attempts for the log
    std::string stopReason; ///< why no further attempt was made; empty while there may be one
    CrashSuspects suspects; ///< what its client's repeats of it, and other requests, have in common with it
    HttpCall *call = nullptr; ///< the connection in use
    TimePoint permitTakenAt{};
    bool hasColdPermit = false; ///< the latest attempt's upstream was cold when it was chosen
    std::shared_ptr<Hedge> hedge; ///< beside the attempt in progress
    bool isHedge = false; ///< the attempt in progress, or being recorded, is a hedge
    bool isTrial = false; ///< sent in spite of a blocked suspect, to find out whether the block still holds
    bool upstreamFailed = false; ///< this attempt's complete answer was a server error
    bool isSurvivalRecorded = false; ///< this attempt cleared the request of crashes
    bool isEventLatencyRecorded = false; ///< the inter-event latency of this attempt was recorded
    std::optional<Target> nextTarget; ///< takes over from a silent upstream; the retry budget was charged for it
    bool clientDisconnected = false;
    bool isAnswered = false;
    bool isConnectionReusable = false; ///< the answer was read to its end, so the connection may carry another request
};

} // namespace parsleyvane
