#include "parsleyvane/forward/fleetsync.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/sleep.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace parsleyvane {

namespace asio = boost::asio;

FleetSync::FleetSync(ForwardContext &context, InstanceId self, SyncLimits limits)
    : context(context)
    , self(std::move(self))
    , limits(limits)
    , watch(limits.watch)
{
    this->context.fleetView.upstreamLimiter.setSelf(this->self);
    this->context.fleetView.coldUpstreams.setSelf(this->self);
}

void FleetSync::setShiftLimits(const ShiftLimits &newLimits)
{
    this->shiftLimits = newLimits;
    for (auto &[service, shift] : this->context.fleetView.shifts) {
        shift.setLimits(newLimits);
    }
}

void FleetSync::start(std::function<void()> onConfigured)
{
    this->configured = std::move(onConfigured);
    this->readers = {
        Reader{StoreTable::Orders, "orders", &FleetSync::replaceOrders, &FleetSync::applyOrders},
        Reader{StoreTable::Upstreams, "upstreams", &FleetSync::replaceUpstreams, &FleetSync::applyUpstreamChanges},
        Reader{StoreTable::Status, "status", &FleetSync::replaceStatus, &FleetSync::applyStatus},
        Reader{StoreTable::Fleet, "fleet", &FleetSync::mergeReports, &FleetSync::mergeReports},
    };
    for (const Reader &reader : this->readers) {
        this->waits.try_emplace(reader.table, this->context.io);
        asio::co_spawn(this->context.io, this->readLoop(reader), asio::detached);
    }
    if (this->relay) {
        asio::co_spawn(this->context.io, this->join(), asio::detached);
        this->relay->start();
    }
    asio::co_spawn(this->context.io, this->tickLoop(), asio::detached);
    this->context.evidenceChanged = [this]() {
        this->publishPending = true;
        if (!this->publishing) {
            this->publishing = true;
            asio::co_spawn(this->context.io, this->publish(), asio::detached);
        }
    };
}

asio::awaitable<void> FleetSync::readLoop(Reader reader)
{
    while (true) {
        co_await this->waitForOwnRead(reader.table);
        const bool wasReachable = this->watch.isReachable(reader.table);
        const auto lastAnswer = this->watch.answeredAt(reader.table);
        LastReason reason;
        const Milliseconds pause = co_await this->readOnce(reader, reason);
        this->updateReachability(reader, wasReachable, lastAnswer, reason.failure().detail);
        this->interruptReads();
        if (pause.count() > 0) {
            co_await sleepFor(pause);
        }
    }
}

asio::awaitable<Milliseconds> FleetSync::readOnce(const Reader &reader, LastReason &reason)
{
    const TimePoint now = bootClockNow();
    this->watch.setRelaying(this->relay && this->relay->isAsked(now));
    this->context.metrics.countEvent("store_read_" + reader.name);
    const TableRead read = this->watch.beginRead(reader.table, now);
    if (!read.after) {
        const auto snapshot = co_await this->context.platform.readTable(reader.table, reason);
        this->updateEra();
        if (!snapshot) {
            co_return this->onReadFailed(reader.table);
        }
        if (!this->watch.isCurrent(reader.table, snapshot->era)
            || this->watch.isOvertaken(reader.table, snapshot->version)) {
            co_return this->watch.onOutdatedAnswer(reader.table);
        }
        const Milliseconds pause = this->watch.onAnswer(reader.table, snapshot->version, bootClockNow());
        this->updateClockOffset(snapshot->storeTime);
        this->applyRead(reader, *snapshot, true);
        co_return pause;
    }
    const ChangesOutcome outcome = co_await this->context.platform.readChanges(reader.table, *read.after, read.wait);
    this->updateEra();
    if (const auto *snapshot = std::get_if<TableSnapshot>(&outcome)) {
        if (!this->watch.isCurrent(reader.table, snapshot->era)
            || this->watch.isOvertaken(reader.table, snapshot->version)) {
            co_return this->watch.onOutdatedAnswer(reader.table);
        }
        const Milliseconds pause = this->watch.onAnswer(reader.table, snapshot->version, bootClockNow());
        this->updateClockOffset(snapshot->storeTime);
        this->applyRead(reader, *snapshot, false);
        co_return pause;
    }
    if (std::holds_alternative<HistoryLost>(outcome)) {
        this->context.log.line("history_lost",
                               {{"table", reader.name}, {"after", static_cast<std::int64_t>(*read.after)}});
        co_return this->watch.onHistoryLost(reader.table, bootClockNow());
    }
    reason.fail(std::get<Failure>(outcome));
    co_return this->onReadFailed(reader.table);
}

void FleetSync::updateEra()
{
    const std::uint64_t era = this->context.platform.storeEra();
    if (!this->watch.onEra(era)) {
        return;
    }
    this->context.metrics.countEvent("store_restored");
    this->context.log.line("store_restored", {{"era", static_cast<std::int64_t>(era)}});
    this->published = FleetReport();
    this->mirrors.clear();
    this->endRelay();
    this->context.evidenceChanged();
    this->interruptReads();
}

bool FleetSync::isRestored(StoreTable table, const TableSnapshot &snapshot) const
{
    const auto found = this->readEras.find(table);
    return found != this->readEras.end() && found->second < snapshot.era;
}

Milliseconds FleetSync::onReadFailed(StoreTable table)
{
    // The jitter keeps the instances from retrying at the same moment when the store is reachable again.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return this->watch.onFailure(table, jitter(this->context.random));
}

void FleetSync::updateReachability(const Reader &reader, bool wasReachable, std::optional<TimePoint> lastAnswer,
                                   const std::string &detail)
{
    const bool isReachable = this->watch.isReachable(reader.table);
    if (isReachable == wasReachable) {
        return;
    }
    const TimePoint now = bootClockNow();
    this->context.metrics.countEvent(isReachable ? "store_regained" : "store_lost");
    this->context.log.line(isReachable ? "store_regained" : "store_lost",
                           {{"table", reader.name},
                            {"detail", detail},
                            {"pending", (now - this->watch.begunAt(reader.table)).count()},
                            {"wait", this->watch.latestWait(reader.table).count()},
                            {"age", lastAnswer ? std::to_string((now - *lastAnswer).count()) : "never"}});
    if (reader.table != StoreTable::Upstreams) {
        return;
    }
    if (isReachable) {
        this->context.fleetView.upstreams.onStoreReachable(now);
    } else {
        this->context.fleetView.upstreams.onStoreUnreachable();
    }
}

void FleetSync::interruptReads()
{
    for (const StoreTable table : this->watch.takeInterrupts(bootClockNow())) {
        this->context.platform.interruptRead(table);
    }
}

void FleetSync::updateMetrics()
{
    const TimePoint now = bootClockNow();
    for (const Reader &reader : this->readers) {
        if (const auto answeredAt = this->watch.answeredAt(reader.table)) {
            this->context.metrics.setGauge("store_age_ms_" + reader.name,
                                           static_cast<double>((now - *answeredAt).count()));
        }
    }
    if (this->context.sharesLoad) {
        this->context.metrics.setGauge("load_shared", this->context.fleetView.load.isShared(now) ? 1 : 0);
        this->context.metrics.setGauge("load_upstreams", static_cast<double>(this->context.fleetView.load.size(now)));
    }
}

void FleetSync::setBounds(const WatchBounds &bounds)
{
    this->watch.setLimits(withBounds(this->limits.watch, bounds));
    if (this->relay) {
        this->relay->setAge(this->watch.relayAge());
    }
}

void FleetSync::updateClockOffset(Milliseconds storeTime)
{
    const Milliseconds offset = storeTime - bootClockNow().time_since_epoch();
    // Network latency only lowers the measured offset, so the largest one is the most accurate.
    this->storeClockOffset = this->isClockOffsetKnown ? std::max(this->storeClockOffset, offset) : offset;
    this->isClockOffsetKnown = true;
    this->latestStoreTime = std::max(this->latestStoreTime, storeTime);
}

Milliseconds FleetSync::storeTimeNow() const
{
    // During an outage the store's time stands still, so that no instance takes the others for gone.
    constexpr Milliseconds maxExtrapolation{2000};
    const Milliseconds extrapolated = bootClockNow().time_since_epoch() + this->storeClockOffset;
    return std::min(extrapolated, this->latestStoreTime + maxExtrapolation);
}

TimePoint FleetSync::localTime(Milliseconds storeTime) const
{
    return TimePoint(storeTime - this->storeClockOffset);
}

asio::awaitable<void> FleetSync::tickLoop()
{
    while (true) {
        co_await sleepFor(this->limits.tickInterval);
        const TimePoint now = bootClockNow();
        this->interruptReads();
        const bool decides = this->mayDecide();
        if (decides && !std::exchange(this->decided, decides)) {
            // What a reader was told so far may have to be written by this instance.
            this->context.evidenceChanged();
        }
        this->decided = decides;
        for (auto &[table, timer] : this->waits) {
            // Its timer stands still while the machine is suspended.
            if (this->watch.untilOwnRead(table, now) == Milliseconds(0)) {
                timer.cancel();
            }
        }
        for (const UpstreamId &id : this->context.fleetView.upstreams.expire(now)) {
            this->context.log.line("upstream", {{"change", id.str() + " gone after its lapse"}});
        }
        this->context.fleetView.coldUpstreams.expire(now);
        this->context.fleetView.crashes.expire(now);
        this->logBlocks();
        this->logLoadView(now);
        if (this->context.fleetView.upstreamLimiter.update(this->storeTimeNow(), now)) {
            this->context.evidenceChanged();
        }
        this->context.pool.expire(now);
        for (auto &[service, shift] : this->context.fleetView.shifts) {
            shift.expire(now);
            if (shift.order() && !this->advancingRollouts[service]) {
                this->advancingRollouts[service] = true;
                asio::co_spawn(this->context.io, this->advanceRollout(service), asio::detached);
            }
        }
    }
}

} // namespace parsleyvane
