/**
 * @file
 * @brief Bills each request once: rows keyed by request, inserted if absent, written in groups.
 *
 * The end of an answer is held back until its bill is durable, or is held by this instance and a peer in another
 * availability zone during an outage of the store. Pure: the caller writes the batches and reports what came of them.
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

/// @brief What one request costs.
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

/// @brief Bounds of a batch.
struct BillQueueLimits
{
    std::size_t batchSize = 64;
    Milliseconds gather{5}; ///< how long the first bill waits for others
    Milliseconds retry{250}; ///< pause after a batch that failed
    std::size_t capacity = 100000; ///< bills kept during an outage
};

/**
 * @brief Queue of bills that are not yet durable. Complexity: logarithmic in the bills held, linear in a batch.
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
    /// @brief Takes a bill. Returns false when the queue is full; a bill already held counts as taken.
    bool add(const Bill &bill, TimePoint now);
    /// @brief The next batch to write, when one is due and none is under way.
    std::optional<BillBatch> nextBatch(TimePoint now);
    /// @brief All bills of the batch are in the table.
    void onCommitted(std::uint64_t number);
    /// @brief These requests were billed before; the rest of the batch was not written.
    void onConflict(std::uint64_t number, const std::vector<RequestId> &alreadyBilled, TimePoint now);
    /// @brief No answer: the batch is to be written again as it was.
    void onLost(std::uint64_t number, TimePoint now);

    // observers
    /// @brief Whether the request's bill is in the table, as far as this queue knows of it.
    bool isPending(const RequestId &request) const;
    /// @brief When nextBatch() is next worth calling; empty when nothing waits.
    std::optional<TimePoint> nextDue() const;
    /// @brief Bills not yet durable.
    std::size_t size() const noexcept;
    /// @brief All bills not yet durable, to hand to a peer.
    std::vector<Bill> pending() const;

private:
    void finishBatch();

    BillQueueLimits limits;
    std::map<RequestId, Bill> waiting;
    std::deque<RequestId> order;
    std::optional<BillBatch> underWay;
    bool mustResend = false;
    std::optional<TimePoint> firstWaitingSince;
    TimePoint notBefore{};
    std::uint64_t lastNumber = 0;
};

/// @brief The table key of a bill.
std::string billKey(const RequestId &request);
/// @brief A bill as JSON text.
std::string serialise(const Bill &bill);
/// @brief Reads what serialise() wrote. @param reason BadUpstreamData when it makes no sense
std::optional<Bill> parseBill(const std::string &text, LastReason &reason);

} // namespace parsleyvane
