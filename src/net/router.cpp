#include "parsleyvane/net/router.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/digest.h"
#include "parsleyvane/net/chatflow.h"
#include "parsleyvane/net/servicecall.h"

#include <charconv>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

const std::string chatPath = "/v1/chat/completions";
const std::string tasksPath = "/v1/tasks/";

std::optional<TaskName> requestedTask(const Exchange &exchange)
{
    const std::string target(exchange.request().target());
    if (exchange.request().method() != http::verb::post) {
        return std::nullopt;
    }
    if (target == chatPath) {
        return TaskName(exchange.header("Parsleyvane-Task"));
    }
    if (target.starts_with(tasksPath) && target.size() > tasksPath.size()) {
        return TaskName(target.substr(tasksPath.size()));
    }
    return std::nullopt;
}

Failure refusal(ErrorId id, Step step, std::string detail)
{
    return {.id = id, .step = step, .detail = std::move(detail)};
}

/// Requests with the same idempotency key and body get the same id at every instance; without a key the id is random.
RequestId requestIdOf(const AccountId &account, const IdempotencyKey &key, const std::string &body)
{
    if (key.empty()) {
        return RequestId(randomId());
    }
    return RequestId("k" + sha256Hex(account.str() + "\n" + key.str() + "\n" + sha256Hex(body)));
}

Milliseconds effectiveMaxWait(const Task &task, const std::string &header)
{
    std::int64_t requested = 0;
    const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), requested);
    if (error != std::errc() || requested <= 0) {
        return task.maxWait;
    }
    return std::min(task.maxWait, Milliseconds(requested));
}

std::size_t liveInstances(const Blackboard &blackboard)
{
    std::size_t live = 1;
    for (const auto &[id, peer] : blackboard.peers) {
        if (peer.leaving) {
            continue;
        }
        ++live;
    }
    return live;
}

/// Counts a request in flight for the lifetime of the guard; releases the account's limiter at its end.
class ActiveRequestGuard
{
public:
    ActiveRequestGuard(RouterContext &context, AccountLimiter &limiter, const AccountId &account)
        : context(context)
        , limiter(limiter)
        , account(account)
    {
        ++this->context.inFlight;
    }
    ActiveRequestGuard(const ActiveRequestGuard &) = delete;
    ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;
    ~ActiveRequestGuard()
    {
        --this->context.inFlight;
        this->limiter.release(this->account);
    }

private:
    RouterContext &context;
    AccountLimiter &limiter;
    AccountId account;
};

} // namespace

Router::Router(RouterContext &context)
    : context(context)
{
}

asio::awaitable<void> Router::handle(Exchange &exchange)
{
    LastReason reason;
    const auto admission = this->admit(exchange, reason);
    if (!admission) {
        this->context.metrics.countRequest(AccountId(""), TaskName(""), errorName(reason.failure().id));
        co_await exchange.respond(reason.failure());
        co_return;
    }
    exchange.addHeader({"Parsleyvane-Request", admission->request.str()});
    const std::size_t live = liveInstances(this->context.blackboard);
    if (auto limited = this->limiter.tryAcquire(*admission->account, live, bootClockNow())) {
        this->context.metrics.countRequest(admission->account->id, admission->task->name, errorName(limited->id));
        co_await exchange.respond(*limited);
        co_return;
    }
    const ActiveRequestGuard activeRequest(this->context, this->limiter, admission->account->id);
    co_await this->serve(exchange, *admission);
}

std::optional<Admission> Router::admit(const Exchange &exchange, LastReason &reason) const
{
    if (auto refused = dispatchRefusal(this->context.blackboard, bootClockNow(), false)) {
        return reason.fail(*refused);
    }
    const auto taskName = requestedTask(exchange);
    if (!taskName) {
        return reason.fail(refusal(ErrorId::UnknownPath, Step::Receive, "no such resource"));
    }
    Admission admission{.configuration = this->context.blackboard.configuration, .receivedAt = bootClockNow()};
    admission.account = this->authenticate(exchange, *admission.configuration, reason);
    if (admission.account == nullptr) {
        return std::nullopt;
    }
    admission.task = findTask(*admission.account, *taskName);
    const bool isChat = exchange.request().target() == chatPath;
    if (admission.task == nullptr || std::holds_alternative<ModelTask>(admission.task->work) != isChat) {
        return reason.fail(refusal(ErrorId::UnknownTask, Step::Admit, "no such task at this path: " + taskName->str()));
    }
    admission.key = IdempotencyKey(exchange.header("Idempotency-Key"));
    if (admission.key.empty() && !admission.task->repeatable) {
        return reason.fail(refusal(ErrorId::KeyRequired, Step::Admit, "the task needs an Idempotency-Key"));
    }
    admission.claimsPriority = exchange.header("Parsleyvane-Priority") == "claim";
    if (admission.claimsPriority && !admission.account->priority.bought) {
        return reason.fail(refusal(ErrorId::PriorityNotBought, Step::Admit, "the client account bought no priority"));
    }
    admission.request = requestIdOf(admission.account->id, admission.key, exchange.request().body());
    admission.maxWait = effectiveMaxWait(*admission.task, exchange.header("Parsleyvane-Deadline-Ms"));
    return admission;
}

const Account *Router::authenticate(const Exchange &exchange, const Configuration &configuration,
                                    LastReason &reason) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string credentials = exchange.header("Authorization");
    const Account *account = nullptr;
    if (credentials.starts_with(scheme)) {
        account = configuration.findAccountByKeyHash(sha256Hex(credentials.substr(scheme.size())));
    }
    if (account == nullptr) {
        reason.fail(refusal(ErrorId::BadCredentials, Step::Authenticate, "the API key belongs to no client account"));
    }
    return account;
}

asio::awaitable<void> Router::serve(Exchange &exchange, const Admission &admission)
{
    std::optional<Failure> failure;
    if (const auto *model = std::get_if<ModelTask>(&admission.task->work)) {
        failure = co_await this->serveModel(exchange, admission, *model);
    } else {
        failure = co_await this->serveService(exchange, admission, std::get<ServiceTask>(admission.task->work));
    }
    const std::string_view outcome = failure ? errorName(failure->id) : "ok";
    this->context.metrics.countRequest(admission.account->id, admission.task->name, outcome);
    if (failure) {
        co_await exchange.respond(std::move(*failure));
    }
}

asio::awaitable<std::optional<Failure>> Router::serveModel(Exchange &exchange, const Admission &admission,
                                                           const ModelTask &task)
{
    ChatFlow flow(this->context, exchange, admission, task);
    co_return co_await flow.run();
}

asio::awaitable<std::optional<Failure>> Router::serveService(Exchange &exchange, const Admission &admission,
                                                             const ServiceTask &task)
{
    ServiceCallParameters parameters{.request = admission.request,
                                     .account = admission.account->id,
                                     .task = task,
                                     .key = admission.key,
                                     .body = exchange.request().body(),
                                     .repeatable = admission.task->repeatable,
                                     .maxWait = admission.maxWait};
    ServiceCall call(this->context, std::move(parameters));
    LastReason reason;
    auto answer = co_await call.run(reason);
    if (!answer) {
        co_return reason.failure();
    }
    Bill bill{.request = admission.request, .account = admission.account->id, .task = admission.task->name};
    if (!co_await this->context.bills.submit(std::move(bill))) {
        Failure failure = refusal(ErrorId::StoreUnavailable, Step::Bill, "the bill queue is full");
        failure.runState = RunState::Ran;
        co_return failure;
    }
    if (answer->replayed) {
        exchange.addHeader({"Parsleyvane-Replayed", "true"});
    }
    co_await exchange.respond(answer->status, "application/json", std::move(answer->body));
    co_return std::nullopt;
}

} // namespace parsleyvane
