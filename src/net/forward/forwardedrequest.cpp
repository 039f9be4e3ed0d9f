#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/membership/rendezvous.h"
#include "parsleyvane/net/httpstatus.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

/// The final answer is sent this long before the client's timeout, so that it arrives in time.
constexpr Milliseconds answerMargin{40};
/// With less time left, no further attempt is made: an upstream could not answer in time.
constexpr Milliseconds minUsefulTime{30};
/// Maximum times that one request is sent, refusals included.
constexpr unsigned maxDispatches = 4;
/// Maximum attempts of one request, failed connections included.
constexpr unsigned maxTotalAttempts = 8;
/// Interval at which a silent upstream is checked for whether another one may take over.
constexpr Milliseconds silenceCheckInterval{250};
/// The same while a hedge is in flight, which may fail at any time. A longer interval would delay the third attempt.
constexpr Milliseconds hedgeCheckInterval{20};
constexpr const char *quarantineDetail = "the request or a part of its prompt crashed the upstreams that ran it";

std::string secondsText(Milliseconds duration)
{
    constexpr double msPerSecond = 1000;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(duration.count()) / msPerSecond);
    return text.data();
}

/// Whether both conditions hold; an empty first one always holds.
template<typename Argument>
std::function<bool(const Argument &)> bothOf(std::function<bool(const Argument &)> first,
                                             std::function<bool(const Argument &)> second)
{
    if (!first) {
        return second;
    }
    return [first = std::move(first), second = std::move(second)](const Argument &argument) {
        return first(argument) && second(argument);
    };
}

} // namespace

VersionShift &shiftOf(ForwardContext &context, const ServiceName &service)
{
    return context.fleetView.shifts[service];
}

void recordRefusal(ForwardContext &context, Exchange &exchange, const Failure &failure)
{
    exchange.addHeader(context.platform.notRunHeader());
    LastReason ignored;
    const auto facts = context.platform.readRequest(exchange.request(), ignored);
    context.metrics.countEvent("refused_request");
    context.log.line("refused_request",
                     {{"id", facts ? facts->id.str() : "-"},
                      {"status", static_cast<std::int64_t>(httpStatus(failure.id))},
                      {"why", errorName(failure.id)},
                      {"run", runStateName(failure.runState)},
                      {"detail", failure.detail}});
}

ForwardedRequest::ForwardedRequest(ForwardContext &context, Exchange &exchange)
    : context(context)
    , exchange(exchange)
    , arrivedAt(bootClockNow())
{
    ++this->context.inFlight;
}

ForwardedRequest::~ForwardedRequest()
{
    --this->context.inFlight;
    if (this->isTrial) {
        this->context.fleetView.crashes.endTrial(this->suspects);
    }
}

asio::awaitable<void> ForwardedRequest::run()
{
    if (this->context.phase >= ForwardPhase::Lingering) {
        this->exchange.closeAfterwards();
    }
    if (const auto refused = this->admit()) {
        co_await this->refuse(*refused);
        co_return;
    }
    this->context.budget.onRequest(this->service(), this->arrivedAt);
    this->context.hedges.onRequest(this->service(), this->arrivedAt);
    this->context.fleetView.upstreamLimiter.onRequest(this->service(), this->facts.promptTokens, this->arrivedAt);
    if (const auto rejection = this->checkCapacity()) {
        co_await this->refuse(*rejection);
        co_return;
    }
    this->exchange.onClientDisconnect([this]() {
        this->clientDisconnected = true;
        if (this->call != nullptr) {
            this->call->close();
        }
        this->cancelHedge();
    });
    co_await this->tryUpstreams();
    if (!this->isAnswered) {
        co_await this->finish();
    }
}

std::optional<Failure> ForwardedRequest::admit()
{
    LastReason reason;
    auto read = this->context.platform.readRequest(this->exchange.request(), reason);
    if (!read) {
        return reason.failure();
    }
    this->facts = std::move(*read);
    this->shareSample = unitInterval(rendezvousWeight("request", this->facts.id.str()));
    const HttpRequest &request = this->exchange.request();
    std::vector<std::string_view> sharedParts;
    for (std::size_t part = 0; part + 1 < this->facts.prompt.size(); ++part) {
        sharedParts.push_back(this->facts.prompt.at(part).id);
    }
    this->suspects = crashSuspects(sharedParts, this->facts.apiKey + "\n" + this->facts.path, request.body());
    this->lastEvent = this->facts.lastEvent;
    auto found = this->resolveNow(reason);
    if (!found && reason.failure().id == ErrorId::Quarantined && this->beginTrial()) {
        found = this->resolveNow(reason);
    }
    if (!found) {
        return reason.failure();
    }
    if (!this->isTrial) {
        this->context.fleetView.crashes.onAdmitted(this->suspects);
    }
    this->adopt(std::move(*found));
    const Milliseconds timeout = std::min(this->facts.timeout.value_or(this->route().timeout), this->route().timeout);
    this->deadline = this->arrivedAt + timeout - answerMargin;
    return std::nullopt;
}

std::optional<Resolution> ForwardedRequest::resolveNow(LastReason &reason) const
{
    const FleetView &fleetView = this->context.fleetView;
    constexpr Milliseconds startingRetryAfter{300};
    constexpr Milliseconds drainingRetryAfter{20};
    if (!fleetView.table || !fleetView.upstreamsKnown) {
        return reason.fail({.id = ErrorId::NotReady,
                            .step = Step::Admit,
                            .detail = "no configuration or no upstreams yet",
                            .retryAfter = startingRetryAfter});
    }
    const ResolutionQuery query{.host = this->facts.host,
                                .path = this->facts.path,
                                .apiKey = this->facts.apiKey,
                                .randomValue = this->shareSample};
    auto found = resolve(fleetView.table, query, reason);
    if (!found) {
        return std::nullopt;
    }
    const bool mayOutlast = found->route->streams || this->arrivedAt + found->route->timeout > this->context.stopsAt;
    if (this->context.phase == ForwardPhase::Finishing && this->dispatches == 0 && mayOutlast) {
        return reason.fail({.id = ErrorId::Draining,
                            .step = Step::Admit,
                            .detail = "the instance is stopping",
                            .retryAfter = drainingRetryAfter});
    }
    const auto blocked = fleetView.crashes.blockedOf(this->suspects);
    if (blocked && !this->isTrial) {
        return reason.fail(
            {.id = ErrorId::Quarantined, .step = Step::Admit, .peer = blocked->str(), .detail = quarantineDetail});
    }
    return found;
}

bool ForwardedRequest::beginTrial()
{
    this->isTrial = this->context.fleetView.crashes.beginTrial(this->suspects, bootClockNow());
    return this->isTrial;
}

void ForwardedRequest::adopt(Resolution found)
{
    this->resolution = std::move(found);
    this->sizeIndex = this->firstModel();
}

std::size_t ForwardedRequest::firstModel()
{
    const RouteRule &route = this->route();
    if (!this->context.learnsFirstModel || route.sizes.size() < 2) {
        return firstSize(route, route.maxAttempts);
    }
    const TimePoint now = bootClockNow();
    const FirstModelFacts modelFacts{.kind = hedgeKind(route.name.str(), this->facts.promptTokens),
                                     .sizes = route.sizes.size(),
                                     .attemptsLeft = route.maxAttempts};
    const FirstModel first = this->context.modelChoice.choose(modelFacts, now);
    this->context.metrics.countEvent("first_model_" + std::string(reasonName(first.reason)));
    if (first.reason != FirstModelReason::Smallest) {
        this->attemptLog.append(" first:").append(reasonName(first.reason));
    }
    return first.size;
}

std::optional<Failure> ForwardedRequest::followNewestConfiguration()
{
    if (this->combinedRunState != RunState::NotRun) {
        // An answer that an upstream may already work on is completed under the rules that admitted it.
        return std::nullopt;
    }
    LastReason reason;
    auto found = this->resolveNow(reason);
    if (!found) {
        return reason.failure();
    }
    this->adopt(std::move(*found));
    return std::nullopt;
}

asio::awaitable<void> ForwardedRequest::tryUpstreams()
{
    while (true) {
        const AttemptResult result = co_await this->attempt();
        if (this->clientDisconnected || result == AttemptResult::ClientDisconnected) {
            this->clientDisconnected = true;
            co_return;
        }
        if (result == AttemptResult::Delivered) {
            co_return;
        }
        std::string why;
        if (!this->mayRetry(result, why)) {
            this->stop(why);
            co_return;
        }
        this->refusal = this->followNewestConfiguration();
        if (this->refusal) {
            this->stop(errorName(this->refusal->id));
            co_return;
        }
    }
}

void ForwardedRequest::stop(std::string_view why)
{
    this->stopReason = why;
    this->attemptLog.append(" stop:").append(why);
}

std::string_view ForwardedRequest::retryObstacle() const
{
    if (this->remainingTime() < minUsefulTime) {
        return "deadline";
    }
    if (!this->isRepeatable() && this->combinedRunState != RunState::NotRun) {
        return "may_have_run";
    }
    if (this->possibleRuns >= this->route().maxAttempts) {
        return "attempts";
    }
    if (this->dispatches >= maxDispatches || this->attempts >= maxTotalAttempts) {
        return "tries";
    }
    if (this->combinedRunState != RunState::NotRun && this->context.fleetView.crashes.blockedOf(this->suspects)) {
        return errorName(ErrorId::Quarantined);
    }
    return {};
}

bool ForwardedRequest::mayRetry(AttemptResult result, std::string &why)
{
    why = result == AttemptResult::NoUpstream ? "no_upstream" : this->retryObstacle();
    if (!why.empty()) {
        return false;
    }
    if (result == AttemptResult::Refused && !this->mayRetryRefused()) {
        why = "admission";
        return false;
    }
    const bool isPaid = this->nextTarget || this->dispatches == 0 || result == AttemptResult::PoorAnswer
        || result == AttemptResult::Unreachable || result == AttemptResult::Withdrawn;
    if (!isPaid && !this->payForRetry()) {
        why = "repeat_budget";
    }
    if (why.empty() && result == AttemptResult::Refused && this->context.controlsAdmission) {
        this->context.admission.onRetry(this->service(), bootClockNow());
    }
    return why.empty();
}

bool ForwardedRequest::payForRetry()
{
    if (this->exchange.answered()) {
        // Without a retry the answer that has begun would be lost.
        this->context.budget.spend(this->service(), bootClockNow());
        return true;
    }
    return this->context.budget.take(this->service(), bootClockNow());
}

Milliseconds ForwardedRequest::waitOrHandOver(const UpstreamEntry &silent)
{
    const Milliseconds left = this->remainingTime();
    if (left <= Milliseconds(0)) {
        return Milliseconds(0);
    }
    if (this->isHedged() && this->call != nullptr) {
        return std::min(left, hedgeCheckInterval);
    }
    // With less time left than an answer usually takes, the silent upstream is the more likely one to answer.
    if (left >= this->route().objective && this->retryObstacle().empty()) {
        auto next = this->chooseTarget({.excluded = silent, .onlyHealthy = true});
        if (next && this->context.budget.take(this->service(), bootClockNow())) {
            this->nextTarget = std::move(next);
            return Milliseconds(0);
        }
    }
    return std::min(left, silenceCheckInterval);
}

bool ForwardedRequest::keepsVersion(const VersionShift &shift) const
{
    return this->exchange.answered() && shift.state() == RolloutState::Running && !shift.isBad();
}

bool ForwardedRequest::isOnlyOrderedVersionLeft(const VersionShift &shift) const
{
    if (!shift.excludesVersions()) {
        return false;
    }
    bool isOtherLeft = false;
    this->context.fleetView.upstreams.forEachUsable(this->service(), [&](const RegisteredUpstream &upstream) {
        isOtherLeft = isOtherLeft || shift.allows(upstream.entry.version, false);
    });
    return !isOtherLeft;
}

void ForwardedRequest::setReplicas(UpstreamRequirements &requirements, TimePoint now)
{
    const std::string &affinity = requirements.affinity;
    if (!this->context.replicasByDemand || affinity.empty()) {
        return;
    }
    if (!this->countedPrefix || this->countedPrefix->affinity != affinity) {
        PrefixDemand &demand = this->context.prefixDemand;
        const PrefixRequest request{.prefix = affinity, .session = this->facts.session};
        // A replica that has become cold without anyone's knowledge must stay within what it tolerates.
        const double tolerated = this->context.fleetView.coldUpstreams.allowed(this->coldStart()) / 2;
        const double ratePerReplica = tolerated > 0 ? std::min(defaultReplicaRate, tolerated) : defaultReplicaRate;
        this->countedPrefix = {affinity, demand.replicas(request, ratePerReplica, now)};
        demand.onRequest(request, now);
        this->context.metrics.countEvent(this->countedPrefix->replicas > 1 ? "prefix_spread" : "prefix_single");
    }
    requirements.replicas = this->countedPrefix->replicas;
    if (requirements.load) {
        requirements.replicaWeight = [this, load = requirements.load, now](const RegisteredUpstream &upstream) {
            // What is left without this instance's own attempts follows the upstream's speed.
            const double own = upstream.running / static_cast<double>(std::max(1U, upstream.entry.slots));
            return this->context.speedSteps.update(processName(upstream.entry), load(upstream) - own, now);
        };
    }
}

std::optional<ForwardedRequest::Target> ForwardedRequest::chooseTarget(UpstreamRequirements requirements)
{
    VersionShift &shift = shiftOf(this->context, this->service());
    const TimePoint now = bootClockNow();
    bool usesCandidate = this->keepsVersion(shift)
        ? shift.isCandidate(this->version)
        : shift.routesToCandidate(this->facts.session, this->shareSample, now);
    requirements.service = this->service();
    requirements.zone = this->context.zone;
    requirements.tried = this->sentTo;
    requirements.affinity = this->affinityKey();
    for (std::size_t part = 0; part + 1 < this->facts.prompt.size(); ++part) {
        requirements.affinityTokens += this->facts.prompt.at(part).tokens;
    }
    const TokenClaim claim{
        .service = this->service(), .rank = this->limitRank(), .promptTokens = this->facts.promptTokens};
    const UpstreamList &upstreams = this->context.fleetView.upstreams;
    const UpstreamLimiter &limiter = this->context.fleetView.upstreamLimiter;
    const auto isPermitted = [this, now, isWithinLimit = limiter.filter(upstreams, claim, now),
                              cold = this->coldStart()](const RegisteredUpstream &upstream) {
        return this->isPlaceAllowed(upstream.entry)
            && this->context.fleetView.coldUpstreams.permits(upstream.entry, cold, now) && isWithinLimit(upstream);
    };
    requirements.limitsPermit
        = bothOf(std::move(requirements.limitsPermit), std::function<bool(const RegisteredUpstream &)>(isPermitted));
    requirements.prefers = limiter.preference(upstreams, claim);
    if (this->context.sharesLoad) {
        requirements.load = loadCost(this->context.fleetView.load, now);
    }
    requirements.versionAllowed
        = bothOf(std::move(requirements.versionAllowed),
                 std::function([&](const VersionName &version) { return shift.allows(version, usesCandidate); }));
    this->setReplicas(requirements, now);
    auto entry = chooseUpstream(upstreams, requirements, now, this->context.random);
    const bool mayChange = shift.state() != RolloutState::RolledBack && !shift.isBad();
    if (!entry && (usesCandidate || mayChange) && (shift.state() || this->isOnlyOrderedVersionLeft(shift))) {
        usesCandidate = !usesCandidate;
        entry = chooseUpstream(upstreams, requirements, now, this->context.random);
    }
    if (!entry) {
        return std::nullopt;
    }
    return Target{std::move(*entry), usesCandidate, shift.phase()};
}

ColdStart ForwardedRequest::coldStart() const
{
    return this->resolution->table->coldStart(this->service());
}

bool ForwardedRequest::isPlaceAllowed(const UpstreamEntry &entry) const
{
    if (this->context.fleetView.evacuatedZones.contains(entry.zone)) {
        return false;
    }
    const TenantRule *tenant = this->resolution->tenant;
    const auto region = this->context.regions.find(entry.zone);
    const auto isAllowedBy = [&](const std::vector<RegionId> &allowed) {
        return allowed.empty()
            || (region != this->context.regions.end()
                && std::find(allowed.begin(), allowed.end(), region->second) != allowed.end());
    };
    return isAllowedBy(this->route().allowedRegions) && (tenant == nullptr || isAllowedBy(tenant->allowedRegions));
}

std::optional<Milliseconds> ForwardedRequest::untilPermitted(TimePoint now) const
{
    constexpr Milliseconds untilPlaceAllowed{1000};
    std::optional<Milliseconds> shortest;
    this->context.fleetView.upstreams.forEachUsable(this->service(), [&](const RegisteredUpstream &upstream) {
        const Milliseconds wait = this->isPlaceAllowed(upstream.entry)
            ? this->context.fleetView.coldUpstreams.untilPermitted(upstream.entry, this->coldStart(), now)
            : untilPlaceAllowed;
        shortest = std::min(shortest.value_or(wait), wait);
    });
    return shortest == Milliseconds(0) ? std::nullopt : shortest;
}

asio::awaitable<void> ForwardedRequest::finish()
{
    this->isAnswered = true;
    if (this->clientDisconnected) {
        this->exchange.abort();
        this->logAnswer(0, "caller_gone");
        co_return;
    }
    if (this->exchange.answered()) {
        this->exchange.abort();
        this->context.metrics.countEvent("broken_off_" + this->stopReason);
        this->logAnswer(0, "broken_off");
        co_return;
    }
    if (this->failedAnswer) {
        WholeAnswer answer = std::move(*this->failedAnswer);
        co_await this->deliver(std::move(answer));
        co_return;
    }
    if (this->refusal && this->combinedRunState == RunState::NotRun) {
        co_await this->refuse(*this->refusal);
        co_return;
    }
    Failure failure{.id = ErrorId::NoCapacity, .step = Step::Answer, .runState = this->combinedRunState};
    failure.detail = "no upstream answered";
    const TimePoint now = bootClockNow();
    if (const auto wanted = this->context.fleetView.upstreams.earliestWanted(this->service(), now)) {
        failure.detail = "no upstream wants requests now";
        // An upstream may wait for up to a day; another one may register much sooner.
        constexpr Milliseconds maxRetryAfter{60000};
        failure.retryAfter = std::min(*wanted - now, maxRetryAfter);
    } else if (const auto permitted = this->untilPermitted(now)) {
        failure.detail = "all upstreams are cold, evacuated or outside the allowed regions";
        failure.retryAfter = *permitted;
    }
    if (this->combinedRunState != RunState::NotRun) {
        failure.id = this->remainingTime() < minUsefulTime ? ErrorId::DeadlineExceeded : ErrorId::UpstreamLost;
    }
    co_await this->refuse(failure);
}

asio::awaitable<void> ForwardedRequest::refuse(const Failure &failure)
{
    constexpr Milliseconds minRetryAfter{100};
    constexpr Milliseconds maxRetryAfter{1000};
    constexpr int retryAfterDivisor = 5;
    this->isAnswered = true;
    int status = httpStatus(failure.id);
    std::vector<HttpHeader> head = {{"Content-Type", "application/json"}};
    if (failure.id == ErrorId::MalformedRequest) {
        head.push_back(this->context.platform.notRunHeader());
        this->exchange.closeAfterwards();
    }
    const bool isOwnFault = status >= statusServerError || failure.id == ErrorId::Quarantined;
    if (isOwnFault && failure.runState == RunState::NotRun) {
        status = statusUnavailable;
        const Milliseconds defaultRetryAfter
            = std::clamp(this->remainingTime() / retryAfterDivisor, minRetryAfter, maxRetryAfter);
        head.push_back({"Retry-After", secondsText(failure.retryAfter.value_or(defaultRetryAfter))});
    } else if (isOwnFault) {
        status = failure.id == ErrorId::DeadlineExceeded ? statusTimeout : statusBadGateway;
    }
    std::string body = failureJson(failure);
    this->attemptLog.append(" ").append(failure.detail);
    if (failure.id == ErrorId::Quarantined) {
        this->attemptLog.append(" ").append(failure.peer);
    }
    co_await this->exchange.relay(status, std::move(head), std::move(body));
    this->logAnswer(status, errorName(failure.id));
}

int ForwardedRequest::rank() const
{
    constexpr int lastRank = 9;
    const TenantRule *tenant = this->resolution->tenant;
    const int own = tenant != nullptr && tenant->rank ? *tenant->rank : this->route().rank;
    return std::clamp(own, 0, lastRank);
}

int ForwardedRequest::limitRank() const
{
    // Some requests of each kind compete as the most urgent, so that none starves under a lasting limit.
    constexpr double exemptFraction = 0.25;
    const double sample = unitInterval(rendezvousWeight("limit", this->facts.id.str()));
    return sample < exemptFraction ? 0 : this->rank();
}

bool ForwardedRequest::isRepeatable() const
{
    return this->route().repeat != Repeatability::Once;
}

Milliseconds ForwardedRequest::remainingTime() const
{
    return this->deadline - bootClockNow();
}

std::string ForwardedRequest::affinityKey() const
{
    if (!this->route().usesPrefixCache || this->facts.prompt.empty()) {
        return {};
    }
    std::string name;
    const std::size_t shared = std::max<std::size_t>(1, this->facts.prompt.size() - 1);
    for (std::size_t part = 0; part < shared; ++part) {
        name.append(this->facts.prompt.at(part).id).append("/");
    }
    if (!this->route().sizes.empty()) {
        name.append(this->route().sizes.at(this->sizeIndex).str());
    }
    return name;
}

std::string ForwardedRequest::promptText() const
{
    std::string text;
    for (const PromptPart &part : this->facts.prompt) {
        text.append(text.empty() ? "" : ",").append(part.id);
    }
    return text.empty() ? "-" : text;
}

void ForwardedRequest::logAnswer(int status, std::string_view why)
{
    const TimePoint now = bootClockNow();
    const TenantRule *tenant = this->resolution ? this->resolution->tenant : nullptr;
    const std::string account = tenant != nullptr ? tenant->account.str() : "";
    const std::string routeName = this->resolution ? this->route().name.str() : "";
    this->context.metrics.countRequest(AccountId(account), TaskName(routeName), why);
    this->context.metrics.observeRequest(now - this->arrivedAt);
    const auto age = [&](TimePoint at) {
        return at == TimePoint() ? std::string("never") : std::to_string((now - at).count());
    };
    const auto &newest = this->context.fleetView.table;
    const std::uint64_t revision = newest ? newest->revision().value() : 0;
    const std::uint64_t admittedRevision = this->resolution ? this->resolution->table->revision().value() : 0;
    this->context.log.line(
        "request",
        {{"id", this->facts.id.str()},
         {"route", routeName.empty() ? "-" : routeName},
         {"account", account.empty() ? "-" : account},
         {"session", this->facts.session.empty() ? "-" : this->facts.session},
         {"prompt", this->promptText()},
         {"status", static_cast<std::int64_t>(status)},
         {"why", why},
         {"run", runStateName(this->combinedRunState)},
         {"ms", (now - this->arrivedAt).count()},
         {"left", this->deadline == TimePoint() ? std::string("-") : std::to_string(this->remainingTime().count())},
         {"admitted_revision", static_cast<std::int64_t>(admittedRevision)},
         {"revision", static_cast<std::int64_t>(revision)},
         {"configuration_age", age(this->context.fleetView.tableConfirmedAt)},
         {"upstreams_age", age(this->context.fleetView.upstreamsReadAt)},
         {"attempts", this->attemptLog}});
}

} // namespace parsleyvane
