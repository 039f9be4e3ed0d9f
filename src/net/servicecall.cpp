#include "parsleyvane/net/servicecall.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/digest.h"
#include "parsleyvane/net/httpstatus.h"
#include "parsleyvane/net/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds cleanUpRetryInterval{500};

/// Writes a claim row to the table if the stored version is still the row's version.
asio::awaitable<WriteReply> writeClaim(const PlatformClient &platform, std::string key, ClaimRow row)
{
    Transaction transaction;
    transaction.checks.push_back({key, row.version});
    transaction.puts.push_back({key, serialise(row)});
    const std::uint64_t expectedVersion = row.version;
    const TransactionOutcome outcome = co_await platform.transact(std::move(transaction));
    if (std::holds_alternative<TransactionCommitted>(outcome)) {
        co_return WriteCommitted{expectedVersion + 1};
    }
    if (std::holds_alternative<TransactionNotSent>(outcome)) {
        co_return WriteNotSent{};
    }
    const auto *conflict = std::get_if<TransactionConflict>(&outcome);
    if (conflict == nullptr || conflict->rows.empty()) {
        co_return WriteIndeterminate{};
    }
    const TableRow &current = conflict->rows.front();
    if (current.version == 0) {
        co_return WriteConflict{};
    }
    LastReason reason;
    auto parsed = parseClaimRow(current.value, current.version, reason);
    if (!parsed) {
        co_return WriteIndeterminate{};
    }
    co_return WriteConflict{std::move(*parsed)};
}

asio::awaitable<ReadReply> readClaim(const PlatformClient &platform, std::string key)
{
    LastReason reason;
    const auto row = co_await platform.readRow(std::move(key), reason);
    if (!row) {
        co_return ReadLost{};
    }
    if (row->version == 0) {
        co_return ReadRow{};
    }
    auto parsed = parseClaimRow(row->value, row->version, reason);
    if (!parsed) {
        co_return ReadLost{};
    }
    co_return ReadRow{std::move(*parsed)};
}

/// Retries the ledger's clean-up until none is pending.
asio::awaitable<void> cleanUp(const PlatformClient &platform, std::string key, RunOnce ledger)
{
    while (auto row = ledger.pendingCleanUp()) {
        const WriteReply reply = co_await writeClaim(platform, key, std::move(*row));
        ledger.onCleanUpReply(reply);
        co_await sleepFor(cleanUpRetryInterval);
    }
}

bool reportsNotRun(int status, const std::string &body)
{
    if (status != statusUnavailable) {
        return false;
    }
    const Json json = Json::parse(body, nullptr, false);
    return json.is_object() && json.value("ran", Json()) == Json(false);
}

bool reportsDraining(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    return json.is_object() && json.value("reason", Json()) == Json("leaving");
}

bool isAnswer(const LedgerAction &action)
{
    return std::holds_alternative<ReplayResult>(action) || std::holds_alternative<DeliverResult>(action)
        || std::holds_alternative<RefuseRequest>(action);
}

std::optional<ServiceAnswer> toAnswer(const LedgerAction &action, LastReason &reason)
{
    if (const auto *replay = std::get_if<ReplayResult>(&action)) {
        return ServiceAnswer{replay->status, replay->result, true};
    }
    if (const auto *deliver = std::get_if<DeliverResult>(&action)) {
        return ServiceAnswer{deliver->status, deliver->result, false};
    }
    return reason.fail(std::get<RefuseRequest>(action).failure);
}

const Failure *failureOf(const ServiceReply &reply)
{
    if (const auto *notRun = std::get_if<ServiceNotRun>(&reply)) {
        return &notRun->failure;
    }
    const auto *unknown = std::get_if<ServiceOutcomeUnknown>(&reply);
    return unknown != nullptr ? &unknown->failure : nullptr;
}

} // namespace

ServiceCall::ServiceCall(RouterContext &context, ServiceCallParameters parameters)
    : context(context)
    , parameters(std::move(parameters))
    , deadline(bootClockNow() + this->parameters.maxWait)
{
}

asio::awaitable<std::optional<ServiceAnswer>> ServiceCall::run(LastReason &reason)
{
    if (this->parameters.repeatable) {
        co_return co_await this->runRepeatable(reason);
    }
    co_return co_await this->runOnce(reason);
}

asio::awaitable<std::optional<ServiceAnswer>> ServiceCall::runRepeatable(LastReason &reason)
{
    RunState combinedRunState = RunState::NotRun;
    this->context.retryBudget.onFirstAttempt();
    for (unsigned attempts = 1;; ++attempts) {
        AttemptId attempt(randomId());
        const ServiceReply reply = co_await this->sendToAnyUpstream(std::move(attempt));
        if (const auto *answered = std::get_if<ServiceAnswered>(&reply)) {
            co_return ServiceAnswer{answered->status, answered->result, false};
        }
        const Failure &failure = *failureOf(reply);
        combinedRunState = combine(combinedRunState, failure.runState);
        const RetryContext retry{.repeatable = true,
                                 .combinedRunState = combinedRunState,
                                 .attempts = attempts,
                                 .now = bootClockNow(),
                                 .deadline = this->deadline,
                                 .latest = failure};
        const RetryDecision decision = decideRetry(retry, this->context.retryBudget);
        if (const auto *giveUp = std::get_if<GiveUp>(&decision)) {
            co_return reason.fail(giveUp->failure);
        }
        const TimePoint notBefore = std::get<RetryAllowed>(decision).notBefore;
        co_await sleepFor(std::max(notBefore - bootClockNow(), Milliseconds(0)));
    }
}

asio::awaitable<std::optional<ServiceAnswer>> ServiceCall::runOnce(LastReason &reason)
{
    const std::string key = claimKey(this->parameters.account, this->parameters.key);
    const AttemptId attempt(randomId());
    RunOnce ledger(attempt, this->parameters.request,
                   sha256Hex(this->parameters.task.operation + "\n" + this->parameters.body));
    LedgerAction action = ledger.start();
    while (!isAnswer(action)) {
        LedgerAction next = co_await this->execute(ledger, std::move(action), attempt);
        action = std::move(next);
    }
    if (ledger.pendingCleanUp()) {
        asio::co_spawn(this->context.io, cleanUp(this->context.platform, key, std::move(ledger)), asio::detached);
    }
    co_return toAnswer(action, reason);
}

asio::awaitable<LedgerAction> ServiceCall::execute(RunOnce &ledger, LedgerAction action, AttemptId attempt)
{
    std::string key = claimKey(this->parameters.account, this->parameters.key);
    if (auto *write = std::get_if<WriteClaim>(&action)) {
        const WriteReply reply = co_await writeClaim(this->context.platform, std::move(key), std::move(write->row));
        co_return ledger.onWrite(reply);
    }
    if (std::holds_alternative<ReadClaim>(action)) {
        const ReadReply reply = co_await readClaim(this->context.platform, std::move(key));
        co_return ledger.onRead(reply);
    }
    const ServiceReply reply = co_await this->sendToAnyUpstream(std::move(attempt));
    co_return ledger.onService(reply);
}

asio::awaitable<ServiceReply> ServiceCall::sendToAnyUpstream(AttemptId attempt)
{
    std::set<UpstreamId> tried;
    Failure latest;
    while (true) {
        if (auto refusal = this->dispatchCheck()) {
            co_return ServiceNotRun{*refusal};
        }
        LastReason reason;
        auto upstream = this->context.placement.chooseService(this->context.blackboard, this->parameters.task.service,
                                                              tried, bootClockNow(), reason);
        if (!upstream) {
            co_return ServiceNotRun{tried.empty() ? reason.failure() : latest};
        }
        tried.insert(*upstream);
        ServiceReply reply = co_await this->sendTo(*upstream, attempt);
        const auto *notRun = std::get_if<ServiceNotRun>(&reply);
        if (notRun == nullptr) {
            co_return reply;
        }
        // It provably did not run there, so it may be sent to another upstream of the service under the same claim.
        latest = notRun->failure;
    }
}

std::optional<Failure> ServiceCall::dispatchCheck() const
{
    const TimePoint now = bootClockNow();
    if (now >= this->deadline) {
        return Failure{.id = ErrorId::DeadlineExceeded,
                       .step = Step::Route,
                       .detail = "the deadline passed before the request was sent"};
    }
    return dispatchRefusal(this->context.blackboard, now, true);
}

asio::awaitable<ServiceReply> ServiceCall::sendTo(UpstreamId upstream, AttemptId attempt)
{
    LastReason reason;
    const auto endpoint = endpointOf(this->context.blackboard, upstream, reason);
    if (!endpoint) {
        co_return ServiceNotRun{reason.failure()};
    }
    const InFlightGuard inFlight(this->context.blackboard, upstream);
    HttpCall call(this->context.io.get_executor(), upstream.str(), *endpoint, this->context.upstreamLimits);
    if (!co_await call.connect(reason)) {
        avoidUpstream(this->context, upstream);
        this->context.metrics.countAttempt(upstream, errorName(reason.failure().id));
        co_return ServiceNotRun{reason.failure()};
    }
    if (auto refusal = this->dispatchCheck()) {
        co_return ServiceNotRun{*refusal};
    }
    const HttpRequest request = this->makeServiceRequest(attempt);
    std::optional<HttpResponse> response;
    if (co_await call.send(request, reason)) {
        response = co_await call.readWhole(reason);
    }
    if (!response) {
        logMalformedResponse(upstream.str(), reason.failure());
        avoidUpstream(this->context, upstream);
        this->context.metrics.countAttempt(upstream, errorName(reason.failure().id));
        co_return ServiceOutcomeUnknown{reason.failure()};
    }
    const auto status = static_cast<int>(response->result_int());
    if (status == statusOk) {
        this->context.metrics.countAttempt(upstream, "ok");
        co_return ServiceAnswered{status, std::move(response->body())};
    }
    Failure failure{.id = ErrorId::UpstreamError,
                    .step = Step::Answer,
                    .peer = upstream.str(),
                    .runState = RunState::Unknown,
                    .detail = "status " + std::to_string(status)};
    if (reportsNotRun(status, response->body())) {
        failure.id = ErrorId::UpstreamRefused;
        failure.runState = RunState::NotRun;
        if (reportsDraining(response->body())) {
            this->context.blackboard.upstreams[upstream].leaving = true;
        }
        this->context.metrics.countAttempt(upstream, errorName(failure.id));
        co_return ServiceNotRun{std::move(failure)};
    }
    this->context.metrics.countAttempt(upstream, errorName(failure.id));
    co_return ServiceOutcomeUnknown{std::move(failure)};
}

HttpRequest ServiceCall::makeServiceRequest(const AttemptId &attempt) const
{
    HttpRequest request
        = makeRequest(http::verb::post, "/operations/" + this->parameters.task.operation, this->parameters.body);
    const std::string &key = this->parameters.key.empty() ? this->parameters.request.str() : this->parameters.key.str();
    request.set("Idempotency-Key", key);
    request.set("Parsleyvane-Attempt", attempt.str());
    request.set("Parsleyvane-Request", this->parameters.request.str());
    request.set("Parsleyvane-Account", this->parameters.account.str());
    return request;
}

} // namespace parsleyvane
