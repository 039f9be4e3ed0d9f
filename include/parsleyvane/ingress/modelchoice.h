/**
 * @file
 * @brief Chooses the first model of a cascade by what its models' answers were worth so far.
 */
#pragma once

#include "parsleyvane/core/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief Tunable values of ModelChoice.
struct ModelChoiceLimits
{
    /// Answers of a model that its sums are based on. They fade with its own answers, not with time, so that a model
    /// that is seldom tried stays known.
    double memory = 64;
    /// Answers of a model below which it is not skipped.
    double minAnswers = 30;
    /// Standard deviations between the mean and the upper bound of the share of accepted answers.
    double deviations = 2;
    /// One in this many requests tries a skipped model, so that an improvement is found; after an accepted answer one
    /// in a quarter as many.
    unsigned probeInterval = 32;
    std::size_t maxKinds = 256;
};

/// @brief Why a model is the first.
enum class FirstModelReason {
    Smallest, ///< it is not known to cost more than it saves
    Learned, ///< the smaller models cost more than they save
    Probe, ///< a model that is skipped otherwise
    OneAttempt, ///< the request has no attempt for a larger model
};

/// @brief The reason's name in logs and metrics, such as "one_attempt".
std::string_view reasonName(FirstModelReason reason);

/// @brief The model to begin with.
struct FirstModel
{
    std::size_t size = 0; ///< index in RouteRule::sizes
    FirstModelReason reason = FirstModelReason::Smallest;
};

/// @brief What the choice for one request is based on.
struct FirstModelFacts
{
    std::string kind; ///< of work: route and length of the prompt
    std::size_t sizes = 0; ///< number of models of the route
    unsigned attemptsLeft = 0;
};

/// @brief An answer of a model, as far as it is known when the answer begins.
struct CascadeAnswer
{
    std::size_t size = 0;
    bool isAccepted = false; ///< its confidence is sufficient without load
    Milliseconds time{0}; ///< from sending the request
};

/**
 * @brief Learns by kind of work how often the smaller models' answers are accepted and how long answers take.
 *
 * A cascade that begins with a smaller model takes that model's time, and the largest model's time as well for each
 * answer that is not accepted. It is worth it as long as the share of accepted answers exceeds the ratio of the two
 * times. The first model is the smallest for which that is not ruled out. Complexity: logarithmic in the kinds, and
 * linear in them for a new one.
 */
class ModelChoice
{
public:
    // constructors
    explicit ModelChoice(const ModelChoiceLimits &limits = {});

    // modifiers
    /// @brief Records an answer.
    void onAnswer(const std::string &kind, const CascadeAnswer &answer, TimePoint now);
    /// @brief Chooses the first model of a request.
    FirstModel choose(const FirstModelFacts &facts, TimePoint now);

    // observers
    std::size_t kinds() const noexcept
    {
        return this->known.size();
    }

private:
    /// Sums over the answers of a model; each new one reduces the weight of those before.
    struct Answers
    {
        double count = 0;
        double accepted = 0;
        double time = 0; ///< sum, in ms
    };
    struct Kind
    {
        std::vector<Answers> models; ///< by size
        TimePoint updatedAt{};
        unsigned skipped = 0; ///< requests since the latest probe
    };

    /// The sums of the kind. Makes room for a new kind.
    Kind &kindOf(const std::string &name, TimePoint now);
    /// Whether the model's answers save less time than they cost.
    bool isWasteful(const Answers &smaller, const Answers &largest) const;

    ModelChoiceLimits limits;
    std::map<std::string, Kind> known;
};

} // namespace parsleyvane
