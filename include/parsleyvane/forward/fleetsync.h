/**
 * @file
 * @brief Keeps an instance's beliefs equal to the platform's store, and tells the other instances of its evidence.
 */
#pragma once

#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/ingress/fleetreport.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>

namespace parsleyvane {

/// @brief How the store is asked.
struct SyncLimits
{
    /// @brief The longest wait of one read for changes.
    Milliseconds wait{25000};
    /// @brief The same for the operator's table, whose reads show that the store is away for all of them.
    Milliseconds ordersWait{1000};
    /// @brief Changes of upstreams within this are read together: they come from each of them, and a call is priced.
    Milliseconds upstreamPace{500};
    Milliseconds fleetPace{400}; ///< the same for the rows of other instances
    Milliseconds firstRetry{100}; ///< after a failed call; doubles
    Milliseconds longestRetry{1000}; ///< well within the time in which a machine counts as in touch again
    Milliseconds publishPause{250}; ///< evidence that comes within this is written in one row
    Milliseconds tick{200}; ///< how often roll-outs and expiries are looked at
};

/**
 * @brief Reads the store's tables for as long as the process runs.
 *
 * Each table is read whole once, then by its changes; after a gap in the history whole again. While the store does not
 * answer, the last beliefs hold.
 */
class FleetSync
{
public:
    // constructors
    FleetSync(ForwardContext &context, InstanceId self, SyncLimits limits = {});

    // modifiers
    /// @brief Starts to read. @param configured called when the configuration or its limits changed
    void start(std::function<void()> configured);
    void setShiftLimits(const ShiftLimits &newLimits);
    /**
     * @brief Derives how often the store is asked from the deployment's bounds.
     * @param change until a change of the configuration is in force
     * @param leaving until an upstream that leaves gets nothing new
     */
    void setBounds(Milliseconds change, Milliseconds leaving);

private:
    /// One table's reading: how its rows are taken in.
    struct Reader
    {
        StoreTable table;
        std::string name; ///< in the log
        void (FleetSync::*whole)(const TableSnapshot &);
        void (FleetSync::*changes)(const TableSnapshot &);
    };

    boost::asio::awaitable<void> readLoop(Reader reader);
    boost::asio::awaitable<bool> readOnce(const Reader &reader, std::optional<std::uint64_t> &version,
                                          LastReason &reason);
    Milliseconds pace(StoreTable table) const;
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> publish();
    boost::asio::awaitable<void> steer(ServiceName service);
    boost::asio::awaitable<void> writeStatus(RolloutStatus status);
    void takeOrders(const TableSnapshot &snapshot);
    void takeAllUpstreams(const TableSnapshot &snapshot);
    void takeUpstreams(const TableSnapshot &snapshot);
    void takeStatus(const TableSnapshot &snapshot);
    void takeReports(const TableSnapshot &snapshot);
    void noteStore(const Reader &reader, bool answers, const std::string &detail);
    void noteTime(const TableSnapshot &snapshot);
    TimePoint localTime(Milliseconds storeTime) const;
    void logEvidence(const InstanceId &from, const VersionReport &version);
    FleetReport report() const;

    ForwardContext &context;
    InstanceId self;
    SyncLimits limits;
    ShiftLimits shiftLimits;
    std::function<void()> configured;
    std::map<std::string, bool> away; ///< by table: whether the store did not answer last time
    std::map<std::string, std::uint64_t> statusVersions; ///< of the rows of roll-outs, by key
    Milliseconds storeOffset{0}; ///< the store's steady clock less this machine's
    bool timeKnown = false;
    FleetReport published;
    bool publishing = false;
    bool publishAgain = false;
    std::map<ServiceName, bool> steering;
};

} // namespace parsleyvane
