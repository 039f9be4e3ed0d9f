/**
 * @file
 * @brief Schedules the reads of the store's tables, so that a lost answer hides no table for longer than its bound.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace parsleyvane {

/// @brief Tables of the store.
enum class StoreTable {
    Orders, ///< the operator's configuration and roll-out orders
    Upstreams, ///< the registered upstreams
    Status, ///< roll-out states for the operator
    Fleet, ///< reports that the instances exchange
    Members, ///< the instances, by zone; not followed
};

/// @brief Deployment bounds from which WatchLimits are derived.
struct WatchBounds
{
    Milliseconds change{2000}; ///< until a configuration is in force
    Milliseconds leaving{2000}; ///< until an upstream that leaves gets no new requests
    Milliseconds evidence{5000}; ///< until a version that was found bad gets no new requests
    Milliseconds stable{3000}; ///< after the end of a disturbance, until the other bounds hold again
};

/// @brief Tunable values of StoreWatch.
struct WatchLimits
{
    Milliseconds ordersWait{2000}; ///< longest wait for changes of the operator's table
    Milliseconds upstreamsWait{2000}; ///< the same for the upstreams, once another table's answer shows a newer version
    Milliseconds evidenceWait{4200}; ///< the same for the status and the reports of other instances
    Milliseconds idleWait{25000}; ///< the same for all three while no answer shows a newer version
    /// Interval between reads of upstream changes. Each call has a price, so the changes of one interval are read
    /// together.
    Milliseconds upstreamsInterval{500};
    Milliseconds fleetInterval{400}; ///< the same for the reports of other instances
    /// How long another instance's confirmation of the operator's table spares an own read; twice that for the others.
    Milliseconds relayAge{600};
    Milliseconds relayStart{1000}; ///< at the start, how long the first reads wait for another instance's answer
    Milliseconds initialBackoff{100}; ///< after a failed read; doubles with each further one
    Milliseconds maxBackoff{1000};
};

/// @brief Limits that keep each table's blindness after a disturbance within the bounds. @return a copy of the limits
WatchLimits withBounds(WatchLimits limits, const WatchBounds &bounds);

/// @brief A read to make: in full, or the changes after a version.
struct TableRead
{
    std::optional<std::uint64_t> after; ///< empty for a full read
    Milliseconds wait{0}; ///< how long the store may wait for changes

    friend bool operator==(const TableRead &, const TableRead &) = default;
};

/**
 * @brief Decides what is read next from each table, how long the store may wait for changes, and which pending reads
 * are repeated. Complexity: constant, as there are four tables.
 *
 * An answer may never come while its connection stands, so a pending read says nothing about its table. Versions count
 * the changes of all tables: while the answers of the operator's table, whose waits are short, show no newer version,
 * no other table has changed. Three rules bound how long an instance may be blind: a read that has been pending for the
 * table's wait is repeated once any answer shows a newer version; a read that follows a failure does not wait for
 * changes; and the first failure at one table interrupts the waiting reads of the others, which may have lost their
 * answers too. That a table answers again is no sign that the others do.
 *
 * Another instance's answer spares own reads as long as the store's confirmation in it is young enough, whatever the
 * connection to that instance looks like. It is one more source of versions, not a second belief.
 *
 * A store that was restored from a copy gives versions out again, so a reader that continued at its version would miss
 * what lies before. It names a newer era, from which on no version of the era before is used.
 */
class StoreWatch
{
public:
    // constructors
    explicit StoreWatch(WatchLimits limits = {});

    // modifiers
    void setLimits(const WatchLimits &newLimits);
    /// @brief Starts the next read of the table. @pre no read of it is pending
    TableRead beginRead(StoreTable table, TimePoint now);
    /// @brief Ends the table's read with an answer. @param version the next changes are read after this version
    /// @return the pause until the next read
    Milliseconds onAnswer(StoreTable table, std::uint64_t version, TimePoint now);
    /// @brief Applies the era that an answer of the store names. A newer one shows that the store was restored from a
    /// copy: all tables are read in full again. @return whether it is newer
    bool onEra(std::uint64_t era);
    /// @brief Ends the table's read with an answer that is not current. @return the pause until the next read
    Milliseconds onOutdatedAnswer(StoreTable table);
    /// @brief Ends the table's read: the store no longer holds the changes. The next read is a full one.
    /// @return the pause until the next read
    Milliseconds onHistoryLost(StoreTable table, TimePoint now);
    /// @brief Ends the table's read without an answer. @param jitter from 0.5 to 1, so that instances don't retry at
    /// the same moment
    /// @return the pause until the next read; 0 when the read was interrupted
    Milliseconds onFailure(StoreTable table, double jitter);
    /// @brief Applies that another instance has read the table up to the version. @param confirmedAt when the store
    /// confirmed that to it, by this instance's clock
    void onRelayed(StoreTable table, std::uint64_t version, TimePoint confirmedAt, TimePoint now);
    /// @brief Postpones the first reads, or the second of the operator's table, until another instance may have
    /// answered.
    void expectRelay(TimePoint now);
    /// @brief Ends what onRelayed() and expectRelay() spare: the next reads are due.
    void endRelay();
    void endRelay(StoreTable table);
    /// @brief Whether other instances rely on this one's reads; the operator's table and the upstreams are then read
    /// more often.
    void setRelaying(bool isRelaying);
    /// @brief Returns once each pending read that must be ended now.
    std::vector<StoreTable> takeInterrupts(TimePoint now);

    // observers
    /// @brief Whether the answer to the table's pending read may be applied: it is of the newest era, and so is the
    /// version after which the read asked for changes.
    bool isCurrent(StoreTable table, std::uint64_t answerEra) const;
    /// @brief Whether a later version than that of the answer to the pending read was relayed meanwhile.
    bool isOvertaken(StoreTable table, std::uint64_t answerVersion) const;
    /// @brief The version up to which the table is known; empty until it was read in full.
    std::optional<std::uint64_t> versionOf(StoreTable table) const;
    /// @brief The oldest confirmation by another instance that spares a read of the operator's table.
    Milliseconds relayAge() const noexcept
    {
        return this->limits.relayAge;
    }
    /// @brief Whether another instance tells this one what it reads, or may soon do so for the first time.
    bool isTold(TimePoint now) const;
    /// @brief How long another instance's answer still spares an own read of the table; 0 when a read is due.
    Milliseconds untilOwnRead(StoreTable table, TimePoint now) const;
    /// @brief Whether the table's latest read was answered; interrupted ones don't count.
    bool isReachable(StoreTable table) const;
    /// @brief When the table's latest answer arrived.
    std::optional<TimePoint> answeredAt(StoreTable table) const;
    /// @brief When the table's latest read began.
    TimePoint begunAt(StoreTable table) const;
    /// @brief The wait that the table's latest read allowed the store.
    Milliseconds latestWait(StoreTable table) const;

private:
    /// How long the next read may wait for changes.
    enum class NextWait {
        None, ///< the table has to prove that it answers
        Bounded, ///< a newer version is known
        Idle,
    };
    struct State
    {
        std::optional<std::uint64_t> version; ///< empty until the table was read in full
        std::optional<TimePoint> answeredAt;
        TimePoint begunAt{};
        Milliseconds wait{0}; ///< of the latest read
        NextWait nextWait = NextWait::Idle;
        Milliseconds backoff{0}; ///< before the latest retry; 0 after an answer
        TimePoint coveredUntil{}; ///< until then, another instance's answer spares an own read
        bool isRelayed = false; ///< what is known was told by another instance
        bool isPending = false;
        bool isFullRead = false; ///< the latest read
        bool isReachable = true;
        bool isInterrupted = false; ///< the pending read is to be ended
        bool isInterruptTaken = false;
    };

    static void interrupt(State &state);
    Milliseconds boundedWait(StoreTable table) const;
    Milliseconds waitOf(StoreTable table, const State &state) const;
    Milliseconds intervalOf(StoreTable table) const;
    Milliseconds relayAgeOf(StoreTable table) const;
    bool isOverdue(StoreTable table, const State &state, TimePoint now) const;

    WatchLimits limits;
    std::map<StoreTable, State> states;
    std::uint64_t newestVersion = 0; ///< of all answers of the era
    std::optional<TimePoint> relayedAt; ///< when another instance's latest answer arrived
    TimePoint relayExpectedUntil{}; ///< at the start: another instance may answer until then
    bool isRelaying = false;
    std::optional<std::uint64_t> era; ///< empty until the store has answered
};

} // namespace parsleyvane
