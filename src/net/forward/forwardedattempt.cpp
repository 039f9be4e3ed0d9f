#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/httpstatus.h"
#include "parsleyvane/net/messagesyntax.h"
#include "parsleyvane/retry/attempts.h"

#include <algorithm>
#include <array>
#include <utility>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Upstreams accept a connection within a few ms. A full accept queue drops the SYN, which is resent after a second.
constexpr Milliseconds connectLimit{400};
/// An upstream that acknowledges no bytes for this long is unreachable.
constexpr Milliseconds unacknowledgedLimit{1000};
/// Late answers to earlier requests that are skipped before this request's own.
constexpr unsigned maxForeignAnswers = 2;
/// To read on past this costs more than another attempt on a new connection.
constexpr std::size_t maxDiscardedBytes = 65536;
/// Fraction of the objective to wait for the first event before a retry on another upstream.
constexpr double firstEventFactor = 0.75;
/// Multiple of the objective to wait for a non-streamed answer before a retry on another upstream.
constexpr double answerFactor = 1.5;
constexpr std::array connectionHeaders = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer",
                                          "Upgrade",    "TE",         "Proxy-Connection"};

std::vector<HttpHeader> forwardableHead(const http::response_header<> &head)
{
    std::vector<HttpHeader> passed;
    for (const auto &header : head) {
        const auto isNamed = [&](const char *name) {
            return boost::beast::iequals(header.name_string(), name);
        };
        const bool own = std::any_of(connectionHeaders.begin(), connectionHeaders.end(), isNamed);
        if (!own && !hasConnectionOption(head, header.name_string())) {
            passed.push_back({std::string(header.name_string()), std::string(header.value())});
        }
    }
    return passed;
}

Milliseconds scaled(Milliseconds duration, double factor)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

bool isSuccess(int status)
{
    return status >= statusOk && status < statusMultiple;
}

/// Whether the status guarantees to a client that its request has not run.
bool promisesNotRun(int status)
{
    constexpr std::array statuses = {408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/// Counts an attempt as in flight at its upstream during the scope of the guard.
class RunningGuard
{
public:
    /// @param target must outlive the guard
    RunningGuard(UpstreamList &list, const UpstreamEntry &target)
        : list(list)
        , target(target)
    {
        this->list.begin(this->target);
    }
    RunningGuard(const RunningGuard &) = delete;
    RunningGuard &operator=(const RunningGuard &) = delete;
    ~RunningGuard()
    {
        this->list.end(this->target);
    }

private:
    UpstreamList &list;
    const UpstreamEntry &target;
};

} // namespace

std::optional<ForwardedRequest::Target> ForwardedRequest::choosePermitted(UpstreamRequirements requirements)
{
    auto target = this->chooseTarget(std::move(requirements));
    if (target && !this->takePermits(*target)) {
        target.reset();
    }
    return target;
}

std::optional<ForwardedRequest::Target> ForwardedRequest::takeTarget()
{
    auto target = std::exchange(this->nextTarget, std::nullopt);
    if (!target || !this->takePermits(*target)) {
        target = this->choosePermitted({});
    }
    return target;
}

bool ForwardedRequest::takePermits(Target &target)
{
    FleetView &fleetView = this->context.fleetView;
    const TimePoint now = bootClockNow();
    if (!fleetView.upstreamLimiter.take(target.entry, now)) {
        return false;
    }
    if (!fleetView.coldUpstreams.take(target.entry, this->coldStart(), now)) {
        fleetView.upstreamLimiter.giveBack(target.entry);
        return false;
    }
    target.hasColdPermit = fleetView.coldUpstreams.isCold(target.entry, this->coldStart(), now);
    return true;
}

std::unique_ptr<HttpCall> ForwardedRequest::newConnection(const UpstreamEntry &target,
                                                          const asio::ip::tcp::endpoint &endpoint) const
{
    const CallLimits limits{.connect = std::min(connectLimit, this->remainingTime()),
                            .acknowledgementTimeout = unacknowledgedLimit};
    return std::make_unique<HttpCall>(this->context.io.get_executor(), target.id.str(), endpoint, limits);
}

asio::awaitable<AttemptResult> ForwardedRequest::attempt()
{
    AttemptResult result = AttemptResult::NoUpstream;
    std::exception_ptr thrown;
    try {
        result = co_await this->firstAttempt();
    } catch (...) {
        thrown = std::current_exception();
    }
    if (thrown) {
        // The hedge's coroutine uses this request, so it has to end first.
        this->call = nullptr;
        this->cancelHedge();
        co_await this->awaitHedge();
        std::rethrow_exception(thrown);
    }
    if (this->hedge) {
        result = co_await this->finishHedge(result);
    }
    co_return result;
}

asio::awaitable<AttemptResult> ForwardedRequest::firstAttempt()
{
    const auto chosen = this->takeTarget();
    if (!chosen) {
        const UpstreamLimiter &limiter = this->context.fleetView.upstreamLimiter;
        this->attemptLog.append(limiter.isLimited(this->service()) ? " none:limits" : " none");
        co_return AttemptResult::NoUpstream;
    }
    this->hasColdPermit = chosen->hasColdPermit;
    this->permitTakenAt = bootClockNow();
    if (this->hasColdPermit) {
        this->context.metrics.countEvent("cold_upstream_used");
    }
    this->usesCandidate = chosen->usesCandidate;
    this->version = chosen->entry.version;
    this->rollout = chosen->rollout;
    this->workKind = this->route().name.str() + "/" + std::to_string(this->sizeIndex);
    const UpstreamEntry &target = chosen->entry;
    LastReason reason;
    const auto endpoint = parseEndpoint(target.address, reason);
    const TimePoint startedAt = bootClockNow();
    const unsigned dispatchesBefore = this->dispatches;
    ++this->attempts;
    AttemptResult result = AttemptResult::Unreachable;
    this->isConnectionReusable = false;
    this->events = 0;
    this->isSurvivalRecorded = false;
    this->attemptLog.append(" ").append(target.id.str()).append(this->usesCandidate ? "/new" : "");
    if (!this->route().sizes.empty()) {
        this->attemptLog.append("/size").append(std::to_string(this->sizeIndex));
    }
    if (endpoint) {
        const RunningGuard running(this->context.fleetView.upstreams, target);
        std::unique_ptr<HttpCall> connection;
        if (this->isRepeatable()) {
            connection = this->context.pool.take(target.address, startedAt);
        }
        const bool reused = connection != nullptr;
        if (!reused) {
            connection = this->newConnection(target, *endpoint);
        }
        this->call = connection.get();
        if (reused || co_await connection->connect(reason)) {
            connection->onTimeout([this, &target]() { return this->waitOrHandOver(target); });
            result = co_await this->attemptAt(target, *connection);
            connection->onTimeout({});
        }
        this->call = nullptr;
        if (this->isConnectionReusable && connection->reusable()) {
            this->context.pool.keep(target.address, std::move(connection), bootClockNow());
        }
    }
    if (this->clientDisconnected && result != AttemptResult::Delivered) {
        result = AttemptResult::ClientDisconnected;
    }
    if (this->dispatches == dispatchesBefore) {
        this->context.fleetView.upstreamLimiter.giveBack(target);
        if (this->hasColdPermit) {
            this->context.fleetView.coldUpstreams.giveBack(target, bootClockNow());
        }
    }
    this->recordResult(target, result);
    const auto took = (bootClockNow() - startedAt).count();
    this->attemptLog.append(":").append(resultName(result)).append(":").append(std::to_string(took)).append("ms");
    if (this->events > 0) {
        this->attemptLog.append(":").append(std::to_string(this->events)).append("events");
    }
    co_return result;
}

asio::awaitable<AttemptResult> ForwardedRequest::attemptAt(const UpstreamEntry &target, HttpCall &connection)
{
    if (this->clientDisconnected) {
        co_return AttemptResult::ClientDisconnected;
    }
    // A connection may take longer than the slot of the permit.
    const bool isPermitted = !this->hasColdPermit
        || this->context.fleetView.coldUpstreams.renew(target, this->coldStart(), this->permitTakenAt, bootClockNow());
    if (!isPermitted || !this->isTargetStillValid(target)) {
        co_return AttemptResult::Withdrawn;
    }
    LastReason reason;
    const HttpRequest request
        = this->context.platform.makeUpstreamRequest(this->exchange.request(), this->dispatchFacts(target));
    this->sentTo.insert(target.id);
    this->sentAt = bootClockNow();
    this->firstEventAt = TimePoint();
    this->isEventLatencyRecorded = false;
    this->upstreamFailed = false;
    ++this->dispatches;
    ++this->possibleRuns;
    // The request may run as soon as its first byte is sent; only a refusal by the upstream restores the state before.
    const RunState before = this->combinedRunState;
    this->combinedRunState = combine(this->combinedRunState, RunState::Unknown);
    this->recordTrial(target);
    this->firstSilenceLimit = this->answerTimeout();
    connection.setTotalLimit(this->firstSilenceLimit);
    if (!co_await connection.send(request, reason)) {
        co_return this->failureResult(reason);
    }
    this->beginHedge(target);
    const AttemptResult result = co_await this->readAnswer(target, connection);
    if (result == AttemptResult::Refused) {
        --this->possibleRuns;
        const bool mayHedgeHaveRun = before == RunState::NotRun && this->possibleRuns > 0;
        this->combinedRunState = mayHedgeHaveRun ? this->combinedRunState : before;
    }
    co_return result;
}

asio::awaitable<AttemptResult> ForwardedRequest::readAnswer(const UpstreamEntry &target, HttpCall &connection)
{
    AnswerHead answer;
    const auto ended = co_await this->readAnswerHead(target, connection, this->sentAt, answer);
    if (ended || this->isOvertaken()) {
        co_return this->isOvertaken() ? AttemptResult::Overtaken : *ended;
    }
    if (isSuccess(static_cast<int>(connection.head().result_int())) && this->route().streams) {
        this->recordModelAnswer(answer);
        if (this->escalateToLargerModel(answer)) {
            co_return AttemptResult::PoorAnswer;
        }
        EventSplitter splitter;
        co_return co_await this->readStream(target, connection, std::move(splitter));
    }
    co_return co_await this->readWhole(connection, answer);
}

asio::awaitable<std::optional<AttemptResult>>
ForwardedRequest::readAnswerHead(const UpstreamEntry &target, HttpCall &connection, TimePoint sent, AnswerHead &answer)
{
    LastReason reason;
    for (unsigned foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        const auto status = co_await connection.readHead(reason);
        if (!status) {
            co_return this->failureResult(reason);
        }
        answer = this->context.platform.readAnswer(connection.head());
        if (!answer.requestId.empty() && answer.requestId != this->facts.id.str()) {
            // An answer to an earlier request on this connection: it is read to its end and discarded.
            this->attemptLog.append(" foreign_answer");
            std::optional<std::string> piece = co_await connection.readSome(reason);
            std::size_t discarded = 0;
            while (piece && !piece->empty()) {
                discarded += piece->size();
                if (discarded > maxDiscardedBytes) {
                    co_return AttemptResult::BadData;
                }
                piece = co_await connection.readSome(reason);
            }
            if (!piece) {
                co_return this->failureResult(reason);
            }
            continue;
        }
        if (answer.requestId.empty() && connection.isReused()) {
            // It may be the repeated answer to an earlier request on this connection.
            this->attemptLog.append(" answer_without_id");
            co_return AttemptResult::BadData;
        }
        this->recordRequestRate(target, answer.requestRate, sent);
        this->recordAnnouncements(target, answer);
        if (answer.coldRemaining) {
            this->context.fleetView.coldUpstreams.onReported(target, *answer.coldRemaining, bootClockNow());
        }
        if (answer.notRun && !isSuccess(*status)) {
            if (*status == statusMisdirected) {
                this->context.fleetView.upstreams.recordOutcome(target, UpstreamOutcome::ReportedDraining,
                                                                bootClockNow());
            }
            co_return AttemptResult::Refused;
        }
        const bool isUnprovenSuccess = isSuccess(*status) && (!answer.isSigned || answer.requestId.empty());
        if (answer.isEncoded || isUnprovenSuccess) {
            co_return AttemptResult::BadData;
        }
        co_return std::nullopt;
    }
    co_return AttemptResult::BadData;
}

asio::awaitable<AttemptResult> ForwardedRequest::readWhole(HttpCall &connection, const AnswerHead &facts)
{
    WholeAnswer answer;
    AnswerShare share(this->context.answerMemory);
    const auto ended = co_await this->readBody(connection, facts, share, answer);
    this->isConnectionReusable = !this->isOvertaken();
    if (ended || this->isOvertaken()) {
        co_return this->isOvertaken() ? AttemptResult::Overtaken : *ended;
    }
    this->upstreamFailed = answer.status >= statusServerError;
    if (this->exchange.answered()) {
        // The client is in the middle of a stream that this upstream was to resume.
        co_return AttemptResult::Failed;
    }
    if (this->upstreamFailed && this->isRepeatable()) {
        this->failedAnswer = std::move(answer);
        co_return AttemptResult::Failed;
    }
    this->cancelHedge();
    this->recordResponseTime(bootClockNow());
    co_return co_await this->deliver(std::move(answer));
}

asio::awaitable<std::optional<AttemptResult>> ForwardedRequest::readBody(HttpCall &connection, const AnswerHead &facts,
                                                                         AnswerShare &share, WholeAnswer &answer)
{
    LastReason reason;
    answer.status = static_cast<int>(connection.head().result_int());
    answer.head = forwardableHead(connection.head());
    while (true) {
        auto piece = co_await connection.readSome(reason);
        if (!piece) {
            co_return this->failureResult(reason);
        }
        if (piece->empty()) {
            break;
        }
        if (!share.take(piece->size())) {
            this->attemptLog.append(" answer_too_long");
            co_return AttemptResult::BadData;
        }
        answer.body.append(*piece);
    }
    this->answeredAt = bootClockNow();
    this->combinedRunState = RunState::Ran;
    if (!isSuccess(answer.status) && (!facts.isSigned || promisesNotRun(answer.status))) {
        // The request may have run, so a status that guarantees the opposite must not reach the client.
        co_return AttemptResult::BadData;
    }
    co_return std::nullopt;
}

asio::awaitable<AttemptResult> ForwardedRequest::deliver(WholeAnswer answer)
{
    this->isAnswered = true;
    const int status = answer.status;
    const bool whole = co_await this->exchange.relay(status, std::move(answer.head), std::move(answer.body));
    this->logAnswer(status, whole ? "upstream" : "caller_gone");
    co_return whole ? AttemptResult::Delivered : AttemptResult::ClientDisconnected;
}

asio::awaitable<AttemptResult> ForwardedRequest::readStream(const UpstreamEntry &target, HttpCall &connection,
                                                            EventSplitter splitter)
{
    LastReason reason;
    this->repeatFilter.onStreamBegin(this->lastEvent);
    if (splitter.pending() > 0) {
        if (const auto ended = co_await this->forwardEvents(target, connection, splitter)) {
            co_return *ended;
        }
    }
    connection.setTotalLimit(this->firstEventAt == TimePoint() ? this->answerTimeout() : this->eventTimeout());
    while (true) {
        const auto previousEvent = this->lastEvent;
        auto piece = co_await connection.readSome(reason);
        if (!piece) {
            co_return this->failureResult(reason);
        }
        if (piece->empty()) {
            break;
        }
        splitter.feed(*piece);
        if (const auto ended = co_await this->forwardEvents(target, connection, splitter)) {
            co_return *ended;
        }
        if (splitter.isEventTooLong()) {
            co_return AttemptResult::BadData;
        }
        if (this->lastEvent != previousEvent) {
            // Only a new event extends the wait: comments, repeated events and parts of events may arrive without end.
            connection.setTotalLimit(this->eventTimeout());
        }
        if (this->remainingTime() <= Milliseconds(0)) {
            co_return AttemptResult::Silent;
        }
    }
    if (splitter.pending() > 0) {
        co_return AttemptResult::BadData;
    }
    if (this->isOvertaken()) {
        co_return AttemptResult::Overtaken;
    }
    this->cancelHedge();
    this->isConnectionReusable = true;
    this->answeredAt = bootClockNow();
    this->combinedRunState = RunState::Ran;
    if (!this->exchange.answered()
        && !co_await this->exchange.beginRelay(statusOk, forwardableHead(connection.head()), std::string())) {
        co_return AttemptResult::ClientDisconnected;
    }
    this->isAnswered = true;
    const bool whole = co_await this->exchange.endStream();
    this->logAnswer(statusOk, whole ? "upstream" : "caller_gone");
    co_return whole ? AttemptResult::Delivered : AttemptResult::ClientDisconnected;
}

asio::awaitable<std::optional<AttemptResult>>
ForwardedRequest::forwardEvents(const UpstreamEntry &target, HttpCall &connection, EventSplitter &splitter)
{
    std::string out;
    if (this->isOvertaken()) {
        co_return AttemptResult::Overtaken;
    }
    // Counted as relayed only once all are valid: at a gap, all of them are left to the next attempt.
    auto newestEvent = this->lastEvent;
    RepeatFilter newestFilter = this->repeatFilter;
    std::uint64_t count = 0;
    while (const auto event = splitter.next()) {
        if (newestFilter.isRepeated(*event)) {
            continue;
        }
        if (event->id) {
            if (newestEvent && *event->id != *newestEvent + 1) {
                co_return AttemptResult::BadData;
            }
            newestEvent = event->id;
        }
        out.append(event->bytes);
        ++count;
    }
    this->repeatFilter = newestFilter;
    if (out.empty()) {
        co_return std::nullopt;
    }
    this->lastEvent = newestEvent;
    this->events += count;
    this->cancelHedge();
    if (this->firstEventAt == TimePoint()) {
        this->firstEventAt = bootClockNow();
        this->recordResponseTime(this->firstEventAt);
        this->updateLoadLevel(this->firstEventAt - this->sentAt);
        this->recordTimeToFirstEvent(this->firstEventAt);
        this->recordAcceptance();
    }
    this->recordSignOfLife(target);
    this->recordEventLatency();
    bool passed = false;
    if (!this->exchange.answered()) {
        passed = co_await this->exchange.beginRelay(statusOk, forwardableHead(connection.head()), std::move(out));
    } else {
        passed = co_await this->exchange.write(std::move(out));
    }
    if (!passed || this->clientDisconnected) {
        co_return AttemptResult::ClientDisconnected;
    }
    co_return std::nullopt;
}

AttemptResult ForwardedRequest::failureResult(const LastReason &reason)
{
    if (this->clientDisconnected) {
        return AttemptResult::ClientDisconnected;
    }
    if (this->isOvertaken()) {
        return AttemptResult::Overtaken;
    }
    switch (reason.failure().id) {
    case ErrorId::UpstreamSilent:
        return AttemptResult::Silent;
    case ErrorId::BadUpstreamData:
        this->recordMalformedAnswer(reason.failure());
        return AttemptResult::BadData;
    default:
        return AttemptResult::Lost;
    }
}

bool ForwardedRequest::isTargetStillValid(const UpstreamEntry &target) const
{
    const RegisteredUpstream *upstream = this->context.fleetView.upstreams.find(target.id);
    const bool isSameTarget = upstream != nullptr && !upstream->reportedDraining && upstream->entry == target
        && upstream->notBefore <= bootClockNow() && shiftOf(this->context, this->service()).phase() == this->rollout;
    const bool isColdMeanwhile = !this->hasColdPermit
        && this->context.fleetView.coldUpstreams.isCold(target, this->coldStart(), bootClockNow());
    if (isColdMeanwhile || !this->isPlaceAllowed(target)) {
        return false;
    }
    if (!isSameTarget || this->combinedRunState != RunState::NotRun
        || this->resolution->table == this->context.fleetView.table) {
        return isSameTarget;
    }
    LastReason reason;
    const auto newest = this->resolveNow(reason);
    return newest && haveSameRules(*newest, *this->resolution);
}

std::optional<std::size_t> ForwardedRequest::largerModel(const AnswerHead &answer) const
{
    const SizeChoiceInput input{.size = this->sizeIndex,
                                .confidence = answer.confidence,
                                .promptTokens = this->facts.promptTokens,
                                .loadLevel = this->context.loadLevels[this->service()]};
    return largerSize(this->route(), input, this->context.sizes);
}

bool ForwardedRequest::escalateToLargerModel(const AnswerHead &answer)
{
    const auto larger = this->largerModel(answer);
    if (!larger || this->exchange.answered() || !this->retryObstacle().empty() || !this->chooseTarget({})
        || !this->context.budget.take(this->service(), bootClockNow())) {
        return false;
    }
    this->attemptLog.append(" confidence:").append(std::to_string(answer.confidence.value_or(-1)));
    this->attemptLog.append(" pressure:")
        .append(std::to_string(this->context.loadLevels[this->service()]).substr(0, 4));
    this->sizeIndex = *larger;
    return true;
}

DispatchFacts ForwardedRequest::dispatchFacts(const UpstreamEntry &target) const
{
    DispatchFacts dispatch{.upstream = target.id, .remainingTime = this->remainingTime(), .lastEvent = this->lastEvent};
    if (this->resolution->tenant != nullptr) {
        dispatch.account = this->resolution->tenant->account;
    }
    if (!this->route().sizes.empty()) {
        dispatch.model = this->route().sizes.at(this->sizeIndex);
    }
    if (this->route().usesPrefixCache) {
        dispatch.priority = this->rank();
    }
    return dispatch;
}

Milliseconds ForwardedRequest::answerTimeout() const
{
    const double factor = this->route().streams ? firstEventFactor : answerFactor;
    return this->silenceLimit(scaled(this->route().objective, factor));
}

Milliseconds ForwardedRequest::eventTimeout() const
{
    return this->silenceLimit(this->route().interEventObjective);
}

Milliseconds ForwardedRequest::silenceLimit(Milliseconds expected) const
{
    const Milliseconds left = std::max(this->remainingTime(), Milliseconds(1));
    const bool isLastRun = !this->isRepeatable() || this->possibleRuns >= this->route().maxAttempts;
    return isLastRun ? left : std::min(left, expected);
}

} // namespace parsleyvane
