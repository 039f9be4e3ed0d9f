#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"

#include <algorithm>
#include <array>

namespace parsleyvane {

std::string_view resultName(AttemptResult result)
{
    constexpr std::array<std::string_view, 12> names
        = {"delivered", "caller_gone", "no_upstream", "unreachable", "withdrawn",   "refused",
           "lost",      "silent",      "bad_data",    "failed",      "poor_answer", "overtaken"};
    return names.at(static_cast<std::size_t>(result));
}

void ForwardedRequest::recordResult(const UpstreamEntry &target, AttemptResult result)
{
    UpstreamList &upstreams = this->context.fleetView.upstreams;
    const TimePoint now = bootClockNow();
    switch (result) {
    case AttemptResult::Delivered:
        upstreams.recordOutcome(target, UpstreamOutcome::Answered, now);
        if (!this->isSurvivalRecorded) {
            this->recordSurvival(target);
        }
        break;
    case AttemptResult::Unreachable:
        upstreams.recordOutcome(target, UpstreamOutcome::Unreachable, now);
        this->context.fleetView.coldUpstreams.onConnectionLost(target, now);
        break;
    case AttemptResult::Refused:
        upstreams.recordOutcome(target, UpstreamOutcome::Refused, now);
        break;
    case AttemptResult::Lost:
        upstreams.recordOutcome(target, UpstreamOutcome::Lost, now);
        if (this->events == 0) {
            this->context.fleetView.coldUpstreams.onConnectionLost(target, now);
        }
        if (!this->hasSurvived(now)) {
            this->recordCrash(target);
        }
        break;
    case AttemptResult::Silent:
        upstreams.recordOutcome(target, UpstreamOutcome::Silent, now);
        if (this->events == 0) {
            this->updateLoadLevel(now - this->sentAt);
        }
        break;
    case AttemptResult::Overtaken:
        // The limit as of the sending: a client with little time left doesn't make its upstream a silent one.
        if (now - this->sentAt >= this->firstSilenceLimit) {
            upstreams.recordOutcome(target, UpstreamOutcome::Silent, now);
        }
        break;
    case AttemptResult::BadData:
    case AttemptResult::Failed:
        upstreams.recordOutcome(target, UpstreamOutcome::Failed, now);
        break;
    default:
        break;
    }
    if (this->context.sharesLoad) {
        this->recordLoad(target, result);
    }
    this->recordRoom(target, result);
    const bool isLate = result == AttemptResult::Silent || result == AttemptResult::Overtaken;
    if (isLate && this->events == 0) {
        // A lower bound of its response time: without it, the usual time would be learned from fast responses only.
        this->recordResponseTime(now);
    }
    const bool isRefused = this->lacksRoom(target, result);
    const bool wasAttempted = result != AttemptResult::Unreachable && result != AttemptResult::Withdrawn;
    if (wasAttempted && (isRefused || result != AttemptResult::Refused)) {
        this->context.hedges.onAttempt(this->service(), isRefused, now);
    }
    this->context.metrics.countAttempt(UpstreamId(this->service().str()), resultName(result));
    this->recordVersionEvidence(result);
}

void ForwardedRequest::recordLoad(const UpstreamEntry &target, AttemptResult result)
{
    const TimePoint now = bootClockNow();
    AttemptSample sample{.workKind = this->workKind};
    switch (result) {
    case AttemptResult::Delivered:
        sample = this->answeredSample();
        break;
    case AttemptResult::PoorAnswer:
        break;
    case AttemptResult::Overtaken:
        // A lower bound of its time; without it, an upstream that is always overtaken would count as an average one.
        sample.workKind += this->route().streams ? "/first" : "/whole";
        sample.time = now - this->sentAt;
        break;
    case AttemptResult::Refused:
        sample.outcome = this->lacksRoom(target, result) ? UpstreamOutcome::Refused : UpstreamOutcome::ReportedDraining;
        break;
    case AttemptResult::Unreachable:
    case AttemptResult::Lost:
    case AttemptResult::Silent:
    case AttemptResult::BadData:
    case AttemptResult::Failed:
        sample.outcome = UpstreamOutcome::Failed;
        break;
    default:
        return;
    }
    this->context.fleetView.load.record(target, sample, now);
}

AttemptSample ForwardedRequest::answeredSample() const
{
    // Unlike the time to the first event, the time between events does not depend on the prompt's length.
    constexpr std::uint64_t minEvents = 4;
    constexpr std::int64_t referenceIntervals = 100;
    if (this->upstreamFailed) {
        return {.workKind = this->workKind, .outcome = UpstreamOutcome::Failed};
    }
    if (this->events >= minEvents) {
        const auto intervals = static_cast<std::int64_t>(this->events - 1);
        return {.workKind = this->workKind + "/events",
                .time = (this->answeredAt - this->firstEventAt) * referenceIntervals / intervals};
    }
    if (this->events > 0) {
        return {.workKind = this->workKind + "/first", .time = this->firstEventAt - this->sentAt};
    }
    return {.workKind = this->workKind + "/whole", .time = this->answeredAt - this->sentAt};
}

bool ForwardedRequest::hasSurvived(TimePoint now) const
{
    // A request may crash its upstream right after the first event. Streams that are cut later are mostly those of a
    // stopping upstream; counted as crashes, they would block parts of prompts that do no harm.
    constexpr Milliseconds survivalTime{100};
    return this->events > 0 && now - this->firstEventAt >= survivalTime;
}

void ForwardedRequest::recordSignOfLife(const UpstreamEntry &target)
{
    const TimePoint now = bootClockNow();
    if (!this->isSurvivalRecorded && this->hasSurvived(now)) {
        this->recordSurvival(target);
        return;
    }
    this->context.fleetView.crashes.onAlive(processName(target), now);
}

void ForwardedRequest::recordCrash(const UpstreamEntry &target)
{
    const char *event = this->events == 0 ? "lost_before_first_event" : "lost_after_first_event";
    this->context.fleetView.crashes.onLost(this->suspects, processName(target), bootClockNow());
    this->context.metrics.countEvent(event);
    this->context.log.line(event,
                           {{"id", this->facts.id.str()},
                            {"upstream", processName(target)},
                            {"prompt", this->promptText()},
                            {"ms", (bootClockNow() - this->sentAt).count()}});
    if (this->context.evidenceChanged) {
        this->context.evidenceChanged();
    }
}

void ForwardedRequest::recordTrial(const UpstreamEntry &target)
{
    if (!this->isTrial) {
        return;
    }
    this->context.fleetView.crashes.onTrialSent(this->suspects, bootClockNow());
    this->context.metrics.countEvent("suspect_trial");
    this->context.log.line("suspect_trial",
                           {{"id", this->facts.id.str()},
                            {"upstream", processName(target)},
                            {"prompt", this->promptText()},
                            {"ms", (bootClockNow() - this->arrivedAt).count()}});
    if (this->context.evidenceChanged) {
        this->context.evidenceChanged();
    }
}

void ForwardedRequest::recordSurvival(const UpstreamEntry &target)
{
    this->isSurvivalRecorded = true;
    const bool isNews = this->context.fleetView.crashes.onAnswered(this->suspects, processName(target), bootClockNow());
    if (isNews && this->context.evidenceChanged) {
        this->context.evidenceChanged();
    }
}

void ForwardedRequest::recordRequestRate(const UpstreamEntry &target, std::optional<RequestRate> rate, TimePoint sent)
{
    UpstreamLimiter &limiter = this->context.fleetView.upstreamLimiter;
    if (!limiter.onAnswer(target, rate, sent, bootClockNow())) {
        return;
    }
    if (this->context.evidenceChanged) {
        this->context.evidenceChanged();
    }
    this->context.metrics.countEvent(rate ? "upstream_limit" : "upstream_limit_ended");
    this->context.log.line("upstream_limit",
                           {{"id", this->facts.id.str()},
                            {"upstream", processName(target)},
                            {"per_second", rate ? std::to_string(rate->perSecond) : std::string("none")},
                            {"members", static_cast<std::int64_t>(limiter.members())},
                            {"ms", (bootClockNow() - sent).count()}});
}

void ForwardedRequest::recordAnnouncements(const UpstreamEntry &target, const AnswerHead &answer)
{
    UpstreamList &upstreams = this->context.fleetView.upstreams;
    const TimePoint now = bootClockNow();
    const RegisteredUpstream *known = upstreams.find(target.id);
    const bool isKnown = known != nullptr && (known->reportedDraining || known->entry.draining);
    if (answer.isLeaving && !isKnown) {
        upstreams.recordOutcome(target, UpstreamOutcome::ReportedDraining, now);
        this->context.metrics.countEvent("upstream_leaving_told");
        this->context.log.line("upstream",
                               {{"change", target.id.str() + " leaving"},
                                {"source", "answer"},
                                {"process", processName(target)},
                                {"id", this->facts.id.str()}});
    }
    const auto reportUnless = [&](bool isReadable, const std::string &event) {
        if (!isReadable) {
            this->context.metrics.countEvent(event);
            this->context.log.line(event, {{"upstream", processName(target)}, {"id", this->facts.id.str()}});
        }
    };
    reportUnless(answer.isRetryAfterReadable, "retry_after_unreadable");
    reportUnless(answer.isRateReadable, "upstream_limit_unreadable");
    reportUnless(answer.isColdReadable, "cold_time_unreadable");
    if (answer.retryAfter && upstreams.postpone(target, now + *answer.retryAfter)) {
        this->context.metrics.countEvent("upstream_postponed");
        this->context.log.line(
            "upstream_postponed",
            {{"upstream", processName(target)}, {"id", this->facts.id.str()}, {"for", answer.retryAfter->count()}});
    }
}

void ForwardedRequest::recordMalformedAnswer(const Failure &failure)
{
    this->context.metrics.countEvent("malformed_answer");
    this->context.log.line("malformed_answer",
                           {{"id", this->facts.id.str()},
                            {"upstream", failure.peer},
                            {"defect", failure.detail},
                            {"ms", (bootClockNow() - this->arrivedAt).count()}});
}

void ForwardedRequest::recordModelAnswer(const AnswerHead &answer)
{
    if (!this->context.learnsFirstModel || this->route().sizes.size() < 2) {
        return;
    }
    const TimePoint now = bootClockNow();
    const bool isAccepted = answer.confidence.value_or(0) >= this->context.sizes.minConfidence;
    this->context.modelChoice.onAnswer(hedgeKind(this->route().name.str(), this->facts.promptTokens),
                                       {.size = this->sizeIndex, .isAccepted = isAccepted, .time = now - this->sentAt},
                                       now);
}

void ForwardedRequest::updateLoadLevel(Milliseconds waited)
{
    constexpr double newestWeight = 0.1;
    if (!this->route().sizes.empty() && this->sizeIndex + 1 == this->route().sizes.size()) {
        double &level = this->context.loadLevels[this->service()];
        const double ratio = static_cast<double>(waited.count()) / static_cast<double>(this->route().objective.count());
        level += newestWeight * (ratio - level);
    }
}

void ForwardedRequest::recordTimeToFirstEvent(TimePoint now)
{
    VersionShift &shift = shiftOf(this->context, this->service());
    shift.onTimeToFirstEvent(shift.isCandidate(this->version), this->workKind, now - this->sentAt, this->sentAt);
    this->announceEvidence(shift);
}

void ForwardedRequest::recordEventLatency()
{
    // The inter-event latency shows a slow version long before its answers end.
    constexpr std::uint64_t sampledEvents = 4;
    VersionShift &shift = shiftOf(this->context, this->service());
    if (this->isEventLatencyRecorded || this->events < sampledEvents) {
        return;
    }
    // The time of ten events, since one inter-event latency is only a few ms.
    constexpr std::int64_t referenceIntervals = 10;
    const auto intervals = static_cast<std::int64_t>(this->events - 1);
    this->isEventLatencyRecorded = true;
    const Milliseconds latency = (bootClockNow() - this->firstEventAt) * referenceIntervals / intervals;
    shift.onLatency(shift.isCandidate(this->version), this->workKind, latency, this->sentAt);
    this->announceEvidence(shift);
}

void ForwardedRequest::announceEvidence(const VersionShift &shift)
{
    if (this->context.evidenceChanged && shift.hasEvidence()) {
        this->context.evidenceChanged();
    }
}

void ForwardedRequest::recordVersionEvidence(AttemptResult result)
{
    VersionShift &shift = shiftOf(this->context, this->service());
    const TimePoint now = bootClockNow();
    const bool isOvertaken = result == AttemptResult::Overtaken;
    const bool isFirstEventLate = (result == AttemptResult::Silent || isOvertaken) && this->events == 0;
    if (this->route().streams && (isFirstEventLate || result == AttemptResult::PoorAnswer)) {
        // For a silent or overtaken upstream the elapsed time is a lower bound of its time to first event.
        this->recordTimeToFirstEvent(now);
        return;
    }
    const bool isCandidate = shift.isCandidate(this->version);
    const bool isAnswerLate = result == AttemptResult::Silent && !this->route().streams;
    if (result == AttemptResult::Failed || isAnswerLate) {
        shift.onAnswer(this->route().name, isCandidate, false);
    } else if (result == AttemptResult::Delivered) {
        // A request that may run only once is answered with whatever came, including a server error.
        shift.onAnswer(this->route().name, isCandidate, !this->upstreamFailed);
        if (!this->route().streams && !this->upstreamFailed) {
            shift.onLatency(isCandidate, this->workKind, now - this->sentAt, this->sentAt);
        }
    } else if (isOvertaken) {
        shift.onLatency(isCandidate, this->workKind, now - this->sentAt, this->sentAt);
    } else {
        return;
    }
    this->announceEvidence(shift);
}

} // namespace parsleyvane
