/**
 * @file
 * @brief Compares ways to shorten late first responses, on a virtual clock.
 *
 * Prints a table for each kind of trouble and load, or CSV with `--csv`, and exits with 1 if a bound is violated.
 */
#include "parsleyvane/ingress/hedgepolicy.h"
#include "report.h"

#include <cmath>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace {

using namespace parsleyvane;
using bench::percentile;
using bench::Report;

constexpr unsigned seed = 4744;
constexpr std::size_t instances = 8;
constexpr std::size_t upstreamCount = 40;
constexpr std::size_t smallUpstreams = 20;
constexpr std::size_t slots = 4;
constexpr std::size_t queueLength = 4; ///< beyond it, an upstream refuses
constexpr double meanMs = 200;
constexpr double spread = 0.5; ///< sigma of the logarithm of the response times
constexpr double smallModelTime = 0.4; ///< of the larger model's
constexpr double durationMs = 120000;
constexpr double warmUpMs = 20000;
constexpr double deadlineMs = 3000;
constexpr double objectiveMs = 500;
constexpr double silenceMs = 1.5 * objectiveMs; ///< after which the existing rule gives an attempt up
constexpr double usualShare = 0.1;
constexpr double highLoad = 0.9;
constexpr unsigned maxAttempts = 3;
constexpr double slowPhaseMs = 600;
constexpr double slowCycleMs = 4000; ///< 15 % of the time slow
constexpr double slowFactor = 2.5;
constexpr double hangChance = 0.005;
const ServiceName service("s");
const std::string kind = "r/0/0";

enum class Way { Nothing, Move, Hedge, Tied, SmallModel };

struct Trouble
{
    std::string name;
    bool isSlow = false;
    bool isFailing = false;
    bool isUneven = false;
};

struct Figures
{
    std::vector<double> times;
    double requests = 0;
    double hurried = 0; ///< attempts beyond the first because of the usual response time
    double extra = 0; ///< all attempts beyond the first
    double busy = 0; ///< time of slots
    double wasted = 0; ///< of it: for attempts without an answer
    double unanswered = 0;
    double small = 0; ///< answers by the smaller model
};

struct Request;

struct Attempt
{
    std::shared_ptr<Request> request;
    std::size_t upstream = 0;
    double startedAt = -1; ///< negative while it waits
    bool hasEnded = false;
};

struct Request
{
    std::size_t instance = 0;
    double sentAt = 0;
    unsigned attempts = 0;
    std::vector<std::shared_ptr<Attempt>> running;
    bool hasEnded = false;
};

struct Upstream
{
    double speed = 1;
    double phase = 0;
    std::size_t running = 0;
    std::deque<std::shared_ptr<Attempt>> waiting;
};

struct Instance
{
    HedgePolicy policy{HedgeLimits()};
    RepeatBudget budget{{.ratio = 0.2, .window = Milliseconds(10000), .slack = 0}};
    std::array<unsigned, upstreamCount + smallUpstreams> inFlight{};
};

class HedgingRun
{
public:
    HedgingRun(Way way, double maxShare, const Trouble &trouble, double load)
        : way(way)
        , trouble(trouble)
        , upstreams(upstreamCount + smallUpstreams)
        , members(instances)
    {
        for (Instance &member : this->members) {
            member.policy.setShare(maxShare, Milliseconds(10000));
        }
        constexpr std::array speeds = {0.6, 1.0, 1.6};
        double capacity = 0;
        for (std::size_t number = 0; number < this->upstreams.size(); ++number) {
            Upstream &upstream = this->upstreams[number];
            upstream.speed = trouble.isUneven ? speeds.at(number % speeds.size()) : 1;
            upstream.phase = this->uniform() * slowCycleMs;
            const double usable = trouble.isSlow ? 0.85 + 0.15 / slowFactor : 1;
            capacity += number < upstreamCount ? slots * upstream.speed * usable / meanMs : 0;
        }
        this->gap = std::exponential_distribution<double>(load * capacity);
    }

    Figures run()
    {
        this->at(this->gap(this->random), [this]() { this->arrive(); });
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        return std::move(this->figures);
    }

private:
    struct Event
    {
        double at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(this->at, this->number) > std::pair(other.at, other.number);
        }
    };

    void at(double when, std::function<void()> action)
    {
        this->events.push({when, this->nextEvent++, std::move(action)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    TimePoint clock() const
    {
        return TimePoint(Milliseconds(1000000 + static_cast<std::int64_t>(this->now)));
    }

    bool isMeasured() const
    {
        return this->now > warmUpMs;
    }

    void arrive()
    {
        if (this->now > durationMs) {
            return;
        }
        this->at(this->now + this->gap(this->random), [this]() { this->arrive(); });
        auto request = std::make_shared<Request>();
        request->instance = this->random() % instances;
        request->sentAt = this->now;
        Instance &instance = this->members[request->instance];
        instance.policy.onRequest(service, this->clock());
        instance.budget.onRequest(service, this->clock());
        this->figures.requests += this->isMeasured() ? 1 : 0;
        this->send(request, false);
        if (this->way == Way::Tied) {
            this->send(request, false);
        } else if (this->way != Way::Nothing) {
            const auto delay
                = instance.policy.delay(kind, Milliseconds(static_cast<std::int64_t>(objectiveMs)), this->clock());
            this->at(this->now + (delay ? static_cast<double>(delay->count()) : deadlineMs),
                     [this, request]() { this->hurry(request); });
        }
        this->at(this->now + silenceMs, [this, request]() { this->checkSilence(request); });
        this->at(this->now + deadlineMs, [this, request]() { this->end(request, nullptr); });
    }

    /// The existing rule: a silent upstream is given up for another one.
    void checkSilence(const std::shared_ptr<Request> &request)
    {
        if (request->hasEnded || request->running.size() != 1 || request->attempts >= maxAttempts
            || !this->members[request->instance].budget.take(service, this->clock())) {
            return;
        }
        this->cancel(request->running.front());
        this->send(request, false);
        this->at(this->now + silenceMs, [this, request]() { this->checkSilence(request); });
    }

    /// At the usual response time: another attempt instead of the first one, or beside it.
    void hurry(const std::shared_ptr<Request> &request)
    {
        Instance &instance = this->members[request->instance];
        const HedgeFacts facts{.service = service,
                               .kind = kind,
                               .mayRepeat = true,
                               .hasAttemptLeft = request->attempts < maxAttempts,
                               .retriesLeft = instance.budget.remaining(service, this->clock()),
                               .timeLeft
                               = Milliseconds(static_cast<std::int64_t>(request->sentAt + deadlineMs - this->now)),
                               .objective = Milliseconds(static_cast<std::int64_t>(objectiveMs))};
        if (request->hasEnded || instance.policy.decide(facts, this->clock()) != HedgeVerdict::Send) {
            return;
        }
        instance.budget.take(service, this->clock());
        instance.policy.onHedge(service, this->clock());
        this->figures.hurried += this->isMeasured() ? 1 : 0;
        if (this->way == Way::Move && !request->running.empty()) {
            instance.policy.onResponse(kind, this->elapsed(*request), this->clock());
            this->cancel(request->running.front());
        }
        this->send(request, this->way == Way::SmallModel);
    }

    Milliseconds elapsed(const Request &request) const
    {
        return Milliseconds(static_cast<std::int64_t>(this->now - request.sentAt));
    }

    /// The better of two random upstreams by the instance's own attempts in flight.
    std::size_t choose(const Request &request, bool isSmall)
    {
        const Instance &instance = this->members[request.instance];
        const std::size_t first = isSmall ? upstreamCount : 0;
        const std::size_t count = isSmall ? smallUpstreams : upstreamCount;
        std::size_t best = first + this->random() % count;
        const std::size_t other = first + this->random() % count;
        const bool isBestTaken = std::any_of(request.running.begin(), request.running.end(),
                                             [&](const auto &attempt) { return attempt->upstream == best; });
        if (isBestTaken || instance.inFlight.at(other) < instance.inFlight.at(best)) {
            best = other;
        }
        return best;
    }

    void send(const std::shared_ptr<Request> &request, bool isSmall)
    {
        Instance &instance = this->members[request->instance];
        while (!request->hasEnded && request->attempts < maxAttempts) {
            this->figures.extra += this->isMeasured() && request->attempts > 0 ? 1 : 0;
            ++request->attempts;
            const std::size_t number = this->choose(*request, isSmall);
            Upstream &upstream = this->upstreams[number];
            const bool isRefused = upstream.running >= slots && upstream.waiting.size() >= queueLength;
            instance.policy.onAttempt(service, isRefused, this->clock());
            if (isRefused) {
                continue;
            }
            auto attempt = std::make_shared<Attempt>(Attempt{.request = request, .upstream = number});
            ++instance.inFlight.at(number);
            request->running.push_back(attempt);
            upstream.waiting.push_back(attempt);
            this->startNext(upstream);
            return;
        }
        if (request->running.empty()) {
            this->end(request, nullptr);
        }
    }

    void startNext(Upstream &upstream)
    {
        while (upstream.running < slots && !upstream.waiting.empty()) {
            const auto attempt = upstream.waiting.front();
            upstream.waiting.pop_front();
            ++upstream.running;
            attempt->startedAt = this->now;
            const bool isSlow
                = this->trouble.isSlow && std::fmod(this->now + upstream.phase, slowCycleMs) < slowPhaseMs;
            const bool isSmall = attempt->upstream >= upstreamCount;
            std::lognormal_distribution<double> time(std::log(meanMs) - spread * spread / 2, spread);
            double took
                = time(this->random) * (isSlow ? slowFactor : 1) * (isSmall ? smallModelTime : 1) / upstream.speed;
            took = this->trouble.isFailing && this->uniform() < hangChance ? deadlineMs : took;
            this->at(this->now + took, [this, attempt]() {
                if (!attempt->hasEnded) {
                    this->end(attempt->request, attempt);
                }
            });
            if (this->way == Way::Tied) {
                // The upstreams tell each other; the one that starts first keeps the request.
                const auto others = attempt->request->running;
                for (const auto &other : others) {
                    if (other != attempt && !other->hasEnded && other->startedAt < 0) {
                        this->cancel(other);
                    } else if (other != attempt && !other->hasEnded) {
                        this->at(this->now + 1, [this, attempt]() { this->cancel(attempt); });
                    }
                }
            }
        }
    }

    void cancel(const std::shared_ptr<Attempt> &attempt)
    {
        if (attempt->hasEnded) {
            return;
        }
        this->finish(attempt, false);
        std::erase(attempt->request->running, attempt);
    }

    void finish(const std::shared_ptr<Attempt> &attempt, bool hasAnswered)
    {
        Upstream &upstream = this->upstreams[attempt->upstream];
        attempt->hasEnded = true;
        --this->members[attempt->request->instance].inFlight.at(attempt->upstream);
        if (attempt->startedAt < 0) {
            std::erase(upstream.waiting, attempt);
            return;
        }
        --upstream.running;
        const double busy = this->isMeasured() ? this->now - attempt->startedAt : 0;
        this->figures.busy += busy;
        this->figures.wasted += hasAnswered ? 0 : busy;
        this->startNext(upstream);
    }

    /// @param winner the attempt that answered; null when none did in time
    void end(const std::shared_ptr<Request> &request, const std::shared_ptr<Attempt> &winner)
    {
        if (request->hasEnded) {
            return;
        }
        request->hasEnded = true;
        const auto running = std::move(request->running);
        for (const auto &attempt : running) {
            if (!attempt->hasEnded) {
                this->finish(attempt, attempt == winner);
            }
        }
        this->members[request->instance].policy.onResponse(kind, this->elapsed(*request), this->clock());
        if (!this->isMeasured()) {
            return;
        }
        this->figures.times.push_back(winner ? this->now - request->sentAt : deadlineMs);
        this->figures.unanswered += winner ? 0 : 1;
        this->figures.small += winner && winner->upstream >= upstreamCount ? 1 : 0;
    }

    Way way;
    Trouble trouble;
    std::vector<Upstream> upstreams;
    std::vector<Instance> members;
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> gap;
    std::priority_queue<Event> events;
    std::uint64_t nextEvent = 0;
    double now = 0;
    Figures figures;
};

void compare(Report &report, const Trouble &trouble, double load)
{
    constexpr double percent = 100;
    const std::string name = trouble.name + "-" + std::to_string(load).substr(0, 4);
    report.head(name,
                {"way", "p50-ms", "p95-ms", "p99-ms", "hurried-%", "extra-%", "wasted-%", "unanswered-%", "small-%"});
    struct Choice
    {
        std::string label;
        Way way;
        double maxShare = usualShare;
    };
    const std::vector<Choice> choices = {{"nothing", Way::Nothing},
                                         {"move", Way::Move},
                                         {"hedge, share 0.02", Way::Hedge, 0.02},
                                         {"hedge, share 0.05", Way::Hedge, 0.05},
                                         {"hedge, share 0.1", Way::Hedge},
                                         {"hedge, share 0.2", Way::Hedge, 0.2},
                                         {"tied", Way::Tied},
                                         {"smaller model", Way::SmallModel}};
    std::map<std::string, Figures> all;
    for (const Choice &choice : choices) {
        const Figures figures = HedgingRun(choice.way, choice.maxShare, trouble, load).run();
        report.row(choice.label,
                   {percentile(figures.times, 0.5), percentile(figures.times, 0.95), percentile(figures.times, 0.99),
                    percent * figures.hurried / figures.requests, percent * figures.extra / figures.requests,
                    percent * figures.wasted / figures.busy, percent * figures.unanswered / figures.requests,
                    percent * figures.small / figures.requests});
        all[choice.label] = figures;
    }
    const Figures &hedged = all["hedge, share 0.1"];
    const Figures &before = all["nothing"];
    report.atMost("hedges-" + name, hedged.hurried / hedged.requests, "of-requests", usualShare);
    if (load < highLoad) {
        const double tail = percentile(hedged.times, 0.99) / percentile(before.times, 0.99);
        report.atMost("p99-of-nothing-" + name, tail, "x", 0.95);
    } else {
        const double added = hedged.hurried / hedged.requests;
        report.atMost("hedges-at-high-load-" + name, added, "of-requests", 0.03);
    }
}

} // namespace

int main(int argc, char **argv)
{
    Report report(argc > 1 && std::strcmp(argv[1], "--csv") == 0);
    std::cout << "seed " << seed << '\n';
    const std::vector<Trouble> troubles = {{.name = "slow", .isSlow = true},
                                           {.name = "failing", .isFailing = true},
                                           {.name = "uneven", .isUneven = true},
                                           {.name = "all", .isSlow = true, .isFailing = true, .isUneven = true}};
    for (const Trouble &trouble : troubles) {
        for (const double load : {0.4, 0.7, 0.95}) {
            compare(report, trouble, load);
        }
    }
    return report.exitCode();
}
