/**
 * @file
 * @brief A chance learned from ratings, with older ratings forgotten.
 */
#pragma once

namespace parsleyvane {

/**
 * @brief The chance that a model's answer passes, as a Beta posterior with exponential forgetting.
 *
 * A long memory gives a narrow bound, a short one notices a drift: when the two contradict each other, the long one
 * starts anew from the short one. Complexity of each call: constant.
 *
 * @code
 * PassChance chance;
 * chance.add(true);
 * const bool sure = chance.lower() > 0.9;
 * @endcode
 */
class PassChance
{
public:
    // modifiers
    /// @brief Learns one rating.
    void add(bool passed) noexcept;

    // observers
    /// @brief The mean of the posterior.
    double mean() const noexcept;
    /// @brief The lower confidence bound.
    double lowerBound() const noexcept;
    /// @brief Ratings that the estimate rests on, older ones counting less.
    double ratings() const noexcept;
    /// @brief Whether there are more failures than expected lately, short of a proof.
    bool suspect() const noexcept
    {
        return this->decline > 0;
    }
    /// @brief How often a drift was noticed.
    unsigned drifts() const noexcept
    {
        return this->driftCount;
    }

private:
    struct Memory
    {
        double passed = 0;
        double failed = 0;

        void add(bool pass, double length) noexcept;
        double mean() const noexcept;
        double deviation() const noexcept;
    };
    void watchDecline(bool passed) noexcept;
    bool improved() const noexcept;
    void restartFrom(const Memory &memory) noexcept;

    Memory longMemory;
    Memory shortMemory;
    Memory sinceZero; ///< ratings since the cumulative sum last was zero
    double decline = 0; ///< the cumulative sum
    unsigned driftCount = 0;
};

} // namespace parsleyvane
