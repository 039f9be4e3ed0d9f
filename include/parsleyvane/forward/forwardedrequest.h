/**
 * @file
 * @brief One client's request on its way to an upstream and back.
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
    Delivered, ///< the whole answer was passed on
    ClientDisconnected, ///< the client closed its connection
    NoUpstream, ///< none may take it
    Unreachable, ///< no connection; nothing was sent
    Withdrawn, ///< the upstream or the route changed before the first byte; nothing was sent
    Refused, ///< the upstream did not run it, and will not
    Lost, ///< the connection broke
    Silent, ///< no progress within the limit
    BadData, ///< bytes that are no whole answer to this request
    Failed, ///< the upstream's own failure, kept in case no other attempt does better
    PoorAnswer, ///< a larger model is asked instead
};

/// @brief The result as it stands in logs and metrics, such as "bad_data".
std::string_view resultName(AttemptResult result);

/**
 * @brief Serves one request: admits it, sends it to upstreams until one answers, and says truthfully what happened.
 *
 * A request that may run once is sent again only while it has certainly not run. A stream goes on at another upstream
 * after its last whole event, if its route permits. Call run() once.
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
    /// @brief Runs to the answer's end.
    boost::asio::awaitable<void> run();

private:
    /// An upstream's answer that was read to its end.
    struct WholeAnswer
    {
        int status = 0;
        std::vector<HttpHeader> head;
        std::string body;
    };

    std::optional<Failure> admit();
    std::optional<Failure> resolve();
    boost::asio::awaitable<void> tryUpstreams();
    bool mayTryAgain(AttemptResult result, std::string &why);
    std::optional<UpstreamEntry> chooseTarget();
    boost::asio::awaitable<AttemptResult> attempt();
    boost::asio::awaitable<AttemptResult> attemptAt(const UpstreamEntry &target, HttpCall &connection);
    boost::asio::awaitable<AttemptResult> readAnswer(const UpstreamEntry &target, HttpCall &connection);
    boost::asio::awaitable<AttemptResult> readWhole(HttpCall &connection, const AnswerHead &facts);
    boost::asio::awaitable<AttemptResult> readStream(HttpCall &connection);
    boost::asio::awaitable<std::optional<AttemptResult>> passEvents(HttpCall &connection, EventSplitter &splitter);
    boost::asio::awaitable<AttemptResult> deliver(WholeAnswer answer);
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> refuse(const Failure &failure);
    AttemptResult broken(const LastReason &reason) const;
    bool isStillWanted(const UpstreamEntry &target);
    bool askLarger(const AnswerHead &facts);
    void learn(const UpstreamEntry &target, AttemptResult result);
    void learnVersion(AttemptResult result);
    void judgeStart(TimePoint now);
    void judgePace();
    void tellEvidence(const VersionShift &shift);
    void notePressure(Milliseconds waited);
    DispatchFacts dispatchFacts(const UpstreamEntry &target) const;
    Milliseconds answerLimit() const;
    Milliseconds gapLimit() const;
    bool isLastRun() const;
    bool isRepeatable() const;
    Milliseconds remaining() const;
    std::string affinity() const;
    const Fingerprint &fingerprintOf();
    int rank() const;
    void logAnswer(int status, std::string_view why);

    ForwardContext &context;
    Exchange &exchange;
    TimePoint arrivedAt;
    TimePoint deadline;
    RequestFacts facts;
    std::shared_ptr<const RouteTable> table; ///< keeps route and tenant alive
    const RouteRule *route = nullptr;
    const TenantRule *tenant = nullptr;
    ServiceName service;
    double draw = 0; ///< places the request among shares, the same for each attempt
    std::size_t size = 0; ///< index of the model asked
    bool candidate = false; ///< the latest attempt went to a version that is being rolled out
    std::set<UpstreamId> sentTo;
    unsigned runs = 0; ///< attempts that may have run
    unsigned sendings = 0; ///< attempts that reached an upstream
    unsigned tries = 0;
    RunState combinedRunState = RunState::NotRun;
    std::optional<WholeAnswer> held; ///< an upstream's failure
    std::optional<Failure> refusal; ///< why it is given up, when the configuration changed underneath
    std::optional<std::uint64_t> lastEvent; ///< the last one passed on
    std::uint64_t events = 0; ///< passed on in this attempt
    TimePoint firstEventAt{};
    TimePoint sentAt{};
    std::string trail; ///< the attempts so far, for the log
    Fingerprint fingerprintValue;
    HttpCall *call = nullptr; ///< the connection in use
    bool upstreamFailed = false; ///< this attempt's answer was read whole and tells of a failure
    bool paceJudged = false; ///< this attempt's pauses were compared with the usual ones
    bool gone = false;
    bool answered = false;
    bool connectionKept = false; ///< the answer was read to its end and the connection may carry another
};

} // namespace parsleyvane
