#include "parsleyvane/priority/prioritypolicy.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

/// Whether interrupting the first loses less than interrupting the second: fewer interruptions, then a later start.
bool isCheaperToInterrupt(const InterruptCandidate &first, const InterruptCandidate &second) noexcept
{
    if (first.interruptions != second.interruptions) {
        return first.interruptions < second.interruptions;
    }
    return first.startedAt > second.startedAt;
}

} // namespace

int PriorityPolicy::maxAgedPriority() const noexcept
{
    return std::min(this->options.interactive + 1, this->options.claimed - 1);
}

int PriorityPolicy::enginePriority(const PriorityInput &input) const noexcept
{
    if (input.claimed) {
        return this->options.claimed;
    }
    if (!input.resumable) {
        return this->options.interactive;
    }
    const std::int64_t steps = input.waited / this->options.ageStep;
    const std::int64_t maxSteps = this->maxAgedPriority() - this->options.resumable;
    return this->options.resumable + static_cast<int>(std::clamp<std::int64_t>(steps, 0, maxSteps));
}

Milliseconds PriorityPolicy::requeueAfter(const PriorityInput &input) const noexcept
{
    if (input.claimed || !input.resumable || this->enginePriority(input) >= this->maxAgedPriority()) {
        return Milliseconds(0);
    }
    // One requeue, straight to the highest priority: each requeue costs a call to the engine.
    return this->options.ageStep * (this->maxAgedPriority() - this->options.resumable) - input.waited;
}

SlotDecision PriorityPolicy::chooseSlot(const std::vector<EngineCapacity> &engines, TimePoint now) const
{
    const EngineCapacity *leastLoaded = nullptr;
    for (const EngineCapacity &engine : engines) {
        if (engine.load >= engine.slots || engine.reportIsStale) {
            continue;
        }
        if (leastLoaded == nullptr || engine.slots - engine.load > leastLoaded->slots - leastLoaded->load) {
            leastLoaded = &engine;
        }
    }
    if (leastLoaded != nullptr) {
        return UseFreeSlot{leastLoaded->upstream, this->options.responseHeadTimeout};
    }
    if (auto victim = this->chooseVictim(engines, now)) {
        return *victim;
    }
    return RequestPeerInterruption{};
}

std::optional<InterruptAttempt> PriorityPolicy::chooseVictim(const std::vector<EngineCapacity> &engines,
                                                             TimePoint now) const
{
    const InterruptCandidate *best = nullptr;
    std::optional<InterruptAttempt> chosen;
    for (const EngineCapacity &engine : engines) {
        for (const InterruptCandidate &work : engine.work) {
            if (!this->mayInterrupt(work, now) || (best != nullptr && !isCheaperToInterrupt(work, *best))) {
                continue;
            }
            best = &work;
            chosen = InterruptAttempt{engine.upstream, work.attempt, this->options.responseHeadTimeout};
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

bool PriorityPolicy::withinShare(const PriorityTerms &terms, unsigned inFlight, unsigned slots) noexcept
{
    return terms.bought && inFlight < std::max(1.0, std::floor(terms.share * slots));
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
