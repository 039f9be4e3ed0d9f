// Requests of ControlPlane::Driver to the platform: the store probe and the instance list.
#include "controldriver.h"
#include "parsleyvane/core/clock.h"

#include <algorithm>
#include <glog/logging.h>

namespace parsleyvane {

namespace asio = boost::asio;

asio::awaitable<void> ControlPlane::Driver::readStore(std::shared_ptr<Driver> self, TimePoint requestedAt)
{
    LastReason reason;
    const Revision revisionAtRequest = self->spread.revision();
    const std::uint64_t rowVersion = self->inForce.document.rowVersion;
    const StoreProbe probe = self->settings.probe;
    const auto result = co_await probeStore(self->platform, probe, rowVersion, reason);
    if (self->stopped) {
        co_return;
    }
    if (result) {
        self->counted.platformBytesReceived += result->bytes;
        self->onStoreProbed(requestedAt, revisionAtRequest, *result);
        co_return;
    }
    ++self->counted.storeReadsFailed;
    if (probe == StoreProbe::CheckedTransaction && reason.failure().id == ErrorId::BadUpstreamData) {
        LOG(WARNING) << "the store rejects a transaction without writes; falling back to plain reads";
        self->settings.probe = StoreProbe::Read;
    }
    self->handleSpreadEvent(StoreFailed{requestedAt});
}

void ControlPlane::Driver::onStoreProbed(TimePoint requestedAt, Revision revisionAtRequest, const ProbeResult &result)
{
    const bool current = this->settings.probe == StoreProbe::CheckedTransaction;
    if (result.absent || result.unchanged) {
        const Revision revision = result.absent ? Revision() : revisionAtRequest;
        this->handleSpreadEvent(StoreAnswered{.requestedAt = requestedAt, .revision = revision, .current = current});
        return;
    }
    LastReason reason;
    auto loaded = loadConfiguration({result.json, result.rowVersion}, reason);
    if (!loaded) {
        LOG_EVERY_N(ERROR, 100) << describe(reason.failure());
        this->handleSpreadEvent(StoreFailed{requestedAt});
        return;
    }
    const Revision revision = loaded->configuration->revision;
    const std::string changeId = loaded->configuration->change.id;
    if (revision == this->spread.revision()) {
        this->inForce.document.rowVersion = result.rowVersion;
    } else {
        this->candidates[revision] = std::move(*loaded);
    }
    this->handleSpreadEvent(StoreAnswered{requestedAt, revision, changeId, current});
}

asio::awaitable<void> ControlPlane::Driver::readList(std::shared_ptr<Driver> self)
{
    LastReason reason;
    const auto list = co_await readInstanceList(self->platform, reason);
    if (self->stopped) {
        co_return;
    }
    self->isListReadInFlight = false;
    const TimePoint now = bootClockNow();
    self->listDue = now + self->limits.listInterval;
    if (list) {
        self->counted.platformBytesReceived += list->bytes;
        const Milliseconds budget(1000 * list->bytes / self->limits.listBytesPerSecond);
        self->listDue = now + std::max(self->limits.listInterval, budget);
        self->onList(*list);
    }
    self->armTimer(now);
}

void ControlPlane::Driver::onList(const InstanceList &list)
{
    std::vector<ListedInstance> instances;
    for (const ListedMember &row : list.members) {
        if (row.role == "entry") {
            instances.push_back({InstanceId(row.id), row.zone, row.address, row.leaving});
            continue;
        }
        if (row.leaving) {
            this->markLeaving(UpstreamId(row.id));
        }
    }
    const MembershipActions actions = this->membership->onList(instances, bootClockNow());
    for (const std::string &address : actions.close) {
        this->network.close(address);
    }
    this->updatePeerViews();
}

} // namespace parsleyvane
