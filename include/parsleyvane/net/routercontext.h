/**
 * @file
 * @brief What the flows of requests share inside one instance.
 */
#pragma once

#include "parsleyvane/cascade/cascadecontroller.h"
#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/net/billwriter.h"
#include "parsleyvane/net/evidenceboard.h"
#include "parsleyvane/net/httpclient.h"
#include "parsleyvane/net/metrics.h"
#include "parsleyvane/net/platformclient.h"
#include "parsleyvane/priority/prioritypolicy.h"
#include "parsleyvane/retry/attempts.h"
#include "parsleyvane/routing/placement.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>

namespace parsleyvane {

/// @brief An attempt whose answer is streaming, as far as it may be interrupted.
struct ActiveAttempt
{
    UpstreamId upstream;
    bool resumable = false;
    bool running = false; ///< the engine has begun to run it
    bool interrupted = false;
    unsigned interruptions = 0; ///< of its request, before
    TimePoint startedAt{}; ///< when the engine began to run it
    HttpCall *call = nullptr;
};

/// @brief Asks other instances to interrupt resumable work at an upstream.
using RoomRequest = std::function<void(const UpstreamId &upstream, const AccountId &account, unsigned count)>;

/// @brief State shared by the flows; belongs to the one thread of the I/O context.
struct RouterContext
{
    boost::asio::io_context &io;
    Blackboard &blackboard;
    const PlatformClient &platform;
    BillWriter &bills;
    Metrics &metrics;
    EvidenceBoard &evidence;
    Placement placement;
    CascadeController cascade;
    PriorityPolicy priority;
    RetryBudget retryBudget;
    CallLimits upstreamLimits;
    std::map<AttemptId, ActiveAttempt> active;
    RoomRequest requestSlotsFromPeers;
    /// @brief Requests under way at this instance.
    std::size_t inFlight = 0;
};

/// @brief The upstream as the priority policy sees it. Complexity: linear in the active attempts.
EngineCapacity roomAt(const RouterContext &context, const UpstreamId &upstream);

/// @brief Interrupts an attempt, whose request goes on later from where it stopped; nothing when it has ended.
void interruptAttempt(RouterContext &context, const AttemptId &attempt);

/**
 * @brief Interrupts up to `count` resumable attempts at the upstream, as the priority policy chooses them.
 *
 * Complexity: linear in the active attempts, for each interruption.
 * @return how many were interrupted
 */
unsigned interruptResumable(RouterContext &context, const UpstreamId &upstream, unsigned count);

/// @brief The upstream's address. @param reason NoCapacity when it is no longer configured
std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const Blackboard &blackboard, const UpstreamId &id,
                                                         LastReason &reason);

/// @brief Keeps new work of this instance from an upstream for a second after it failed or refused.
void avoidUpstream(RouterContext &context, const UpstreamId &id);

/// @brief Counts a request at an upstream for as long as it lives.
class InFlightGuard
{
public:
    // constructors
    InFlightGuard(Blackboard &blackboard, UpstreamId id);
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;
    ~InFlightGuard();

private:
    Blackboard &blackboard;
    UpstreamId id;
};

} // namespace parsleyvane
