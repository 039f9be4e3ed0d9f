#include "parsleyvane/membership/membership.h"

#include "parsleyvane/membership/rendezvous.h"

#include <algorithm>

namespace parsleyvane {

Membership::Membership(InstanceId self, ZoneId zone, std::string address, Incarnation incarnation,
                       MembershipLimits limits)
    : self(std::move(self))
    , zone(std::move(zone))
    , address(std::move(address))
    , incarnation(incarnation)
    , limits(limits)
{
}

void Membership::setSeeds(const std::vector<std::string> &addresses)
{
    for (const std::string &seed : addresses) {
        if (seed != this->address) {
            this->seeds.insert(seed);
        }
    }
}

MembershipActions Membership::onList(const std::vector<ListedInstance> &list, TimePoint now)
{
    MembershipActions actions;
    this->firstListAt = this->firstListAt.value_or(now);
    for (auto &[id, member] : this->known) {
        member.listed = false;
    }
    for (const ListedInstance &row : list) {
        if (row.instance == this->self || row.address == this->address) {
            continue;
        }
        const auto [place, added] = this->known.try_emplace(row.instance);
        Member &member = place->second;
        member.listed = true;
        // The list lags: what the instance itself told goes first.
        if (!member.heardAt) {
            member.zone = row.zone;
            member.address = row.address;
            member.leaving = member.leaving || row.leaving;
            this->seeds.erase(row.address);
        }
        if (added) {
            member.knownSince = now;
        }
    }
    this->removeSilent(now, true, actions);
    return actions;
}

bool Membership::onDigest(const Digest &digest, TimePoint now)
{
    if (digest.instance == this->self || digest.instance.empty()) {
        return false;
    }
    const auto former = this->known.find(digest.instance);
    if (former != this->known.end() && former->second.incarnation > digest.incarnation) {
        return false;
    }
    if (const InstanceId *other = this->findByAddress(digest.address); other && *other != digest.instance) {
        const auto place = this->known.find(*other);
        if (place->second.incarnation > digest.incarnation) {
            return false;
        }
        this->known.erase(place);
    }
    Member &member = this->known[digest.instance];
    const bool restarted = member.incarnation < digest.incarnation;
    member.revision = restarted ? digest.revision : std::max(member.revision, digest.revision);
    member.leaving = digest.leaving || (member.leaving && !restarted);
    member.knownSince = member.heardAt ? member.knownSince : now;
    member.zone = digest.zone;
    member.address = digest.address;
    member.incarnation = digest.incarnation;
    member.heardAt = now;
    member.failures = 0;
    member.suspected = false;
    this->seeds.erase(digest.address);
    return true;
}

void Membership::onCallFailed(const std::string &address)
{
    const InstanceId *id = this->findByAddress(address);
    if (!id) {
        return;
    }
    Member &member = this->known.at(*id);
    ++member.failures;
    member.suspected = member.failures >= this->limits.suspectAfter;
}

void Membership::dropSeed(const std::string &address)
{
    this->seeds.erase(address);
}

void Membership::setUrgent(bool wanted) noexcept
{
    this->urgent = wanted;
}

void Membership::announce()
{
    this->announceWanted = true;
}

MembershipActions Membership::tick(TimePoint now)
{
    MembershipActions actions;
    if (now >= this->roundEnd) {
        this->removeSilent(now, false, actions);
        this->expireSeeds(now);
        this->startRound(now);
    }
    if (this->announceWanted && now - this->announcedAt >= this->limits.announcePause) {
        this->announceWanted = false;
        this->announcedAt = now;
        actions.call = this->partners;
        for (auto &[partner, at] : this->due) {
            at = std::max(at, now + this->limits.announcePause);
        }
        return actions;
    }
    for (auto call = this->due.begin(); call != this->due.end();) {
        if (call->second > now) {
            ++call;
            continue;
        }
        actions.call.push_back(call->first);
        call = this->due.erase(call);
    }
    return actions;
}

void Membership::startRound(TimePoint now)
{
    ++this->round;
    const Milliseconds length = this->urgent ? this->limits.urgentRound : this->limits.round;
    this->roundEnd = now + length;
    this->formerPartners = std::move(this->partners);
    this->partners = this->choosePartners();
    this->due.clear();
    // Spread over the round, so that some partner's word is always recent.
    const auto count = static_cast<int>(std::max<std::size_t>(this->partners.size(), 1));
    int place = 0;
    for (const std::string &partner : this->partners) {
        this->due[partner] = this->round == 1 ? now : now + length * place / count;
        ++place;
    }
}

std::vector<std::string> Membership::choosePartners() const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[id, member] : this->known) {
        if (!member.leaving) {
            (member.zone == this->zone ? near : far).push_back(member.address);
        }
    }
    far.insert(far.end(), this->seeds.begin(), this->seeds.end());
    if (near.size() + far.size() > this->limits.meshSize) {
        near = chooseByRendezvous(this->self.str(), near, this->limits.zonePartners, this->round);
        const std::size_t spare = this->limits.zonePartners - near.size();
        far = chooseByRendezvous(this->self.str(), far, this->limits.otherPartners + spare, this->round);
    }
    near.insert(near.end(), far.begin(), far.end());
    // The order of the calls differs between instances, so that they do not all call the same one at once.
    return chooseByRendezvous(this->self.str(), near, near.size());
}

void Membership::removeSilent(TimePoint now, bool listIsNew, MembershipActions &actions)
{
    for (auto place = this->known.begin(); place != this->known.end();) {
        const Member &member = place->second;
        const bool silent = now - member.heardAt.value_or(member.knownSince) > this->limits.removeAfter;
        // Silence alone removes nobody: an instance cut off from all others would become a majority of one.
        const bool gone = silent && (member.leaving || (listIsNew && !member.listed));
        if (!gone) {
            ++place;
            continue;
        }
        actions.close.push_back(member.address);
        place = this->known.erase(place);
    }
}

void Membership::expireSeeds(TimePoint now)
{
    if (this->firstListAt && now - *this->firstListAt > this->limits.seedGrace) {
        this->seeds.clear();
    }
}

TimePoint Membership::nextDue() const
{
    TimePoint next = this->roundEnd;
    for (const auto &[partner, at] : this->due) {
        next = std::min(next, at);
    }
    if (this->announceWanted) {
        next = std::min(next, this->announcedAt + this->limits.announcePause);
    }
    return next;
}

const std::map<InstanceId, Member> &Membership::members() const noexcept
{
    return this->known;
}

const InstanceId *Membership::findByAddress(const std::string &address) const
{
    for (const auto &[id, member] : this->known) {
        if (member.address == address) {
            return &id;
        }
    }
    return nullptr;
}

std::vector<std::string> Membership::zoneMembers() const
{
    std::vector<std::string> names{this->self.str()};
    for (const auto &[id, member] : this->known) {
        if (member.zone == this->zone && !member.leaving && !member.suspected) {
            names.push_back(id.str());
        }
    }
    return names;
}

bool Membership::isReader() const
{
    const std::vector<std::string> candidates = this->zoneMembers();
    const std::size_t count = std::max(this->limits.zoneReaders, candidates.size() / this->limits.zoneShare);
    if (candidates.size() <= count) {
        return true;
    }
    const auto readers = chooseByRendezvous("reader/" + this->zone.str(), candidates, count);
    return std::find(readers.begin(), readers.end(), this->self.str()) != readers.end();
}

Electorate Membership::electorate() const
{
    Electorate result;
    const bool mesh = this->known.size() + this->seeds.size() <= this->limits.meshSize;
    std::set<std::string> sample(this->partners.begin(), this->partners.end());
    sample.insert(this->formerPartners.begin(), this->formerPartners.end());
    for (const auto &[id, member] : this->known) {
        if (member.leaving || (!mesh && !sample.contains(member.address))) {
            continue;
        }
        result.peers.push_back(id);
        if (member.zone != this->zone) {
            result.otherZones.insert(id);
        }
    }
    result.sampled = !mesh;
    const auto counts = [&](const std::string &seed) {
        return mesh || sample.contains(seed);
    };
    result.unknown = static_cast<std::size_t>(std::count_if(this->seeds.begin(), this->seeds.end(), counts));
    return result;
}

} // namespace parsleyvane
