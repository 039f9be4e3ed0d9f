#include "parsleyvane/billing/billqueue.h"

#include <algorithm>

namespace parsleyvane {

BillQueue::BillQueue(BillQueueLimits limits)
    : limits(limits)
{
}

bool BillQueue::add(const Bill &bill, TimePoint now)
{
    if (this->waiting.contains(bill.request)) {
        return true;
    }
    if (this->waiting.size() >= this->limits.capacity) {
        return false;
    }
    this->waiting.emplace(bill.request, bill);
    this->order.push_back(bill.request);
    if (!this->firstWaitingSince) {
        this->firstWaitingSince = now;
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
        return this->underWay;
    }
    BillBatch batch{.number = ++this->lastNumber};
    while (!this->order.empty() && batch.bills.size() < this->limits.batchSize) {
        batch.bills.push_back(this->waiting.at(this->order.front()));
        this->order.pop_front();
    }
    if (this->order.empty()) {
        this->firstWaitingSince.reset();
    }
    this->underWay = batch;
    return batch;
}

void BillQueue::onCommitted(std::uint64_t number)
{
    if (!this->underWay || this->underWay->number != number) {
        return;
    }
    for (const Bill &bill : this->underWay->bills) {
        this->waiting.erase(bill.request);
    }
    this->finishBatch();
}

void BillQueue::onConflict(std::uint64_t number, const std::vector<RequestId> &alreadyBilled, TimePoint now)
{
    if (!this->underWay || this->underWay->number != number) {
        return;
    }
    std::vector<RequestId> rest;
    for (const Bill &bill : this->underWay->bills) {
        if (std::find(alreadyBilled.begin(), alreadyBilled.end(), bill.request) != alreadyBilled.end()) {
            this->waiting.erase(bill.request);
            continue;
        }
        rest.push_back(bill.request);
    }
    const bool progress = rest.size() < this->underWay->bills.size();
    this->order.insert(this->order.begin(), rest.begin(), rest.end());
    if (!this->order.empty()) {
        // What was put back has waited its time already.
        this->firstWaitingSince = now - this->limits.gather;
    }
    this->finishBatch();
    this->notBefore = progress ? now : now + this->limits.retry;
}

void BillQueue::onLost(std::uint64_t number, TimePoint now)
{
    if (!this->underWay || this->underWay->number != number) {
        return;
    }
    this->mustResend = true;
    this->notBefore = now + this->limits.retry;
}

void BillQueue::finishBatch()
{
    this->underWay.reset();
    this->mustResend = false;
}

bool BillQueue::isPending(const RequestId &request) const
{
    return this->waiting.contains(request);
}

std::optional<TimePoint> BillQueue::nextDue() const
{
    if (this->mustResend) {
        return this->notBefore;
    }
    if (this->underWay || !this->firstWaitingSince) {
        return std::nullopt;
    }
    const bool full = this->order.size() >= this->limits.batchSize;
    const TimePoint gathered = full ? *this->firstWaitingSince : *this->firstWaitingSince + this->limits.gather;
    return std::max(gathered, this->notBefore);
}

std::size_t BillQueue::size() const noexcept
{
    return this->waiting.size();
}

std::vector<Bill> BillQueue::pending() const
{
    std::vector<Bill> bills;
    bills.reserve(this->waiting.size());
    for (const auto &[request, bill] : this->waiting) {
        bills.push_back(bill);
    }
    return bills;
}

} // namespace parsleyvane
