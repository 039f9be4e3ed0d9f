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
        if (row.instance != this->self && row.address != this->address) {
            this->addListed(row, now);
        }
    }
    this->removeSilent(now, true, actions);
    this->chooseReaders();
    return actions;
}

void Membership::addListed(const ListedInstance &row, TimePoint now)
{
    const auto [place, added] = this->known.try_emplace(row.instance);
    Member &member = place->second;
    member.listed = true;
    member.knownSince = added ? now : member.knownSince;
    // The list lags: what the instance itself told goes first.
    if (member.lastReceivedAt) {
        return;
    }
    member.zone = row.zone;
    member.leaving = member.leaving || row.leaving;
    this->move(row.instance, member, row.address);
    this->seeds.erase(row.address);
}

void Membership::move(const InstanceId &id, Member &member, const std::string &address)
{
    if (member.address == address) {
        return;
    }
    const auto former = this->byAddress.find(member.address);
    if (former != this->byAddress.end() && former->second == id) {
        this->byAddress.erase(former);
    }
    member.address = address;
    this->byAddress.insert_or_assign(address, id);
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
        this->forget(place);
    }
    Member &member = this->known[digest.instance];
    const Member before = member;
    const bool restarted = member.incarnation < digest.incarnation;
    member.revision = restarted ? digest.revision : std::max(member.revision, digest.revision);
    member.leaving = digest.leaving || (member.leaving && !restarted);
    member.knownSince = member.lastReceivedAt ? member.knownSince : now;
    member.zone = digest.zone;
    member.incarnation = digest.incarnation;
    member.lastReceivedAt = now;
    member.failures = 0;
    member.suspected = false;
    this->move(digest.instance, member, digest.address);
    this->seeds.erase(digest.address);
    const bool changed
        = !before.lastReceivedAt || before.zone != member.zone || before.leaving != member.leaving || before.suspected;
    if (changed) {
        this->chooseReaders();
    }
    return true;
}

std::map<InstanceId, Member>::iterator Membership::forget(std::map<InstanceId, Member>::iterator place)
{
    const auto address = this->byAddress.find(place->second.address);
    if (address != this->byAddress.end() && address->second == place->first) {
        this->byAddress.erase(address);
    }
    return this->known.erase(place);
}

void Membership::onCallFailed(const std::string &address)
{
    const InstanceId *id = this->findByAddress(address);
    if (!id) {
        return;
    }
    Member &member = this->known.at(*id);
    ++member.failures;
    const bool suspected = member.failures >= this->limits.suspectAfter;
    if (suspected != member.suspected) {
        member.suspected = suspected;
        this->chooseReaders();
    }
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
        const bool silent = now - member.lastReceivedAt.value_or(member.knownSince) > this->limits.removeAfter;
        // Silence alone removes nobody: an instance cut off from all others would become a majority of one.
        const bool gone = silent && (member.leaving || (listIsNew && !member.listed));
        if (!gone) {
            ++place;
            continue;
        }
        actions.close.push_back(member.address);
        place = this->forget(place);
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
    const auto place = this->byAddress.find(address);
    return place == this->byAddress.end() ? nullptr : &place->second;
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

void Membership::chooseReaders()
{
    const std::vector<std::string> candidates = this->zoneMembers();
    const std::size_t count = std::max(this->limits.zoneReaders, candidates.size() / this->limits.zoneShare);
    const auto readers = chooseByRendezvous("reader/" + this->zone.str(), candidates, count);
    this->reader = std::find(readers.begin(), readers.end(), this->self.str()) != readers.end();
}

bool Membership::isReader() const noexcept
{
    return this->reader;
}

Electorate Membership::electorate() const
{
    Electorate result;
    result.sampled = this->known.size() + this->seeds.size() > this->limits.meshSize;
    if (!result.sampled) {
        for (const auto &[id, member] : this->known) {
            this->addVoter(id, member, result);
        }
        result.unknown = this->seeds.size();
        return result;
    }
    std::set<std::string> sample(this->partners.begin(), this->partners.end());
    sample.insert(this->formerPartners.begin(), this->formerPartners.end());
    for (const std::string &partner : sample) {
        if (const InstanceId *id = this->findByAddress(partner)) {
            this->addVoter(*id, this->known.at(*id), result);
        }
        result.unknown += this->seeds.contains(partner) ? 1 : 0;
    }
    return result;
}

void Membership::addVoter(const InstanceId &id, const Member &member, Electorate &electorate) const
{
    if (member.leaving) {
        return;
    }
    electorate.peers.push_back(id);
    if (member.zone != this->zone) {
        electorate.otherZones.insert(id);
    }
}

} // namespace parsleyvane
