#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/membership/rendezvous.h"

namespace parsleyvane {

namespace {

void updateServiceLoad(ForwardContext &context, const ServiceName &service, TimePoint now)
{
    const LoadView &load = context.fleetView.load;
    // Without the attempts of others, the view has nothing that the admission control does not count itself.
    if (context.sharesLoad && (load.isShared(now) || load.hasReports(now))) {
        context.admission.setServiceLoad(service, load.serviceLoad(service, now), now);
    }
}

} // namespace

AdmissionQuery ForwardedRequest::admissionQuery() const
{
    const TenantRule *tenant = this->resolution->tenant;
    const std::string caller = this->facts.apiKey + "\n" + this->facts.path;
    return {.service = this->service(),
            .route = this->route().name,
            .account = tenant != nullptr ? tenant->account : AccountId(),
            .rank = this->rank(),
            .promptTokens = this->facts.promptTokens,
            .remaining = this->remainingTime(),
            .repeatKey = rendezvousWeight(caller, this->exchange.request().body())};
}

std::optional<Failure> ForwardedRequest::checkCapacity()
{
    if (!this->context.controlsAdmission) {
        return std::nullopt;
    }
    const TimePoint now = bootClockNow();
    updateServiceLoad(this->context, this->service(), now);
    const AdmissionDecision decision = this->context.admission.onRequest(this->admissionQuery(), now);
    if (decision.admitted) {
        return std::nullopt;
    }
    return this->rejectionBy(decision);
}

bool ForwardedRequest::mayRetryRefused()
{
    // A request that may have run, or whose answer has begun, would be lost without a retry.
    const bool mayBeRejected = this->combinedRunState == RunState::NotRun && !this->exchange.answered();
    if (!this->context.controlsAdmission || !mayBeRejected) {
        return true;
    }
    const TimePoint now = bootClockNow();
    updateServiceLoad(this->context, this->service(), now);
    const AdmissionDecision decision = this->context.admission.onRetryWanted(this->admissionQuery(), now);
    if (!decision.admitted) {
        this->refusal = this->rejectionBy(decision);
    }
    return decision.admitted;
}

Failure ForwardedRequest::rejectionBy(const AdmissionDecision &decision)
{
    const AdmissionQuery query = this->admissionQuery();
    this->context.metrics.countEvent(this->attempts == 0 ? "admission_rejected" : "admission_retry_rejected");
    this->context.log.line("admission_rejected",
                           {{"id", this->facts.id.str()},
                            {"service", query.service.str()},
                            {"account", query.account.empty() ? "-" : query.account.str()},
                            {"rank", static_cast<std::int64_t>(query.rank)},
                            {"reason", admissionReasonName(decision.reason)},
                            {"seen_attempts", static_cast<std::int64_t>(decision.attempts)},
                            {"seen_refusals", static_cast<std::int64_t>(decision.refusals)},
                            {"refusal_age", decision.refusalAge.count()},
                            {"admitted_share", std::to_string(decision.admittedShare)},
                            {"outcome", this->attempts == 0 ? "rejected" : "not_sent_again"},
                            {"retry_after", decision.retryAfter.count()},
                            {"attempts", static_cast<std::int64_t>(this->attempts)},
                            {"left", query.remaining.count()}});
    return {.id = ErrorId::NoCapacity,
            .step = Step::Admit,
            .detail = "the service is short of capacity",
            .retryAfter = decision.retryAfter};
}

void ForwardedRequest::recordAcceptance()
{
    if (this->context.controlsAdmission) {
        const TimePoint now = bootClockNow();
        // A slow client takes a whole answer long after the upstream gave it.
        const bool isWhole = this->events == 0 && this->answeredAt >= this->sentAt;
        this->context.admission.onAccepted(this->service(), (isWhole ? this->answeredAt : now) - this->sentAt, now);
    }
}

bool ForwardedRequest::lacksRoom(const UpstreamEntry &target, AttemptResult result) const
{
    const RegisteredUpstream *known = this->context.fleetView.upstreams.find(target.id);
    return result == AttemptResult::Refused && known != nullptr && !known->reportedDraining && !known->entry.draining;
}

void ForwardedRequest::recordRoom(const UpstreamEntry &target, AttemptResult result)
{
    const bool hadRoom
        = result == AttemptResult::Delivered || result == AttemptResult::Failed || result == AttemptResult::PoorAnswer;
    if (hadRoom && this->events == 0) {
        this->recordAcceptance();
    }
    // A refusal takes back an admission, and none was counted for a hedge.
    if (this->context.controlsAdmission && !this->isHedge && this->lacksRoom(target, result)) {
        this->context.admission.onRefused(this->service(), bootClockNow());
    }
}

} // namespace parsleyvane
