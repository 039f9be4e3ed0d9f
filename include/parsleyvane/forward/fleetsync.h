/**
 * @file
 * @brief Synchronises an instance's fleet view with the platform's store and publishes its evidence to the others.
 */
#pragma once

#include "parsleyvane/forward/forwardcontext.h"
#include "parsleyvane/forward/storerelay.h"
#include "parsleyvane/ingress/fleetreport.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace parsleyvane {

/// @brief Intervals and delays of the store's reads and writes.
struct SyncLimits
{
    WatchLimits watch;
    Milliseconds publishDelay{250}; ///< evidence gathered within this delay goes into one write
    Milliseconds gatherDelay{500}; ///< the same for evidence that is gathered from other instances
    Milliseconds tickInterval{200}; ///< between checks of roll-outs and expiries
    Milliseconds membersDelay{
        500}; ///< at the fleet's first start, from an instance's own row until it reads the others'
    Milliseconds membersInterval{20000}; ///< between reads of the members by those that read for themselves
};

/// @brief How an instance meets the others of its zone.
struct RelaySettings
{
    std::string address; ///< IP:PORT for other instances
    double processorShare = 0;
    std::vector<ZoneId> zones; ///< of the deployment
    bool isFirstStart = false; ///< of the whole fleet
};

/**
 * @brief Follows the store's tables for as long as the process runs.
 *
 * Each table is read in full once and then by its changes; after a gap in the history it is read in full again. While
 * the store is unreachable, the last known view is used. In a large zone a few instances read for the others, which
 * read for themselves only when what they were told is too old.
 */
class FleetSync : private RelayKnowledge
{
public:
    // constructors
    FleetSync(ForwardContext &context, InstanceId self, SyncLimits limits = {});

    // modifiers
    /// @brief Starts the reads. @param configured called when a configuration was read
    void start(std::function<void()> configured);
    /// @brief Exchanges what is read with the other instances of the zone. @param reason InvalidSetting
    /// @pre start() was not called
    bool startRelay(const RelaySettings &settings, LastReason &reason);
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

    RelayPoll makePoll() override;
    bool applyOffer(const InstanceId &from, const RelayPoll &asked, const RelayOffer &offer) override;
    void onAsked() override;
    bool hasNews(const RelayPoll &poll) const override;
    RelayOffer makeOffer(const RelayPoll &poll) const override;
    void onLoad(const RelayPoll &poll) override;
    void onReport(const InstanceId &from, const std::string &text) override;

    boost::asio::awaitable<void> readLoop(Reader reader);
    /// Waits as long as another instance's answer spares an own read.
    boost::asio::awaitable<void> waitForOwnRead(StoreTable table);
    /// Applies rows that were read, and keeps them for the other instances.
    void applyRead(const Reader &reader, const TableSnapshot &snapshot, bool isFull);
    /// Applies a table of a reader's answer, if it continues what is known.
    void applyRelayed(const Reader &reader, const RelayedTable &relayed, const RelayOffer &offer);
    /// Whether the instances that ask are told about the table.
    bool isOffered(StoreTable table) const;
    void endRelay();
    boost::asio::awaitable<void> join();
    boost::asio::awaitable<void> removeMember();
    boost::asio::awaitable<bool> readMembers();
    void updateInstanceShare(std::size_t zoneMembers);
    /// Whether the evidence of others reaches this instance, so that it may decide on a roll-out.
    bool mayDecide() const;
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
    /// Applies a full read: an evacuation without a row has ended.
    void replaceOrders(const TableSnapshot &snapshot);
    void applyConfiguration(std::shared_ptr<const RouteTable> table, std::uint64_t rowVersion);
    void applyRolloutOrder(const RolloutOrder &rollout, std::uint64_t era);
    void beginEvacuation(const ZoneId &evacuated, std::uint64_t rowVersion);
    void endEvacuation(const ZoneId &evacuated);
    void replaceUpstreams(const TableSnapshot &snapshot);
    void recordColdUpstreams(const std::vector<UpstreamEntry> &entries, TimePoint now);
    void applyUpstreamChanges(const TableSnapshot &snapshot);
    void replaceStatus(const TableSnapshot &snapshot);
    void applyStatus(const TableSnapshot &snapshot);
    void mergeReports(const TableSnapshot &snapshot);
    /// Logs whether the table was lost or regained, and tells the list of upstreams.
    void updateReachability(const Reader &reader, bool wasReachable, std::optional<TimePoint> lastAnswer,
                            const std::string &detail);
    /// @param storeTime on the store's clock, of an answer that has just arrived
    void updateClockOffset(Milliseconds storeTime);
    TimePoint localTime(Milliseconds storeTime) const;
    Milliseconds storeTimeNow() const;
    void mergeLimits(const std::map<InstanceId, LimitReport> &reports);
    void logBlocks();
    /// Logs whether a reader's view of the load came into use or got too old.
    void logLoadView(TimePoint now);
    void countInvalidLoads(const InstanceId &from, std::size_t invalid);
    void mergeGathered(const TableRow &row);
    void mergeVersions(const InstanceId &from, const std::vector<VersionReport> &versions);
    void logEvidence();
    FleetReport report() const;
    /// What this instance writes into its row: what reaches the others by a reader is left out.
    FleetReport rowReport() const;
    boost::asio::awaitable<void> publishGathered();

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
    std::map<StoreTable, boost::asio::steady_timer> waits; ///< of the reads that another instance's answer spares
    RelaySettings relaySettings;
    std::unique_ptr<StoreRelay> relay; ///< null when this instance reads for itself only
    std::map<StoreTable, RowMirror> mirrors;
    Milliseconds confirmed{0}; ///< when the store confirmed the operator's table, on its clock
    Milliseconds upstreamsConfirmed{0}; ///< the same for the list of upstreams
    std::string deliveredReport; ///< the evidence that the reader has
    InstanceId deliveredTo;
    GatheredReports gathered; ///< evidence of the instances that ask this one
    std::map<ServiceName, std::size_t> mergedReports; ///< since the latest log line
    bool decided = true; ///< mayDecide() at the latest check
    bool isGathering = false; ///< publishGathered() runs
    bool isGatheredChanged = false;
    bool wasLoadShared = false; ///< at the latest check
    bool isInvalidLoadLogged = false;
    FleetReport published;
    bool isOwnReportKnown = false; ///< what this instance published before a restart was read, or it has published
    bool publishing = false;
    bool publishPending = false;
    std::map<ServiceName, bool> advancingRollouts;
};

} // namespace parsleyvane
