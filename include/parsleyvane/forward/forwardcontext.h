/**
 * @file
 * @brief What the forwarded requests of one instance share: beliefs about the fleet, budgets, connections.
 */
#pragma once

#include "parsleyvane/forward/connectionpool.h"
#include "parsleyvane/forward/decisionlog.h"
#include "parsleyvane/forward/platformport.h"
#include "parsleyvane/ingress/crashledger.h"
#include "parsleyvane/ingress/repeatbudget.h"
#include "parsleyvane/ingress/routetable.h"
#include "parsleyvane/ingress/sizechoice.h"
#include "parsleyvane/ingress/upstreamchoice.h"
#include "parsleyvane/ingress/upstreamlist.h"
#include "parsleyvane/ingress/versionshift.h"
#include "parsleyvane/net/metrics.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>

namespace parsleyvane {

/// @brief Where the instance stands.
enum class ForwardPhase {
    Starting, ///< no configuration or no list of upstreams yet
    Serving,
    Lingering, ///< a stop was asked for; the balancer may still send
    Finishing, ///< new requests that might not end in time are refused, those under way go on
};

/// @brief What this instance believes about the fleet, as of the store's last word.
struct FleetBeliefs
{
    std::shared_ptr<const RouteTable> table; ///< null before the first one
    TimePoint tableAt{}; ///< when it was read or last confirmed
    bool upstreamsKnown = false;
    UpstreamList upstreams{UpstreamListLimits()};
    TimePoint upstreamsAt{};
    std::map<ServiceName, VersionShift> shifts;
    CrashLedger crashes{CrashLimits()};
};

/// @brief State shared by the requests; belongs to the one thread of the I/O context.
struct ForwardContext
{
    boost::asio::io_context &io;
    PlatformPort &platform;
    Metrics &metrics;
    DecisionLog &log;
    ZoneId zone;
    FleetBeliefs beliefs;
    RepeatBudget budget{RepeatBounds()};
    ConnectionPool pool{PoolLimits()};
    SizeLimits sizes;
    /// @brief Moving average of the time to the largest model's first event, against its objective.
    std::map<ServiceName, double> loadLevel;
    std::mt19937_64 random{std::random_device()()};
    ForwardPhase phase = ForwardPhase::Starting;
    TimePoint stopsAt{}; ///< in the phase Finishing: when the last answers are broken off
    std::size_t inFlight = 0; ///< requests under way
    std::function<void()> evidenceChanged; ///< there is something to tell the other instances
};

/// @brief The shift of a service, made at its first use.
VersionShift &shiftOf(ForwardContext &context, const ServiceName &service);

} // namespace parsleyvane
