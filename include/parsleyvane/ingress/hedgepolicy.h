/**
 * @file
 * @brief Decides when a request that waits for its first response is sent to a second upstream as well.
 */
#pragma once

#include "parsleyvane/ingress/loadview.h"
#include "parsleyvane/ingress/repeatbudget.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/// @brief Tunable values of HedgePolicy.
struct HedgeLimits
{
    double maxShare = 0; ///< hedges per client request in a window; 0 disables hedging
    Milliseconds window{10000};
    /// Highest quantile of the response times after which a request is hedged. With a larger share, it is as much lower
    /// as the share permits, so that the share goes to the slowest requests.
    double maxQuantile = 0.95;
    double minQuantile = 0.6; ///< below it, hedges would compete with first attempts
    Milliseconds minDelay{20}; ///< below it, response times vary too much with the scheduling of the processes
    double minSamples = 20; ///< of a kind of work, before its quantile is used
    /// Fraction of the objective after which a request is hedged while the usual response time is not known. An
    /// instance with 6 requests per second of several kinds takes longer to learn it than a disturbance lasts.
    double defaultDelay = 0.2;
    /// Retries that hedges leave in the budget to requests that a larger model may have to answer: when hedges took
    /// them, twice as many doubtful answers were accepted.
    double cascadeReserve = 4;
    double maxSamples = 256; ///< of a kind of work; at this number all are halved, so that old ones fade
    Milliseconds retention{300000}; ///< of the times of a kind of work that has no new ones
    std::size_t maxKinds = 256;
    double maxRefusalRate = 0.1; ///< above it, a service is short of capacity
    double minAttempts = 8; ///< that the refusal rate must be based on
    Milliseconds loadTime{2000}; ///< time constant of the counted attempts
    double minTimeLeft = 0.5; ///< fraction of the objective
};

/// @brief Whether a hedge may be sent, or why not.
enum class HedgeVerdict {
    Send,
    Off, ///< hedging is disabled
    NotRepeatable, ///< the request may run only once, or its answer has begun
    FewSamples, ///< neither the usual response time nor an objective is known
    SuspectedPrompt, ///< a part of the request may crash upstreams
    NoAttempts, ///< the request has used all its attempts
    LittleTime, ///< the second upstream could not answer in time
    ShortOfCapacity, ///< the service refuses requests
    Limit, ///< of hedges in the window
    RetryBudget, ///< no retry is left in the budget
};

/// @brief The verdict's name in logs and metrics, such as "few_samples".
std::string_view verdictName(HedgeVerdict verdict);

/// @brief What the decision for one request is based on.
struct HedgeFacts
{
    ServiceName service;
    std::string kind; ///< of work, by hedgeKind()
    bool mayRepeat = false; ///< the request may run more than once, and its answer has not begun
    bool hasAttemptLeft = false;
    bool isSuspected = false;
    bool mayNeedLargerModel = false; ///< the answer of the first attempt may be too poor
    double retriesLeft = 0; ///< by RepeatBudget::remaining()
    Milliseconds timeLeft{0}; ///< until the client's timeout
    Milliseconds objective{0}; ///< of the response time
    std::optional<ServiceLoad> sharedLoad; ///< as the instances know it together, where that is enabled
};

/// @brief Names a kind of work: route, model and length of the prompt in steps of a factor of four.
std::string hedgeKind(const std::string &routeAndModel, std::int64_t promptTokens);

/**
 * @brief Learns response times by kind of work and limits the hedges of one instance.
 *
 * Each instance keeps its hedges within the share of its own requests, so the sum over all instances is within it too.
 * With hedging disabled, nothing is recorded. Complexity: logarithmic in the kinds and services unless said otherwise.
 */
class HedgePolicy
{
public:
    // constructors
    explicit HedgePolicy(HedgeLimits limits = {});

    // modifiers
    /// @brief Sets the share of the requests that may be hedged, and the window over which both are counted.
    void setShare(double maxShare, Milliseconds window);
    /// @brief Counts a client's request for the service.
    void onRequest(const ServiceName &service, TimePoint now);
    /// @brief Counts an attempt that has ended. @param refused whether the upstream did not run it
    void onAttempt(const ServiceName &service, bool refused, TimePoint now);
    /// @brief Records the time to the first event, or to the complete answer if it is not streamed; for an attempt that
    /// was given up, the time until then. Complexity: linear in the kinds for a new one.
    void onResponse(const std::string &kind, Milliseconds time, TimePoint now);
    /// @brief Counts a hedge. @pre decide() returned Send
    void onHedge(const ServiceName &service, TimePoint now);

    // observers
    bool isEnabled() const noexcept
    {
        return this->limits.maxShare > 0;
    }
    /// @brief How long after its sending a request of this kind may be hedged: the quantile of its response times, or a
    /// fraction of the objective while that is not known. Empty when neither is known.
    std::optional<Milliseconds> delay(const std::string &kind, Milliseconds objective, TimePoint now) const;
    /// @brief Whether a request that has waited for delay() is hedged.
    HedgeVerdict decide(const HedgeFacts &facts, TimePoint now) const;

private:
    static constexpr std::size_t bucketsPerDoubling = 8;
    static constexpr std::size_t doublings = 20; ///< from 1 ms to 17 minutes
    /// Response times of one kind of work.
    struct Times
    {
        std::array<float, bucketsPerDoubling * doublings> buckets{};
        double total = 0;
        TimePoint newest{};
    };
    /// Exponentially decaying counts of ended attempts.
    struct Attempts
    {
        double attempts = 0;
        double refusals = 0;
        TimePoint at{};
    };

    /// Quantile of the response times after which requests are hedged.
    double quantile() const;
    /// That quantile for the kind; empty with too few samples.
    std::optional<Milliseconds> usualTime(const std::string &kind, TimePoint now) const;
    bool isShort(double attempts, double refusals) const;
    double decay(const Attempts &counts, TimePoint now) const;
    void makeRoom();

    HedgeLimits limits;
    RepeatBudget share;
    std::map<std::string, Times> kinds;
    std::map<ServiceName, Attempts> services;
};

} // namespace parsleyvane
