/**
 * @file
 * @brief Counts requests served by bad versions before rollback, and good versions halted, for four rollout strategies.
 *
 * Seven instances, 100 requests a second in total, virtual time. The production judge decides; answers are random.
 */
#include "parsleyvane/rollout/versionjudge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <optional>
#include <random>

namespace parsleyvane {

namespace {

constexpr std::size_t instanceCount = 7;
constexpr Milliseconds tick{100};
constexpr unsigned requestsPerTick = 10;
constexpr Milliseconds mergeDelay{500}; ///< propagation delay of counters between instances
constexpr Milliseconds spreadDelay{500}; ///< delay until a decision applies on all instances
constexpr Milliseconds runTime{7200000};
constexpr Milliseconds fixedTime{1800000};
constexpr Milliseconds timedStep{600000};
constexpr std::array<double, 4> stepShares{0.01, 0.05, 0.25, 1};
constexpr double fixedShare = 0.05;
// At the end of a timed step, an error rate above this multiple of the predecessor's is classified as bad.
constexpr double looksBadRatio = 2.5;
constexpr double predecessorRate = 0.02;
constexpr double fiveTimesRate = 0.1;
constexpr double blatantRate = 0.5;
constexpr std::uint64_t historyServed = 4000;
constexpr unsigned rolloutRuns = 1000;
constexpr unsigned baselineRuns = 100;
constexpr std::uint64_t seed = 4744;

enum class Policy { FixedShare, TimedSteps, OwnEvidence, MergedEvidence };

struct Scenario
{
    const char *name;
    Policy policy;
    unsigned runs;
};

struct Result
{
    bool completed = false;
    bool out = false;
    Milliseconds ended{0};
    std::uint64_t servedByNew = 0;
};

/// @brief Counters of both versions in one scope.
struct Counters
{
    VersionEvidence next;
    VersionEvidence previous;
};

/// @brief Scope of a decision: the fleet, or a single instance that decides independently.
struct Scope
{
    Counters total;
    std::deque<Counters> history; ///< totals that the decision has not seen yet, oldest first
    VersionJudge judge;
    std::size_t step = 0;
    double share = 0;
    bool out = false;
    bool full = false;
    Milliseconds stepBegan{0};
    std::optional<double> nextShare;
    Milliseconds nextShareAt{0};
};

class Run
{
public:
    Run(Policy policy, double rate, std::uint64_t number)
        : policy(policy)
        , rate(rate)
        , random(seed + number)
        , scopes(policy == Policy::OwnEvidence ? instanceCount : 1)
    {
        for (Scope &scope : this->scopes) {
            scope.share = policy == Policy::FixedShare ? fixedShare : stepShares.front();
            scope.total.previous.served = historyServed / this->scopes.size();
            scope.total.previous.errors
                = std::llround(predecessorRate * static_cast<double>(scope.total.previous.served));
        }
    }

    /// @brief Runs until the new version has all traffic or is rolled back in every scope, at most for `runTime`.
    Result rollOut()
    {
        while (this->now < runTime && !this->allOut() && !this->allFull()) {
            this->advance();
        }
        return {this->allFull(), this->allOut(), this->now, this->servedByNew};
    }

    /// @brief Continues with another error rate and restarts the count of requests that the new version serves.
    Result watch(double rate, Milliseconds time)
    {
        this->rate = rate;
        this->servedByNew = 0;
        const Milliseconds end = this->now + time;
        while (this->now < end && !this->allOut()) {
            this->advance();
        }
        return {this->allFull(), this->allOut(), this->now, this->servedByNew};
    }

private:
    bool allOut() const
    {
        return std::all_of(this->scopes.begin(), this->scopes.end(), [](const Scope &scope) { return scope.out; });
    }

    bool allFull() const
    {
        return std::all_of(this->scopes.begin(), this->scopes.end(), [](const Scope &scope) { return scope.full; });
    }

    bool chance(double probability)
    {
        constexpr unsigned spareBits = 11;
        return static_cast<double>(this->random() >> spareBits) * 0x1p-53 < probability;
    }

    void advance()
    {
        this->now += tick;
        for (unsigned request = 0; request < requestsPerTick; ++request) {
            this->serveOne(this->scopes[this->random() % this->scopes.size()]);
        }
        for (Scope &scope : this->scopes) {
            this->decide(scope);
        }
    }

    void serveOne(Scope &scope)
    {
        const bool isNew = this->chance(scope.share);
        this->servedByNew += isNew ? 1 : 0;
        VersionEvidence &evidence = isNew ? scope.total.next : scope.total.previous;
        ++evidence.served;
        evidence.errors += this->chance(isNew ? this->rate : predecessorRate) ? 1 : 0;
    }

    void decide(Scope &scope)
    {
        if (scope.nextShare && this->now >= scope.nextShareAt) {
            this->enterShare(scope);
        }
        scope.history.push_back(scope.total);
        const Milliseconds lag = this->policy == Policy::MergedEvidence ? mergeDelay : Milliseconds{0};
        if (scope.history.size() <= static_cast<std::size_t>(lag / tick)) {
            return;
        }
        const Counters seen = scope.history.front();
        scope.history.pop_front();
        if (scope.out || scope.nextShare) {
            return;
        }
        const bool sequential = this->policy == Policy::OwnEvidence || this->policy == Policy::MergedEvidence;
        this->apply(scope, sequential ? scope.judge.evaluate({seen.next, seen.previous, {}}) : this->compare(scope));
    }

    /// Schedule-based baseline: undecided until the step ends, then a single comparison of the error rates.
    VersionVerdict compare(const Scope &scope) const
    {
        const Milliseconds length = this->policy == Policy::FixedShare ? fixedTime : timedStep;
        if (this->now - scope.stepBegan < length) {
            return Undecided{};
        }
        const VersionEvidence &next = scope.total.next;
        const double bad
            = static_cast<double>(next.errors) / static_cast<double>(std::max<std::uint64_t>(1, next.served));
        return bad > looksBadRatio * predecessorRate ? VersionVerdict(RollBackVersion{})
                                                     : VersionVerdict(MayIncreaseShare{});
    }

    void apply(Scope &scope, const VersionVerdict &verdict)
    {
        if (std::holds_alternative<RollBackVersion>(verdict)) {
            this->changeShare(scope, 0);
        } else if (std::holds_alternative<MayIncreaseShare>(verdict) && !scope.full) {
            scope.step = this->policy == Policy::FixedShare ? stepShares.size() - 1 : scope.step + 1;
            this->changeShare(scope, stepShares[scope.step]);
        }
    }

    /// An instance's own decision applies immediately; a fleet-wide one after `spreadDelay`.
    void changeShare(Scope &scope, double share)
    {
        scope.nextShare = share;
        scope.nextShareAt = this->now + (this->policy == Policy::OwnEvidence ? Milliseconds{0} : spreadDelay);
        if (share >= 1) {
            scope.judge.onAllTraffic();
        } else {
            scope.judge.onShareIncreased();
        }
    }

    void enterShare(Scope &scope)
    {
        scope.share = *scope.nextShare;
        scope.nextShare.reset();
        scope.out = scope.share <= 0;
        scope.full = scope.share >= 1;
        scope.stepBegan = this->now;
    }

    Policy policy;
    double rate;
    std::mt19937_64 random;
    std::vector<Scope> scopes;
    Milliseconds now{0};
    std::uint64_t servedByNew = 0;
};

/// @brief Prints one measurement; the bound is empty if there is no target.
bool print(const std::string &name, double value, const char *unit, std::optional<double> bound = {})
{
    const bool held = !bound || value <= *bound;
    const std::string limit = bound ? "<=" + std::to_string(*bound) : "-";
    const char *verdict = bound ? (held ? "ok" : "PAST-BOUND") : "reported";
    std::printf("%s %.3f %s %s %s\n", name.c_str(), value, unit, limit.c_str(), verdict);
    return held;
}

struct Summary
{
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double most = 0;
};

Summary summarise(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    constexpr std::size_t percent = 100;
    constexpr std::size_t high = 95;
    return {sum / static_cast<double>(values.size()), values[values.size() / 2], values[values.size() * high / percent],
            values.back()};
}

bool printServed(const std::string &name, const std::vector<double> &served, std::optional<double> bound)
{
    const Summary summary = summarise(served);
    bool held = print(name + ".served-mean", summary.mean, "requests", bound);
    held &= print(name + ".served-p50", summary.p50, "requests");
    held &= print(name + ".served-p95", summary.p95, "requests", bound);
    held &= print(name + ".served-max", summary.most, "requests", bound);
    return held;
}

constexpr double percent = 100;
constexpr double aimServed = 99; ///< under 100 requests
constexpr double aimFalseHaltsPercent = 1;

double share(std::uint64_t part, std::size_t all)
{
    return percent * static_cast<double>(part) / static_cast<double>(all);
}

bool measureBad(const Scenario &scenario, const std::string &kind, double rate)
{
    std::vector<double> served;
    std::uint64_t within = 0;
    std::uint64_t missed = 0;
    for (unsigned number = 0; number < scenario.runs; ++number) {
        const Result result = Run(scenario.policy, rate, number).rollOut();
        served.push_back(static_cast<double>(result.servedByNew));
        within += result.out && result.servedByNew <= static_cast<std::uint64_t>(aimServed) ? 1 : 0;
        missed += result.out ? 0 : 1;
    }
    const std::string name = scenario.name + ("." + kind);
    const bool merged = scenario.policy == Policy::MergedEvidence;
    const bool held = printServed(name, served, merged ? std::optional(aimServed) : std::nullopt);
    print(name + ".out-under-100", share(within, scenario.runs), "percent");
    print(name + ".never-out", share(missed, scenario.runs), "percent");
    return held;
}

bool measureGood(const Scenario &scenario)
{
    std::vector<double> minutes;
    std::uint64_t unfinished = 0;
    for (unsigned number = 0; number < scenario.runs; ++number) {
        const Result result = Run(scenario.policy, predecessorRate, number).rollOut();
        unfinished += result.completed ? 0 : 1;
        if (result.completed) {
            constexpr double perMinute = 60000;
            minutes.push_back(static_cast<double>(result.ended.count()) / perMinute);
        }
    }
    const std::string name = scenario.name + std::string(".good");
    const Summary summary = summarise(minutes);
    const bool merged = scenario.policy == Policy::MergedEvidence;
    // A version that a single instance rolled back never completes either.
    const bool held = print(name + ".false-halts", share(unfinished, scenario.runs), "percent",
                            merged ? std::optional(aimFalseHaltsPercent) : std::nullopt);
    print(name + ".complete-p50", summary.p50, "minutes");
    print(name + ".complete-p95", summary.p95, "minutes");
    return held;
}

/// Measures versions whose error rate rises five minutes after they received all traffic.
bool measureTurning(const Scenario &scenario, const std::string &kind, double rate, std::optional<double> bound)
{
    constexpr Milliseconds goodTime{300000};
    constexpr Milliseconds badTime{600000};
    std::vector<double> served;
    std::uint64_t missed = 0;
    for (unsigned number = 0; number < scenario.runs; ++number) {
        Run run(scenario.policy, predecessorRate, number);
        if (!run.rollOut().completed || run.watch(predecessorRate, goodTime).out) {
            continue;
        }
        const Result result = run.watch(rate, badTime);
        missed += result.out ? 0 : 1;
        served.push_back(static_cast<double>(result.servedByNew));
    }
    const std::string name = scenario.name + ("." + kind);
    bool held = printServed(name, served, bound);
    held &= print(name + ".never-out", share(missed, served.size()), "percent", bound ? std::optional(0.0) : bound);
    return held;
}

/// Counts rollbacks of good versions whose error rate did not change.
void measureWatch(const Scenario &scenario)
{
    constexpr unsigned runs = 100;
    constexpr Milliseconds watched{3600000};
    unsigned backedOut = 0;
    unsigned begun = 0;
    for (unsigned number = 0; number < runs; ++number) {
        Run run(scenario.policy, predecessorRate, number);
        if (!run.rollOut().completed) {
            continue;
        }
        ++begun;
        backedOut += run.watch(predecessorRate, watched).out ? 1 : 0;
    }
    print(scenario.name + std::string(".watch.false-back-outs"), backedOut, "versions");
    print(scenario.name + std::string(".watch.watched"), begun * static_cast<double>(watched / tick) * requestsPerTick,
          "requests");
}

/// Prints the maximum power of any test on 100 answers with exactly known rates (Neyman and Pearson).
void printLimit()
{
    constexpr unsigned answers = 100;
    const auto probability = [](unsigned bad, double rate) {
        const double ways = std::lgamma(answers + 1.0) - std::lgamma(bad + 1.0) - std::lgamma(answers - bad + 1.0);
        return std::exp(ways + bad * std::log(rate) + (answers - bad) * std::log(1 - rate));
    };
    double falseAlarms = 0;
    double caught = 0;
    for (unsigned bad = answers; bad > 0; --bad) {
        const double more = probability(bad, predecessorRate);
        const double left = aimFalseHaltsPercent / percent - falseAlarms;
        caught += probability(bad, fiveTimesRate) * std::min(1.0, left / more);
        falseAlarms += std::min(more, left);
        if (more >= left) {
            break;
        }
    }
    print("limit.bad-5x.caught-within-100", percent * caught, "percent");
}

} // namespace

} // namespace parsleyvane

int main()
{
    using namespace parsleyvane;
    const Scenario fixed{"fixed-share", Policy::FixedShare, baselineRuns};
    const Scenario timed{"timed-steps", Policy::TimedSteps, baselineRuns};
    const Scenario own{"own-evidence", Policy::OwnEvidence, baselineRuns};
    const Scenario merged{"merged-evidence", Policy::MergedEvidence, rolloutRuns};
    bool held = true;
    printLimit();
    for (const Scenario &scenario : {fixed, timed, own, merged}) {
        held &= measureBad(scenario, "bad-5x", fiveTimesRate);
        held &= measureBad(scenario, "bad-blatant", blatantRate);
        held &= measureGood(scenario);
    }
    // The count stated in docs/DECISIONS/bad-versions.md.
    constexpr double statedCount = 1000;
    for (const Scenario &scenario : {own, merged}) {
        const auto bound = scenario.policy == Policy::MergedEvidence ? std::optional(statedCount) : std::nullopt;
        held &= measureTurning(scenario, "turns-5x", fiveTimesRate, bound);
        held &= measureTurning(scenario, "turns-blatant", blatantRate, bound);
        measureWatch(scenario);
    }
    return held ? 0 : 1;
}
