#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/httpstatus.h"
#include "parsleyvane/retry/attempts.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace parsleyvane {

namespace asio = boost::asio;

/// Its coroutine uses the request; attempt() therefore waits in finishHedge() until the coroutine has ended.
struct ForwardedRequest::Hedge
{
    explicit Hedge(ForwardContext &context)
        : timer(context.io)
        , ended(context.io, asio::steady_timer::time_point::max())
        , share(std::in_place, context.answerMemory)
    {
    }

    asio::steady_timer timer; ///< until it may be sent
    asio::steady_timer ended; ///< cancelled when the coroutine has ended
    std::optional<Target> target;
    std::unique_ptr<HttpCall> connection;
    TimePoint sentAt{};
    std::optional<AnswerShare> share; ///< empty once the hedge has failed
    std::optional<WholeAnswer> answer; ///< unless the answer is a stream
    EventSplitter splitter; ///< the beginning of a stream
    bool isRunning = false; ///< counted as an attempt in flight
    bool isSent = false;
    bool isCancelled = false;
    bool isEscalated = false; ///< a larger model gets the request
    bool hasWon = false; ///< the first attempt is overtaken
    bool hasEnded = false; ///< the coroutine has ended
};

void ForwardedRequest::beginHedge(const UpstreamEntry &first)
{
    const HedgePolicy &policy = this->context.hedges;
    if (!policy.isEnabled()) {
        return;
    }
    if (!this->isRepeatable() || this->exchange.answered()) {
        this->withholdHedge(verdictName(HedgeVerdict::NotRepeatable), false);
        return;
    }
    const auto delay
        = policy.delay(hedgeKind(this->workKind, this->facts.promptTokens), this->route().objective, bootClockNow());
    if (!delay) {
        this->withholdHedge(verdictName(HedgeVerdict::FewSamples), false);
        return;
    }
    this->hedge = std::make_shared<Hedge>(this->context);
    this->hedge->timer.expires_after(*delay - (bootClockNow() - this->sentAt));
    asio::co_spawn(this->context.io, this->runHedge(this->hedge, first),
                   [hedge = this->hedge](const std::exception_ptr &) {
                       hedge->hasEnded = true;
                       hedge->ended.cancel();
                   });
}

asio::awaitable<void> ForwardedRequest::runHedge(std::shared_ptr<Hedge> hedge, UpstreamEntry first)
{
    boost::system::error_code error;
    co_await hedge->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (hedge->isCancelled || !this->takeHedgeTarget(*hedge, first)) {
        co_return;
    }
    const AttemptResult result = co_await this->attemptHedge(*hedge);
    if (hedge->isCancelled) {
        co_return;
    }
    if (result == AttemptResult::Delivered) {
        hedge->hasWon = true;
        if (this->call != nullptr) {
            this->call->close();
        }
        this->logHedge(*hedge, "won", {});
        co_return;
    }
    if (hedge->isEscalated && this->call != nullptr) {
        hedge->hasWon = true;
        this->call->close();
    }
    if (result == AttemptResult::Failed && hedge->answer) {
        this->failedAnswer = std::move(*hedge->answer);
    }
    // The first attempt may go on for long after this one.
    if (hedge->connection) {
        hedge->connection->close();
    }
    hedge->answer.reset();
    hedge->share.reset();
    this->logHedge(*hedge, "failed", resultName(result));
    this->recordHedge(*hedge, result);
}

bool ForwardedRequest::takeHedgeTarget(Hedge &hedge, const UpstreamEntry &first)
{
    const TimePoint now = bootClockNow();
    // A hedge counts as a run, and the larger model needs one as well.
    const bool mayNeedLargerModel = this->sizeIndex + 1 < this->route().sizes.size();
    const unsigned runsNeeded = mayNeedLargerModel ? 2 : 1;
    const bool hasRunsLeft = this->possibleRuns + runsNeeded <= this->route().maxAttempts;
    HedgeFacts hedgeFacts{.service = this->service(),
                          .kind = hedgeKind(this->workKind, this->facts.promptTokens),
                          .mayRepeat = this->isRepeatable() && !this->exchange.answered(),
                          .hasAttemptLeft = hasRunsLeft && this->retryObstacle().empty(),
                          .isSuspected = this->isTrial || this->context.fleetView.crashes.isSuspected(this->suspects),
                          .mayNeedLargerModel = mayNeedLargerModel,
                          .retriesLeft = this->context.budget.remaining(this->service(), now),
                          .timeLeft = this->remainingTime(),
                          .objective = this->route().objective};
    if (this->context.sharesLoad) {
        hedgeFacts.sharedLoad = this->context.fleetView.load.serviceLoad(this->service(), now);
    }
    const HedgeVerdict verdict = this->context.hedges.decide(hedgeFacts, now);
    if (verdict != HedgeVerdict::Send) {
        this->withholdHedge(verdictName(verdict), true);
        return false;
    }
    const FleetView &fleetView = this->context.fleetView;
    UpstreamRequirements requirements{.excluded = first, .onlyHealthy = true};
    requirements.versionAllowed = [this](const VersionName &candidate) {
        return candidate == this->version;
    };
    requirements.limitsPermit = [&fleetView, now, cold = this->coldStart()](const RegisteredUpstream &upstream) {
        return !fleetView.upstreamLimiter.isLimited(upstream.entry)
            && !fleetView.coldUpstreams.isCold(upstream.entry, cold, now);
    };
    hedge.target = this->choosePermitted(std::move(requirements));
    if (!hedge.target) {
        this->withholdHedge("no_upstream", true);
        return false;
    }
    const bool isSameRollout
        = hedge.target->usesCandidate == this->usesCandidate && hedge.target->rollout == this->rollout;
    if (!isSameRollout || !this->context.budget.take(this->service(), now)) {
        this->context.fleetView.upstreamLimiter.giveBack(hedge.target->entry);
        this->withholdHedge("rollout", true);
        return false;
    }
    this->context.hedges.onHedge(this->service(), now);
    ++this->attempts;
    hedge.isRunning = true;
    this->context.fleetView.upstreams.begin(hedge.target->entry);
    return true;
}

asio::awaitable<AttemptResult> ForwardedRequest::attemptHedge(Hedge &hedge)
{
    const UpstreamEntry &target = hedge.target->entry;
    LastReason reason;
    const auto endpoint = parseEndpoint(target.address, reason);
    if (!endpoint) {
        co_return AttemptResult::Unreachable;
    }
    hedge.connection = this->newConnection(target, *endpoint);
    HttpCall &connection = *hedge.connection;
    if (!co_await connection.connect(reason)) {
        co_return AttemptResult::Unreachable;
    }
    const bool isCold = this->context.fleetView.coldUpstreams.isCold(target, this->coldStart(), bootClockNow());
    if (hedge.isCancelled || isCold || !this->isTargetStillValid(target)) {
        co_return AttemptResult::Withdrawn;
    }
    const HttpRequest request
        = this->context.platform.makeUpstreamRequest(this->exchange.request(), this->dispatchFacts(target));
    this->sentTo.insert(target.id);
    hedge.sentAt = bootClockNow();
    hedge.isSent = true;
    ++this->dispatches;
    ++this->possibleRuns;
    this->combinedRunState = combine(this->combinedRunState, RunState::Unknown);
    this->logHedge(hedge, "sent", {});
    connection.setTotalLimit(this->answerTimeout());
    connection.onTimeout([this, &target]() {
        // While both wait, the first attempt is the one that may be handed over.
        return this->call != nullptr ? Milliseconds(0) : this->waitOrHandOver(target);
    });
    AttemptResult result = AttemptResult::Lost;
    if (co_await connection.send(request, reason)) {
        result = co_await this->readHedge(hedge);
    } else {
        result = this->failureResult(reason);
    }
    connection.onTimeout({});
    if (result == AttemptResult::Refused) {
        --this->possibleRuns;
        if (this->possibleRuns == 0) {
            this->combinedRunState = RunState::NotRun;
        }
    }
    co_return result;
}

asio::awaitable<AttemptResult> ForwardedRequest::readHedge(Hedge &hedge)
{
    AnswerHead head;
    if (const auto ended = co_await this->readAnswerHead(hedge.target->entry, *hedge.connection, hedge.sentAt, head)) {
        co_return *ended;
    }
    if (hedge.isCancelled) {
        co_return AttemptResult::Overtaken;
    }
    const auto status = static_cast<int>(hedge.connection->head().result_int());
    if (this->route().streams && status < statusMultiple) {
        // The first attempt's answer would be as poor, so the larger model gets the request at once.
        hedge.isEscalated = this->escalateToLargerModel(head);
        if (hedge.isEscalated || (this->call != nullptr && this->largerModel(head))) {
            co_return AttemptResult::PoorAnswer;
        }
        co_return co_await this->readFirstEvent(hedge);
    }
    hedge.answer = WholeAnswer();
    if (const auto ended = co_await this->readBody(*hedge.connection, head, *hedge.share, *hedge.answer)) {
        hedge.answer.reset();
        co_return *ended;
    }
    co_return status >= statusServerError ? AttemptResult::Failed : AttemptResult::Delivered;
}

asio::awaitable<AttemptResult> ForwardedRequest::readFirstEvent(Hedge &hedge)
{
    LastReason reason;
    while (true) {
        const auto piece = co_await hedge.connection->readSome(reason);
        if (!piece) {
            co_return this->failureResult(reason);
        }
        if (piece->empty()) {
            co_return hedge.splitter.pending() == 0 ? AttemptResult::Delivered : AttemptResult::BadData;
        }
        hedge.splitter.feed(*piece);
        // New events are taken from the splitter only when they are relayed.
        EventSplitter copy = hedge.splitter;
        while (const auto event = copy.next()) {
            const std::uint64_t relayed = this->lastEvent.value_or(0);
            if (!event->id || !this->lastEvent || *event->id == relayed + 1) {
                co_return AttemptResult::Delivered;
            }
            if (*event->id > relayed) {
                co_return AttemptResult::BadData;
            }
            // Repeated events together may be longer than the limit for one event.
            hedge.splitter.next();
        }
        if (hedge.splitter.isEventTooLong()) {
            co_return AttemptResult::BadData;
        }
    }
}

void ForwardedRequest::cancelHedge()
{
    if (!this->hedge || this->hedge->isCancelled) {
        return;
    }
    Hedge &cancelled = *this->hedge;
    cancelled.isCancelled = true;
    cancelled.timer.expires_at(asio::steady_timer::time_point::min());
    if (!cancelled.isRunning) {
        return;
    }
    if (cancelled.connection) {
        cancelled.connection->close();
    }
    if (cancelled.isSent) {
        this->context.metrics.countAttempt(UpstreamId(this->service().str()), resultName(AttemptResult::Overtaken));
        this->logHedge(cancelled, "lost", this->clientDisconnected ? "caller_gone" : "overtaken");
    }
    this->endRunning(cancelled);
}

asio::awaitable<void> ForwardedRequest::awaitHedge()
{
    const std::shared_ptr<Hedge> current = this->hedge;
    while (current && !current->hasEnded) {
        boost::system::error_code error;
        co_await current->ended.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<AttemptResult> ForwardedRequest::finishHedge(AttemptResult first)
{
    const std::shared_ptr<Hedge> current = this->hedge;
    // Before it is sent, a retry is as fast, and the failure may forbid another run.
    const bool mayTakeOver = first != AttemptResult::Delivered && first != AttemptResult::PoorAnswer
        && first != AttemptResult::ClientDisconnected && current->isSent;
    if (!mayTakeOver) {
        this->cancelHedge();
    }
    co_await this->awaitHedge();
    this->hedge.reset();
    if (this->clientDisconnected && first != AttemptResult::Delivered) {
        co_return AttemptResult::ClientDisconnected;
    }
    if (current->hasWon && !current->isCancelled && !current->isEscalated) {
        co_return co_await this->relayHedge(*current);
    }
    this->endRunning(*current);
    co_return current->isEscalated ? AttemptResult::PoorAnswer : first;
}

asio::awaitable<AttemptResult> ForwardedRequest::relayHedge(Hedge &hedge)
{
    const UpstreamEntry &target = hedge.target->entry;
    HttpCall &connection = *hedge.connection;
    this->sentAt = hedge.sentAt;
    this->firstEventAt = TimePoint();
    this->events = 0;
    this->isSurvivalRecorded = false;
    this->isEventLatencyRecorded = false;
    this->upstreamFailed = false;
    this->isConnectionReusable = hedge.answer.has_value();
    this->isHedge = true;
    this->call = &connection;
    AttemptResult result = AttemptResult::Lost;
    if (hedge.answer) {
        result = co_await this->deliver(std::move(*hedge.answer));
    } else {
        connection.onTimeout([this, &target]() { return this->waitOrHandOver(target); });
        result = co_await this->readStream(target, connection, std::move(hedge.splitter));
        connection.onTimeout({});
    }
    this->call = nullptr;
    if (this->isConnectionReusable && connection.reusable()) {
        this->context.pool.keep(target.address, std::move(hedge.connection), bootClockNow());
    }
    if (this->clientDisconnected && result != AttemptResult::Delivered) {
        result = AttemptResult::ClientDisconnected;
    }
    this->recordHedge(hedge, result);
    co_return result;
}

bool ForwardedRequest::isOvertaken() const
{
    return this->hedge && this->hedge->hasWon;
}

bool ForwardedRequest::isHedged() const
{
    return this->hedge && this->hedge->isRunning;
}

void ForwardedRequest::withholdHedge(std::string_view why, bool isLogged)
{
    this->context.metrics.countEvent("hedge_withheld_" + std::string(why));
    if (!isLogged) {
        return;
    }
    this->context.log.line("hedge",
                           {{"change", "withheld"},
                            {"id", this->facts.id.str()},
                            {"why", why},
                            {"ms", (bootClockNow() - this->sentAt).count()}});
}

void ForwardedRequest::logHedge(const Hedge &hedge, const char *change, std::string_view why)
{
    this->context.metrics.countEvent(std::string("hedge_") + change);
    this->context.log.line("hedge",
                           {{"change", change},
                            {"id", this->facts.id.str()},
                            {"upstream", processName(hedge.target->entry)},
                            {"why", why.empty() ? "-" : why},
                            {"ms", (bootClockNow() - this->arrivedAt).count()}});
}

void ForwardedRequest::recordHedge(Hedge &hedge, AttemptResult result)
{
    const TimePoint firstSentAt = std::exchange(this->sentAt, hedge.sentAt);
    this->isHedge = true;
    this->recordResult(hedge.target->entry, result);
    this->isHedge = false;
    this->sentAt = firstSentAt;
    this->attemptLog.append(" hedge:").append(hedge.target->entry.id.str()).append(":").append(resultName(result));
    if (hedge.isSent) {
        this->attemptLog.append(":").append(std::to_string((bootClockNow() - hedge.sentAt).count())).append("ms");
    }
    this->endRunning(hedge);
}

void ForwardedRequest::endRunning(Hedge &hedge)
{
    if (!std::exchange(hedge.isRunning, false)) {
        return;
    }
    this->context.fleetView.upstreams.end(hedge.target->entry);
    if (!hedge.isSent) {
        this->context.fleetView.upstreamLimiter.giveBack(hedge.target->entry);
    }
}

void ForwardedRequest::recordResponseTime(TimePoint now)
{
    if (!this->isHedge && !this->exchange.answered()) {
        this->context.hedges.onResponse(hedgeKind(this->workKind, this->facts.promptTokens), now - this->sentAt, now);
    }
}

} // namespace parsleyvane
