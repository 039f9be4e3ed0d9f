#include "parsleyvane/store/storewatch.h"

#include <algorithm>
#include <utility>

namespace parsleyvane {

WatchLimits withBounds(WatchLimits limits, const WatchBounds &bounds)
{
    // A read whose answer is lost ends after its wait and this margin; the next one is answered within a few ms.
    constexpr Milliseconds answerMargin{700};
    constexpr Milliseconds minWait{500};
    constexpr int readsPerBound = 3;
    const auto waitWithin = [&](Milliseconds bound) {
        return std::max(minWait, bound - answerMargin - limits.initialBackoff);
    };
    const Milliseconds stableWait = waitWithin(bounds.stable);
    limits.ordersWait = std::min(stableWait, std::max(minWait, bounds.change));
    limits.upstreamsWait = std::min(stableWait, std::max(minWait, bounds.leaving));
    limits.evidenceWait = waitWithin(bounds.evidence);
    limits.maxBackoff = std::min(limits.maxBackoff, bounds.stable / readsPerBound);
    limits.upstreamsInterval = bounds.leaving / readsPerBound;
    limits.relayAge = std::min(bounds.change, bounds.leaving) / readsPerBound;
    return limits;
}

StoreWatch::StoreWatch(WatchLimits limits)
    : limits(limits)
{
    for (const StoreTable table : {StoreTable::Orders, StoreTable::Upstreams, StoreTable::Status, StoreTable::Fleet}) {
        this->states.try_emplace(table);
    }
}

void StoreWatch::setLimits(const WatchLimits &newLimits)
{
    this->limits = newLimits;
}

TableRead StoreWatch::beginRead(StoreTable table, TimePoint now)
{
    State &state = this->states.at(table);
    if (std::exchange(state.isRelayed, false)) {
        state.nextWait = NextWait::None;
        if (table == StoreTable::Fleet) {
            // Another instance passes on only a part of the reports.
            state.version.reset();
        }
    }
    state.wait = this->waitOf(table, state);
    state.nextWait = NextWait::Idle;
    state.isPending = true;
    state.isFullRead = !state.version;
    state.isInterrupted = false;
    state.isInterruptTaken = false;
    state.begunAt = now;
    return {.after = state.version, .wait = state.wait};
}

bool StoreWatch::onEra(std::uint64_t newEra)
{
    const bool isNewer = this->era && newEra > *this->era;
    this->era = std::max(this->era.value_or(newEra), newEra);
    if (!isNewer) {
        return false;
    }
    this->newestVersion = 0;
    for (auto &[table, state] : this->states) {
        state.version.reset();
        state.coveredUntil = TimePoint();
        interrupt(state);
    }
    this->relayedAt.reset();
    return true;
}

Milliseconds StoreWatch::onOutdatedAnswer(StoreTable table)
{
    State &state = this->states.at(table);
    state.isPending = false;
    state.nextWait = NextWait::None;
    return this->limits.initialBackoff;
}

Milliseconds StoreWatch::onAnswer(StoreTable table, std::uint64_t version, TimePoint now)
{
    State &state = this->states.at(table);
    state.version = std::max(state.version.value_or(0), version);
    this->newestVersion = std::max(this->newestVersion, version);
    state.answeredAt = now;
    state.isPending = false;
    state.isReachable = true;
    state.backoff = Milliseconds(0);
    if (this->isTold(now)) {
        state.coveredUntil = std::max(state.coveredUntil, now + this->relayAgeOf(table));
    }
    return this->intervalOf(table);
}

void StoreWatch::onRelayed(StoreTable table, std::uint64_t version, TimePoint confirmedAt, TimePoint now)
{
    State &state = this->states.at(table);
    this->relayedAt = now;
    state.isRelayed = state.isRelayed || version > state.version.value_or(0);
    state.version = std::max(state.version.value_or(0), version);
    this->newestVersion = std::max(this->newestVersion, version);
    state.coveredUntil = std::max(state.coveredUntil, confirmedAt + this->relayAgeOf(table));
    if (state.coveredUntil <= now) {
        return;
    }
    state.answeredAt = std::max(state.answeredAt.value_or(confirmedAt), confirmedAt);
    state.isReachable = true;
    state.backoff = Milliseconds(0);
}

void StoreWatch::expectRelay(TimePoint now)
{
    this->relayExpectedUntil = now + this->limits.relayStart;
    for (auto &[table, state] : this->states) {
        if (table != StoreTable::Orders && !state.version) {
            state.coveredUntil = now + this->limits.relayStart;
        }
    }
}

void StoreWatch::endRelay()
{
    this->relayedAt.reset();
    this->relayExpectedUntil = TimePoint();
    for (auto &[table, state] : this->states) {
        state.coveredUntil = TimePoint();
    }
}

void StoreWatch::endRelay(StoreTable table)
{
    this->states.at(table).coveredUntil = TimePoint();
}

void StoreWatch::setRelaying(bool relaying)
{
    this->isRelaying = relaying;
    for (const StoreTable table : {StoreTable::Orders, StoreTable::Upstreams}) {
        State &state = this->states.at(table);
        if (relaying && state.isPending && state.wait > this->boundedWait(table)) {
            // Its answer would come too late for the others.
            interrupt(state);
        }
    }
}

Milliseconds StoreWatch::onHistoryLost(StoreTable table, TimePoint now)
{
    State &state = this->states.at(table);
    state.version.reset();
    state.answeredAt = now;
    state.isPending = false;
    state.isReachable = true;
    state.backoff = Milliseconds(0);
    return this->limits.initialBackoff;
}

Milliseconds StoreWatch::onFailure(StoreTable table, double jitter)
{
    State &state = this->states.at(table);
    state.isPending = false;
    if (state.isInterrupted) {
        return Milliseconds(0);
    }
    state.nextWait = NextWait::None;
    if (state.isReachable) {
        state.isReachable = false;
        for (auto &[other, otherState] : this->states) {
            if (other == table) {
                continue;
            }
            interrupt(otherState);
        }
    }
    state.backoff = state.backoff.count() == 0 ? this->limits.initialBackoff
                                               : std::min(state.backoff * 2, this->limits.maxBackoff);
    return Milliseconds(static_cast<std::int64_t>(jitter * static_cast<double>(state.backoff.count())));
}

void StoreWatch::interrupt(State &state)
{
    state.nextWait = NextWait::None;
    // A read that doesn't wait for changes ends soon by itself.
    state.isInterrupted = state.isInterrupted || (state.isPending && state.wait.count() > 0);
}

std::vector<StoreTable> StoreWatch::takeInterrupts(TimePoint now)
{
    std::vector<StoreTable> taken;
    for (auto &[table, state] : this->states) {
        if (!state.isInterrupted && this->isOverdue(table, state, now)) {
            state.isInterrupted = true;
            state.nextWait = NextWait::Bounded;
        }
        if (!state.isPending || !state.isInterrupted || state.isInterruptTaken) {
            continue;
        }
        state.isInterruptTaken = true;
        taken.push_back(table);
    }
    return taken;
}

bool StoreWatch::isOverdue(StoreTable table, const State &state, TimePoint now) const
{
    const Milliseconds bounded = this->boundedWait(table);
    return state.isPending && state.wait > bounded && now - state.begunAt >= bounded
        && this->newestVersion > state.version.value_or(0);
}

bool StoreWatch::isCurrent(StoreTable table, std::uint64_t answerEra) const
{
    const State &state = this->states.at(table);
    return answerEra == this->era && (state.isFullRead || state.version);
}

bool StoreWatch::isOvertaken(StoreTable table, std::uint64_t answerVersion) const
{
    const State &state = this->states.at(table);
    return state.isRelayed && answerVersion < state.version.value_or(0);
}

std::optional<std::uint64_t> StoreWatch::versionOf(StoreTable table) const
{
    return this->states.at(table).version;
}

bool StoreWatch::isTold(TimePoint now) const
{
    constexpr int missedAnswers = 2;
    return now < this->relayExpectedUntil
        || (this->relayedAt && now - *this->relayedAt <= missedAnswers * this->limits.relayAge);
}

Milliseconds StoreWatch::untilOwnRead(StoreTable table, TimePoint now) const
{
    return std::max(Milliseconds(0), this->states.at(table).coveredUntil - now);
}

Milliseconds StoreWatch::relayAgeOf(StoreTable table) const
{
    constexpr int othersFactor = 2;
    return table == StoreTable::Orders ? this->limits.relayAge : this->limits.relayAge * othersFactor;
}

bool StoreWatch::isReachable(StoreTable table) const
{
    return this->states.at(table).isReachable;
}

std::optional<TimePoint> StoreWatch::answeredAt(StoreTable table) const
{
    return this->states.at(table).answeredAt;
}

TimePoint StoreWatch::begunAt(StoreTable table) const
{
    return this->states.at(table).begunAt;
}

Milliseconds StoreWatch::latestWait(StoreTable table) const
{
    return this->states.at(table).wait;
}

Milliseconds StoreWatch::boundedWait(StoreTable table) const
{
    switch (table) {
    case StoreTable::Orders:
        // Three quarters leave time for the answer's way to the other instances.
        return this->isRelaying ? std::min(this->limits.ordersWait, this->limits.relayAge * 3 / 4)
                                : this->limits.ordersWait;
    case StoreTable::Upstreams:
        // With the interval between its reads, a confirmation is young enough when it has reached the others.
        return this->isRelaying ? std::min(this->limits.upstreamsWait, this->limits.relayAge / 4)
                                : this->limits.upstreamsWait;
    default:
        return this->limits.evidenceWait;
    }
}

Milliseconds StoreWatch::waitOf(StoreTable table, const State &state) const
{
    if (!state.version || state.nextWait == NextWait::None) {
        return Milliseconds(0);
    }
    const bool isOrdersRead = this->states.at(StoreTable::Orders).isReachable;
    const bool isRelayed = this->isRelaying && table == StoreTable::Upstreams;
    const bool isIdle = table != StoreTable::Orders && !isRelayed && state.nextWait == NextWait::Idle && isOrdersRead;
    return isIdle ? std::max(this->limits.idleWait, this->boundedWait(table)) : this->boundedWait(table);
}

Milliseconds StoreWatch::intervalOf(StoreTable table) const
{
    switch (table) {
    case StoreTable::Upstreams:
        return this->limits.upstreamsInterval;
    case StoreTable::Fleet:
        return this->limits.fleetInterval;
    default:
        return Milliseconds(0);
    }
}

} // namespace parsleyvane
