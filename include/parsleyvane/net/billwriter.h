/**
 * @file
 * @brief Writes bills to the store in batches and resumes the requests that wait for them.
 */
#pragma once

#include "parsleyvane/billing/billqueue.h"
#include "parsleyvane/net/metrics.h"
#include "parsleyvane/net/platformclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace parsleyvane {

/// @brief Sends bills (a JSON list) to a peer; calls `done` with whether the peer accepted them.
using BillHandOver = std::function<void(std::string bills, std::function<void(bool)> done)>;

/**
 * @brief Writes the batches of a BillQueue to the store.
 */
class BillWriter
{
public:
    // constructors
    /// @param durabilityTimeout how long the end of an answer waits for its bill to become durable
    BillWriter(boost::asio::io_context &context, const PlatformClient &platform, Metrics &metrics,
               Milliseconds durabilityTimeout);

    // modifiers
    /// @brief Starts writing. @param handOver sends bills to a peer while the store is unreachable
    void start(BillHandOver handOver);
    /**
     * @brief Queues a bill and waits until it is durable; after the timeout, offers a copy to a peer instead.
     * @return false when the queue is full: the answer must not be completed; true also when no peer accepted the copy
     */
    boost::asio::awaitable<bool> submit(Bill bill);
    /// @brief Queues the bills sent by a peer; returns whether all of them were valid and queued.
    bool takeOver(const std::string &bills);
    /// @brief Waits until all bills are durable; after the limit, sends the rest to a peer. Returns whether all are
    /// durable or a peer accepted the rest.
    boost::asio::awaitable<bool> flush(Milliseconds limit);

    // observers
    /// @brief Number of bills not yet durable.
    std::size_t pending() const noexcept;

private:
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> writeBatch(BillBatch batch);
    boost::asio::awaitable<void> waitForBatchEnd(TimePoint deadline);
    boost::asio::awaitable<bool> handToPeer(std::string bills);

    boost::asio::io_context &context;
    const PlatformClient &platform;
    Metrics &metrics;
    Milliseconds durabilityTimeout;
    BillHandOver handOver;
    BillQueue queue;
    boost::asio::steady_timer wake;
    boost::asio::steady_timer batchEnded;
};

} // namespace parsleyvane
