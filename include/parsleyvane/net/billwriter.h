/**
 * @file
 * @brief Makes bills durable in groups and tells who waits for them.
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

/// @brief Hands bills (a JSON list) to a peer; calls back with whether it took them.
using BillHandOver = std::function<void(std::string bills, std::function<void(bool)> done)>;

/**
 * @brief The driver of a BillQueue.
 */
class BillWriter
{
public:
    // constructors
    /// @param hold how long an answer's end waits for its bill while the store is away
    BillWriter(boost::asio::io_context &context, const PlatformClient &platform, Metrics &metrics, Milliseconds hold);

    // modifiers
    /// @brief Starts to write. @param handOver how a peer is given bills during an outage
    void start(BillHandOver handOver);
    /**
     * @brief Takes a bill and waits until it is durable, or held here and by a peer once `hold` has passed.
     * @return false when the bill could not even be held, and the answer must not end well
     */
    boost::asio::awaitable<bool> settle(Bill bill);
    /// @brief Takes over bills that a peer holds; returns whether all of them were understood and taken.
    bool takeOver(const std::string &bills);
    /// @brief Waits until no bill is pending, or the limit has passed; returns whether none is.
    boost::asio::awaitable<bool> flush(Milliseconds limit);

    // observers
    /// @brief Bills not yet durable.
    std::size_t pending() const noexcept;

private:
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> writeBatch(BillBatch batch);
    boost::asio::awaitable<void> waitForChange(TimePoint until);
    boost::asio::awaitable<bool> handToPeer(std::string bills);

    boost::asio::io_context &context;
    const PlatformClient &platform;
    Metrics &metrics;
    Milliseconds hold;
    BillHandOver handOver;
    BillQueue queue;
    boost::asio::steady_timer wake;
    boost::asio::steady_timer changed;
};

} // namespace parsleyvane
