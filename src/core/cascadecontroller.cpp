#include "parsleyvane/cascade/cascadecontroller.h"

#include <algorithm>
#include <cmath>

namespace parsleyvane {

namespace {

/// Values that an average holds, in effect.
constexpr unsigned averageLength = 500;
/// Answers of a model before its cost and latency count as known.
constexpr unsigned knownAfter = 5;
/// Ratings of a model before another one is preferred to it.
constexpr double triedAfter = 30;
/// Share of requests beyond the tail that is compared.
constexpr double tailShare = 0.05;
/// How much slower in the tail than the last model alone a path may be, for a cost weight of 1.
constexpr double tailAllowance = 1;

/// Deviations from the mean beyond which this share lies (Abramowitz and Stegun, 26.2.22); negative past a half.
double deviationsBeyond(double share)
{
    if (share > 0.5) {
        return -deviationsBeyond(1 - share);
    }
    constexpr double least = 1e-9;
    const double t = std::sqrt(-2 * std::log(std::max(share, least)));
    return t - (2.30753 + 0.27061 * t) / (1 + 0.99229 * t + 0.04481 * t * t);
}

/// The latency beyond which this share lies, of lognormal latencies.
double latencyBeyond(double share, double mean, double variance)
{
    if (mean <= 0) {
        return 0;
    }
    const double squared = std::log(1 + variance / (mean * mean));
    return mean * std::exp(deviationsBeyond(share) * std::sqrt(squared) - squared / 2);
}

} // namespace

void CascadeController::Average::add(double value) noexcept
{
    this->count = std::min(this->count + 1, averageLength);
    const double step = 1.0 / this->count;
    const double distance = value - this->mean;
    this->mean += step * distance;
    this->variance = (1 - step) * (this->variance + step * distance * distance);
}

std::size_t CascadeController::chooseFirstModel(const CascadeKey &key, const CascadeTerms &terms)
{
    const std::size_t best = this->bestStart(key, terms);
    if (best > 0 && this->draw(this->options.explored)) {
        return best - 1;
    }
    return best;
}

bool CascadeController::shouldRate(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage)
{
    return this->draw(this->rateShare(key, terms, stage));
}

void CascadeController::onRating(const CascadeKey &key, const ModelName &model, bool passed)
{
    this->routes[{key, model}].chance.add(passed);
}

void CascadeController::onRatingLatency(Milliseconds latency)
{
    this->ratingLatency.add(static_cast<double>(latency.count()));
}

void CascadeController::onAnswer(const CascadeKey &key, const ModelName &model, MicroCost cost, Milliseconds latency)
{
    Learned &route = this->routes[{key, model}];
    route.cost.add(static_cast<double>(cost.value()));
    route.latency.add(static_cast<double>(latency.count()));
}

double CascadeController::rateShare(const CascadeKey &key, const CascadeTerms &terms, std::size_t stage) const
{
    if (stage + 1 >= terms.chain.size()) {
        return 0;
    }
    const PassChance &chance = this->learned(key, terms.chain[stage]).chance;
    const double least = chance.suspect() ? std::max(this->options.suspectedRatedShare, this->options.minRatedShare)
                                          : this->options.minRatedShare;
    const double lower = chance.lowerBound();
    if (lower >= terms.qualityTarget) {
        return least;
    }
    if (!this->options.partialRating) {
        return 1;
    }
    // Of the answers that fail, all but the permitted ones have to be found and mended.
    const double toMend = 1 - (1 - terms.qualityTarget) / (1 - lower);
    return std::clamp(toMend / this->options.mended, least, 1.0);
}

PassChance CascadeController::chance(const CascadeKey &key, const ModelName &model) const
{
    return this->learned(key, model).chance;
}

const CascadeController::Learned &CascadeController::learned(const CascadeKey &key, const ModelName &model) const
{
    static const Learned nothing;
    const auto found = this->routes.find({key, model});
    return found != this->routes.end() ? found->second : nothing;
}

std::vector<CascadeController::Path> CascadeController::paths(const CascadeKey &key, const CascadeTerms &terms) const
{
    std::vector<Path> paths(terms.chain.size() + 1);
    for (std::size_t stage = terms.chain.size(); stage-- > 0;) {
        const Learned &known = this->learned(key, terms.chain[stage]);
        const Path &next = paths[stage + 1];
        const double rated = this->rateShare(key, terms, stage);
        paths[stage] = this->pathFrom(known, rated, next);
    }
    paths.pop_back();
    return paths;
}

CascadeController::Path CascadeController::pathFrom(const Learned &known, double rated, const Path &next) const
{
    const double escalated = rated * (1 - known.chance.mean());
    const double own = known.latency.mean + rated * this->ratingLatency.mean;
    Path path;
    path.cost = known.cost.mean + rated * static_cast<double>(this->options.ratingCost.value()) + escalated * next.cost;
    path.latency = own + escalated * next.latency;
    path.variance = known.latency.variance + escalated * next.variance
        + escalated * (1 - escalated) * next.latency * next.latency;
    // Escalated requests are the slowest; past their share the tail is that of the model's own answers.
    path.tail = latencyBeyond(tailShare, own, known.latency.variance);
    if (escalated > tailShare) {
        const double together = known.latency.variance + next.variance;
        path.tail = latencyBeyond(tailShare / escalated, own + next.latency, together);
    }
    return path;
}

std::size_t CascadeController::bestStart(const CascadeKey &key, const CascadeTerms &terms) const
{
    for (std::size_t stage = 0; stage < terms.chain.size(); ++stage) {
        const Learned &known = this->learned(key, terms.chain[stage]);
        const bool last = stage + 1 == terms.chain.size();
        if (known.latency.count < knownAfter || (!last && known.chance.ratings() < triedAfter)) {
            // Each answer is rated meanwhile, so that trying it costs time and money but no quality.
            return last ? 0 : stage;
        }
    }
    const std::vector<Path> paths = this->paths(key, terms);
    const Path &last = paths.back();
    const double slowest = last.tail * (1 + tailAllowance * terms.costWeight);
    std::size_t best = paths.size() - 1;
    double bestScore = 1;
    for (std::size_t stage = 0; stage + 1 < paths.size(); ++stage) {
        const Path &path = paths[stage];
        if (path.tail > slowest) {
            continue;
        }
        const double score
            = terms.costWeight * path.cost / last.cost + (1 - terms.costWeight) * path.latency / last.latency;
        if (score < bestScore) {
            bestScore = score;
            best = stage;
        }
    }
    return best;
}

bool CascadeController::draw(double chance)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < chance;
}

} // namespace parsleyvane
