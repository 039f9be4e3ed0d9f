#include "parsleyvane/relay/readerchoice.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace parsleyvane {

using Json = nlohmann::json;

std::string serialise(const PeerMember &member)
{
    return Json{{"address", member.address}, {"processorShare", member.processorShare}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

std::optional<PeerMember> parsePeerMember(const InstanceId &id, const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("address") || !json.at("address").is_string()) {
        return std::nullopt;
    }
    const Json share = json.value("processorShare", Json(0));
    return PeerMember{id, json.at("address").get<std::string>(), share.is_number() ? share.get<double>() : 0};
}

ReaderChoice::ReaderChoice(InstanceId self, ReaderChoiceLimits limits)
    : self(std::move(self))
    , limits(limits)
{
}

void ReaderChoice::setMembers(std::vector<PeerMember> newMembers)
{
    const auto isSelf = [&](const PeerMember &member) {
        return member.id == this->self;
    };
    if (std::none_of(newMembers.begin(), newMembers.end(), isSelf)) {
        newMembers.push_back({.id = this->self});
    }
    std::sort(newMembers.begin(), newMembers.end(), [](const PeerMember &a, const PeerMember &b) {
        if (a.processorShare != b.processorShare) {
            return a.processorShare > b.processorShare;
        }
        return rendezvousWeight("reader", a.id.str()) > rendezvousWeight("reader", b.id.str());
    });
    this->ranked = std::move(newMembers);
}

void ReaderChoice::onAnswered(const InstanceId &reader)
{
    this->backoffs.erase(reader);
}

void ReaderChoice::onFailed(const InstanceId &reader, TimePoint now)
{
    Backoff &backoff = this->backoffs[reader];
    backoff.length = backoff.length.count() == 0 ? this->limits.initialBackoff
                                                 : std::min(backoff.length * 2, this->limits.maxBackoff);
    backoff.until = now + backoff.length;
}

std::optional<PeerMember> ReaderChoice::reader(TimePoint now) const
{
    if (this->ranked.size() < this->limits.minMembers) {
        return std::nullopt;
    }
    const PeerMember *chosen = nullptr;
    std::uint64_t chosenWeight = 0;
    std::size_t found = 0;
    for (const PeerMember &member : this->ranked) {
        if (found == this->limits.readers) {
            break;
        }
        const auto backoff = this->backoffs.find(member.id);
        if (backoff != this->backoffs.end() && now < backoff->second.until) {
            continue;
        }
        if (member.id == this->self) {
            return std::nullopt;
        }
        ++found;
        // The instances of the zone divide themselves between its readers.
        const std::uint64_t weight = rendezvousWeight(this->self.str(), member.id.str());
        if (chosen == nullptr || weight > chosenWeight) {
            chosen = &member;
            chosenWeight = weight;
        }
    }
    return chosen != nullptr ? std::optional(*chosen) : std::nullopt;
}

} // namespace parsleyvane
