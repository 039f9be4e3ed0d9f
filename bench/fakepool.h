/**
 * @file
 * @brief A pool of fake engines on a virtual clock: slots, queues ordered by priority, cancellation and resumption.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <vector>

namespace parsleyvane::bench {

/// @brief Discrete-event scheduler on a virtual clock.
class VirtualClock
{
public:
    // observers
    TimePoint now() const noexcept
    {
        return this->current;
    }

    // modifiers
    /// @brief Schedules an action; actions due at the same time run in the order of the calls.
    void after(Milliseconds delay, std::function<void()> action)
    {
        this->events.push({this->current + delay, this->next++, std::move(action)});
    }
    /// @brief Runs events until the condition holds or the queue is empty.
    void runUntil(const std::function<bool()> &finished)
    {
        while (!this->events.empty() && !finished()) {
            const Event event = this->events.top();
            this->events.pop();
            this->current = event.at;
            event.action();
        }
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const noexcept
        {
            return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
        }
    };
    std::priority_queue<Event> events;
    TimePoint current{};
    std::uint64_t next = 0;
};

/// @brief Priority class of a job.
enum class JobKind { Claimed, Interactive, WriteUp };

/// @brief One request and its progress.
struct Job
{
    JobKind kind = JobKind::Interactive;
    std::size_t controller = 0;
    Milliseconds prefill{0}; ///< from the start of a run to its first token
    Milliseconds remaining{0}; ///< remaining generation time
    TimePoint arrivedAt{};
    std::size_t engine = 0;
    bool atEngine = false; ///< running or queued at the engine
    bool running = false;
    bool interrupted = false; ///< a cancellation is in flight
    unsigned interruptions = 0;
    unsigned run = 0; ///< run number; events of earlier runs are ignored
    Milliseconds waited{0};
    TimePoint waitingSince{};
    TimePoint startedAt{};
    std::uint64_t queuedAs = 0;
    int priority = 0;
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> finishedAt;
};

/// @brief The engines and their queues.
class FakePool
{
public:
    using JobAction = std::function<void(std::size_t job)>;

    // constructors
    /// @param released called after a job has finished or has been cancelled at its engine
    FakePool(VirtualClock &clock, std::vector<Job> &jobs, std::size_t engines, unsigned slots, JobAction released)
        : clock(clock)
        , jobs(jobs)
        , engines(engines)
        , slots(slots)
        , released(std::move(released))
    {
    }

    // observers
    unsigned load(std::size_t engine) const
    {
        const Engine &there = this->engines[engine];
        return there.running + static_cast<unsigned>(there.waiting.size());
    }
    unsigned idleSlots() const
    {
        unsigned idle = 0;
        for (const Engine &engine : this->engines) {
            idle += this->slots - engine.running;
        }
        return idle;
    }

    // modifiers
    void submit(std::size_t index, std::size_t engine, int priority)
    {
        Job &job = this->jobs[index];
        job.engine = engine;
        job.atEngine = true;
        job.priority = priority;
        job.queuedAs = this->next++;
        this->engines[engine].waiting.emplace(Place{-priority, job.queuedAs}, index);
        this->startNext(engine);
    }
    /// @brief Cancels a job at its engine; generated tokens are kept, the next run repeats the prefill.
    void cancel(std::size_t index)
    {
        Job &job = this->jobs[index];
        if (!job.atEngine) {
            return;
        }
        Engine &engine = this->engines[job.engine];
        if (job.running) {
            const Milliseconds generated = this->clock.now() - job.startedAt - job.prefill;
            job.remaining -= std::max(Milliseconds(0), generated);
            --engine.running;
        } else {
            engine.waiting.erase(Place{-job.priority, job.queuedAs});
        }
        this->leave(index);
    }
    /// @brief Cancels a job that is still queued; a running job continues.
    void withdraw(std::size_t index)
    {
        if (!this->jobs[index].running) {
            this->cancel(index);
        }
    }

private:
    struct Place
    {
        int order;
        std::uint64_t sequence;
        // clang-tidy mistakes the zero in the generated comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Place &, const Place &) = default;
    };
    struct Engine
    {
        unsigned running = 0;
        std::map<Place, std::size_t> waiting;
    };

    void startNext(std::size_t number)
    {
        Engine &engine = this->engines[number];
        while (engine.running < this->slots && !engine.waiting.empty()) {
            const std::size_t index = engine.waiting.begin()->second;
            engine.waiting.erase(engine.waiting.begin());
            ++engine.running;
            this->start(index);
        }
    }
    void start(std::size_t index)
    {
        Job &job = this->jobs[index];
        const TimePoint now = this->clock.now();
        job.running = true;
        job.startedAt = now;
        job.waited += now - job.waitingSince;
        if (!job.firstTokenAt) {
            job.firstTokenAt = now + job.prefill;
        }
        const unsigned run = ++job.run;
        this->clock.after(job.prefill + job.remaining, [this, index, run]() {
            Job &ended = this->jobs[index];
            if (ended.run != run || !ended.running) {
                return;
            }
            ended.finishedAt = this->clock.now();
            --this->engines[ended.engine].running;
            this->leave(index);
        });
    }
    void leave(std::size_t index)
    {
        Job &job = this->jobs[index];
        job.running = false;
        job.atEngine = false;
        job.waitingSince = this->clock.now();
        this->startNext(job.engine);
        this->released(index);
    }

    VirtualClock &clock;
    std::vector<Job> &jobs;
    std::vector<Engine> engines;
    unsigned slots;
    JobAction released;
    std::uint64_t next = 0;
};

} // namespace parsleyvane::bench
