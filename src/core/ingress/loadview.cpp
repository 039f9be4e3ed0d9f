#include "parsleyvane/ingress/loadview.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <utility>

namespace parsleyvane {

namespace {

constexpr Milliseconds expiryInterval{1000};

AttemptSums scaled(const AttemptSums &sums, double factor)
{
    return {.attempts = sums.attempts * factor,
            .failures = sums.failures * factor,
            .refusals = sums.refusals * factor,
            .timed = sums.timed * factor,
            .relativeTimes = sums.relativeTimes * factor};
}

void addSums(AttemptSums &total, const AttemptSums &sums)
{
    total.attempts += sums.attempts;
    total.failures += sums.failures;
    total.refusals += sums.refusals;
    total.timed += sums.timed;
    total.relativeTimes += sums.relativeTimes;
}

/// Adds up two loads; the age is that of the newer attempt.
void addLoad(std::optional<ProcessLoad> &total, const ProcessLoad &load)
{
    total = total.value_or(ProcessLoad{.age = load.age});
    addSums(total->sums, load.sums);
    total->age = std::min(total->age, load.age);
}

} // namespace

bool isPlausible(const ProcessLoad &load)
{
    // More than all instances together can send to one upstream within the decay.
    constexpr double maxAttempts = 100000;
    constexpr double maxTime = 100;
    // Sums are rounded for the transfer.
    constexpr double rounding = 0.01;
    const AttemptSums &sums = load.sums;
    const std::array values = {sums.attempts, sums.failures, sums.refusals, sums.timed, sums.relativeTimes};
    const bool isInRange = std::all_of(values.begin(), values.end(), [](double value) { return value >= 0; })
        && sums.attempts <= maxAttempts && load.age >= Milliseconds(0);
    return isInRange && sums.failures + sums.refusals <= sums.attempts + rounding
        && sums.timed <= sums.attempts + rounding && sums.relativeTimes <= sums.timed * maxTime + rounding;
}

DecayingLoads::DecayingLoads(const LoadLimits &limits)
    : limits(limits)
{
}

void DecayingLoads::add(const ServiceName &service, const std::string &process, const ProcessLoad &load, TimePoint now)
{
    if (load.age > this->limits.memory) {
        return;
    }
    auto &ofService = this->entries[service];
    auto found = ofService.find(process);
    if (found == ofService.end()) {
        if (this->processes >= this->limits.maxProcesses) {
            return;
        }
        found = ofService.try_emplace(process).first;
        ++this->processes;
    }
    Entry &entry = found->second;
    const auto before = this->loadOf(entry, now);
    entry.sums = before ? before->sums : AttemptSums();
    addSums(entry.sums, load.sums);
    entry.updatedAt = now;
    entry.newestAt = std::max(entry.newestAt, now - load.age);
}

void DecayingLoads::add(const LoadTable &loads, TimePoint now)
{
    for (const auto &[service, processLoads] : loads) {
        for (const auto &[process, load] : processLoads) {
            this->add(service, process, load, now);
        }
    }
}

void DecayingLoads::clear()
{
    this->entries.clear();
    this->processes = 0;
}

void DecayingLoads::expire(TimePoint now)
{
    this->processes = 0;
    for (auto &[service, ofService] : this->entries) {
        std::erase_if(ofService, [&](const auto &known) { return !this->loadOf(known.second, now); });
        this->processes += ofService.size();
    }
    std::erase_if(this->entries, [](const auto &known) { return known.second.empty(); });
}

std::optional<ProcessLoad> DecayingLoads::loadOf(const Entry &entry, TimePoint now) const
{
    const Milliseconds age = std::max(now - entry.newestAt, Milliseconds(0));
    if (age > this->limits.memory) {
        return std::nullopt;
    }
    const auto passed = static_cast<double>(std::max(now - entry.updatedAt, Milliseconds(0)).count());
    const double factor = std::exp(-passed / static_cast<double>(this->limits.decay.count()));
    return ProcessLoad{.sums = scaled(entry.sums, factor), .age = age};
}

std::optional<ProcessLoad> DecayingLoads::find(const ServiceName &service, const std::string &process,
                                               TimePoint now) const
{
    const auto ofService = this->entries.find(service);
    if (ofService == this->entries.end()) {
        return std::nullopt;
    }
    const auto found = ofService->second.find(process);
    return found != ofService->second.end() ? this->loadOf(found->second, now) : std::nullopt;
}

ProcessLoad DecayingLoads::total(const ServiceName &service, TimePoint now) const
{
    std::optional<ProcessLoad> total;
    const auto ofService = this->entries.find(service);
    if (ofService != this->entries.end()) {
        for (const auto &[process, entry] : ofService->second) {
            if (const auto load = this->loadOf(entry, now)) {
                addLoad(total, *load);
            }
        }
    }
    return total.value_or(ProcessLoad{.age = this->limits.memory});
}

LoadTable DecayingLoads::table(TimePoint now) const
{
    LoadTable loads;
    for (const auto &[service, ofService] : this->entries) {
        for (const auto &[process, entry] : ofService) {
            if (const auto load = this->loadOf(entry, now)) {
                loads[service][process] = *load;
            }
        }
    }
    return loads;
}

LoadView::LoadView(const LoadLimits &limits)
    : limits(limits)
    , own(limits)
    , unsent(limits)
    , sent(limits)
    , shared(limits)
    , reported(limits)
    , all(limits)
{
}

void LoadView::record(const UpstreamEntry &target, const AttemptSample &sample, TimePoint now)
{
    this->expire(now);
    ProcessLoad load{.sums = {.attempts = 1}};
    switch (sample.outcome) {
    case UpstreamOutcome::ReportedDraining:
        // Not a sign of load, and the upstream gets no more attempts.
        return;
    case UpstreamOutcome::Answered:
        this->addTime(load.sums, sample, now);
        break;
    case UpstreamOutcome::Refused:
        load.sums.refusals = 1;
        break;
    default:
        // The time of a failed attempt is left out: an upstream that fails fast is not a fast one.
        load.sums.failures = 1;
        break;
    }
    const std::string process = processName(target);
    this->own.add(target.service, process, load, now);
    this->all.add(target.service, process, load, now);
    this->unsent.add(target.service, process, load, now);
}

void LoadView::addTime(AttemptSums &sums, const AttemptSample &sample, TimePoint now)
{
    if (!sample.time || *sample.time < Milliseconds(0)) {
        return;
    }
    // The clock counts whole milliseconds.
    constexpr double minMean = 0.5;
    KindTimes &kind = this->kindOf(sample.workKind, now);
    const auto time = static_cast<double>(sample.time->count());
    const double mean = std::max(kind.mean, minMean);
    const bool isMeanKnown = kind.times >= this->limits.minTimes;
    const double maxTime = this->limits.maxRelativeTime;
    const double relative = kind.times > 0 ? std::min(time / mean, maxTime) : 1;
    if (isMeanKnown) {
        const double variance = std::max(kind.variance, this->limits.speedVariance);
        sums.timed = this->limits.speedVariance / variance;
        sums.relativeTimes = sums.timed * relative;
    }
    kind.times = std::min(kind.times + 1, 1000000U);
    const double weight = std::max(1.0 / kind.times, this->limits.newestWeight);
    const double deviation = relative - 1;
    kind.mean = kind.times == 1 ? time : kind.mean + weight * mean * deviation;
    kind.variance += weight * (deviation * deviation - kind.variance);
}

LoadView::KindTimes &LoadView::kindOf(const std::string &name, TimePoint now)
{
    if (!this->kinds.contains(name) && this->kinds.size() >= this->limits.maxKinds) {
        this->kinds.erase(std::min_element(this->kinds.begin(), this->kinds.end(), [](const auto &a, const auto &b) {
            return a.second.usedAt < b.second.usedAt;
        }));
    }
    KindTimes &kind = this->kinds[name];
    kind.usedAt = now;
    return kind;
}

LoadReport LoadView::report(TimePoint now)
{
    this->expire(now);
    if (this->sent.size() == 0) {
        this->sent = std::exchange(this->unsent, DecayingLoads(this->limits));
        // Starts at the clock, so that a reader takes the reports of a restarted instance for new ones.
        const auto clock = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.time_since_epoch().count()));
        this->number = std::max(this->number + 1, clock);
    }
    return {.number = this->number, .loads = this->sent.table(now)};
}

void LoadView::apply(const LoadTable &offered, std::uint64_t included, TimePoint confirmed, TimePoint now)
{
    this->shared.clear();
    this->shared.add(offered, now);
    this->confirmedAt = confirmed;
    if (included == this->number) {
        this->sent.clear();
    }
}

void LoadView::merge(const InstanceId &from, const LoadReport &report, TimePoint now)
{
    this->expire(now);
    if (!this->reporters.contains(from) && this->reporters.size() >= this->limits.maxReporters) {
        return;
    }
    Reporter &reporter = this->reporters[from];
    if (report.number <= reporter.number) {
        return;
    }
    // Unless a higher number follows, this is forgotten: an instance that moved to another machine has lower ones.
    reporter = {.number = report.number, .reportedAt = now};
    this->reported.add(report.loads, now);
    this->all.add(report.loads, now);
}

void LoadView::expire(TimePoint now)
{
    if (now - this->expiredAt < expiryInterval) {
        return;
    }
    this->expiredAt = now;
    for (DecayingLoads *loads : {&this->own, &this->unsent, &this->sent, &this->shared, &this->reported, &this->all}) {
        loads->expire(now);
    }
    std::erase_if(this->reporters,
                  [&](const auto &known) { return now - known.second.reportedAt > this->limits.memory; });
}

bool LoadView::isShared(TimePoint now) const
{
    return this->confirmedAt && now - *this->confirmedAt <= this->limits.sharedAge;
}

bool LoadView::hasReports(TimePoint now) const
{
    return std::any_of(this->reporters.begin(), this->reporters.end(),
                       [&](const auto &known) { return now - known.second.reportedAt <= this->limits.sharedAge; });
}

void LoadView::forEachTable(TimePoint now, const std::function<void(const DecayingLoads &)> &visit) const
{
    if (this->isShared(now)) {
        visit(this->shared);
        visit(this->sent);
        visit(this->unsent);
    } else {
        visit(this->own);
        visit(this->reported);
    }
}

std::optional<UpstreamCondition> LoadView::condition(const UpstreamEntry &upstream, TimePoint now) const
{
    constexpr double msPerSecond = 1000;
    const std::string process = processName(upstream);
    std::optional<ProcessLoad> known;
    this->forEachTable(now, [&](const DecayingLoads &loads) {
        if (const auto load = loads.find(upstream.service, process, now)) {
            addLoad(known, *load);
        }
    });
    if (!known) {
        return std::nullopt;
    }
    const AttemptSums &sums = known->sums;
    const double prior = this->limits.priorAttempts;
    return UpstreamCondition{.relativeTime = (sums.relativeTimes + prior) / (sums.timed + prior),
                             .failureRate = sums.failures / (sums.attempts + prior),
                             .refusalRate = sums.refusals / (sums.attempts + prior),
                             .attemptsPerSecond
                             = sums.attempts * msPerSecond / static_cast<double>(this->limits.decay.count()),
                             .age = known->age};
}

ServiceLoad LoadView::serviceLoad(const ServiceName &service, TimePoint now) const
{
    ServiceLoad total{.age = this->limits.memory};
    this->forEachTable(now, [&](const DecayingLoads &loads) {
        const ProcessLoad load = loads.total(service, now);
        total.attempts += load.sums.attempts;
        total.refusals += load.sums.refusals;
        total.age = std::min(total.age, load.age);
    });
    return total;
}

LoadTable LoadView::gathered(TimePoint now) const
{
    // Not kept between offers: an asker drops the sums that it reported once an offer confirms them.
    return this->all.table(now);
}

std::size_t LoadView::size(TimePoint now) const
{
    std::set<std::string> processes;
    this->forEachTable(now, [&](const DecayingLoads &loads) {
        for (const auto &[service, processLoads] : loads.table(now)) {
            for (const auto &[process, load] : processLoads) {
                processes.insert(process);
            }
        }
    });
    return processes.size();
}

} // namespace parsleyvane
