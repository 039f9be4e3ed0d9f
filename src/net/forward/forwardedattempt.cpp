#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/httpstatus.h"
#include "parsleyvane/retry/attempts.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Upstreams answer a new connection within some ms; a full queue drops the first packet for a second.
constexpr Milliseconds connectLimit{400};
/// An upstream that acknowledges nothing for this long is dark.
constexpr Milliseconds unacknowledgedLimit{1000};
/// Late answers to another request that may stand before this request's own.
constexpr unsigned mostForeignAnswers = 2;
/// A first event later than this part of the objective is better asked for elsewhere.
constexpr double firstEventPart = 0.75;
/// A pause longer than this part of its objective means that the upstream hangs.
constexpr double gapPart = 1.0;
/// A plain answer later than this many times the objective is better asked for elsewhere.
constexpr double answerFactor = 1.5;
/// Pauses that clients bear beyond the objective before they leave.
constexpr int patientGaps = 4;
constexpr std::array connectionHeaders = {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer",
                                          "Upgrade",    "TE",         "Proxy-Connection"};

std::vector<HttpHeader> passedHead(const http::response_header<> &head)
{
    std::vector<HttpHeader> passed;
    http::token_list connectionOnly(head[http::field::connection]);
    for (const auto &header : head) {
        const auto isNamed = [&](const char *name) {
            return boost::beast::iequals(header.name_string(), name);
        };
        const bool own = std::any_of(connectionHeaders.begin(), connectionHeaders.end(), isNamed);
        if (!own && !connectionOnly.exists(header.name_string())) {
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

/// Statuses that promise a client that its request has not run.
bool isPromise(int status)
{
    constexpr std::array promises = {408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

/// Counts an attempt at an upstream for as long as it lives.
class RunningGuard
{
public:
    RunningGuard(UpstreamList &list, UpstreamId id)
        : list(list)
        , id(std::move(id))
    {
        this->list.begin(this->id);
    }
    RunningGuard(const RunningGuard &) = delete;
    RunningGuard &operator=(const RunningGuard &) = delete;
    ~RunningGuard()
    {
        this->list.end(this->id);
    }

private:
    UpstreamList &list;
    UpstreamId id;
};

} // namespace

asio::awaitable<AttemptResult> ForwardedRequest::attempt()
{
    const auto target = this->chooseTarget();
    if (!target) {
        this->trail.append(" none");
        co_return AttemptResult::NoUpstream;
    }
    LastReason reason;
    const auto endpoint = parseEndpoint(target->address, reason);
    const TimePoint begun = bootClockNow();
    ++this->tries;
    AttemptResult result = AttemptResult::Unreachable;
    this->connectionKept = false;
    this->trail.append(" ").append(target->id.str()).append(this->candidate ? "/new" : "");
    if (!this->route->sizes.empty()) {
        this->trail.append("/size").append(std::to_string(this->size));
    }
    if (endpoint) {
        const RunningGuard running(this->context.beliefs.upstreams, target->id);
        std::unique_ptr<HttpCall> connection;
        if (this->isRepeatable()) {
            connection = this->context.pool.take(target->address, begun);
        }
        const bool reused = connection != nullptr;
        if (!reused) {
            const CallLimits limits{.connect = std::min(connectLimit, this->remaining()),
                                    .acknowledgementTimeout = unacknowledgedLimit};
            connection
                = std::make_unique<HttpCall>(this->context.io.get_executor(), target->id.str(), *endpoint, limits);
        }
        this->call = connection.get();
        if (reused || co_await connection->connect(reason)) {
            result = co_await this->attemptAt(*target, *connection);
        }
        this->call = nullptr;
        if (this->connectionKept && connection->reusable()) {
            this->context.pool.keep(target->address, std::move(connection), bootClockNow());
        }
    }
    if (this->gone && result != AttemptResult::Delivered) {
        result = AttemptResult::ClientDisconnected;
    }
    this->learn(*target, result);
    const auto took = (bootClockNow() - begun).count();
    this->trail.append(":").append(resultName(result)).append(":").append(std::to_string(took)).append("ms");
    co_return result;
}

asio::awaitable<AttemptResult> ForwardedRequest::attemptAt(const UpstreamEntry &target, HttpCall &connection)
{
    if (this->gone) {
        co_return AttemptResult::ClientDisconnected;
    }
    if (!this->isStillWanted(target)) {
        co_return AttemptResult::Withdrawn;
    }
    LastReason reason;
    const HttpRequest request
        = this->context.platform.makeUpstreamRequest(this->exchange.request(), this->dispatchFacts(target));
    this->sentTo.insert(target.id);
    this->sentAt = bootClockNow();
    this->firstEventAt = TimePoint();
    this->events = 0;
    this->paceJudged = false;
    this->upstreamFailed = false;
    ++this->sendings;
    ++this->runs;
    // From the first byte on it may run, whatever comes back.
    const RunState before = this->combinedRunState;
    this->combinedRunState = combine(this->combinedRunState, RunState::Unknown);
    connection.setProgressLimit(this->answerLimit());
    if (!co_await connection.send(request, reason)) {
        co_return this->broken(reason);
    }
    const AttemptResult result = co_await this->readAnswer(target, connection);
    if (result == AttemptResult::Refused) {
        --this->runs;
        this->combinedRunState = before;
    }
    co_return result;
}

asio::awaitable<AttemptResult> ForwardedRequest::readAnswer(const UpstreamEntry &target, HttpCall &connection)
{
    LastReason reason;
    for (unsigned foreign = 0; foreign <= mostForeignAnswers; ++foreign) {
        const auto status = co_await connection.readHead(reason);
        if (!status) {
            co_return this->broken(reason);
        }
        const AnswerHead answer = this->context.platform.readAnswer(connection.head());
        if (!answer.requestId.empty() && answer.requestId != this->facts.id.str()) {
            // An answer to the request before on this connection: it is read to its end and thrown away.
            this->trail.append(" foreign_answer");
            std::optional<std::string> piece = co_await connection.readSome(reason);
            while (piece && !piece->empty()) {
                piece = co_await connection.readSome(reason);
            }
            if (!piece) {
                co_return this->broken(reason);
            }
            continue;
        }
        if (answer.notRun && !isSuccess(*status)) {
            if (*status == statusMisdirected) {
                this->context.beliefs.upstreams.recordOutcome(target.id, UpstreamOutcome::ReportedDraining,
                                                              bootClockNow());
            }
            co_return AttemptResult::Refused;
        }
        const bool foreignSuccess = isSuccess(*status) && (!answer.isSigned || answer.requestId.empty());
        if (answer.isEncoded || foreignSuccess) {
            co_return AttemptResult::BadData;
        }
        if (isSuccess(*status) && this->route->streams) {
            if (this->askLarger(answer)) {
                co_return AttemptResult::PoorAnswer;
            }
            co_return co_await this->readStream(connection);
        }
        co_return co_await this->readWhole(connection, answer);
    }
    co_return AttemptResult::BadData;
}

asio::awaitable<AttemptResult> ForwardedRequest::readWhole(HttpCall &connection, const AnswerHead &facts)
{
    LastReason reason;
    WholeAnswer answer{.status = static_cast<int>(connection.head().result_int()),
                       .head = passedHead(connection.head())};
    while (true) {
        auto piece = co_await connection.readSome(reason);
        if (!piece) {
            co_return this->broken(reason);
        }
        if (piece->empty()) {
            break;
        }
        answer.body.append(*piece);
    }
    this->connectionKept = true;
    this->combinedRunState = RunState::Ran;
    if (!isSuccess(answer.status) && (!facts.isSigned || isPromise(answer.status))) {
        // It may have run, so the promise that goes with such a status must not reach the client.
        co_return AttemptResult::BadData;
    }
    this->upstreamFailed = answer.status >= statusServerError;
    if (this->upstreamFailed && this->isRepeatable()) {
        this->held = std::move(answer);
        co_return AttemptResult::Failed;
    }
    co_return co_await this->deliver(std::move(answer));
}

asio::awaitable<AttemptResult> ForwardedRequest::deliver(WholeAnswer answer)
{
    this->answered = true;
    const int status = answer.status;
    const bool whole = co_await this->exchange.relay(status, std::move(answer.head), std::move(answer.body));
    this->logAnswer(status, whole ? "upstream" : "caller_gone");
    co_return whole ? AttemptResult::Delivered : AttemptResult::ClientDisconnected;
}

asio::awaitable<AttemptResult> ForwardedRequest::readStream(HttpCall &connection)
{
    LastReason reason;
    EventSplitter splitter;
    while (true) {
        connection.setProgressLimit(this->events > 0 ? this->gapLimit() : this->answerLimit());
        auto piece = co_await connection.readSome(reason);
        if (!piece) {
            co_return this->broken(reason);
        }
        if (piece->empty()) {
            break;
        }
        splitter.feed(*piece);
        if (const auto ended = co_await this->passEvents(connection, splitter)) {
            co_return *ended;
        }
        if (this->remaining() <= Milliseconds(0)) {
            co_return AttemptResult::Silent;
        }
    }
    if (splitter.pending() > 0) {
        co_return AttemptResult::BadData;
    }
    this->connectionKept = true;
    this->combinedRunState = RunState::Ran;
    if (!this->exchange.answered()
        && !co_await this->exchange.beginRelay(statusOk, passedHead(connection.head()), std::string())) {
        co_return AttemptResult::ClientDisconnected;
    }
    this->answered = true;
    const bool whole = co_await this->exchange.endStream();
    this->logAnswer(statusOk, whole ? "upstream" : "caller_gone");
    co_return whole ? AttemptResult::Delivered : AttemptResult::ClientDisconnected;
}

asio::awaitable<std::optional<AttemptResult>> ForwardedRequest::passEvents(HttpCall &connection,
                                                                           EventSplitter &splitter)
{
    std::string out;
    while (const auto event = splitter.next()) {
        if (event->id) {
            if (this->lastEvent && *event->id <= *this->lastEvent) {
                continue;
            }
            if (this->lastEvent && *event->id != *this->lastEvent + 1) {
                co_return AttemptResult::BadData;
            }
            this->lastEvent = event->id;
        }
        out.append(event->bytes);
        ++this->events;
    }
    if (out.empty()) {
        co_return std::nullopt;
    }
    if (this->firstEventAt == TimePoint()) {
        this->firstEventAt = bootClockNow();
        this->notePressure(this->firstEventAt - this->sentAt);
        this->judgeStart(this->firstEventAt);
    }
    this->judgePace();
    bool passed = false;
    if (!this->exchange.answered()) {
        passed = co_await this->exchange.beginRelay(statusOk, passedHead(connection.head()), std::move(out));
    } else {
        passed = co_await this->exchange.write(std::move(out));
    }
    if (!passed || this->gone) {
        co_return AttemptResult::ClientDisconnected;
    }
    co_return std::nullopt;
}

AttemptResult ForwardedRequest::broken(const LastReason &reason) const
{
    if (this->gone) {
        return AttemptResult::ClientDisconnected;
    }
    switch (reason.failure().id) {
    case ErrorId::UpstreamSilent:
        return AttemptResult::Silent;
    case ErrorId::BadUpstreamData:
        return AttemptResult::BadData;
    default:
        return AttemptResult::Lost;
    }
}

bool ForwardedRequest::isStillWanted(const UpstreamEntry &target)
{
    const RegisteredUpstream *upstream = this->context.beliefs.upstreams.find(target.id);
    const bool same = upstream != nullptr && !upstream->entry.draining && !upstream->reportedDraining
        && upstream->entry.address == target.address && upstream->entry.service == target.service;
    return same
        && (this->table == this->context.beliefs.table || (!this->resolve() && this->service == target.service));
}

bool ForwardedRequest::askLarger(const AnswerHead &answer)
{
    const SizeChoiceInput question{.size = this->size,
                                   .confidence = answer.confidence,
                                   .promptTokens = this->facts.promptTokens,
                                   .loadLevel = this->context.loadLevel[this->service]};
    const auto larger = largerSize(*this->route, question, this->context.sizes);
    if (!larger || this->exchange.answered() || this->runs >= this->route->maxAttempts
        || !this->context.budget.take(this->service, bootClockNow())) {
        return false;
    }
    this->trail.append(" confidence:").append(std::to_string(answer.confidence.value_or(-1)));
    this->trail.append(" pressure:").append(std::to_string(question.loadLevel).substr(0, 4));
    this->size = *larger;
    return true;
}

DispatchFacts ForwardedRequest::dispatchFacts(const UpstreamEntry &target) const
{
    DispatchFacts dispatch{.upstream = target.id, .patience = this->remaining(), .lastEvent = this->lastEvent};
    if (this->tenant != nullptr) {
        dispatch.account = this->tenant->account;
    }
    if (!this->route->sizes.empty()) {
        dispatch.model = this->route->sizes.at(this->size);
    }
    if (this->route->usesPrefixCache) {
        dispatch.urgency = this->rank();
    }
    return dispatch;
}

bool ForwardedRequest::isLastRun() const
{
    return !this->isRepeatable() || this->runs >= this->route->maxAttempts
        || this->context.budget.remaining(this->service, bootClockNow()) < 1;
}

Milliseconds ForwardedRequest::answerLimit() const
{
    const Milliseconds left = std::max(this->remaining(), Milliseconds(1));
    if (this->isLastRun()) {
        return left;
    }
    const double part = this->route->streams ? firstEventPart : answerFactor;
    return std::min(left, scaled(this->route->objective, part));
}

Milliseconds ForwardedRequest::gapLimit() const
{
    const Milliseconds left = std::max(this->remaining(), Milliseconds(1));
    const Milliseconds gap = this->route->interEventObjective;
    return std::min(left, this->isLastRun() ? gap * patientGaps : scaled(gap, gapPart));
}

} // namespace parsleyvane
