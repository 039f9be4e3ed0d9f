#include "peercodec.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>

namespace parsleyvane {

namespace {

template<typename List>
unsigned boundedSize(const List &list)
{
    return static_cast<unsigned>(std::min<std::size_t>(list.size(), WireLimits::listEntries));
}

void writeEvidence(const Evidence &evidence, wire::Evidence::Builder builder)
{
    auto quarantined = builder.initQuarantined(boundedSize(evidence.quarantined));
    for (unsigned index = 0; index < quarantined.size(); ++index) {
        quarantined.set(index, evidence.quarantined[index]);
    }
    auto leaving = builder.initLeavingUpstreams(boundedSize(evidence.leavingUpstreams));
    for (unsigned index = 0; index < leaving.size(); ++index) {
        leaving.set(index, evidence.leavingUpstreams[index].str());
    }
    auto versions = builder.initVersions(boundedSize(evidence.versions));
    for (unsigned index = 0; index < versions.size(); ++index) {
        const VersionEvidence &from = evidence.versions[index];
        auto to = versions[index];
        to.setModel(from.version.model.str());
        to.setVersion(from.version.version.str());
        to.setServed(from.served);
        to.setErrors(from.errors);
        to.setFailedRatings(from.failedRatings);
    }
    builder.setPendingBills(evidence.pendingBills);
}

/// @brief Reads texts and list lengths, and records whether any exceeded its limit.
class BoundedReader
{
public:
    std::string text(capnp::Text::Reader from)
    {
        if (from.size() > WireLimits::textBytes) {
            this->exceeded = true;
            return {};
        }
        return {from.cStr(), from.size()};
    }
    template<typename List>
    unsigned size(const List &list)
    {
        if (list.size() > WireLimits::listEntries) {
            this->exceeded = true;
            return 0;
        }
        return list.size();
    }
    bool failed() const
    {
        return this->exceeded;
    }

private:
    bool exceeded = false;
};

Evidence readEvidence(wire::Evidence::Reader reader, BoundedReader &bounded)
{
    Evidence evidence;
    const auto quarantined = reader.getQuarantined();
    for (unsigned index = 0; index < bounded.size(quarantined); ++index) {
        evidence.quarantined.push_back(bounded.text(quarantined[index]));
    }
    const auto leaving = reader.getLeavingUpstreams();
    for (unsigned index = 0; index < bounded.size(leaving); ++index) {
        evidence.leavingUpstreams.emplace_back(bounded.text(leaving[index]));
    }
    const auto versions = reader.getVersions();
    for (unsigned index = 0; index < bounded.size(versions); ++index) {
        const auto from = versions[index];
        const ModelVersion version{ModelName(bounded.text(from.getModel())),
                                   VersionName(bounded.text(from.getVersion()))};
        evidence.versions.push_back({version, from.getServed(), from.getErrors(), from.getFailedRatings()});
    }
    evidence.pendingBills = reader.getPendingBills();
    return evidence;
}

} // namespace

void writeDigest(const Digest &digest, wire::Digest::Builder builder)
{
    builder.setInstance(digest.instance.str());
    builder.setZone(digest.zone.str());
    builder.setAddress(digest.address);
    builder.setIncarnation(digest.incarnation.value());
    builder.setRevision(digest.revision.value());
    if (!digest.changeId.empty()) {
        builder.setChangeId(digest.changeId);
    }
    builder.setConfirmedAgeMs(digest.confirmedAge ? digest.confirmedAge->count() : -1);
    builder.setStoreInReach(digest.isStoreReachable);
    builder.setLeaving(digest.leaving);
    if (digest.evidence) {
        writeEvidence(*digest.evidence, builder.initEvidence());
    }
}

std::optional<Digest> readDigest(wire::Digest::Reader reader, LastReason &reason)
{
    BoundedReader bounded;
    Digest digest;
    digest.instance = InstanceId(bounded.text(reader.getInstance()));
    digest.zone = ZoneId(bounded.text(reader.getZone()));
    digest.address = bounded.text(reader.getAddress());
    digest.incarnation = Incarnation(reader.getIncarnation());
    digest.revision = Revision(reader.getRevision());
    digest.changeId = bounded.text(reader.getChangeId());
    constexpr std::int64_t maxAgeMs = 1LL << 40;
    const std::int64_t age = reader.getConfirmedAgeMs();
    if (age >= 0 && age <= maxAgeMs) {
        digest.confirmedAge = Milliseconds(age);
    }
    digest.isStoreReachable = reader.getStoreInReach();
    digest.leaving = reader.getLeaving();
    if (reader.hasEvidence()) {
        digest.evidence = readEvidence(reader.getEvidence(), bounded);
    }
    if (bounded.failed() || digest.instance.empty()) {
        return reason.fail({.id = ErrorId::BadPeerData, .step = Step::Exchange, .detail = "digest out of bounds"});
    }
    return digest;
}

std::size_t wireSize(const Digest &digest)
{
    capnp::MallocMessageBuilder message;
    writeDigest(digest, message.initRoot<wire::Digest>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

} // namespace parsleyvane
