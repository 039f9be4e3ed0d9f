#include "parsleyvane/billing/billqueue.h"

#include <algorithm>

namespace parsleyvane {

BillQueue::BillQueue(BillQueueLimits limits)
    : limits(limits)
{
}

bool BillQueue::add(const Bill &bill, TimePoint now)
{
    if (this->pendingBills.contains(bill.request)) {
        return true;
    }
    if (this->pendingBills.size() >= this->limits.capacity) {
        return false;
    }
    this->pendingBills.emplace(bill.request, bill);
    this->unbatched.push_back(bill.request);
    if (!this->oldestUnbatchedAt) {
        this->oldestUnbatchedAt = now;
    }
    return true;
}

std::optional<BillBatch> BillQueue::nextBatch(TimePoint now)
{
    const auto due = this->nextDue();
    if (!due || now < *due) {
        return std::nullopt;
    }
    if (this->mustResend) {
        this->mustResend = false;
        return this->inFlightBatch;
    }
    BillBatch batch{.number = ++this->lastNumber};
    while (!this->unbatched.empty() && batch.bills.size() < this->limits.batchSize) {
        batch.bills.push_back(this->pendingBills.at(this->unbatched.front()));
        this->unbatched.pop_front();
    }
    if (this->unbatched.empty()) {
        this->oldestUnbatchedAt.reset();
    }
    this->inFlightBatch = batch;
    return batch;
}

void BillQueue::onCommitted(std::uint64_t number)
{
    if (!this->inFlightBatch || this->inFlightBatch->number != number) {
        return;
    }
    for (const Bill &bill : this->inFlightBatch->bills) {
        this->pendingBills.erase(bill.request);
    }
    this->finishBatch();
}

void BillQueue::onConflict(std::uint64_t number, const std::vector<RequestId> &alreadyBilled, TimePoint now)
{
    if (!this->inFlightBatch || this->inFlightBatch->number != number) {
        return;
    }
    std::vector<RequestId> rest;
    for (const Bill &bill : this->inFlightBatch->bills) {
        if (std::find(alreadyBilled.begin(), alreadyBilled.end(), bill.request) != alreadyBilled.end()) {
            this->pendingBills.erase(bill.request);
            continue;
        }
        rest.push_back(bill.request);
    }
    const bool progress = rest.size() < this->inFlightBatch->bills.size();
    this->unbatched.insert(this->unbatched.begin(), rest.begin(), rest.end());
    if (!this->unbatched.empty()) {
        // The requeued bills have already waited for the gather time.
        this->oldestUnbatchedAt = now - this->limits.gather;
    }
    this->finishBatch();
    this->notBefore = progress ? now : now + this->limits.retry;
}

void BillQueue::onLost(std::uint64_t number, TimePoint now)
{
    if (!this->inFlightBatch || this->inFlightBatch->number != number) {
        return;
    }
    this->mustResend = true;
    this->notBefore = now + this->limits.retry;
}

void BillQueue::finishBatch()
{
    this->inFlightBatch.reset();
    this->mustResend = false;
}

bool BillQueue::isPending(const RequestId &request) const
{
    return this->pendingBills.contains(request);
}

std::optional<TimePoint> BillQueue::nextDue() const
{
    if (this->mustResend) {
        return this->notBefore;
    }
    if (this->inFlightBatch || !this->oldestUnbatchedAt) {
        return std::nullopt;
    }
    const bool full = this->unbatched.size() >= this->limits.batchSize;
    const TimePoint gathered = full ? *this->oldestUnbatchedAt : *this->oldestUnbatchedAt + this->limits.gather;
    return std::max(gathered, this->notBefore);
}

std::size_t BillQueue::size() const noexcept
{
    return this->pendingBills.size();
}

std::vector<Bill> BillQueue::pending() const
{
    std::vector<Bill> bills;
    bills.reserve(this->pendingBills.size());
    for (const auto &[request, bill] : this->pendingBills) {
        bills.push_back(bill);
    }
    return bills;
}

} // namespace parsleyvane
