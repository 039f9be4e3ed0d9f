#include "parsleyvane/forward/forwardedrequest.h"

#include "parsleyvane/core/clock.h"

#include <algorithm>
#include <array>

namespace parsleyvane {

std::string_view resultName(AttemptResult result)
{
    constexpr std::array<std::string_view, 11> names
        = {"delivered", "caller_gone", "no_upstream", "unreachable", "withdrawn",  "refused",
           "lost",      "silent",      "bad_data",    "failed",      "poor_answer"};
    return names.at(static_cast<std::size_t>(result));
}

void ForwardedRequest::learn(const UpstreamEntry &target, AttemptResult result)
{
    UpstreamList &upstreams = this->context.beliefs.upstreams;
    const TimePoint now = bootClockNow();
    switch (result) {
    case AttemptResult::Delivered:
        upstreams.recordOutcome(target.id, UpstreamOutcome::Answered, now);
        this->context.beliefs.crashes.onAnswered(this->fingerprintOf());
        break;
    case AttemptResult::Unreachable:
        upstreams.recordOutcome(target.id, UpstreamOutcome::Unreachable, now);
        break;
    case AttemptResult::Refused:
        upstreams.recordOutcome(target.id, UpstreamOutcome::Refused, now);
        break;
    case AttemptResult::Lost:
        upstreams.recordOutcome(target.id, UpstreamOutcome::Lost, now);
        if (this->events == 0) {
            this->context.beliefs.crashes.onLost(this->fingerprintOf(),
                                                 target.id.str() + "@" + std::to_string(target.startedAtMs), now);
            if (this->context.evidenceChanged) {
                this->context.evidenceChanged();
            }
        }
        break;
    case AttemptResult::Silent:
        upstreams.recordOutcome(target.id, UpstreamOutcome::Silent, now);
        if (this->events == 0) {
            this->notePressure(now - this->sentAt);
        }
        break;
    case AttemptResult::BadData:
    case AttemptResult::Failed:
        upstreams.recordOutcome(target.id, UpstreamOutcome::Failed, now);
        break;
    default:
        break;
    }
    this->context.metrics.countAttempt(UpstreamId(this->service.str()), resultName(result));
    this->learnVersion(result);
}

void ForwardedRequest::notePressure(Milliseconds waited)
{
    constexpr double newest = 0.1;
    if (!this->route->sizes.empty() && this->size + 1 == this->route->sizes.size()) {
        double &loadLevel = this->context.loadLevel[this->service];
        const double part = static_cast<double>(waited.count()) / static_cast<double>(this->route->objective.count());
        loadLevel += newest * (part - loadLevel);
    }
}

void ForwardedRequest::judgeStart(TimePoint now)
{
    VersionShift &shift = shiftOf(this->context, this->service);
    const std::string kind = this->route->name.str() + "/" + std::to_string(this->size);
    shift.onTimeToFirstEvent(this->candidate, kind, now - this->sentAt, this->sentAt);
    this->tellEvidence(shift);
}

void ForwardedRequest::judgePace()
{
    // A slow version shows in the pauses long before its answers end.
    constexpr std::uint64_t sampledEvents = 4;
    VersionShift &shift = shiftOf(this->context, this->service);
    if (this->paceJudged || this->events < sampledEvents) {
        return;
    }
    // Ten pauses, since one is only some ms long.
    constexpr std::int64_t pauses = 10;
    const auto gaps = static_cast<std::int64_t>(this->events - 1);
    const std::string kind = this->route->name.str() + "/" + std::to_string(this->size);
    this->paceJudged = true;
    shift.onLatency(this->candidate, kind, (bootClockNow() - this->firstEventAt) * pauses / gaps, this->sentAt);
    this->tellEvidence(shift);
}

void ForwardedRequest::tellEvidence(const VersionShift &shift)
{
    if (this->context.evidenceChanged && shift.hasEvidence()) {
        this->context.evidenceChanged();
    }
}

void ForwardedRequest::learnVersion(AttemptResult result)
{
    VersionShift &shift = shiftOf(this->context, this->service);
    const TimePoint now = bootClockNow();
    const std::string kind = this->route->name.str() + "/" + std::to_string(this->size);
    const bool late = result == AttemptResult::Silent && this->events == 0;
    if (this->route->streams && (late || result == AttemptResult::PoorAnswer)) {
        // A silent one would have begun later still.
        this->judgeStart(now);
        return;
    }
    const bool silent = result == AttemptResult::Silent && !this->route->streams;
    if (result == AttemptResult::Failed || silent) {
        shift.onAnswer(this->route->name, this->candidate, false);
    } else if (result == AttemptResult::Delivered) {
        // What may run only once is passed on as it came, failures too.
        shift.onAnswer(this->route->name, this->candidate, !this->upstreamFailed);
        if (!this->route->streams && !this->upstreamFailed) {
            shift.onLatency(this->candidate, kind, now - this->sentAt, this->sentAt);
        }
    } else {
        return;
    }
    this->tellEvidence(shift);
}

} // namespace parsleyvane
