/**
 * @file
 * @brief State that the forwarded requests of one instance share: the fleet view, retry budget and connections.
 */
#pragma once

#include "parsleyvane/forward/answermemory.h"
#include "parsleyvane/forward/connectionpool.h"
#include "parsleyvane/forward/decisionlog.h"
#include "parsleyvane/forward/platformport.h"
#include "parsleyvane/ingress/admissioncontrol.h"
#include "parsleyvane/ingress/coldupstreams.h"
#include "parsleyvane/ingress/crashledger.h"
#include "parsleyvane/ingress/evacuatedzones.h"
#include "parsleyvane/ingress/hedgepolicy.h"
#include "parsleyvane/ingress/loadview.h"
#include "parsleyvane/ingress/modelchoice.h"
#include "parsleyvane/ingress/prefixdemand.h"
#include "parsleyvane/ingress/repeatbudget.h"
#include "parsleyvane/ingress/routetable.h"
#include "parsleyvane/ingress/sizechoice.h"
#include "parsleyvane/ingress/speedsteps.h"
#include "parsleyvane/ingress/upstreamchoice.h"
#include "parsleyvane/ingress/upstreamlimiter.h"
#include "parsleyvane/ingress/upstreamlist.h"
#include "parsleyvane/ingress/versionshift.h"
#include "parsleyvane/net/metrics.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>

namespace parsleyvane {

/// @brief Phase of the life cycle of an instance.
enum class ForwardPhase {
    Starting, ///< no configuration or no list of upstreams yet
    Serving,
    Lingering, ///< a stop was requested; the balancer may still send requests
    Finishing, ///< new requests that might not end in time are refused; those in flight continue
};

/// @brief This instance's view of the fleet, from the latest answers of the store.
struct FleetView
{
    std::shared_ptr<const RouteTable> table; ///< null until the first configuration is read
    TimePoint tableConfirmedAt{}; ///< when the table was read or last confirmed
    bool upstreamsKnown = false;
    UpstreamList upstreams{UpstreamListLimits()};
    TimePoint upstreamsReadAt{};
    std::map<ServiceName, VersionShift> shifts;
    CrashLedger crashes{CrashLimits()};
    UpstreamLimiter upstreamLimiter{UpstreamLimiterLimits()};
    ColdUpstreams coldUpstreams{ColdLimits()};
    EvacuatedZones evacuatedZones;
    LoadView load{LoadLimits()};
};

/// @brief State shared by the requests; used only on the single thread of the I/O context.
struct ForwardContext
{
    boost::asio::io_context &io;
    PlatformPort &platform;
    Metrics &metrics;
    DecisionLog &log;
    ZoneId zone;
    std::map<ZoneId, RegionId> regions; ///< of the availability zones
    FleetView fleetView;
    RepeatBudget budget{RepeatBounds()};
    bool controlsAdmission = false; ///< otherwise the admission control is neither told nor asked anything
    AdmissionControl admission{AdmissionLimits()};
    HedgePolicy hedges{HedgeLimits()};
    ConnectionPool pool{PoolLimits()};
    AnswerMemory answerMemory{AnswerMemoryLimits()};
    SizeLimits sizes;
    bool learnsFirstModel = false; ///< otherwise a cascade begins with the smallest model
    ModelChoice modelChoice{ModelChoiceLimits()};
    bool replicasByDemand = false; ///< otherwise the number of a prefix's replicas depends on its length
    PrefixDemand prefixDemand{PrefixDemandLimits()};
    SpeedSteps speedSteps{SpeedStepLimits()}; ///< weights among a prefix's replicas
    /// @brief Load level by service: moving average of the largest model's time to first event, divided by its
    /// objective.
    std::map<ServiceName, double> loadLevels;
    std::mt19937_64 random{std::random_device()()};
    bool sharesLoad = false; ///< whether the fleet view's load is exchanged with the other instances and chosen by
    ForwardPhase phase = ForwardPhase::Starting;
    TimePoint stopsAt{}; ///< in the phase Finishing: when answers still in flight are aborted
    std::size_t inFlight = 0; ///< requests in flight
    std::function<void()> evidenceChanged; ///< called when there is new evidence to publish to the other instances
};

/// @brief Version shift of a service, created on first use.
VersionShift &shiftOf(ForwardContext &context, const ServiceName &service);

} // namespace parsleyvane
