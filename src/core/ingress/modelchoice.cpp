#include "parsleyvane/ingress/modelchoice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace parsleyvane {

std::string_view reasonName(FirstModelReason reason)
{
    constexpr std::array<std::string_view, 4> names = {"smallest", "learned", "probe", "one_attempt"};
    return names.at(static_cast<std::size_t>(reason));
}

ModelChoice::ModelChoice(const ModelChoiceLimits &limits)
    : limits(limits)
{
}

void ModelChoice::onAnswer(const std::string &kind, const CascadeAnswer &answer, TimePoint now)
{
    Kind &entry = this->kindOf(kind, now);
    if (entry.models.size() <= answer.size) {
        entry.models.resize(answer.size + 1);
    }
    Answers &answers = entry.models[answer.size];
    const double kept = 1 - 1 / this->limits.memory;
    answers.count = answers.count * kept + 1;
    answers.accepted = answers.accepted * kept + (answer.isAccepted ? 1 : 0);
    answers.time = answers.time * kept + static_cast<double>(answer.time.count());
    if (answer.size == 0 && answer.isAccepted) {
        entry.skipped = std::max(entry.skipped, this->limits.probeInterval - this->limits.probeInterval / 4);
    }
}

FirstModel ModelChoice::choose(const FirstModelFacts &facts, TimePoint now)
{
    if (facts.sizes < 2) {
        return {};
    }
    const std::size_t largest = facts.sizes - 1;
    constexpr unsigned cascadeAttempts = 2;
    if (facts.attemptsLeft < cascadeAttempts) {
        return {.size = largest, .reason = FirstModelReason::OneAttempt};
    }
    const auto found = this->known.find(facts.kind);
    if (found == this->known.end() || found->second.models.size() <= largest) {
        return {};
    }
    Kind &kind = this->kindOf(facts.kind, now);
    std::size_t first = 0;
    while (first < largest && this->isWasteful(kind.models[first], kind.models[largest])) {
        ++first;
    }
    if (first == 0) {
        return {};
    }
    if (++kind.skipped >= this->limits.probeInterval) {
        kind.skipped = 0;
        return {.size = 0, .reason = FirstModelReason::Probe};
    }
    return {.size = first, .reason = FirstModelReason::Learned};
}

ModelChoice::Kind &ModelChoice::kindOf(const std::string &name, TimePoint now)
{
    const auto found = this->known.find(name);
    if (found == this->known.end() && this->known.size() >= this->limits.maxKinds) {
        this->known.erase(std::min_element(this->known.begin(), this->known.end(), [](const auto &a, const auto &b) {
            return a.second.updatedAt < b.second.updatedAt;
        }));
    }
    Kind &kind = this->known[name];
    kind.updatedAt = std::max(kind.updatedAt, now);
    return kind;
}

bool ModelChoice::isWasteful(const Answers &smaller, const Answers &largest) const
{
    if (smaller.count < this->limits.minAnswers || largest.count < this->limits.minAnswers) {
        return false;
    }
    // Mean and deviation of the Beta posterior with a uniform prior.
    const double mean = (smaller.accepted + 1) / (smaller.count + 2);
    const double deviation = std::sqrt(mean * (1 - mean) / (smaller.count + 3));
    const double upperBound = mean + this->limits.deviations * deviation;
    return smaller.time / smaller.count > upperBound * largest.time / largest.count;
}

} // namespace parsleyvane
