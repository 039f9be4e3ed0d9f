/**
 * @file
 * @brief Shifts a service's traffic to a new version on the operator's order, and rolls back a bad one.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "parsleyvane/ingress/pacetest.h"
#include "parsleyvane/rollout/versionjudge.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief The operator's order to move a service to a new version.
struct RolloutOrder
{
    ServiceName service;
    VersionName to;
    Milliseconds duration{0};
    std::uint64_t number = 0; ///< increases with each order

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// @brief Agreed state of a roll-out.
enum class RolloutState { Running, Completed, RolledBack };

/// @brief The state's name in logs.
std::string_view rolloutStateName(RolloutState state);

/// @brief State of a roll-out that all instances agree on, stored in one row.
struct RolloutStatus
{
    ServiceName service;
    VersionName to;
    RolloutState state = RolloutState::Running;
    std::uint64_t order = 0; ///< RolloutOrder::number
    Milliseconds startedAt{0}; ///< by the store's clock

    friend bool operator==(const RolloutStatus &, const RolloutStatus &) = default;
};

/// @brief What a choice of version depends on besides time.
struct RolloutPhase
{
    std::optional<std::uint64_t> order; ///< RolloutOrder::number; empty without an order
    std::optional<RolloutState> state;
    bool isBad = false; ///< this instance found the new version bad

    friend bool operator==(const RolloutPhase &, const RolloutPhase &) = default;
};

/// @brief Answers on one route since the order was received; the counters never decrease.
struct RouteAnswers
{
    AnswerCounts candidate;
    AnswerCounts predecessor;

    friend bool operator==(const RouteAnswers &, const RouteAnswers &) = default;
};

/// @brief One instance's measurements of a new version.
struct VersionReport
{
    ServiceName service;
    VersionName version;
    std::map<RouteName, RouteAnswers> routes;
    PaceEvidence firstEventEvidence; ///< from the time to the first event
    PaceEvidence latencyEvidence; ///< from the inter-event latency of streams and the duration of other answers
    /// RolloutOrder::number; empty in the reports of instances that do not send it
    std::optional<std::uint64_t> order = {};

    friend bool operator==(const VersionReport &, const VersionReport &) = default;
};

/// @brief Tunable values of VersionShift.
struct ShiftLimits
{
    /// @brief Maximum share of the service's requests that a bad version may get; set from the deployment's bound.
    double maxExposedShare = 0.15;
    /// Share of the requests without a session that the new version gets before sessions may move, as a multiple of
    /// exposeShare.
    double earlyExposureFactor = 1;
    /// Share of all requests that it gets from watchBegin to rampBegin, as a multiple of exposeShare. This phase lasts
    /// a fifth of the order's duration, so a bad version that is detected at its end has used two thirds of its bound.
    double watchedExposureFactor = 3;
    /// Sessions may move to the new version in the second half of the order's duration; the margin above 0.5 covers
    /// clocks that are read late.
    double watchBegin = 0.51;
    double rampBegin = 0.72; ///< the new version's share rises from here on
    double rampEnd = 0.84; ///< all requests go to the new version from here on
    double completionBegin = 0.92; ///< completion is written; by then most answers of the old version have ended
    Milliseconds sessionIdleTimeout{5000}; ///< idle time after which a session has ended
    double falseRollbackProbability = 0.0005; ///< false positive rate of each test: a good version is rolled back
    /// How long the merged evidence must show a slow version before it is rolled back; reports that contradict it may
    /// still be in flight.
    Milliseconds confirmTime{400};
};

/**
 * @brief Divides one service's requests between two versions. Complexity: logarithmic in the sessions kept.
 *
 * The new version (the candidate) first gets a limited share of the requests while its answers are compared with those
 * of the old one (the predecessor); later its share rises to all requests. Requests of sessions stay at the old version
 * for the first half of the order's duration, since the session may have begun there at another instance. After that
 * the candidate gets the sessions whose hash is below its share. The share never decreases, so no instance moves a
 * session back.
 *
 * A version that was rolled back gets no requests under later orders either, until it is ordered again: its upstreams
 * may still be registered then, and would count as those of the predecessor.
 */
class VersionShift
{
public:
    // constructors
    explicit VersionShift(ShiftLimits limits = {});

    // modifiers
    void setLimits(const ShiftLimits &newLimits);
    /// @brief Starts a roll-out and discards the evidence of the one before. @return whether the order is a new one
    bool onOrder(const RolloutOrder &newOrder);
    /// @brief Applies an order that was read after the store was restored from a copy: the current one may have a new
    /// number now, and the one before it may be in its place until the operator has written it again.
    /// @return whether it is a new order
    bool onRestoredOrder(const RolloutOrder &restored);
    /// @brief Applies the agreed state; one that takes back a decision is ignored. One of an older order only decides
    /// whether that order's version may serve as predecessor.
    /// @param startedAt start of the roll-out by this instance's clock
    void onStatus(const RolloutStatus &newStatus, TimePoint startedAt);
    /// @brief Chooses the version for a request and remembers it for the session.
    /// @param randomValue uniform in [0, 1), used for a request without a session
    /// @return whether the new version gets the request
    bool routesToCandidate(const std::string &session, double randomValue, TimePoint now);
    /// @brief Counts an answer. @param candidate isCandidate() of its upstream's version @param good whether it
    /// succeeded
    void onAnswer(const RouteName &route, bool candidate, bool good);
    /// @brief Adds a latency sample: the duration of an answer, or a multiple of its stream's inter-event latency.
    /// Outside a roll-out all samples go into the predecessor's baseline. Within one, samples from rampBegin on are
    /// ignored, since the load of both versions changes once traffic moves.
    /// @param kind kind of work; only samples of the same kind are compared
    /// @param sentAt when the request was sent
    void onLatency(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt);
    /// @brief Adds a sample of the time to the first event, which includes queueing at the upstream; otherwise as
    /// onLatency().
    void onTimeToFirstEvent(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt);
    /// @brief Replaces the report of another instance; one about another version or order is ignored, and so is one
    /// with fewer answers than are known: reports may arrive by several ways.
    void merge(const InstanceId &from, const VersionReport &report);
    /// @brief Whether others have evidence against the version, so that evidence for it counts too.
    void setEvidenceWanted(bool isWanted) noexcept
    {
        this->isEvidenceWanted = isWanted;
    }
    /// @brief Evaluates the merged evidence; a version that is found bad stays so. Each route is also tested
    /// separately: a version may fail on one route only, while another route fails with either version. Complexity:
    /// instances times routes.
    /// @return why the version is bad, only from the call that finds it
    std::optional<std::string> evaluate(TimePoint now);
    /// @brief Removes sessions that have ended. Complexity: linear.
    void expire(TimePoint now);

    // observers
    const std::optional<RolloutOrder> &order() const noexcept
    {
        return this->current;
    }
    /// @brief Whether a status records the agreed state of the current order.
    bool isRecordedBy(const RolloutStatus &recorded) const;
    /// @brief The agreed state of the current order, and the start of the roll-out by this instance's clock.
    std::optional<std::pair<RolloutState, TimePoint>> agreed() const;
    /// @brief The agreed state of the current order; empty until an instance has written it.
    std::optional<RolloutState> state() const noexcept;
    RolloutPhase phase() const noexcept;
    /// @brief Whether an upstream of this version may serve a request; always true without an order.
    /// @param candidate whether routesToCandidate() assigned the request to the new version
    bool allows(const VersionName &version, bool candidate) const;
    /// @brief Whether a version is excluded because its latest order was rolled back. Complexity: linear in the
    /// versions that were ordered.
    bool excludesVersions() const;
    /// @brief Whether it is the version that the current order rolls out. An attempt may have been sent under an
    /// earlier order, or none.
    bool isCandidate(const VersionName &version) const noexcept
    {
        return this->current && version == this->current->to;
    }
    /// @brief Whether this instance found the new version bad.
    bool isBad() const noexcept
    {
        return this->bad;
    }
    /// @brief Elapsed fraction of the order's duration, 0 or more; empty when no roll-out is running.
    std::optional<double> progress(TimePoint now) const;
    /// @brief Whether the roll-out may be recorded as completed now.
    bool mayComplete(TimePoint now) const;
    /// @brief Whether this instance's evidence is strong enough to be sent to the other instances.
    bool hasEvidence() const noexcept;
    VersionReport report() const;
    /// @brief The sum of report() and the reports of other instances. Complexity: instances times routes.
    VersionReport totals() const;
    const ShiftLimits &shiftLimits() const noexcept
    {
        return this->limits;
    }

private:
    struct SessionPlacement
    {
        bool candidate = false;
        TimePoint lastRequestAt{};
    };

    /// The latest order of a version, with the agreed state.
    struct VersionOutcome
    {
        std::uint64_t order = 0; ///< RolloutOrder::number
        RolloutState state = RolloutState::Running;
    };

    double candidateShare(TimePoint now) const;
    void recordOutcome(const VersionName &version, const VersionOutcome &outcome);
    bool isRolledBack(const VersionName &version) const;
    std::optional<std::string> evaluateAnswers(const std::map<RouteName, RouteAnswers> &routes);
    bool hasLatencyEvidence() const noexcept;
    void addSample(PaceTest &test, bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt);
    bool looksSlow(const VersionReport &sum) const;
    std::optional<std::string> evaluateLatency(const VersionReport &sum, TimePoint now);

    ShiftLimits limits;
    std::optional<RolloutOrder> current;
    std::optional<RolloutOrder> previous;
    std::map<VersionName, VersionOutcome> outcomes; ///< also of earlier orders
    std::optional<RolloutStatus> status;
    TimePoint startedAt{};
    std::map<std::string, SessionPlacement> sessions;
    std::map<RouteName, RouteAnswers> ownAnswers;
    std::map<InstanceId, VersionReport> otherReports;
    PaceTest firstEventTest;
    PaceTest latencyTest;
    std::optional<TimePoint> slowSince; ///< since when the merged evidence shows a slow version
    VersionJudge overallJudge;
    std::map<RouteName, VersionJudge> routeJudges;
    bool bad = false;
    bool isEvidenceWanted = false;
};

} // namespace parsleyvane
