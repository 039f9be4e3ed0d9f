/**
 * @file
 * @brief Moves a service's traffic to a new version by the operator's order, and backs out of a bad one.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "parsleyvane/ingress/pacetest.h"
#include "parsleyvane/rollout/versionjudge.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief The operator's order.
struct RolloutOrder
{
    ServiceName service;
    VersionName to;
    Milliseconds duration{0};
    std::uint64_t number = 0; ///< rises with each order

    friend bool operator==(const RolloutOrder &, const RolloutOrder &) = default;
};

/// @brief How far a roll-out is.
enum class RolloutState { Running, Completed, RolledBack };

/// @brief What the instances have agreed on, in one row.
struct RolloutStatus
{
    ServiceName service;
    VersionName to;
    RolloutState state = RolloutState::Running;
    std::uint64_t order = 0; ///< number of the order it belongs to
    Milliseconds startedAt{0}; ///< on the store's clock

    friend bool operator==(const RolloutStatus &, const RolloutStatus &) = default;
};

/// @brief Answers on one route since the order came; they only rise.
struct RouteAnswers
{
    AnswerCounts candidate;
    AnswerCounts predecessor;

    friend bool operator==(const RouteAnswers &, const RouteAnswers &) = default;
};

/// @brief What one instance has seen of a new version.
struct VersionReport
{
    ServiceName service;
    VersionName version;
    std::map<RouteName, RouteAnswers> routes;
    PaceEvidence firstEventEvidence; ///< from times to the first event
    PaceEvidence latencyEvidence; ///< from pauses between events, and times of whole answers

    friend bool operator==(const VersionReport &, const VersionReport &) = default;
};

/// @brief Tunable values of VersionShift.
struct ShiftLimits
{
    /// @brief Most of the service's requests that a bad version may get; set from the deployment's bound.
    double maxExposedShare = 0.15;
    /// What the new version gets of requests without a session before sessions may move, against maxExposedShare.
    double earlyShare = 1;
    /// What it gets from then on while it is watched: that lasts a fifth of the order's time, so that a bad version
    /// that is noticed last has two thirds of its bound.
    double watchedShare = 3;
    /// Sessions may change to the new version from half of the order's time on; a little later, as clocks are read
    /// late.
    double watchBegin = 0.51;
    double rampBegin = 0.72; ///< the new version's part rises from here on
    double rampEnd = 0.84; ///< all requests go to the new version from here on
    double settle = 0.92; ///< most answers of the old version have ended, and completion is written
    Milliseconds sessionIdleTimeout{5000}; ///< requests of a session that follow each other within this belong together
    double falseHalts = 0.0005; ///< chance that a good version is backed out, by each of the tests
    /// How long merged evidence of slowness must last before it counts: what speaks against it may still be on its way.
    Milliseconds confirmTime{400};
};

/**
 * @brief One service's versions. Complexity: logarithmic in the sessions kept.
 *
 * A part of the requests goes to the new version while its answers are compared with the old one's; later the part
 * rises to all of them. Requests of sessions stay at the old version for the first half of the order's time, since a
 * session may have begun there at any instance; then they are placed by a hash of the session against that part, which
 * only rises, so that no instance moves a session back.
 */
class VersionShift
{
public:
    // constructors
    explicit VersionShift(ShiftLimits limits = {});

    // modifiers
    void setLimits(const ShiftLimits &newLimits);
    /// @brief The operator gave an order. @return whether it is a new one
    bool onOrder(const RolloutOrder &newOrder);
    /// @brief The agreed row. @param startedAt its start on this instance's clock
    void onStatus(const RolloutStatus &newStatus, TimePoint startedAt);
    /// @brief Chooses the version for a request and remembers it for the session.
    bool routesToCandidate(const std::string &session, double draw, TimePoint now);
    /// @brief An answer was given. @param candidate by the new version @param good whether it is what was asked for
    void onAnswer(const RouteName &route, bool candidate, bool good);
    /// @brief How long an answer of a kind of work took. Outside a roll-out all answers tell what is usual; within one
    /// they count only while the new version is watched, since the load of both changes once traffic moves.
    /// @param sentAt when the request was sent
    void onLatency(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt);
    /// @brief How long an answer took to begin, which also depends on how long its upstream's queue is; as onLatency().
    void onTimeToFirstEvent(bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt);
    /// @brief What another instance has seen.
    void merge(const InstanceId &from, const VersionReport &report);
    /// @brief Looks at all evidence; once the version is found bad, it stays so. Each route is judged by itself too,
    /// since a version may fail on one only, and another may fail by itself. Complexity: instances by routes.
    /// @return why the version is bad, at the moment that this is found
    std::optional<std::string> evaluate(TimePoint now);
    /// @brief Forgets sessions that are over. Complexity: linear.
    void expire(TimePoint now);

    // observers
    const std::optional<RolloutOrder> &order() const noexcept
    {
        return this->current;
    }
    /// @brief The agreed state of the current order; empty before anyone wrote it.
    std::optional<RolloutState> state() const noexcept;
    /// @brief Whether requests may go to this version at all.
    bool allows(const VersionName &version, bool candidate) const;
    /// @brief Whether the version was found bad here.
    bool isBad() const noexcept
    {
        return this->bad;
    }
    /// @brief Part of the order's time that has passed, from 0; empty when no order runs.
    std::optional<double> progress(TimePoint now) const;
    /// @brief Whether completion may be written now.
    bool mayComplete(TimePoint now) const;
    /// @brief Whether this instance has evidence worth telling the others.
    bool hasEvidence() const noexcept;
    /// @brief What this instance has seen.
    VersionReport report() const;
    const ShiftLimits &shiftLimits() const noexcept
    {
        return this->limits;
    }

private:
    struct Seen
    {
        bool candidate = false;
        TimePoint at{};
    };

    double share(TimePoint now) const;
    VersionReport totals() const;
    std::optional<std::string> judgeAnswers(const std::map<RouteName, RouteAnswers> &routes);
    bool hasPaceEvidence() const noexcept;
    void compare(PaceTest &test, bool candidate, const std::string &kind, Milliseconds took, TimePoint sentAt);
    bool looksSlow(const VersionReport &sum) const;
    std::optional<std::string> judgePace(const VersionReport &sum, TimePoint now);

    ShiftLimits limits;
    std::optional<RolloutOrder> current;
    std::optional<RolloutStatus> status;
    TimePoint startedAt{};
    std::map<std::string, Seen> sessions;
    std::map<RouteName, RouteAnswers> own;
    std::map<InstanceId, VersionReport> others;
    PaceTest startTest;
    PaceTest paceTest;
    std::optional<TimePoint> slowSince; ///< the merged evidence says slow since then
    VersionJudge allRoutes;
    std::map<RouteName, VersionJudge> eachRoute;
    bool bad = false;
};

} // namespace parsleyvane
