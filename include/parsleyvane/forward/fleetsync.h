/**
 * @file
 * @brief Synchronises an instance's fleet view with the platform's store and publishes its evidence to the others.
 */
#pragma once

#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/ingress/fleetreport.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>

namespace parsleyvane {

/// @brief Intervals and delays of the store's reads and writes.
struct SyncLimits
{
    /// @brief Longest time that the store holds one long poll for changes open.
    Milliseconds longPollWait{25000};
    /// @brief The same for the operator's table; shorter, as its failed read reveals an outage and interrupts the
    /// others.
    Milliseconds ordersLongPollWait{1000};
    /// @brief Interval between reads of upstream changes. Each upstream writes its own row and each call has a price,
    /// so the changes of one interval are read together.
    Milliseconds upstreamReadInterval{500};
    Milliseconds fleetReadInterval{400}; ///< the same for the reports of other instances
    Milliseconds initialBackoff{100}; ///< after a failed call; doubles with each further one
    Milliseconds maxBackoff{1000}; ///< well below the time within which an instance must reconnect to a recovered store
    Milliseconds publishDelay{250}; ///< evidence gathered within this delay goes into one write
    Milliseconds tickInterval{200}; ///< between checks of roll-outs and expiries
};

/**
 * @brief Follows the store's tables for as long as the process runs.
 *
 * Each table is read in full once and then by its changes; after a gap in the history it is read in full again. While
 * the store is unreachable, the last known view is used.
 */
class FleetSync
{
public:
    // constructors
    FleetSync(ForwardContext &context, InstanceId self, SyncLimits limits = {});

    // modifiers
    /// @brief Starts the reads. @param configured called when a configuration was read
    void start(std::function<void()> configured);
    /// @brief Tells the others that this instance takes no more requests.
    void leave();
    void setShiftLimits(const ShiftLimits &newLimits);
    /**
     * @brief Derives the read intervals from the deployment's bounds.
     * @param changeBound time within which a configuration change must be in force
     * @param leavingBound time within which a deregistering upstream must get no new requests
     */
    void setBounds(Milliseconds changeBound, Milliseconds leavingBound);
    /// @brief Sets the gauges of the age of each table's last answer.
    void updateMetrics();

private:
    /// How the rows of one table are applied.
    struct Reader
    {
        StoreTable table;
        std::string name; ///< as logged
        void (FleetSync::*applyTable)(const TableSnapshot &);
        void (FleetSync::*applyChanges)(const TableSnapshot &);
    };

    /// The state of one table's reads.
    struct ReadState
    {
        TimePoint begunAt{}; ///< of the latest read
        Milliseconds wait{0}; ///< how long the latest read lets the store wait for changes
        std::optional<TimePoint> answeredAt; ///< of the latest answer
        bool isUnreachable = false; ///< the latest read failed
    };

    boost::asio::awaitable<void> readLoop(Reader reader);
    boost::asio::awaitable<bool> readOnce(const Reader &reader, std::optional<std::uint64_t> &version,
                                          LastReason &reason);
    Milliseconds readInterval(StoreTable table) const;
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> publish();
    boost::asio::awaitable<void> advanceRollout(ServiceName service);
    boost::asio::awaitable<void> startRollout(RolloutOrder order);
    boost::asio::awaitable<void> endRollout(RolloutOrder order);
    void evaluateVersion(const RolloutOrder &order);
    Milliseconds writeDelay();
    boost::asio::awaitable<void> writeStatus(RolloutStatus status);
    void applyOrders(const TableSnapshot &snapshot);
    void replaceUpstreams(const TableSnapshot &snapshot);
    void applyUpstreamChanges(const TableSnapshot &snapshot);
    void applyStatus(const TableSnapshot &snapshot);
    void mergeReports(const TableSnapshot &snapshot);
    void updateReachability(const Reader &reader, bool answers, const std::string &detail);
    void updateClockOffset(const TableSnapshot &snapshot);
    TimePoint localTime(Milliseconds storeTime) const;
    Milliseconds storeTimeNow() const;
    void mergeLimits(const std::map<InstanceId, LimitReport> &reports);
    void logBlocks();
    void logEvidence(const InstanceId &from, const VersionReport &version);
    FleetReport report() const;

    ForwardContext &context;
    InstanceId self;
    SyncLimits limits;
    ShiftLimits shiftLimits;
    std::function<void()> configured;
    std::map<std::string, ReadState> readStates; ///< by the table's name
    std::map<std::string, std::uint64_t> statusVersions; ///< row versions of the roll-out statuses, by key
    Milliseconds storeClockOffset{0}; ///< the store's steady clock minus this machine's
    bool isClockOffsetKnown = false;
    Milliseconds latestStoreTime{0}; ///< of the store's latest answer
    FleetReport published;
    bool isOwnReportKnown = false; ///< what this instance published before a restart was read, or it has published
    bool publishing = false;
    bool publishPending = false;
    std::map<ServiceName, bool> advancingRollouts;
};

} // namespace parsleyvane
