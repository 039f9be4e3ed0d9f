#include "parsleyvane/net/modelcall.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/digest.h"
#include "parsleyvane/net/crashprobe.h"
#include "parsleyvane/net/httpstatus.h"
#include "parsleyvane/net/sleep.h"
#include "parsleyvane/routing/versionchoice.h"
#include "parsleyvane/stream/eventparser.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

/// Delay between an interruption and the next attempt, so that the request with claimed priority gets the freed slot.
constexpr Milliseconds delayAfterInterruption{200};
/// Maximum number of slot decisions for one attempt with claimed priority.
constexpr unsigned maxSlotRounds = 4;
constexpr std::size_t prefixBytes = 256;

Failure clientDisconnectedFailure()
{
    return {.id = ErrorId::AnswerIncomplete,
            .step = Step::Reply,
            .runState = RunState::Ran,
            .detail = "the client disconnected"};
}

/// Registers an active attempt for the lifetime of the guard.
class ActiveGuard
{
public:
    ActiveGuard(RouterContext &context, AttemptId id, ActiveAttempt attempt)
        : context(context)
        , id(std::move(id))
    {
        this->context.active[this->id] = std::move(attempt);
    }
    ActiveGuard(const ActiveGuard &) = delete;
    ActiveGuard &operator=(const ActiveGuard &) = delete;
    ~ActiveGuard()
    {
        this->context.active.erase(this->id);
    }
    bool interrupted() const
    {
        return this->context.active.at(this->id).interrupted;
    }

private:
    RouterContext &context;
    AttemptId id;
};

bool isAwaitingHead(const RouterContext &context, const AttemptId &attempt)
{
    const auto found = context.active.find(attempt);
    return found != context.active.end() && !found->second.running;
}

/// Obtains a slot for an attempt with claimed priority: waits for a free one, interrupts another attempt, or requests
/// one from peers. The attempt is already in its engine's queue, so that a freed slot goes to it.
asio::awaitable<void> obtainEngineSlot(RouterContext &context, UpstreamId upstream, AccountId account,
                                       AttemptId attempt)
{
    bool isReportStale = false;
    for (unsigned round = 0; round < maxSlotRounds && isAwaitingHead(context, attempt); ++round) {
        EngineCapacity capacity = engineCapacity(context, upstream);
        capacity.reportIsStale = isReportStale;
        const SlotDecision decision = context.priority.chooseSlot({std::move(capacity)}, bootClockNow());
        if (const auto *free = std::get_if<UseFreeSlot>(&decision)) {
            co_await sleepFor(free->recheckAfter);
            isReportStale = true;
            continue;
        }
        if (const auto *interrupt = std::get_if<InterruptAttempt>(&decision)) {
            const AttemptId victim = interrupt->attempt;
            co_await sleepFor(interrupt->after);
            if (isAwaitingHead(context, attempt)) {
                interruptAttempt(context, victim);
            }
            co_return;
        }
        if (context.requestSlotsFromPeers) {
            context.requestSlotsFromPeers(upstream, account, 1);
        }
        co_return;
    }
}

} // namespace

ModelCall::ModelCall(RouterContext &context, ModelCallParameters parameters, TextSink sink)
    : context(context)
    , parameters(std::move(parameters))
    , sink(std::move(sink))
    , requestFingerprint(
          fingerprint(this->parameters.account, versionText(this->parameters.version) + "\n" + this->parameters.prompt))
    , acceptedAt(bootClockNow())
    , deadline(this->acceptedAt + this->parameters.maxWait)
{
}

asio::awaitable<std::optional<ModelAnswer>> ModelCall::run(LastReason &reason)
{
    this->context.retryBudget.onFirstAttempt();
    while (true) {
        const auto upstream = this->choose(reason);
        AttemptResult result = Failed{reason.failure()};
        if (upstream) {
            result = co_await this->attempt(*upstream);
        }
        if (std::holds_alternative<Completed>(result)) {
            co_return ModelAnswer{this->assembler.text(), this->assembler.usage(), this->attempts, this->firstTokenAt};
        }
        if (std::holds_alternative<ClientDisconnected>(result)) {
            co_return reason.fail(clientDisconnectedFailure());
        }
        if (std::holds_alternative<Interrupted>(result)) {
            ++this->interruptions;
            co_await sleepFor(delayAfterInterruption);
            continue;
        }
        Failure failure = std::get<Failed>(std::move(result)).failure;
        if (upstream) {
            this->tried.insert(*upstream);
            this->context.metrics.countAttempt(*upstream, errorName(failure.id));
        }
        if (!co_await this->waitBeforeRetry(failure, reason)) {
            co_return std::nullopt;
        }
    }
}

asio::awaitable<bool> ModelCall::waitBeforeRetry(const Failure &failure, LastReason &reason)
{
    this->combinedRunState = combine(this->combinedRunState, failure.runState);
    if (failure.step == Step::Route && !failure.retryAfter) {
        // The configuration no longer permits this work, so waiting would not help.
        Failure last = failure;
        last.runState = this->combinedRunState;
        reason.fail(last);
        co_return false;
    }
    const TimePoint now = bootClockNow();
    const RetryContext retry{.repeatable = this->parameters.repeatable,
                             .combinedRunState = this->combinedRunState,
                             .attempts = this->attemptsWithoutProgress,
                             .now = now,
                             .deadline = this->deadline,
                             .latest = failure};
    // A resumable request that waits for a slot and a suspect that waits to run in isolation add no load, so their
    // waits spend no retry budget.
    const bool isBudgetExempt = this->parameters.resumable || failure.id == ErrorId::Quarantined;
    if (isBudgetExempt && failure.retryAfter && failure.runState == RunState::NotRun
        && now + *failure.retryAfter < this->deadline) {
        co_await sleepFor(*failure.retryAfter);
        co_return true;
    }
    if (failure.id == ErrorId::Quarantined) {
        Failure last = failure;
        last.runState = this->combinedRunState;
        co_await this->waitForEvidencePropagation();
        reason.fail(last);
        co_return false;
    }
    const RetryDecision decision = decideRetry(retry, this->context.retryBudget);
    if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
        co_await this->waitForEvidencePropagation();
        reason.fail(giveUp->failure);
        co_return false;
    }
    this->context.metrics.countEvent("retry");
    const TimePoint notBefore = std::get<RetryAllowed>(decision).notBefore;
    if (notBefore > now) {
        co_await sleepFor(notBefore - now);
    }
    co_return true;
}

asio::awaitable<void> ModelCall::waitForEvidencePropagation() const
{
    const TimePoint now = bootClockNow();
    const auto failureWithheldUntil
        = this->context.evidence.quarantine().failureWithheldUntil(this->requestFingerprint, now);
    if (failureWithheldUntil && *failureWithheldUntil > now) {
        // The client may retry at once through another instance, which must have received the crash evidence by then.
        co_await sleepFor(*failureWithheldUntil - now);
    }
}

std::optional<UpstreamId> ModelCall::choose(LastReason &reason)
{
    if (auto refusal = this->dispatchCheck()) {
        return reason.fail(*refusal);
    }
    bool inIsolation = false;
    if (auto refusal = this->quarantineCheck(bootClockNow(), inIsolation)) {
        return reason.fail(*refusal);
    }
    const std::set<UpstreamId> excluded = this->excludedUpstreams(inIsolation);
    PlacementRequirements requirements{this->parameters.version, this->parameters.prompt.substr(0, prefixBytes),
                                       this->tried};
    requirements.tried.insert(excluded.begin(), excluded.end());
    auto upstream
        = this->context.placement.chooseEngine(this->context.blackboard, requirements, bootClockNow(), reason);
    if (!upstream && !this->tried.empty()) {
        this->tried.clear();
        const PlacementRequirements retryRequirements{this->parameters.version, requirements.prefix, excluded};
        upstream
            = this->context.placement.chooseEngine(this->context.blackboard, retryRequirements, bootClockNow(), reason);
    }
    return upstream;
}

std::optional<Failure> ModelCall::quarantineCheck(TimePoint now, bool &inIsolation) const
{
    const RunDecision decision = this->context.evidence.quarantine().decideRun(this->requestFingerprint, now);
    if (const auto *refuse = std::get_if<RefuseRun>(&decision)) {
        return refuse->failure;
    }
    const auto *isolated = std::get_if<RunInIsolation>(&decision);
    inIsolation = isolated != nullptr;
    if (!inIsolation || isolated->notBefore <= now) {
        return std::nullopt;
    }
    return Failure{.id = ErrorId::Quarantined,
                   .step = Step::Queue,
                   .detail = "suspected of crashing an upstream; waiting to run in isolation",
                   .retryAfter = isolated->notBefore - now};
}

std::set<UpstreamId> ModelCall::excludedUpstreams(bool inIsolation) const
{
    std::set<UpstreamId> excluded;
    const Quarantine &quarantine = this->context.evidence.quarantine();
    for (const Upstream &upstream : this->context.blackboard.configuration->upstreams) {
        if (quarantine.isReserved(upstream.id) || (inIsolation && quarantine.isBusy(upstream.id))) {
            excluded.insert(upstream.id);
        }
    }
    return excluded;
}

std::optional<Failure> ModelCall::dispatchCheck() const
{
    if (auto refusal = dispatchRefusal(this->context.blackboard, bootClockNow(), true)) {
        return refusal;
    }
    return versionRefusal(*this->context.blackboard.configuration, this->parameters.account, this->parameters.version,
                          this->parameters.pinnedSession);
}

PriorityInput ModelCall::priorityInput() const
{
    return {this->parameters.claimsPriority, this->parameters.resumable,
            bootClockNow() - this->acceptedAt - this->runTime};
}

asio::awaitable<ModelCall::AttemptResult> ModelCall::attempt(UpstreamId upstream)
{
    LastReason reason;
    const auto endpoint = endpointOf(this->context.blackboard, upstream, reason);
    if (!endpoint) {
        co_return Failed{reason.failure()};
    }
    ++this->attempts;
    ++this->attemptsWithoutProgress;
    const AttemptId id(randomId());
    HttpCall call(this->context.io.get_executor(), upstream.str(), *endpoint, this->context.upstreamLimits);
    const InFlightGuard inFlight(this->context.blackboard, upstream);
    const ActiveAttempt record{.upstream = upstream,
                               .resumable = this->parameters.resumable,
                               .interruptions = this->interruptions,
                               .call = &call};
    const ActiveGuard active(this->context, id, record);
    if (!co_await call.connect(reason)) {
        avoidUpstream(this->context, upstream);
        co_return Failed{reason.failure()};
    }
    // Checked again just before sending, so that a configuration change made while this request waited applies.
    if (auto refusal = this->dispatchCheck()) {
        co_return Failed{*refusal};
    }
    AttemptResult result = co_await this->send(call, upstream, id);
    if (active.interrupted() && !std::holds_alternative<Completed>(result)) {
        this->combinedRunState = combine(this->combinedRunState, RunState::Unknown);
        co_return Interrupted{};
    }
    if (const auto *failed = std::get_if<Failed>(&result)) {
        logMalformedResponse(upstream.str(), failed->failure);
        avoidUpstream(this->context, upstream);
    } else if (std::holds_alternative<Completed>(result)) {
        this->context.metrics.countAttempt(upstream, "ok");
    }
    co_return result;
}

asio::awaitable<ModelCall::AttemptResult> ModelCall::send(HttpCall &call, const UpstreamId &upstream,
                                                          const AttemptId &id)
{
    LastReason reason;
    const HttpRequest request = makeRequest(http::verb::post, "/generate", this->body(id));
    Quarantine &quarantine = this->context.evidence.quarantine();
    quarantine.onDispatch(this->requestFingerprint, upstream, id, bootClockNow());
    const bool sent = co_await call.send(request, reason);
    AttemptResult result = Failed{reason.failure()};
    if (sent && this->parameters.claimsPriority) {
        asio::co_spawn(this->context.io, obtainEngineSlot(this->context, upstream, this->parameters.account, id),
                       asio::detached);
    }
    if (sent) {
        const TimePoint before = bootClockNow();
        result = co_await this->stream(call, id);
        const ActiveAttempt &record = this->context.active.at(id);
        this->runTime += record.running ? bootClockNow() - std::max(record.startedAt, before) : Milliseconds(0);
    }
    if (std::holds_alternative<Completed>(result)) {
        quarantine.onFinished(id, bootClockNow());
        co_return result;
    }
    co_await this->checkForCrash(upstream, result);
    quarantine.onEnded(id);
    co_return result;
}

asio::awaitable<void> ModelCall::checkForCrash(UpstreamId upstream, const AttemptResult &result)
{
    const auto *failed = std::get_if<Failed>(&result);
    if (failed == nullptr || failed->failure.id != ErrorId::UpstreamLost) {
        co_return;
    }
    LastReason reason;
    const auto endpoint = endpointOf(this->context.blackboard, upstream, reason);
    if (!endpoint) {
        co_return;
    }
    HttpCall probe(this->context.io.get_executor(), upstream.str(), *endpoint, this->context.upstreamLimits);
    if (co_await hasProcessExited(probe)) {
        this->context.metrics.countEvent("upstream_crashed");
        this->context.evidence.upstreamCrashed(upstream, bootClockNow());
    }
}

asio::awaitable<ModelCall::AttemptResult> ModelCall::stream(HttpCall &call, const AttemptId &id)
{
    LastReason reason;
    const auto status = co_await call.readHead(reason);
    if (!status) {
        co_return Failed{reason.failure()};
    }
    if (*status != statusOk) {
        const auto refusal = co_await this->readRefusal(call, *status);
        co_return Failed{*refusal};
    }
    ActiveAttempt &record = this->context.active.at(id);
    record.running = true;
    record.startedAt = bootClockNow();
    EventParser events;
    this->assembler.beginAttempt(id);
    while (!this->assembler.complete()) {
        const auto bytes = co_await call.readSome(reason);
        if (!bytes) {
            co_return Failed{reason.failure()};
        }
        if (bytes->empty()) {
            co_return Failed{{.id = ErrorId::AnswerIncomplete,
                              .step = Step::Answer,
                              .runState = RunState::Unknown,
                              .detail = "the stream ended before the answer was complete"}};
        }
        const auto payloads = events.feed(*bytes, reason);
        if (!payloads) {
            co_return Failed{reason.failure()};
        }
        std::string text;
        for (const std::string &payload : *payloads) {
            const auto chunk = parseChunk(payload, reason);
            const auto next = chunk ? this->assembler.accept(*chunk, reason) : std::nullopt;
            if (!next) {
                co_return Failed{reason.failure()};
            }
            text.append(*next);
        }
        if (text.empty()) {
            continue;
        }
        const TimePoint now = bootClockNow();
        if (!this->firstTokenAt) {
            this->firstTokenAt = now;
        }
        this->attemptsWithoutProgress = 0;
        this->deadline = std::max(this->deadline, now + this->parameters.maxWait);
        if (this->sink && !co_await this->sink(std::move(text))) {
            co_return ClientDisconnected{};
        }
    }
    co_return Completed{};
}

asio::awaitable<std::optional<Failure>> ModelCall::readRefusal(HttpCall &call, int status)
{
    LastReason reason;
    std::string body;
    while (true) {
        const auto piece = co_await call.readSome(reason);
        if (!piece || piece->empty()) {
            break;
        }
        body.append(*piece);
    }
    const Json json = Json::parse(body, nullptr, false);
    const bool isNotRun = status == statusUnavailable && json.is_object() && json.value("ran", Json()) == Json(false);
    AttemptEnd end{
        .step = Step::Answer, .bytesSent = call.progress().bytesSent, .refusedBeforeRun = isNotRun, .status = status};
    Failure failure{.id = isNotRun ? ErrorId::UpstreamRefused : ErrorId::UpstreamError,
                    .step = Step::Answer,
                    .peer = call.name(),
                    .runState = inferRunState(end),
                    .detail = "status " + std::to_string(status)};
    if (!isNotRun) {
        co_return failure;
    }
    const Json cause = json.value("reason", Json(""));
    const Json wait = json.value("retryAfterMs", Json());
    failure.detail = cause.is_string() ? cause.get<std::string>() : "refused";
    if (wait.is_number_unsigned()) {
        failure.retryAfter = Milliseconds(wait.get<std::int64_t>());
    }
    if (failure.detail == "leaving") {
        this->context.blackboard.upstreams[UpstreamId(call.name())].leaving = true;
    }
    co_return failure;
}

std::string ModelCall::body(const AttemptId &id) const
{
    const Json json{{"attempt", id.str()},
                    {"request", this->parameters.request.str()},
                    {"account", this->parameters.account.str()},
                    {"model", this->parameters.version.model.str()},
                    {"version", this->parameters.version.version.str()},
                    {"prompt", this->parameters.prompt},
                    {"maxTokens", this->parameters.maxTokens},
                    {"priority", this->context.priority.enginePriority(this->priorityInput())},
                    {"offset", this->assembler.offset()},
                    {"prefix", this->assembler.text()}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace parsleyvane
