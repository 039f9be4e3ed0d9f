/**
 * @file
 * @brief Counts upstream crashes caused by poison requests and innocent requests refused, against two baselines.
 *
 * Seven instances and twenty engines on a virtual clock. The production quarantine decides; placement is random.
 * Clients resend each poison request under new identifiers to random instances.
 */
#include "parsleyvane/quarantine/quarantine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace parsleyvane {

namespace {

constexpr std::size_t instanceCount = 7;
constexpr std::size_t upstreamCount = 20;
constexpr std::size_t slots = 8;
constexpr Milliseconds restartTime{2000};
constexpr Milliseconds deadline{3000};
constexpr Milliseconds pollPause{50};
constexpr Milliseconds callerPause{100};
constexpr Milliseconds runTime{300000};
constexpr Milliseconds poisonEvery{20000};
constexpr unsigned resends = 30;
// One request in ten shares its content with other requests.
constexpr std::uint64_t popularOneIn = 10;
constexpr std::uint64_t popularContents = 50;
constexpr std::uint64_t seed = 4744;

enum class Policy { None, PerInstance, Shared };

/// @brief Retry behaviour of the client that sends a poison request.
enum class Caller {
    Patient, ///< retries after the error response
    Impatient, ///< resends every 200 ms without waiting for a response
};
constexpr Milliseconds resendInterval{200};

struct Scenario
{
    const char *name;
    Policy policy;
    Caller caller;
    Milliseconds mergeDelay; ///< propagation delay of reports between instances
    unsigned attempts; ///< max attempts; 1: no retries, as for requests that are not idempotent
};

struct Outcome
{
    std::uint64_t innocents = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t ranInIsolation = 0; ///< innocent requests only
    std::vector<unsigned> lost; ///< upstream crashes per poison request
};

struct Request
{
    Fingerprint print;
    std::optional<std::size_t> poison; ///< number of the poison request; empty for an innocent one
    std::size_t instance = 0;
    unsigned attempts = 0;
    TimePoint deadline;
    std::function<void()> onError; ///< called when the client receives the error
};

struct Engine
{
    std::size_t running = 0;
    unsigned starts = 0; ///< incremented on each crash; events of earlier incarnations are dropped
    bool up = true;
};

class Experiment
{
public:
    explicit Experiment(const Scenario &scenario)
        : scenario(scenario)
        , random(seed)
    {
        for (std::size_t number = 0; number < instanceCount; ++number) {
            this->instances.emplace_back(InstanceId("entry-" + std::to_string(number)),
                                         QuarantineLimits{.propagationTime = scenario.mergeDelay});
        }
        for (std::size_t number = 0; number < upstreamCount; ++number) {
            this->names.emplace_back("engine-" + std::to_string(number));
        }
    }

    Outcome run()
    {
        this->after(Milliseconds{1}, [this]() { this->arrive(); });
        for (Milliseconds at = poisonEvery; at + poisonEvery <= runTime; at += poisonEvery) {
            const std::size_t number = this->outcome.lost.size();
            this->outcome.lost.push_back(0);
            this->after(at, [this, number]() { this->sendPoison(number, resends); });
        }
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        return this->outcome;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    using RequestPointer = std::shared_ptr<Request>;

    void after(Milliseconds delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, ++this->eventNumber, std::move(action)});
    }

    std::uint64_t randomBelow(std::uint64_t bound)
    {
        return this->random() % bound;
    }

    /// Generates about 500 innocent requests a second across the fleet.
    void arrive()
    {
        if (this->now >= TimePoint{runTime}) {
            return;
        }
        this->after(Milliseconds{this->randomBelow(5)}, [this]() { this->arrive(); });
        auto request = std::make_shared<Request>();
        const bool popular = this->randomBelow(popularOneIn) == 0;
        const std::uint64_t content = popular ? this->randomBelow(popularContents) : popularContents + ++this->contents;
        request->print = fingerprint(AccountId("txoko-members"), std::to_string(content));
        request->instance = this->randomBelow(instanceCount);
        request->deadline = this->now + deadline;
        ++this->outcome.innocents;
        this->consider(request);
    }

    void sendPoison(std::size_t number, unsigned left)
    {
        auto request = std::make_shared<Request>();
        request->print = fingerprint(AccountId("txoko-members"), "poison " + std::to_string(number));
        request->poison = number;
        request->instance = this->randomBelow(instanceCount);
        request->deadline = this->now + deadline;
        const auto again = [this, number, left]() {
            if (left > 0) {
                this->after(callerPause, [this, number, left]() { this->sendPoison(number, left - 1); });
            }
        };
        if (this->scenario.caller == Caller::Patient) {
            request->onError = again;
        } else if (left > 0) {
            this->after(resendInterval, [this, number, left]() { this->sendPoison(number, left - 1); });
        }
        this->consider(request);
    }

    /// Dispatches, postpones or refuses the request as the quarantine decides.
    void consider(const RequestPointer &request)
    {
        if (this->now >= request->deadline) {
            this->finish(request, this->outcome.failed);
            return;
        }
        bool inIsolation = false;
        TimePoint notBefore = this->now;
        if (this->scenario.policy != Policy::None) {
            const auto verdict = this->instances[request->instance].decideRun(request->print, this->now);
            if (const auto *refusal = std::get_if<RefuseRun>(&verdict)) {
                this->refuse(request, refusal->failure);
                return;
            }
            if (const auto *trial = std::get_if<RunInIsolation>(&verdict)) {
                inIsolation = true;
                notBefore = trial->notBefore;
            }
        }
        const auto upstream = notBefore <= this->now ? this->choose(request->instance, inIsolation) : std::nullopt;
        if (!upstream) {
            const Milliseconds pause = std::max(pollPause, notBefore - this->now);
            this->after(pause, [this, request]() { this->consider(request); });
            return;
        }
        this->dispatch(request, *upstream, inIsolation);
    }

    /// Retries before the deadline if the failure has a retry delay; otherwise counts a refusal.
    void refuse(const RequestPointer &request, const Failure &failure)
    {
        if (failure.retryAfter && this->now + *failure.retryAfter < request->deadline) {
            this->after(*failure.retryAfter, [this, request]() { this->consider(request); });
            return;
        }
        this->finish(request, this->outcome.refused);
    }

    std::optional<std::size_t> choose(std::size_t instance, bool inIsolation)
    {
        const Quarantine &quarantine = this->instances[instance];
        std::vector<std::size_t> open;
        for (std::size_t number = 0; number < upstreamCount; ++number) {
            const Engine &engine = this->engines[number];
            if (!engine.up || engine.running >= slots || quarantine.isReserved(this->names[number])) {
                continue;
            }
            if (inIsolation && quarantine.isBusy(this->names[number])) {
                continue;
            }
            open.push_back(number);
        }
        if (open.empty()) {
            return std::nullopt;
        }
        return open[this->randomBelow(open.size())];
    }

    void dispatch(const RequestPointer &request, std::size_t upstream, bool inIsolation)
    {
        ++request->attempts;
        this->outcome.ranInIsolation += inIsolation && !request->poison ? 1 : 0;
        Engine &engine = this->engines[upstream];
        ++engine.running;
        const AttemptId attempt("a" + std::to_string(++this->attemptNumber));
        this->instances[request->instance].onDispatch(request->print, this->names[upstream], attempt, this->now);
        this->inFlight[upstream].push_back(request);
        const unsigned start = engine.starts;
        if (request->poison) {
            this->after(Milliseconds{20 + this->randomBelow(130)}, [this, upstream, start, request]() {
                if (this->engines[upstream].starts == start) {
                    ++this->outcome.lost[*request->poison];
                    this->crash(upstream);
                }
            });
            return;
        }
        this->after(Milliseconds{100 + this->randomBelow(200)}, [this, upstream, start, request, attempt]() {
            if (this->engines[upstream].starts == start) {
                this->succeed(request, upstream, attempt);
            }
        });
    }

    void succeed(const RequestPointer &request, std::size_t upstream, const AttemptId &attempt)
    {
        --this->engines[upstream].running;
        std::erase(this->inFlight[upstream], request);
        Quarantine &quarantine = this->instances[request->instance];
        const bool cleared = !std::holds_alternative<RunUnrestricted>(quarantine.decideRun(request->print, this->now));
        quarantine.onFinished(attempt, this->now);
        if (cleared) {
            this->publish(request->instance);
        }
    }

    void crash(std::size_t upstream)
    {
        Engine &engine = this->engines[upstream];
        engine.up = false;
        engine.running = 0;
        ++engine.starts;
        this->after(restartTime, [this, upstream]() { this->engines[upstream].up = true; });
        const std::vector<RequestPointer> victims = std::move(this->inFlight[upstream]);
        this->inFlight[upstream].clear();
        for (std::size_t number = 0; number < instanceCount; ++number) {
            if (!this->instances[number].onUpstreamCrash(this->names[upstream], this->now).empty()) {
                this->publish(number);
            }
        }
        for (const RequestPointer &victim : victims) {
            this->retry(victim);
        }
    }

    void retry(const RequestPointer &request)
    {
        if (request->attempts < this->scenario.attempts) {
            this->consider(request);
            return;
        }
        this->finish(request, this->outcome.failed);
    }

    /// Returns the error to the client, delayed for as long as the shared quarantine withholds it.
    void finish(const RequestPointer &request, std::uint64_t &counter)
    {
        counter += request->poison ? 0 : 1;
        if (!request->onError) {
            return;
        }
        Milliseconds wait{0};
        if (this->scenario.policy == Policy::Shared) {
            const auto known = this->instances[request->instance].failureWithheldUntil(request->print, this->now);
            wait = known ? *known - this->now : wait;
        }
        this->after(wait, request->onError);
    }

    void publish(std::size_t instance)
    {
        this->instances[instance].expire(this->now);
        if (this->scenario.policy != Policy::Shared) {
            return;
        }
        const auto reports = this->instances[instance].report(this->now);
        this->after(this->scenario.mergeDelay, [this, instance, reports]() {
            for (std::size_t number = 0; number < instanceCount; ++number) {
                if (number != instance && this->instances[number].merge(reports, this->now)) {
                    this->publish(number);
                }
            }
        });
    }

    Scenario scenario;
    std::mt19937_64 random;
    TimePoint now{};
    std::priority_queue<Event> events;
    std::uint64_t eventNumber = 0;
    std::uint64_t attemptNumber = 0;
    std::uint64_t contents = 0;
    std::vector<Quarantine> instances;
    std::vector<UpstreamId> names;
    std::array<Engine, upstreamCount> engines;
    std::array<std::vector<RequestPointer>, upstreamCount> inFlight;
    Outcome outcome;
};

/// @brief Prints one figure; the bound is empty for a baseline.
bool print(const std::string &name, double value, const char *unit, std::optional<double> bound)
{
    const bool held = !bound || value <= *bound;
    const std::string limit = bound ? "<=" + std::to_string(*bound) : "-";
    const char *verdict = bound ? (held ? "ok" : "PAST-BOUND") : "reported";
    std::printf("%s %.4f %s %s %s\n", name.c_str(), value, unit, limit.c_str(), verdict);
    return held;
}

struct Bounds
{
    std::optional<double> lost;
    std::optional<double> refusedPercent;
};

bool measure(const Scenario &scenario, const Bounds &bounds)
{
    const std::string name = scenario.name;
    const Outcome outcome = Experiment(scenario).run();
    const unsigned most = *std::max_element(outcome.lost.begin(), outcome.lost.end());
    double sum = 0;
    for (const unsigned lost : outcome.lost) {
        sum += lost;
    }
    constexpr double percent = 100;
    const auto innocents = static_cast<double>(outcome.innocents);
    bool held = print(name + ".lost-per-poison-max", most, "upstreams", bounds.lost);
    held &= print(name + ".lost-per-poison-mean", sum / static_cast<double>(outcome.lost.size()), "upstreams", {});
    held &= print(name + ".innocents-refused", percent * static_cast<double>(outcome.refused) / innocents, "percent",
                  bounds.refusedPercent);
    held &= print(name + ".innocents-failed", percent * static_cast<double>(outcome.failed) / innocents, "percent", {});
    held &= print(name + ".innocents-run-alone", percent * static_cast<double>(outcome.ranInIsolation) / innocents,
                  "percent", {});
    held &= print(name + ".innocents", innocents, "requests", {});
    return held;
}

} // namespace

} // namespace parsleyvane

int main()
{
    using namespace parsleyvane;
    // Targets: two upstreams for each poison request, and under one innocent request in a thousand refused.
    const Bounds aims{2, 0.1};
    constexpr Milliseconds gossip{500};
    constexpr Milliseconds push{20};
    constexpr unsigned retried = 3;
    constexpr unsigned unretried = 1;
    const Bounds refusals{std::nullopt, aims.refusedPercent};
    bool held = measure({"none.patient", Policy::None, Caller::Patient, gossip, retried}, {});
    held &= measure({"per-instance.patient", Policy::PerInstance, Caller::Patient, gossip, retried}, {});
    held &= measure({"shared.patient", Policy::Shared, Caller::Patient, gossip, retried}, aims);
    held &= measure({"none.unretried", Policy::None, Caller::Patient, gossip, unretried}, {});
    held &= measure({"per-instance.unretried", Policy::PerInstance, Caller::Patient, gossip, unretried}, {});
    held &= measure({"shared.unretried", Policy::Shared, Caller::Patient, gossip, unretried}, aims);
    held &= measure({"none.impatient", Policy::None, Caller::Impatient, gossip, retried}, {});
    held &= measure({"per-instance.impatient", Policy::PerInstance, Caller::Impatient, gossip, retried}, {});
    held &= measure({"shared.impatient", Policy::Shared, Caller::Impatient, gossip, retried}, refusals);
    held &= measure({"shared-push.impatient", Policy::Shared, Caller::Impatient, push, retried}, aims);
    return held ? 0 : 1;
}
