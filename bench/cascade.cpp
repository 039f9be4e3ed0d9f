/**
 * @file
 * @brief Compares cascade strategies on the workloads of two client accounts; the quality of the cheap model drifts.
 *
 * Prints a table for each workload, or CSV with `--csv`, and exits with 1 if a bound is violated.
 */
#include "parsleyvane/cascade/cascadecontroller.h"
#include "report.h"

#include <cmath>
#include <cstring>

namespace {

using namespace parsleyvane;
using bench::mean;
using bench::percentile;
using bench::Report;

constexpr unsigned firstSeed = 4744;
constexpr unsigned runs = 5;
constexpr unsigned requests = 40000;
constexpr unsigned driftAt = 25000;
constexpr double ratingPrice = 15;
constexpr double ratingMs = 120;
constexpr double high = 0.95;
constexpr double median = 0.5;

/// @brief A model's success rate, cost and latency for one task.
struct FakeModel
{
    double passes; ///< probability that an answer is good enough
    double cost; ///< mean cost of an answer, in millionths
    double medianMs;
};

/// @brief One task with its share of the traffic and its quality target.
struct FakeTask
{
    std::string name;
    double share;
    double target;
    std::vector<FakeModel> chain;
    std::size_t fixedStart; ///< first model under a fixed operator rule
    double driftedTo; ///< success rate of the first model after the drift
};

/// @brief The traffic of one account.
struct Workload
{
    std::string name;
    double costWeight;
    std::vector<FakeTask> tasks;
};

/// @brief One strategy for choosing the first model of a cascade.
struct Way
{
    std::string name;
    enum Kind { CheapFirst, BestAlways, FixedRule, Learned } kind = Learned;
    CascadeOptions options;
};

/// @brief Measurements of one run.
struct Figures
{
    std::vector<double> ms;
    double cost = 0;
    double ratings = 0;
    std::vector<double> asked; ///< requests by task
    std::vector<double> good;
    unsigned noticedAfter = 0; ///< requests of the drifted task before the controller reacts
    unsigned badBeforeNotice = 0;
    double worstMargin = 1; ///< minimum over the tasks of quality minus target

    /// @brief Adds another run; keeps the slowest detection and the worst margin.
    void add(const Figures &other)
    {
        this->ms.insert(this->ms.end(), other.ms.begin(), other.ms.end());
        this->cost += other.cost;
        this->ratings += other.ratings;
        this->noticedAfter = std::max(this->noticedAfter, other.noticedAfter);
        this->badBeforeNotice = std::max(this->badBeforeNotice, other.badBeforeNotice);
        this->worstMargin = std::min(this->worstMargin, other.worstMargin);
    }
};

const Workload lumara{"lumara",
                      0.8,
                      {{"balance", 0.6, 0.95, {{0.985, 20, 300}, {0.995, 200, 900}}, 0, 0.7},
                       {"summary", 0.25, 0.9, {{0.86, 90, 700}, {0.97, 900, 2000}}, 0, 0.86},
                       {"triage", 0.15, 0.9, {{0.45, 60, 600}, {0.8, 220, 1000}, {0.96, 700, 1800}}, 2, 0.45}}};
const Workload txoko{"txoko",
                     0.2,
                     {{"booking", 0.55, 0.95, {{0.975, 30, 300}, {0.99, 300, 900}}, 0, 0.7},
                      {"photo-tags", 0.25, 0.9, {{0.88, 50, 400}, {0.97, 500, 1200}}, 0, 0.88},
                      {"kit-return", 0.2, 0.9, {{0.6, 150, 1500}, {0.95, 1500, 4000}}, 1, 0.6}}};

/// @brief Simulates one workload under one strategy.
class CascadeRun
{
public:
    CascadeRun(const Way &way, const Workload &workload, unsigned seed)
        : way(way)
        , workload(workload)
        , controller(seed, way.options)
        , random(seed)
    {
        this->figures.asked.resize(workload.tasks.size());
        this->figures.good.resize(workload.tasks.size());
    }

    Figures run()
    {
        std::vector<double> shares;
        for (const FakeTask &task : this->workload.tasks) {
            shares.push_back(task.share);
        }
        std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
        for (this->number = 0; this->number < requests; ++this->number) {
            this->serve(pick(this->random));
        }
        for (std::size_t i = 0; i < this->workload.tasks.size(); ++i) {
            const double quality = this->figures.good[i] / this->figures.asked[i];
            this->figures.worstMargin = std::min(this->figures.worstMargin, quality - this->workload.tasks[i].target);
        }
        return this->figures;
    }

private:
    CascadeTerms termsOf(const FakeTask &task) const
    {
        CascadeTerms terms{{}, task.target, this->workload.costWeight};
        for (std::size_t stage = 0; stage < task.chain.size(); ++stage) {
            terms.chain.emplace_back("model-" + std::to_string(stage));
        }
        return terms;
    }
    std::size_t firstStage(const FakeTask &task, const CascadeKey &key, const CascadeTerms &terms)
    {
        switch (this->way.kind) {
        case Way::CheapFirst:
            return 0;
        case Way::BestAlways:
            return task.chain.size() - 1;
        case Way::FixedRule:
            return task.fixedStart;
        case Way::Learned:
            break;
        }
        return this->controller.chooseFirstModel(key, terms);
    }
    bool rates(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage)
    {
        if (this->way.kind == Way::Learned) {
            return this->controller.shouldRate(key, terms, stage);
        }
        return this->way.kind == Way::CheapFirst && stage + 1 < terms.chain.size();
    }
    double drawMs(double medianMs)
    {
        constexpr double sigma = 0.4;
        return std::lognormal_distribution<double>(std::log(medianMs), sigma)(this->random);
    }
    void serve(std::size_t index)
    {
        const FakeTask &task = this->workload.tasks[index];
        const CascadeKey key{AccountId(this->workload.name), TaskName(task.name)};
        const CascadeTerms terms = this->termsOf(task);
        // One difficulty per request: a model passes every request that a weaker model passes.
        const double difficulty = std::uniform_real_distribution<double>(0, 1)(this->random);
        const bool drifted = this->number >= driftAt;
        double ms = 0;
        bool passes = false;
        for (std::size_t stage = this->firstStage(task, key, terms); stage < task.chain.size(); ++stage) {
            const FakeModel &model = task.chain[stage];
            const double chance = stage == 0 && drifted ? task.driftedTo : model.passes;
            passes = difficulty < chance;
            const double cost = model.cost * this->drawMs(1);
            const double took = this->drawMs(model.medianMs);
            ms += took;
            this->figures.cost += cost;
            this->controller.onAnswer(key, terms.chain[stage], MicroCost(std::llround(cost)),
                                      Milliseconds(std::llround(took)));
            if (!this->rates(key, terms, stage)) {
                break;
            }
            const double rating = this->drawMs(ratingMs);
            ms += rating;
            this->figures.cost += ratingPrice;
            this->figures.ratings += 1;
            this->controller.onRatingLatency(Milliseconds(std::llround(rating)));
            this->controller.onRating(key, terms.chain[stage], passes);
            if (passes) {
                break;
            }
        }
        this->figures.ms.push_back(ms);
        this->figures.asked[index] += 1;
        this->figures.good[index] += passes ? 1 : 0;
        if (drifted && index == 0) {
            this->watchDrift(key, terms, passes);
        }
    }
    void watchDrift(const CascadeKey &key, const CascadeTerms &terms, bool passes)
    {
        if (this->noticed || this->way.kind != Way::Learned) {
            return;
        }
        ++this->figures.noticedAfter;
        this->figures.badBeforeNotice += passes ? 0 : 1;
        this->noticed = this->controller.chance(key, terms.chain[0]).lowerBound() < terms.qualityTarget;
    }

    Way way;
    Workload workload;
    CascadeController controller;
    std::mt19937_64 random;
    unsigned number = 0;
    bool noticed = false;
    Figures figures;
};

std::vector<Way> allWays()
{
    CascadeOptions learned;
    learned.ratingCost = MicroCost(static_cast<std::int64_t>(ratingPrice));
    CascadeOptions rateAll = learned;
    rateAll.partialRating = false;
    CascadeOptions steady = learned;
    steady.suspectedRatedShare = steady.minRatedShare;
    CascadeOptions sparse = learned;
    sparse.minRatedShare = 0.02;
    CascadeOptions dense = learned;
    dense.minRatedShare = 0.1;
    return {{"best always", Way::BestAlways, {}},
            {"cheap first, all rated", Way::CheapFirst, {}},
            {"fixed rule, unrated", Way::FixedRule, {}},
            {"learned, all rated below target", Way::Learned, rateAll},
            {"learned, 2 % at least", Way::Learned, sparse},
            {"learned, 10 % at least", Way::Learned, dense},
            {"learned, no denser when suspect", Way::Learned, steady},
            {"learned, 5 % at least", Way::Learned, learned}};
}

void hold(Report &report, const std::string &name, const Figures &best, const Figures &chosen)
{
    constexpr double percent = 100;
    report.atLeast("saving-" + name, percent * (1 - chosen.cost / best.cost), "%", 35);
    report.atLeast("quality-margin-" + name, percent * chosen.worstMargin, "points", 0);
    const double slower = percentile(chosen.ms, high) / percentile(best.ms, high);
    report.atMost("p95-" + name, slower, "x-best-always", name == "txoko" ? 1.1 : 1.5);
    report.atMost("drift-noticed-after-" + name, chosen.noticedAfter, "requests", 300);
}

void compare(Report &report, const Workload &workload)
{
    report.head(
        workload.name,
        {"way", "cost", "of-best", "p50-ms", "p95-ms", "p95-of-best", "ratings", "margin", "notice", "bad-till"});
    Figures best;
    Figures chosen;
    for (const Way &way : allWays()) {
        chosen = Figures();
        for (unsigned run = 0; run < runs; ++run) {
            chosen.add(CascadeRun(way, workload, firstSeed + run).run());
        }
        best = way.kind == Way::BestAlways ? chosen : best;
        report.row(way.name,
                   {chosen.cost / requests / runs, chosen.cost / best.cost, percentile(chosen.ms, median),
                    percentile(chosen.ms, high), percentile(chosen.ms, high) / percentile(best.ms, high),
                    chosen.ratings / requests / runs, chosen.worstMargin, static_cast<double>(chosen.noticedAfter),
                    static_cast<double>(chosen.badBeforeNotice)});
    }
    hold(report, workload.name, best, chosen);
}

} // namespace

int main(int argc, char **argv)
{
    Report report(argc > 1 && std::strcmp(argv[1], "--csv") == 0);
    std::cout << "seeds " << firstSeed << " to " << firstSeed + runs - 1 << '\n';
    for (const Workload &workload : {lumara, txoko}) {
        compare(report, workload);
    }
    return report.exitCode();
}
