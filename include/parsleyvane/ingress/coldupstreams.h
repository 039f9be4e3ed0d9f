/**
 * @file
 * @brief Keeps the requests of all instances together within what upstreams tolerate while they are cold.
 */
#pragma once

#include "parsleyvane/ingress/routetable.h"
#include "parsleyvane/ingress/upstreamlist.h"

#include <map>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief The bound on the requests that reach a cold upstream.
struct ColdBounds
{
    /// Within any second: the rate that the upstream tolerates times factor, plus slack, in requests.
    double factor = 1;
    double slack = 0;
};

/// @brief Tunable values of ColdUpstreams.
struct ColdLimits
{
    Milliseconds slot{250}; ///< a permit is valid for one slot
    double maxExcessProbability = 1e-5; ///< that all instances together exceed the bound within one second
};

/**
 * @brief The permits rate at which all instances together stay within the allowed number in any second.
 *
 * The permits of many independent instances are Poisson-distributed. A second touches as many slots as fit into it, and
 * one more. Complexity: a few thousand steps.
 */
RequestRate permitRate(RequestRate tolerated, const ColdBounds &bounds, const ColdLimits &limits);

/**
 * @brief The upstreams that are cold, and this instance's permits to send them requests.
 *
 * The instances agree on nothing: in each slot, an instance has a permit for a process with a probability that makes
 * the permits of all instances together the rate that the upstream tolerates. The shares of UpstreamLimiter take
 * seconds to agree on; an upstream is cold for about as long. A permit that is not used in its slot is lost, since
 * permits of many instances that were saved could be used at the same moment. Complexity: logarithmic in the upstreams
 * unless said otherwise.
 */
class ColdUpstreams
{
public:
    // constructors
    explicit ColdUpstreams(ColdLimits limits = {});

    // modifiers
    /// @brief Names this instance; its permits differ from those of the others.
    void setSelf(const InstanceId &instance);
    void setBounds(const ColdBounds &newBounds);
    /// @brief Sets the number of instances that share the rate; without it, or with 0, there are no permits.
    void setInstances(std::size_t number);
    /// @brief Applies a registration. @param isNew it was not in the first full list
    void onRegistered(const UpstreamEntry &entry, bool isNew, TimePoint now);
    /// @brief Records how much longer the process is cold, as it reported.
    void onReported(const UpstreamEntry &entry, Milliseconds remaining, TimePoint now);
    /// @brief A connection to the process failed or broke: it may have been restarted under the same id.
    void onConnectionLost(const UpstreamEntry &entry, TimePoint now);
    /// @brief The zone is no longer evacuated: its upstreams may have cooled down meanwhile.
    void onZoneReturned(const ZoneId &zone, TimePoint now);
    /// @brief Removes what is older than an hour. Complexity: linear.
    void expire(TimePoint now);
    /// @brief Takes the permit of this slot for one request. @return whether the upstream may get it; always for a warm
    /// one
    bool take(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now);
    /// @brief Takes a permit again when that of an earlier slot has not been used. @return as take()
    bool renew(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint takenAt, TimePoint now);
    /// @brief Returns the permit of a request that was not sent.
    void giveBack(const UpstreamEntry &entry, TimePoint now);

    // observers
    /// @brief Number of requests that a cold upstream may get within a second; 0 for a service without a cold phase.
    double allowed(const ColdStart &coldStart) const;
    bool isCold(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now) const;
    /// @brief Whether take() would succeed.
    bool permits(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now) const;
    /// @brief Time until the next slot with a permit, or until the upstream is warm; zero when take() would succeed.
    Milliseconds untilPermitted(const UpstreamEntry &entry, const ColdStart &coldStart, TimePoint now) const;

private:
    struct State
    {
        TimePoint coldUntil{}; ///< as the process reported
        std::optional<TimePoint> startedAt; ///< when it may have started; it is cold for the service's time from then
        std::int64_t usedSlot = -1; ///< the slot of the latest permits
        unsigned used = 0; ///< permits used in that slot
    };

    std::int64_t slotAt(TimePoint now) const;
    /// Number of permits in a slot.
    unsigned permitsIn(std::int64_t slot, const std::string &process, const ColdStart &coldStart) const;
    unsigned usedIn(std::int64_t slot, const std::string &process) const;
    TimePoint coldUntil(const UpstreamEntry &entry, const ColdStart &coldStart) const;

    ColdLimits limits;
    ColdBounds bounds;
    InstanceId self;
    std::size_t instances = 0;
    std::map<std::string, State> processes; ///< by processName()
    std::map<ZoneId, TimePoint> returnedZones;
    mutable std::map<double, RequestRate> permitRates; ///< by tolerated rate, computed once
};

} // namespace parsleyvane
