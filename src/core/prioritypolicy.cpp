#include "parsleyvane/priority/prioritypolicy.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

/// Whether interrupting the first harms less than the second.
bool costsLess(const InterruptCandidate &first, const InterruptCandidate &second) noexcept
{
    if (first.interruptions != second.interruptions) {
        return first.interruptions < second.interruptions;
    }
    return first.startedAt > second.startedAt;
}

} // namespace

int PriorityPolicy::mostAged() const noexcept
{
    return std::min(this->options.interactive + 1, this->options.claimed - 1);
}

int PriorityPolicy::enginePriority(const PriorityInput &question) const noexcept
{
    if (question.claimed) {
        return this->options.claimed;
    }
    if (!question.resumable) {
        return this->options.interactive;
    }
    const std::int64_t steps = question.waited / this->options.ageStep;
    const std::int64_t room = this->mostAged() - this->options.resumable;
    return this->options.resumable + static_cast<int>(std::clamp<std::int64_t>(steps, 0, room));
}

Milliseconds PriorityPolicy::requeueAfter(const PriorityInput &question) const noexcept
{
    if (question.claimed || !question.resumable || this->enginePriority(question) >= this->mostAged()) {
        return Milliseconds(0);
    }
    // One new place for the whole way up: each one costs a call to the engine.
    return this->options.ageStep * (this->mostAged() - this->options.resumable) - question.waited;
}

SlotDecision PriorityPolicy::chooseSlot(const std::vector<EngineCapacity> &engines, TimePoint now) const
{
    const EngineCapacity *emptiest = nullptr;
    for (const EngineCapacity &engine : engines) {
        if (engine.load >= engine.slots || engine.reportIsStale) {
            continue;
        }
        if (emptiest == nullptr || engine.slots - engine.load > emptiest->slots - emptiest->load) {
            emptiest = &engine;
        }
    }
    if (emptiest != nullptr) {
        return UseFreeSlot{emptiest->upstream, this->options.headGrace};
    }
    if (auto victim = this->chooseVictim(engines, now)) {
        return *victim;
    }
    return AskPeers{};
}

std::optional<InterruptAttempt> PriorityPolicy::chooseVictim(const std::vector<EngineCapacity> &engines,
                                                             TimePoint now) const
{
    const InterruptCandidate *best = nullptr;
    std::optional<InterruptAttempt> chosen;
    for (const EngineCapacity &engine : engines) {
        for (const InterruptCandidate &work : engine.work) {
            if (!this->mayInterrupt(work, now) || (best != nullptr && !costsLess(work, *best))) {
                continue;
            }
            best = &work;
            chosen = InterruptAttempt{engine.upstream, work.attempt, this->options.headGrace};
        }
    }
    return chosen;
}

bool PriorityPolicy::mayInterrupt(const InterruptCandidate &work, TimePoint now) const noexcept
{
    if (!work.resumable || !work.running || work.interrupted) {
        return false;
    }
    return work.interruptions < this->options.maxInterruptions
        && now - work.startedAt >= this->options.minRunPerInterruption * work.interruptions;
}

bool PriorityPolicy::withinShare(const PriorityTerms &terms, unsigned underWay, unsigned slots) noexcept
{
    return terms.bought && underWay < std::max(1.0, std::floor(terms.share * slots));
}

unsigned PriorityPolicy::warmEngines(const PriorityTerms &terms, unsigned engines) noexcept
{
    if (!terms.bought || engines == 0) {
        return 0;
    }
    const auto needed = static_cast<unsigned>(std::ceil(terms.share * engines / claimDensity));
    return std::clamp(needed, std::min(2U, engines), engines);
}

} // namespace parsleyvane
