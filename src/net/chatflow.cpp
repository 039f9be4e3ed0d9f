#include "parsleyvane/net/chatflow.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/digest.h"
#include "parsleyvane/routing/versionchoice.h"

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

/// Maximum number of version choices per model; a choice is repeated when the version was withdrawn meanwhile.
constexpr unsigned maxVersionChoices = 3;

MicroCost costOf(const Usage &usage, const Configuration &configuration, const ModelVersion &version)
{
    constexpr std::int64_t million = 1000000;
    const VersionEntry *entry = configuration.findVersion(version);
    const std::int64_t price = entry != nullptr ? entry->costPerMillionTokens.value() : 0;
    const std::int64_t tokens = usage.promptTokens.value() + usage.outputTokens.value();
    return MicroCost(tokens * price / million);
}

} // namespace

ChatFlow::ChatFlow(RouterContext &context, Exchange &exchange, const Admission &admission, const ModelTask &task)
    : context(context)
    , exchange(exchange)
    , admission(admission)
    , task(task)
{
    this->metadata.request = admission.request;
}

asio::awaitable<std::optional<Failure>> ChatFlow::run()
{
    LastReason reason;
    auto parsed = parseChatRequest(this->exchange.request().body(), reason);
    if (!parsed) {
        co_return reason.failure();
    }
    this->chat = std::move(*parsed);
    if (!this->readSession(reason)) {
        co_return reason.failure();
    }
    if (!co_await this->runChain(reason) || !co_await this->finish(reason)) {
        co_return reason.failure();
    }
    co_return std::nullopt;
}

bool ChatFlow::readSession(LastReason &reason)
{
    const std::string token = this->exchange.header("Parsleyvane-Session");
    if (token.empty()) {
        return true;
    }
    if (token == "new") {
        this->newSession = true;
        return true;
    }
    const Configuration &configuration = *this->admission.configuration;
    this->session = checkToken(configuration, this->admission.account->id, token, reason);
    if (!this->session) {
        return false;
    }
    if (auto refusal = sessionRefusal(configuration, *this->session)) {
        reason.fail(*refusal);
        return false;
    }
    return true;
}

std::optional<std::vector<ModelName>> ChatFlow::chain(LastReason &reason) const
{
    if (!this->chat.model) {
        return this->task.chain;
    }
    for (const ModelName &model : this->task.chain) {
        if (model == *this->chat.model) {
            return std::vector<ModelName>{model};
        }
    }
    return reason.fail({.id = ErrorId::ModelNotAllowed,
                        .step = Step::Route,
                        .detail = "the task does not permit the model " + this->chat.model->str()});
}

std::optional<ModelVersion> ChatFlow::chooseStage(const ModelName &model, LastReason &reason) const
{
    const Configuration &configuration = *this->context.blackboard.configuration;
    const Account *account = configuration.findAccount(this->admission.account->id);
    if (account == nullptr) {
        return reason.fail({.id = ErrorId::ModelNotAllowed,
                            .step = Step::Route,
                            .detail = "the client account is no longer configured"});
    }
    if (!this->chat.version) {
        return chooseVersion(configuration, *account, model, this->metadata.request.str(), reason);
    }
    const ModelVersion requested{model, *this->chat.version};
    if (auto refusal = versionRefusal(configuration, account->id, requested, false)) {
        return reason.fail(*refusal);
    }
    return requested;
}

asio::awaitable<bool> ChatFlow::runChain(LastReason &reason)
{
    if (this->session) {
        const Stage pinned{this->session->pinned};
        co_return co_await this->runStage(pinned, reason);
    }
    const auto models = this->chain(reason);
    if (!models) {
        co_return false;
    }
    CascadeController &cascade = this->context.cascade;
    const std::size_t first
        = this->isCascaded() ? cascade.chooseFirstModel(this->cascadeKey(), this->cascadeTerms()) : 0;
    for (std::size_t i = first; i < models->size(); ++i) {
        const bool rated = this->isCascaded() && cascade.shouldRate(this->cascadeKey(), this->cascadeTerms(), i);
        for (unsigned round = 0; round < maxVersionChoices; ++round) {
            const auto version = this->chooseStage(models->at(i), reason);
            if (!version) {
                break;
            }
            const Stage stage{*version, i, rated};
            if (co_await this->runStage(stage, reason)) {
                co_return true;
            }
            const bool versionWithdrawn
                = reason.failure().step == Step::Route && reason.failure().id == ErrorId::NoCapacity;
            if (!versionWithdrawn || this->exchange.answered()) {
                break;
            }
        }
        if (this->exchange.answered()) {
            co_return false;
        }
    }
    Failure failure = reason.failure();
    failure.runState = combine(this->combinedRunState, failure.runState);
    reason.fail(failure);
    co_return false;
}

asio::awaitable<bool> ChatFlow::runStage(Stage stage, LastReason &reason)
{
    this->metadata.attemptedVersions.push_back(stage.version);
    this->metadata.version = stage.version;
    TextSink sink;
    if (!stage.rated && this->chat.stream) {
        sink = [this](std::string text) {
            return this->deliver(std::move(text));
        };
    }
    const TimePoint requestedAt = bootClockNow();
    ModelCall call(this->context, this->callParameters(stage), std::move(sink));
    auto answer = co_await call.run(reason);
    if (!answer) {
        if (reason.failure().id == ErrorId::UpstreamError) {
            this->context.evidence.count(stage.version, AnswerOutcome::Error);
        }
        this->combinedRunState = combine(this->combinedRunState, reason.failure().runState);
        co_return false;
    }
    this->combinedRunState = RunState::Ran;
    this->metadata.attempts += answer->attempts;
    this->metadata.usage.promptTokens += answer->usage.promptTokens;
    this->metadata.usage.cachedTokens += answer->usage.cachedTokens;
    this->metadata.usage.outputTokens += answer->usage.outputTokens;
    const MicroCost cost = costOf(answer->usage, *this->admission.configuration, stage.version);
    this->metadata.cost += cost;
    if (this->isCascaded()) {
        this->context.cascade.onAnswer(this->cascadeKey(), stage.version.model, cost, bootClockNow() - requestedAt);
    }
    this->context.metrics.countTokens(answer->usage.outputTokens);
    std::optional<bool> rating;
    if (stage.rated) {
        rating = co_await this->rate(*answer);
    }
    // When the rating service fails, the answer may be bad: the next model is called, but the version is not counted as
    // having failed its rating.
    const bool good = !stage.rated || rating.value_or(false);
    const bool failedRating = rating.has_value() && !*rating;
    if (rating) {
        this->context.cascade.onRating(this->cascadeKey(), stage.version.model, *rating);
    }
    this->context.evidence.count(stage.version, failedRating ? AnswerOutcome::FailedRating : AnswerOutcome::Good);
    if (!good) {
        this->context.metrics.countEvent("escalated");
        reason.fail({.id = ErrorId::UpstreamError,
                     .step = Step::Answer,
                     .runState = RunState::Ran,
                     .detail = "the answer failed its rating or could not be rated"});
        co_return false;
    }
    if (answer->firstTokenAt) {
        this->metadata.firstToken = *answer->firstTokenAt - this->admission.receivedAt;
    }
    const bool streamed = !stage.rated && this->chat.stream;
    this->answerText = std::move(answer->text);
    if (this->chat.stream && !streamed) {
        co_return co_await this->deliver(this->answerText);
    }
    co_return true;
}

asio::awaitable<std::optional<bool>> ChatFlow::rate(const ModelAnswer &answer)
{
    LastReason reason;
    const TimePoint requestedAt = bootClockNow();
    const auto rating = co_await this->context.platform.rate(this->admission.account->id, this->admission.task->name,
                                                             this->chat.prompt, answer.text, reason);
    if (!rating) {
        this->context.metrics.countEvent("rating_failed");
        co_return std::nullopt;
    }
    this->context.cascade.onRatingLatency(bootClockNow() - requestedAt);
    this->context.metrics.countEvent("rated");
    co_return rating->passed;
}

asio::awaitable<bool> ChatFlow::deliver(std::string text)
{
    if (!this->exchange.answered() && !co_await this->begin()) {
        co_return false;
    }
    std::string event = this->events->piece(text);
    co_return co_await this->exchange.write(std::move(event));
}

asio::awaitable<bool> ChatFlow::begin()
{
    this->events.emplace(this->metadata.request, this->metadata.version);
    this->exchange.addHeader({"Parsleyvane-Version", versionText(this->metadata.version)});
    if (this->newSession) {
        LastReason reason;
        const Session started{randomId(), this->admission.account->id, this->metadata.version};
        const auto token = issueToken(*this->admission.configuration, started, reason);
        this->exchange.addHeader({"Parsleyvane-Session", token.value_or("")});
    } else if (this->session) {
        this->exchange.addHeader({"Parsleyvane-Session", this->exchange.header("Parsleyvane-Session")});
    }
    if (this->chat.stream) {
        co_return co_await this->exchange.beginStream("text/event-stream");
    }
    co_return true;
}

asio::awaitable<bool> ChatFlow::finish(LastReason &reason)
{
    Bill bill = this->bill();
    if (!co_await this->context.bills.submit(std::move(bill))) {
        reason.fail({.id = ErrorId::StoreUnavailable,
                     .step = Step::Bill,
                     .peer = "platform",
                     .runState = RunState::Ran,
                     .detail = "the bill queue is full"});
        co_return false;
    }
    if (!this->exchange.answered() && !co_await this->begin()) {
        co_return true;
    }
    if (this->chat.stream) {
        std::string end = this->events->end(this->metadata);
        if (co_await this->exchange.write(std::move(end))) {
            co_await this->exchange.endStream();
        }
        co_return true;
    }
    std::string body = chatBody(this->answerText, this->metadata);
    co_await this->exchange.respond(200, "application/json", std::move(body));
    co_return true;
}

ModelCallParameters ChatFlow::callParameters(const Stage &stage) const
{
    ModelCallParameters parameters;
    parameters.request = this->metadata.request;
    parameters.account = this->admission.account->id;
    parameters.version = stage.version;
    parameters.pinnedSession = this->session.has_value();
    parameters.prompt = this->chat.prompt;
    parameters.maxTokens = std::min(this->chat.maxTokens.value_or(this->task.maxTokens), this->task.maxTokens);
    parameters.claimsPriority = this->admission.claimsPriority;
    parameters.repeatable = this->admission.task->repeatable;
    parameters.resumable = this->task.resumable && !this->admission.claimsPriority;
    parameters.maxWait = this->admission.maxWait;
    return parameters;
}

CascadeKey ChatFlow::cascadeKey() const
{
    return {this->admission.account->id, this->admission.task->name};
}

CascadeTerms ChatFlow::cascadeTerms() const
{
    return {this->task.chain, this->task.qualityTarget, this->admission.account->costWeight};
}

bool ChatFlow::isCascaded() const
{
    return !this->session && !this->chat.model && this->task.chain.size() > 1;
}

Bill ChatFlow::bill() const
{
    return {this->metadata.request, this->admission.account->id,       this->admission.task->name,
            this->metadata.version, this->metadata.usage.promptTokens, this->metadata.usage.outputTokens,
            this->metadata.cost};
}

} // namespace parsleyvane
