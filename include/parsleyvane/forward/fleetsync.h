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
    WatchLimits watch;
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
    /// @brief Derives the waits of the reads from the deployment's bounds.
    void setBounds(const WatchBounds &bounds);
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

    boost::asio::awaitable<void> readLoop(Reader reader);
    /// Reads once and applies the answer. Returns the pause until the next read.
    boost::asio::awaitable<Milliseconds> readOnce(const Reader &reader, LastReason &reason);
    Milliseconds onReadFailed(StoreTable table);
    /// After a restore of the store, has all tables read in full and this instance's report written again.
    void updateEra();
    /// Whether the full read is the table's first one since the store was restored.
    bool isRestored(StoreTable table, const TableSnapshot &snapshot) const;
    /// Ends the pending reads that must be repeated.
    void interruptReads();
    boost::asio::awaitable<void> tickLoop();
    boost::asio::awaitable<void> publish();
    boost::asio::awaitable<void> advanceRollout(ServiceName service);
    boost::asio::awaitable<void> startRollout(RolloutOrder order);
    boost::asio::awaitable<void> endRollout(RolloutOrder order);
    /// Whether the store lacks the agreed state of the service's order.
    bool isStatusMissing(const ServiceName &service) const;
    /// Writes the agreed state of an order that the store lacks.
    boost::asio::awaitable<void> restoreStatus(RolloutOrder order);
    void evaluateVersion(const RolloutOrder &order);
    Milliseconds writeDelay();
    boost::asio::awaitable<void> writeStatus(RolloutStatus status);
    void applyOrders(const TableSnapshot &snapshot);
    void replaceUpstreams(const TableSnapshot &snapshot);
    void applyUpstreamChanges(const TableSnapshot &snapshot);
    void replaceStatus(const TableSnapshot &snapshot);
    void applyStatus(const TableSnapshot &snapshot);
    void mergeReports(const TableSnapshot &snapshot);
    /// Logs whether the table was lost or regained, and tells the list of upstreams.
    void updateReachability(const Reader &reader, bool wasReachable, std::optional<TimePoint> lastAnswer,
                            const std::string &detail);
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
    StoreWatch watch;
    std::vector<Reader> readers;
    std::map<StoreTable, std::uint64_t> readEras; ///< era of each table's latest full read
    std::map<ServiceName, std::uint64_t> orderEras; ///< era in which the current order was last read
    std::map<ServiceName, RolloutStatus> recordedStatus; ///< as last read from the store, or written
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
