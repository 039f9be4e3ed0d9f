/**
 * @file
 * @brief Bills each request exactly once: rows are keyed by request, inserted if absent, and written in batches.
 *
 * The end of an answer is withheld until its bill is durable; during an outage of the store, until this instance and a
 * peer in another availability zone both hold the bill. Performs no I/O: the caller writes the batches and reports the
 * outcome of each.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief The bill for one request.
struct Bill
{
    RequestId request;
    AccountId account;
    TaskName task;
    ModelVersion version; ///< empty for a plain service
    Tokens promptTokens;
    Tokens outputTokens;
    MicroCost cost;

    friend bool operator==(const Bill &, const Bill &) = default;
};

/// @brief Bills to insert in one transaction.
struct BillBatch
{
    std::uint64_t number = 0;
    std::vector<Bill> bills;
};

/// @brief Batch size, delays and capacity of a BillQueue.
struct BillQueueLimits
{
    std::size_t batchSize = 64;
    Milliseconds gather{5}; ///< longest wait of the first bill for a batch to fill
    Milliseconds retry{250}; ///< delay before the next write after a failed batch
    std::size_t capacity = 100000; ///< bills queued during an outage
};

/**
 * @brief Queue of bills that are not yet durable. Complexity: logarithmic in the queued bills, linear in a batch.
 *
 * @code
 * queue.add(bill, now);
 * if (const auto batch = queue.nextBatch(now)) { ... write it ... ; queue.onCommitted(batch->number); }
 * @endcode
 */
class BillQueue
{
public:
    // constructors
    explicit BillQueue(BillQueueLimits limits = {});

    // modifiers
    /// @brief Queues a bill. Returns false when the queue is full; true for a bill that is queued already.
    bool add(const Bill &bill, TimePoint now);
    /// @brief The next batch to write; empty when none is due, or while a batch awaits its reply.
    std::optional<BillBatch> nextBatch(TimePoint now);
    /// @brief The batch was committed: all its bills are in the table.
    void onCommitted(std::uint64_t number);
    /// @brief Nothing of the batch was written, because the table already holds bills of these requests.
    void onConflict(std::uint64_t number, const std::vector<RequestId> &alreadyBilled, TimePoint now);
    /// @brief The outcome is unknown: the same batch is written again.
    void onLost(std::uint64_t number, TimePoint now);

    // observers
    /// @brief Whether the request's bill is in the queue, hence not known to be durable.
    bool isPending(const RequestId &request) const;
    /// @brief The earliest time at which nextBatch() returns a batch; empty while there is none to write.
    std::optional<TimePoint> nextDue() const;
    /// @brief The number of bills that are not yet durable.
    std::size_t size() const noexcept;
    /// @brief All bills that are not yet durable, to be handed over to a peer.
    std::vector<Bill> pending() const;

private:
    void finishBatch();

    BillQueueLimits limits;
    std::map<RequestId, Bill> pendingBills;
    std::deque<RequestId> unbatched;
    std::optional<BillBatch> inFlightBatch;
    bool mustResend = false;
    std::optional<TimePoint> oldestUnbatchedAt;
    TimePoint notBefore{};
    std::uint64_t lastNumber = 0;
};

/// @brief The table key of a bill.
std::string billKey(const RequestId &request);
/// @brief Serialises a bill as JSON.
std::string serialise(const Bill &bill);
/// @brief Parses the output of serialise(). @param reason BadUpstreamData when the text is malformed
std::optional<Bill> parseBill(const std::string &text, LastReason &reason);

} // namespace parsleyvane
