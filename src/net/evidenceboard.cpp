#include "parsleyvane/net/evidenceboard.h"

#include "parsleyvane/quarantine/reportcodec.h"

#include <algorithm>

namespace parsleyvane {

namespace {

/// Time until all peers have received a crash report: it is sent immediately, and again with the next heartbeat if that
/// call is lost.
constexpr Milliseconds crashPropagationTime{2000};

void add(VersionEvidence &total, const VersionEvidence &part)
{
    total.served += part.served;
    total.errors += part.errors;
    total.failedRatings += part.failedRatings;
}

} // namespace

EvidenceBoard::EvidenceBoard(InstanceId self)
    : suspects(std::move(self), {.propagationTime = crashPropagationTime})
{
}

void EvidenceBoard::onChange(std::function<void()> callback)
{
    this->changeCallback = std::move(callback);
}

void EvidenceBoard::count(const ModelVersion &version, AnswerOutcome outcome)
{
    VersionEvidence &evidence = this->own[version];
    evidence.version = version;
    ++evidence.served;
    evidence.errors += outcome == AnswerOutcome::Error ? 1 : 0;
    evidence.failedRatings += outcome == AnswerOutcome::FailedRating ? 1 : 0;
}

void EvidenceBoard::upstreamCrashed(const UpstreamId &upstream, TimePoint now)
{
    const bool hasNewSuspects = !this->suspects.onUpstreamCrash(upstream, now).empty();
    if (hasNewSuspects && this->changeCallback) {
        this->changeCallback();
    }
}

void EvidenceBoard::merge(const InstanceId &from, const Evidence &evidence, TimePoint now)
{
    std::vector<SuspectReport> reports;
    for (const std::string &text : evidence.quarantined) {
        LastReason reason;
        if (auto report = parseSuspectReport(text, reason)) {
            reports.push_back(std::move(*report));
        }
    }
    for (const VersionEvidence &version : evidence.versions) {
        this->peers[from][version.version] = version;
    }
    if (this->suspects.merge(reports, now) && this->changeCallback) {
        this->changeCallback();
    }
}

Evidence EvidenceBoard::current(TimePoint now) const
{
    Evidence evidence;
    for (const SuspectReport &report : this->suspects.report(now)) {
        evidence.quarantined.push_back(serialise(report));
    }
    for (const auto &[version, counters] : this->own) {
        evidence.versions.push_back(counters);
    }
    return evidence;
}

VersionEvidence EvidenceBoard::fleetTotal(const ModelVersion &version) const
{
    VersionEvidence total{.version = version};
    if (const auto found = this->own.find(version); found != this->own.end()) {
        add(total, found->second);
    }
    for (const auto &[instance, versions] : this->peers) {
        if (const auto found = versions.find(version); found != versions.end()) {
            add(total, found->second);
        }
    }
    return total;
}

} // namespace parsleyvane
