/**
 * @file
 * @brief State shared by the request flows of one instance.
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

/// @brief An attempt in flight at an upstream, as a candidate for an interruption.
struct ActiveAttempt
{
    UpstreamId upstream;
    bool resumable = false;
    bool running = false; ///< the response head was received, so the engine runs it
    bool interrupted = false;
    unsigned interruptions = 0; ///< earlier interruptions of its request
    TimePoint startedAt{}; ///< when the response head was received
    HttpCall *call = nullptr;
};

/// @brief Requests other instances to interrupt up to `count` resumable attempts at an upstream.
using SlotRequest = std::function<void(const UpstreamId &upstream, const AccountId &account, unsigned count)>;

/// @brief State shared by the request flows; used only on the thread of the I/O context.
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
    SlotRequest requestSlotsFromPeers;
    /// @brief Requests in flight at this instance.
    std::size_t inFlight = 0;
};

/// @brief The engine's slots, load and attempts of this instance, as input of the priority policy. Complexity: linear
/// in the active attempts.
EngineCapacity engineCapacity(const RouterContext &context, const UpstreamId &upstream);

/// @brief Interrupts an attempt; its request resumes later at its offset. No effect when the attempt has ended.
void interruptAttempt(RouterContext &context, const AttemptId &attempt);

/**
 * @brief Interrupts up to `count` resumable attempts at the upstream, chosen by the priority policy.
 *
 * Complexity: linear in the active attempts, for each interruption.
 * @return how many were interrupted
 */
unsigned interruptResumable(RouterContext &context, const UpstreamId &upstream, unsigned count);

/// @brief The upstream's address. @param reason NoCapacity when it is no longer configured
std::optional<boost::asio::ip::tcp::endpoint> endpointOf(const Blackboard &blackboard, const UpstreamId &id,
                                                         LastReason &reason);

/// @brief Excludes an upstream from new work of this instance for one second, after a failure or a refusal.
void avoidUpstream(RouterContext &context, const UpstreamId &id);

/// @brief Counts a request in flight at an upstream for the lifetime of the guard.
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
