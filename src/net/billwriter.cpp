#include "parsleyvane/net/billwriter.h"

#include "parsleyvane/core/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

/// Wake-up interval while no bill is due.
constexpr Milliseconds idleWakeInterval{60000};

Transaction makeInsertTransaction(const BillBatch &batch)
{
    Transaction transaction;
    for (const Bill &bill : batch.bills) {
        const std::string key = billKey(bill.request);
        transaction.checks.push_back({key, 0});
        transaction.puts.push_back({key, serialise(bill)});
    }
    return transaction;
}

std::vector<RequestId> alreadyBilledRequests(const TransactionConflict &conflict, const BillBatch &batch)
{
    std::vector<RequestId> requests;
    for (const Bill &bill : batch.bills) {
        const std::string key = billKey(bill.request);
        for (const TableRow &row : conflict.rows) {
            if (row.key == key && row.version != 0) {
                requests.push_back(bill.request);
            }
        }
    }
    return requests;
}

std::string billsToJson(const std::vector<Bill> &bills)
{
    Json list = Json::array();
    for (const Bill &bill : bills) {
        list.push_back(serialise(bill));
    }
    return list.dump();
}

} // namespace

BillWriter::BillWriter(asio::io_context &context, const PlatformClient &platform, Metrics &metrics,
                       Milliseconds durabilityTimeout)
    : context(context)
    , platform(platform)
    , metrics(metrics)
    , durabilityTimeout(durabilityTimeout)
    , wake(context)
    , batchEnded(context)
{
    this->batchEnded.expires_at(asio::steady_timer::time_point::max());
}

void BillWriter::start(BillHandOver handOver)
{
    this->handOver = std::move(handOver);
    asio::co_spawn(this->context, this->writeLoop(), asio::detached);
}

asio::awaitable<bool> BillWriter::submit(Bill bill)
{
    if (!this->queue.add(bill, bootClockNow())) {
        this->metrics.countEvent("bill_queue_full");
        co_return false;
    }
    this->wake.cancel();
    const TimePoint deadline = bootClockNow() + this->durabilityTimeout;
    while (this->queue.isPending(bill.request) && bootClockNow() < deadline) {
        co_await this->waitForBatchEnd(deadline);
    }
    if (!this->queue.isPending(bill.request)) {
        co_return true;
    }
    std::string list = billsToJson({bill});
    const bool isHeldByPeer = co_await this->handToPeer(std::move(list));
    this->metrics.countEvent(isHeldByPeer ? "bill_handed_over" : "bill_held_alone");
    co_return true;
}

bool BillWriter::takeOver(const std::string &bills)
{
    const Json list = Json::parse(bills, nullptr, false);
    if (!list.is_array()) {
        return false;
    }
    for (const Json &entry : list) {
        LastReason reason;
        const auto bill = entry.is_string() ? parseBill(entry.get<std::string>(), reason) : std::nullopt;
        if (!bill || !this->queue.add(*bill, bootClockNow())) {
            return false;
        }
    }
    this->wake.cancel();
    return true;
}

asio::awaitable<bool> BillWriter::flush(Milliseconds limit)
{
    const TimePoint deadline = bootClockNow() + limit;
    this->wake.cancel();
    while (this->queue.size() > 0 && bootClockNow() < deadline) {
        co_await this->waitForBatchEnd(deadline);
    }
    if (this->queue.size() == 0) {
        co_return true;
    }
    std::string list = billsToJson(this->queue.pending());
    co_return co_await this->handToPeer(std::move(list));
}

std::size_t BillWriter::pending() const noexcept
{
    return this->queue.size();
}

asio::awaitable<void> BillWriter::writeLoop()
{
    while (true) {
        const TimePoint now = bootClockNow();
        if (auto batch = this->queue.nextBatch(now)) {
            co_await this->writeBatch(std::move(*batch));
            continue;
        }
        const auto due = this->queue.nextDue();
        const Milliseconds pause = due ? std::max(*due - now, Milliseconds(1)) : idleWakeInterval;
        this->wake.expires_after(pause);
        boost::system::error_code ignored;
        co_await this->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> BillWriter::writeBatch(BillBatch batch)
{
    Transaction transaction = makeInsertTransaction(batch);
    const TransactionOutcome outcome = co_await this->platform.transact(std::move(transaction));
    if (std::holds_alternative<TransactionCommitted>(outcome)) {
        this->queue.onCommitted(batch.number);
    } else if (const auto *conflict = std::get_if<TransactionConflict>(&outcome)) {
        this->queue.onConflict(batch.number, alreadyBilledRequests(*conflict, batch), bootClockNow());
    } else {
        this->queue.onLost(batch.number, bootClockNow());
        this->metrics.countEvent("bill_batch_lost");
    }
    this->metrics.setGauge("bills_pending", static_cast<double>(this->queue.size()));
    this->batchEnded.cancel();
}

asio::awaitable<void> BillWriter::waitForBatchEnd(TimePoint deadline)
{
    // The shared timer never expires and is cancelled at the end of each batch; the local one bounds the wait.
    asio::steady_timer limit(this->context, std::max(deadline - bootClockNow(), Milliseconds(1)));
    limit.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->batchEnded.cancel();
        }
    });
    boost::system::error_code ignored;
    co_await this->batchEnded.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> BillWriter::handToPeer(std::string bills)
{
    if (!this->handOver) {
        co_return false;
    }
    asio::steady_timer answered(this->context, asio::steady_timer::time_point::max());
    bool isHeldByPeer = false;
    bool done = false;
    this->handOver(std::move(bills), [&](bool accepted) {
        isHeldByPeer = accepted;
        done = true;
        answered.cancel();
    });
    if (!done) {
        boost::system::error_code ignored;
        co_await answered.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return isHeldByPeer;
}

} // namespace parsleyvane
