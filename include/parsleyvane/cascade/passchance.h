/**
 * @file
 * @brief Estimate of a pass probability from ratings, with exponential forgetting.
 */
#pragma once

namespace parsleyvane {

/**
 * @brief The probability that a model's answer passes, as a Beta posterior with exponential forgetting.
 *
 * The long window gives a narrow bound. A decline is detected by a cumulative sum (CUSUM) of log-likelihood ratios, an
 * improvement by the mean of the short window; then the estimate restarts from the ratings that showed the change.
 * Complexity of each call: constant.
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
    /// @brief Adds one rating.
    void add(bool passed) noexcept;

    // observers
    /// @brief The mean of the posterior.
    double mean() const noexcept;
    /// @brief The lower confidence bound.
    double lowerBound() const noexcept;
    /// @brief Effective number of ratings behind the estimate; older ones have less weight.
    double ratings() const noexcept;
    /// @brief Whether recent failures exceed the expected share without reaching the detection threshold.
    bool isDeclineSuspected() const noexcept
    {
        return this->decline > 0;
    }
    /// @brief Number of drifts detected, declines and improvements.
    unsigned drifts() const noexcept
    {
        return this->driftCount;
    }

private:
    struct DecayedCounts
    {
        double passed = 0;
        double failed = 0;

        void add(bool pass, double windowRatings) noexcept;
        double mean() const noexcept;
        double deviation() const noexcept;
    };
    void updateDecline(bool passed) noexcept;
    bool improved() const noexcept;
    void restartFrom(const DecayedCounts &counts) noexcept;

    DecayedCounts longWindow;
    DecayedCounts shortWindow;
    DecayedCounts sinceZero; ///< ratings since the cumulative sum was last zero
    double decline = 0; ///< cumulative sum of log-likelihood ratios, at least 0
    unsigned driftCount = 0;
};

} // namespace parsleyvane
