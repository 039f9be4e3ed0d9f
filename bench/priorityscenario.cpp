#include "priorityscenario.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane::bench {

namespace {

constexpr Milliseconds idleHour{3600000};
constexpr Milliseconds claimsEnd{3900000};
constexpr Milliseconds backlogAt{3590000};
constexpr unsigned backlog = 120;
constexpr Milliseconds oneWay{2};
constexpr Milliseconds pause{200};
constexpr Milliseconds reportEvery{1000};
constexpr Milliseconds writeUpTime{60000};
constexpr double writeUpShare = 0.35;
constexpr double shortMeanMs = 3000;
constexpr std::size_t firstClaims = 20;
constexpr double msPerSecond = 1000;
constexpr double allSlots = static_cast<double>(PriorityRun::engines) * PriorityRun::slots;
/// Weights of the instances: the load balancer in front distributes unevenly.
const std::vector<double> balancer{25, 20, 15, 15, 10, 10, 5};

double asMs(Milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

void PriorityFigures::add(const PriorityFigures &other)
{
    const auto append = [](std::vector<double> &to, const std::vector<double> &from) {
        to.insert(to.end(), from.begin(), from.end());
    };
    append(this->claimMs, other.claimMs);
    append(this->idleMs, other.idleMs);
    append(this->firstClaimsMs, other.firstClaimsMs);
    append(this->firstIdleMs, other.firstIdleMs);
    append(this->interactiveMs, other.interactiveMs);
    append(this->writeUpDelayS, other.writeUpDelayS);
    append(this->interruptions, other.interruptions);
    this->heldIdleSlotMs += other.heldIdleSlotMs;
    this->slotMs += other.slotMs;
    this->missing += other.missing;
}

PriorityRun::PriorityRun(const PriorityWay &way, const PriorityScenario &scenario, unsigned seed)
    : way(way)
    , scenario(scenario)
    , policy(way.options)
    , random(seed)
    , pool(this->clock, this->jobs, engines, slots, [this](std::size_t index) { this->onReleased(index); })
    , atEngine(engines)
{
}

PriorityFigures PriorityRun::run()
{
    const double shortPerSecond = allSlots * msPerSecond / shortMeanMs;
    this->addArrivals(
        {JobKind::Interactive, this->scenario.interactiveShare * shortPerSecond, Milliseconds(0), claimsEnd});
    if (this->scenario.writeUps) {
        const double perSecond = writeUpShare * allSlots * msPerSecond / asMs(writeUpTime);
        this->addArrivals({JobKind::WriteUp, perSecond, Milliseconds(0), claimsEnd});
        for (unsigned i = 0; i < backlog; ++i) {
            this->addJob(JobKind::WriteUp, TimePoint(backlogAt));
        }
    }
    this->addArrivals({JobKind::Claimed, this->scenario.claimShare * shortPerSecond, idleHour, claimsEnd});
    this->unfinished = this->jobs.size();
    this->staleReports.resize(this->jobs.size());
    this->report();
    for (std::size_t index = 0; index < this->jobs.size(); ++index) {
        this->clock.after(this->jobs[index].arrivedAt - TimePoint(), [this, index]() {
            this->measureHeld();
            this->dispatch(index);
        });
    }
    this->clock.runUntil([this]() { return this->unfinished == 0; });
    this->measureHeld();
    return this->figures();
}

void PriorityRun::addArrivals(const Arrivals &arrivals)
{
    std::exponential_distribution<double> gap(arrivals.perSecond / msPerSecond);
    double at = asMs(arrivals.from) + gap(this->random);
    while (at < asMs(arrivals.until)) {
        this->addJob(arrivals.kind, TimePoint(Milliseconds(static_cast<std::int64_t>(at))));
        at += gap(this->random);
    }
}

void PriorityRun::addJob(JobKind kind, TimePoint at)
{
    // Lognormal: a median of 250 ms to the first token, and a long tail of the generation times.
    std::lognormal_distribution<double> prefill(std::log(250.0), 0.4);
    constexpr double sigma = 1.0;
    std::lognormal_distribution<double> generation(std::log(shortMeanMs - 270) - sigma * sigma / 2, sigma);
    std::discrete_distribution<std::size_t> instance(balancer.begin(), balancer.end());
    Job job;
    job.kind = kind;
    job.arrivedAt = at;
    job.waitingSince = at;
    job.controller = instance(this->random);
    job.prefill = Milliseconds(static_cast<std::int64_t>(prefill(this->random)));
    job.remaining = Milliseconds(static_cast<std::int64_t>(generation(this->random)));
    if (kind == JobKind::WriteUp) {
        job.remaining = writeUpTime;
    }
    this->jobs.push_back(job);
}

void PriorityRun::dispatch(std::size_t index)
{
    const Job &job = this->jobs[index];
    const TimePoint loadedAt = TimePoint(idleHour) + this->scenario.loadTime;
    if (job.kind == JobKind::Claimed && this->clock.now() < loadedAt) {
        this->clock.after(loadedAt - this->clock.now(), [this, index]() { this->dispatch(index); });
        return;
    }
    if (job.kind == JobKind::Claimed && this->way.interrupts) {
        this->claim(index);
        return;
    }
    std::size_t engine = this->chooseEngine(job);
    for (std::size_t other = 0; other < engines && !this->isAdmitted(job, engine); ++other) {
        engine = other;
    }
    if (!this->isAdmitted(job, engine)) {
        // Queued interactive jobs go ahead of queued write-ups.
        if (job.kind == JobKind::Interactive) {
            const auto firstWriteUp = std::find_if(this->held.begin(), this->held.end(), [this](std::size_t other) {
                return this->jobs[other].kind == JobKind::WriteUp;
            });
            this->held.insert(firstWriteUp, index);
        } else {
            this->held.push_back(index);
        }
        return;
    }
    this->send(index, engine);
}

bool PriorityRun::isAdmitted(const Job &job, std::size_t engine) const
{
    if (this->way.reserve <= 0 || job.kind == JobKind::Claimed) {
        return true;
    }
    const double ceiling = (1 - this->way.reserve) * slots;
    // Without the store each controller compares the whole ceiling with its own requests only.
    const unsigned counted = this->scenario.storeDown ? this->inFlight[job.controller][engine] : this->ordinary[engine];
    return counted < ceiling;
}

unsigned PriorityRun::viewOf(std::size_t controller, std::size_t engine) const
{
    return std::max(this->inFlight[controller][engine], this->reported[engine]);
}

std::size_t PriorityRun::chooseEngine(const Job &job)
{
    const bool claimed = job.kind == JobKind::Claimed;
    std::uniform_int_distribution<std::size_t> draw(0, (claimed ? this->scenario.claimEngines : engines) - 1);
    const std::size_t first = draw(this->random);
    const std::size_t second = draw(this->random);
    return this->viewOf(job.controller, second) < this->viewOf(job.controller, first) ? second : first;
}

void PriorityRun::send(std::size_t index, std::size_t engine)
{
    Job &job = this->jobs[index];
    job.engine = engine;
    ++this->inFlight[job.controller][engine];
    this->atEngine[engine].push_back(index);
    if (job.kind != JobKind::Claimed) {
        ++this->ordinary[engine];
    }
    const Milliseconds waited = job.waited + (this->clock.now() - job.waitingSince);
    const PriorityInput question{job.kind == JobKind::Claimed, job.kind == JobKind::WriteUp, waited};
    const int priority = this->way.ordersQueue ? this->policy.enginePriority(question) : 0;
    this->clock.after(oneWay, [this, index, engine, priority]() {
        this->measureHeld();
        this->pool.submit(index, engine, priority);
    });
    const Milliseconds requeue = this->policy.requeueAfter(question);
    if (this->way.ordersQueue && requeue > Milliseconds(0)) {
        const unsigned run = job.run;
        this->clock.after(requeue + oneWay, [this, index, run]() {
            const Job &late = this->jobs[index];
            if (late.run == run && late.atEngine && !late.running) {
                this->pool.cancel(index);
            }
        });
    }
}

void PriorityRun::claim(std::size_t index)
{
    const Job &job = this->jobs[index];
    std::vector<EngineCapacity> rooms = this->capacitiesOf(job.controller);
    if (!this->way.anyEngine) {
        // The sampled engine is final, as in a router whose placement ignores free capacity.
        const std::size_t drawn = this->chooseEngine(job);
        rooms = {rooms[drawn]};
    }
    for (EngineCapacity &room : rooms) {
        room.reportIsStale = this->staleReports[index][std::stoul(room.upstream.str())];
    }
    const SlotDecision decision = this->policy.chooseSlot(rooms, this->clock.now());
    if (const auto *freeSlot = std::get_if<UseFreeSlot>(&decision)) {
        this->send(index, std::stoul(freeSlot->upstream.str()));
        this->clock.after(freeSlot->recheckAfter, [this, index]() { this->recheck(index); });
        return;
    }
    if (const auto *here = std::get_if<InterruptAttempt>(&decision)) {
        this->send(index, std::stoul(here->upstream.str()));
        this->interruptFor(index, *here);
        return;
    }
    this->askPeer(index, 0);
}

void PriorityRun::recheck(std::size_t index)
{
    const Job &job = this->jobs[index];
    const bool begun = job.running && this->clock.now() - job.startedAt >= oneWay;
    if (begun || job.finishedAt || !this->way.anyEngine) {
        return;
    }
    this->staleReports[index][job.engine] = true;
    this->clock.after(oneWay, [this, index]() { this->pool.withdraw(index); });
}

std::vector<EngineCapacity> PriorityRun::capacitiesOf(std::size_t controller) const
{
    std::vector<EngineCapacity> rooms;
    for (std::size_t engine = 0; engine < this->scenario.claimEngines; ++engine) {
        rooms.push_back({UpstreamId(std::to_string(engine)), slots, this->viewOf(controller, engine), false,
                         this->workOf(controller, engine)});
    }
    return rooms;
}

std::vector<InterruptCandidate> PriorityRun::workOf(std::size_t controller, std::size_t engine) const
{
    std::vector<InterruptCandidate> work;
    for (const std::size_t index : this->atEngine[engine]) {
        const Job &job = this->jobs[index];
        if (job.controller != controller || job.kind != JobKind::WriteUp) {
            continue;
        }
        work.push_back(
            {AttemptId(std::to_string(index)), true, job.running, job.interrupted, job.interruptions, job.startedAt});
    }
    return work;
}

void PriorityRun::interruptFor(std::size_t index, const InterruptAttempt &decision)
{
    const std::size_t victim = std::stoul(decision.attempt.str());
    this->jobs[victim].interrupted = true;
    const Milliseconds after = this->way.slotFirst ? Milliseconds(0) : decision.after;
    this->clock.after(after, [this, index, victim]() {
        if (this->jobs[index].running) {
            this->jobs[victim].interrupted = false;
            return;
        }
        this->clock.after(oneWay, [this, victim]() {
            this->measureHeld();
            this->pool.cancel(victim);
        });
    });
}

void PriorityRun::askPeer(std::size_t index, std::size_t asked)
{
    const Job &job = this->jobs[index];
    if (asked + 1 == controllers) {
        this->send(index, this->chooseEngine(job));
        return;
    }
    const std::size_t peer = (job.controller + 1 + asked) % controllers;
    this->clock.after(oneWay, [this, index, asked, peer]() {
        const auto victim = this->policy.chooseVictim(this->capacitiesOf(peer), this->clock.now());
        if (victim) {
            this->interruptFor(index, *victim);
        }
        this->clock.after(oneWay, [this, index, asked, victim]() {
            if (victim) {
                this->send(index, std::stoul(victim->upstream.str()));
            } else {
                this->askPeer(index, asked + 1);
            }
        });
    });
}

void PriorityRun::onReleased(std::size_t index)
{
    this->measureHeld();
    Job &job = this->jobs[index];
    const std::size_t engine = job.engine;
    std::erase(this->atEngine[engine], index);
    --this->inFlight[job.controller][engine];
    if (job.kind != JobKind::Claimed) {
        --this->ordinary[engine];
    }
    if (job.finishedAt) {
        --this->unfinished;
    } else if (job.interrupted) {
        job.interrupted = false;
        ++job.interruptions;
        ++this->pausing;
        this->clock.after(pause, [this, index]() {
            this->measureHeld();
            --this->pausing;
            this->dispatch(index);
        });
    } else {
        this->clock.after(oneWay, [this, index]() { this->dispatch(index); });
    }
    this->releaseHeld(engine);
}

void PriorityRun::releaseHeld(std::size_t engine)
{
    for (auto next = this->held.begin(); next != this->held.end(); ++next) {
        if (!this->isAdmitted(this->jobs[*next], engine)) {
            continue;
        }
        const std::size_t index = *next;
        this->held.erase(next);
        this->send(index, engine);
        return;
    }
}

void PriorityRun::report()
{
    for (std::size_t engine = 0; engine < engines; ++engine) {
        this->reported[engine] = this->pool.load(engine);
    }
    this->clock.after(reportEvery, [this]() { this->report(); });
}

void PriorityRun::measureHeld()
{
    const TimePoint now = this->clock.now();
    this->heldIdleSlotMs += asMs(now - this->heldSince) * this->heldIdle;
    this->heldSince = now;
    const auto waiting = static_cast<unsigned>(this->held.size()) + this->pausing;
    this->heldIdle = std::min(this->pool.idleSlots(), waiting);
}

PriorityFigures PriorityRun::figures() const
{
    PriorityFigures figures;
    figures.heldIdleSlotMs = this->heldIdleSlotMs;
    figures.slotMs = asMs(this->clock.now() - TimePoint()) * allSlots;
    for (const Job &job : this->jobs) {
        figures.missing += job.finishedAt ? 0 : 1;
        if (!job.finishedAt) {
            continue;
        }
        const double first = asMs(*job.firstTokenAt - job.arrivedAt + oneWay);
        if (job.kind == JobKind::Interactive && job.arrivedAt >= TimePoint(idleHour)) {
            figures.interactiveMs.push_back(first);
        } else if (job.kind == JobKind::WriteUp) {
            figures.writeUpDelayS.push_back(asMs(*job.finishedAt - job.arrivedAt - writeUpTime) / msPerSecond);
            figures.interruptions.push_back(job.interruptions);
        } else if (job.kind == JobKind::Claimed) {
            const double idle = asMs(job.prefill + oneWay + oneWay);
            figures.claimMs.push_back(first);
            figures.idleMs.push_back(idle);
            if (figures.claimMs.size() <= firstClaims) {
                figures.firstClaimsMs.push_back(first);
                figures.firstIdleMs.push_back(idle);
            }
        }
    }
    return figures;
}

} // namespace parsleyvane::bench
