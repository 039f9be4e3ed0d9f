#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/core/overloaded.h"
#include "parsleyvane/net/sleep.h"

namespace parsleyvane {

namespace asio = boost::asio;

asio::awaitable<void> FleetSync::advanceRollout(ServiceName service)
{
    const VersionShift &shift = shiftOf(this->context, service);
    const RolloutOrder order = *shift.order();
    if (!this->mayDecide()) {
        // The readers decide, who have everyone's evidence.
        this->evaluateVersion(order);
        this->advancingRollouts[service] = false;
        co_return;
    }
    if (!shift.state()) {
        co_await this->startRollout(order);
    } else if (this->isStatusMissing(service)) {
        co_await this->restoreStatus(order);
    } else {
        this->evaluateVersion(order);
    }
    if (shift.order() == order && shift.state() == RolloutState::Running
        && (shift.isBad() || shift.mayComplete(bootClockNow()))) {
        co_await this->endRollout(order);
    }
    this->advancingRollouts[service] = false;
}

void FleetSync::evaluateVersion(const RolloutOrder &order)
{
    if (const auto found = shiftOf(this->context, order.service).evaluate(bootClockNow())) {
        this->context.log.line("version_bad",
                               {{"service", order.service.str()}, {"version", order.to.str()}, {"evidence", *found}});
    }
}

bool FleetSync::isStatusMissing(const ServiceName &service) const
{
    const auto orderEra = this->orderEras.find(service);
    const auto statusEra = this->readEras.find(StoreTable::Status);
    const std::uint64_t era = this->context.platform.storeEra();
    const bool isKnown = orderEra != this->orderEras.end() && orderEra->second == era
        && statusEra != this->readEras.end() && statusEra->second == era;
    if (!isKnown) {
        return false;
    }
    const auto recorded = this->recordedStatus.find(service);
    return recorded == this->recordedStatus.end()
        || !this->context.fleetView.shifts.at(service).isRecordedBy(recorded->second);
}

asio::awaitable<void> FleetSync::restoreStatus(RolloutOrder order)
{
    // The instance with the shortest random delay writes.
    co_await sleepFor(this->writeDelay());
    const VersionShift &shift = shiftOf(this->context, order.service);
    const auto agreed = shift.agreed();
    if (shift.order() != order || !agreed || !this->isStatusMissing(order.service)) {
        co_return;
    }
    RolloutStatus status{.service = order.service, .to = order.to, .state = agreed->first, .order = order.number};
    status.startedAt = agreed->second.time_since_epoch() + this->storeClockOffset;
    co_await this->writeStatus(std::move(status));
}

asio::awaitable<void> FleetSync::startRollout(RolloutOrder order)
{
    const VersionShift &shift = shiftOf(this->context, order.service);
    // The instance with the shortest random delay writes; the others see its row and need no call.
    co_await sleepFor(this->writeDelay());
    if (shift.order() == order && !shift.state()) {
        RolloutStatus status{.service = order.service, .to = order.to, .order = order.number};
        status.startedAt = bootClockNow().time_since_epoch() + this->storeClockOffset;
        co_await this->writeStatus(std::move(status));
    }
}

asio::awaitable<void> FleetSync::endRollout(RolloutOrder order)
{
    const VersionShift &shift = shiftOf(this->context, order.service);
    if (!shift.isBad()) {
        co_await sleepFor(this->writeDelay());
    }
    if (shift.order() != order) {
        co_return;
    }
    // Evidence may have arrived during the delay.
    this->evaluateVersion(order);
    if (shift.state() == RolloutState::Running && this->mayDecide()) {
        RolloutStatus status{.service = order.service, .to = order.to, .order = order.number};
        status.state = shift.isBad() ? RolloutState::RolledBack : RolloutState::Completed;
        co_await this->writeStatus(std::move(status));
    }
}

Milliseconds FleetSync::writeDelay()
{
    std::uniform_int_distribution<int> delay(0, 400);
    return Milliseconds(delay(this->context.random));
}

asio::awaitable<void> FleetSync::writeStatus(RolloutStatus status)
{
    auto [name, text] = this->context.platform.writeStatus(status);
    const std::string key = this->context.platform.rowKey(StoreTable::Status, name);
    Transaction transaction;
    transaction.checks.push_back({key, this->statusVersions[key]});
    transaction.puts.push_back({key, std::move(text)});
    const TransactionOutcome outcome = co_await this->context.platform.transact(std::move(transaction));
    this->updateEra();
    const std::string result = std::visit(
        Overloaded{[](const TransactionCommitted &) { return std::string("written"); },
                   [](const TransactionConflict &) { return std::string("another instance was first"); },
                   [](const TransactionIndeterminate &unknown) { return "unknown: " + unknown.failure.detail; },
                   [](const TransactionNotSent &failed) {
                       return "not written: " + failed.failure.detail;
                   }},
        outcome);
    this->context.log.line("rollout_decision",
                           {{"service", status.service.str()},
                            {"to", status.to.str()},
                            {"state", rolloutStateName(status.state)},
                            {"outcome", result}});
    if (const auto *conflict = std::get_if<TransactionConflict>(&outcome)) {
        // Without a row in the answer, the store has none.
        this->statusVersions[key] = 0;
        TableSnapshot current{.rows = conflict->rows};
        this->applyStatus(current);
        co_return;
    }
    if (std::holds_alternative<TransactionCommitted>(outcome)) {
        this->recordedStatus[status.service] = status;
        shiftOf(this->context, status.service).onStatus(status, this->localTime(status.startedAt));
        // The row's new version arrives with the table's changes; no further decision is made before that.
        co_await sleepFor(this->limits.tickInterval);
    }
}

} // namespace parsleyvane
