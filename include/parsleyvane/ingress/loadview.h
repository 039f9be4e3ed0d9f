/**
 * @file
 * @brief The load and health of upstreams as the instances of a zone know them together.
 */
#pragma once

#include "parsleyvane/ingress/upstreamlist.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief Sums over the ended attempts at one upstream process. Sums of several instances add up.
struct AttemptSums
{
    double attempts = 0;
    double failures = 0; ///< of the attempts: lost, silent, malformed or answered with an error
    double refusals = 0; ///< of the attempts: refused by the upstream without being run
    double timed = 0; ///< of the attempts: with a relative time, each weighted by how much that time tells
    double relativeTimes = 0; ///< weighted sum of response times, each divided by the mean of its kind of work

    friend bool operator==(const AttemptSums &, const AttemptSums &) = default;
};

/// @brief An attempt that has ended.
struct AttemptSample
{
    std::string workKind; ///< route and model; only times of the same kind are compared
    UpstreamOutcome outcome = UpstreamOutcome::Answered;
    std::optional<Milliseconds> time; ///< of a kind of work that is comparable between attempts; empty when unknown
};

/// @brief What is known of one upstream process.
struct UpstreamCondition
{
    double relativeTime = 1; ///< response time as a multiple of the mean of its service
    double failureRate = 0; ///< fraction of the attempts
    double refusalRate = 0; ///< fraction of the attempts
    double attemptsPerSecond = 0; ///< of all instances whose sums are known
    Milliseconds age{0}; ///< since the newest attempt
};

/// @brief What is known of a service as a whole, over the latest seconds.
struct ServiceLoad
{
    double attempts = 0; ///< ended attempts
    double refusals = 0; ///< of these: refused for lack of room
    Milliseconds age{0}; ///< since the newest attempt
};

/// @brief Sums over one upstream process as instances send them to each other.
struct ProcessLoad
{
    AttemptSums sums; ///< decayed to the time of sending
    Milliseconds age{0}; ///< since the newest attempt

    friend bool operator==(const ProcessLoad &, const ProcessLoad &) = default;
};

/// @brief Sums by process name.
using ProcessLoads = std::map<std::string, ProcessLoad>;
using LoadTable = std::map<ServiceName, ProcessLoads>;

/// @brief Sums that an instance has not yet had confirmed by a reader.
struct LoadReport
{
    std::uint64_t number = 0; ///< higher for later sums of the same instance; a repeat has the number of the original
    LoadTable loads;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// @brief Whether an instance could have sent the sums: numbers in range that do not contradict each other.
bool isPlausible(const ProcessLoad &load);

/// @brief Tunable values of LoadView.
struct LoadLimits
{
    /// Time constant of the exponential decay.
    Milliseconds decay{2000};
    /// A process is known for this long after its newest attempt.
    Milliseconds memory{10000};
    /// A reader's view is used for this long after its confirmation.
    Milliseconds sharedAge{3000};
    /// Attempts of an average upstream that are added to the sums: few attempts change a condition little, and without
    /// new ones it returns to the average. With 14 to 28 instances that share a reader, half an attempt gave shorter
    /// times than one or two.
    double priorAttempts = 0.5;
    /// Variance of the relative times of upstreams whose speeds differ as 0.6 : 1 : 1.6. Times of a kind of work that
    /// vary more than that, such as those that depend on the prompt, have less weight.
    double speedVariance = 0.15;
    /// Limits the effect of a single attempt.
    double maxRelativeTime = 8;
    /// Times of a kind of work that are needed for its mean.
    unsigned minTimes = 8;
    /// Weight of the newest time in the mean and the variance of its kind.
    double newestWeight = 0.05;
    std::size_t maxProcesses = 2048; ///< per table
    std::size_t maxKinds = 512;
    std::size_t maxReporters = 4096;
};

/// @brief Sums by process that decay exponentially. Complexity: logarithmic in the processes unless said otherwise.
class DecayingLoads
{
public:
    // constructors
    explicit DecayingLoads(const LoadLimits &limits);

    // modifiers
    void add(const ServiceName &service, const std::string &process, const ProcessLoad &load, TimePoint now);
    /// @brief Adds all sums. Complexity: linear.
    void add(const LoadTable &loads, TimePoint now);
    void clear();
    /// @brief Forgets the processes without a recent attempt. Complexity: linear.
    void expire(TimePoint now);

    // observers
    std::optional<ProcessLoad> find(const ServiceName &service, const std::string &process, TimePoint now) const;
    /// @brief Sums over all processes of the service. Complexity: linear.
    ProcessLoad total(const ServiceName &service, TimePoint now) const;
    /// @brief The sums as of now. Complexity: linear.
    LoadTable table(TimePoint now) const;
    std::size_t size() const noexcept
    {
        return this->processes;
    }

private:
    struct Entry
    {
        AttemptSums sums; ///< as of updatedAt
        TimePoint updatedAt{};
        TimePoint newestAt{};
    };

    std::optional<ProcessLoad> loadOf(const Entry &entry, TimePoint now) const;

    LoadLimits limits;
    std::map<ServiceName, std::map<std::string, Entry>> entries;
    std::size_t processes = 0;
};

/**
 * @brief The load of the upstreams, from the attempts of this instance and of those that share a reader with it.
 *
 * An instance sends the sums of its ended attempts to the reader of its zone; the reader adds up what it is sent and
 * returns the result. Sums are sent again under the same number until an answer confirms them, so that a reader counts
 * them once. Without a recent answer, an instance uses its own sums.
 *
 * Complexity: logarithmic in the processes unless said otherwise.
 */
class LoadView
{
public:
    // constructors
    explicit LoadView(const LoadLimits &limits = {});

    // modifiers
    /// @brief Counts an attempt that has ended.
    void record(const UpstreamEntry &target, const AttemptSample &sample, TimePoint now);
    /// @brief The sums for the next poll of a reader. Complexity: linear.
    LoadReport report(TimePoint now);
    /// @brief Takes over a reader's sums. @param number of the report that they include. Complexity: linear.
    void apply(const LoadTable &offered, std::uint64_t number, TimePoint confirmedAt, TimePoint now);
    /// @brief As a reader, adds the sums of another instance, unless they were added before. Complexity: linear.
    void merge(const InstanceId &from, const LoadReport &report, TimePoint now);

    // observers
    /// @brief What is known of the entry's process; nothing without a recent attempt.
    std::optional<UpstreamCondition> condition(const UpstreamEntry &upstream, TimePoint now) const;
    /// @brief What is known of the service; no attempts when nothing is. Complexity: linear.
    ServiceLoad serviceLoad(const ServiceName &service, TimePoint now) const;
    /// @brief As a reader, the sums of this instance and of those that report to it. Complexity: linear.
    LoadTable gathered(TimePoint now) const;
    /// @brief Whether a reader's sums are in use.
    bool isShared(TimePoint now) const;
    /// @brief Whether another instance reported to this one lately. Complexity: linear in the reporters.
    bool hasReports(TimePoint now) const;
    /// @brief Number of processes in the view. Complexity: linear in the tables.
    std::size_t size(TimePoint now) const;

private:
    /// Response times of one kind of work.
    struct KindTimes
    {
        double mean = 0; ///< in ms
        double variance = 0; ///< of the relative times
        unsigned times = 0;
        TimePoint usedAt{};
    };
    struct Reporter
    {
        std::uint64_t number = 0; ///< of its latest report
        TimePoint reportedAt{};
    };

    /// Adds the time to the sums, and to the mean of its kind of work.
    void addTime(AttemptSums &sums, const AttemptSample &sample, TimePoint now);
    KindTimes &kindOf(const std::string &name, TimePoint now);
    void expire(TimePoint now);
    /// Calls the visitor with the tables that make up the view.
    void forEachTable(TimePoint now, const std::function<void(const DecayingLoads &)> &visit) const;

    LoadLimits limits;
    std::map<std::string, KindTimes> kinds;
    DecayingLoads own; ///< all attempts of this instance
    DecayingLoads unsent; ///< of these: not in a report yet
    DecayingLoads sent; ///< of these: in the latest report, which is not confirmed
    DecayingLoads shared; ///< the reader's sums
    DecayingLoads reported; ///< by the instances that ask this one
    DecayingLoads all; ///< own and reported; adding them up anew for each offer took too long
    std::uint64_t number = 0; ///< of the latest report
    std::optional<TimePoint> confirmedAt; ///< of the reader's sums
    std::map<InstanceId, Reporter> reporters;
    TimePoint expiredAt{};
};

} // namespace parsleyvane
