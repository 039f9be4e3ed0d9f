/**
 * @file
 * @brief Tracks the instances of the fleet and their liveness, and chooses partners for heartbeats.
 *
 * Pure: `(event, now) -> actions`. docs/DECISIONS/membership.md gives the reasons.
 */
#pragma once

#include "parsleyvane/membership/digest.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief Intervals and bounds of the heartbeats.
struct MembershipLimits
{
    Milliseconds roundLength{3000}; ///< each partner is called once per round
    Milliseconds urgentRoundLength{1650}; ///< the same while the store is unreachable
    std::size_t meshSize = 8; ///< up to this number of other instances, all are partners
    std::size_t zonePartners = 4; ///< in a larger fleet: partners in the same availability zone
    std::size_t otherPartners = 2; ///< in a larger fleet: partners in the other zones together
    std::size_t minReadersPerZone = 2; ///< instances of a zone that read the store, at least
    std::size_t instancesPerReader = 16; ///< one reader of the store per this number of instances of a zone
    unsigned suspectAfter = 2; ///< consecutive failed calls until a member is suspected
    Milliseconds removeAfter{30000}; ///< time without a digest after which a leaving or unlisted member is removed
    Milliseconds seedGracePeriod{120000}; ///< time after the first list until unmatched seeds are dropped
    Milliseconds minAnnounceInterval{250}; ///< minimum time between unscheduled calls of all partners
};

/// @brief An entry of the platform's list of instances.
struct ListedInstance
{
    InstanceId instance;
    ZoneId zone;
    std::string address;
    bool leaving = false;
};

/// @brief Known state of another instance.
struct Member
{
    ZoneId zone;
    std::string address;
    Incarnation incarnation;
    Revision revision;
    std::optional<TimePoint> lastReceivedAt; ///< of the last digest; empty if known from the list only
    TimePoint knownSince{};
    unsigned failures = 0; ///< consecutive failed calls
    bool suspected = false;
    bool leaving = false;
    bool listed = false;
};

/// @brief The instances that count towards a majority of the fleet.
struct Electorate
{
    std::vector<InstanceId> peers;
    std::size_t unmatchedSeeds = 0; ///< seeds not yet matched to a member
    std::set<InstanceId> otherZones; ///< those of `peers` outside this instance's zone
    bool sampled = false; ///< in a large fleet: `peers` are only the partners of the last two rounds
};

/// @brief Actions that the caller carries out after an event.
struct MembershipActions
{
    std::vector<std::string> call; ///< addresses to exchange digests with
    std::vector<std::string> close; ///< addresses of removed members, whose connections are closed
};

/**
 * @brief The fleet as seen from one instance. Complexity of an event: linear in the fleet at a round's start, else
 * logarithmic.
 *
 * @code
 * membership.setSeeds({"10.0.0.2:7300"});
 * for (const auto &address : membership.tick(now).call) { exchange(address); }
 * @endcode
 */
class Membership
{
public:
    // constructors
    Membership(InstanceId self, ZoneId zone, std::string address, Incarnation incarnation,
               MembershipLimits limits = {});

    // modifiers
    /// @brief Adds addresses of instances that are called before their identifiers are known.
    void setSeeds(const std::vector<std::string> &addresses);
    /// @brief Merges the platform's list. It may be out of date: it adds members, and removes only those without a
    /// recent digest.
    MembershipActions onList(const std::vector<ListedInstance> &list, TimePoint now);
    /// @brief Merges a digest from a call or a reply.
    /// @return false for a digest of this instance or of an outdated incarnation, which changes nothing
    bool onDigest(const Digest &digest, TimePoint now);
    /// @brief Removes a seed, for example one whose address is this instance's own.
    void dropSeed(const std::string &address);
    /// @brief Sets whether rounds are short. They are while the store does not answer and peers alone confirm the
    /// configuration.
    void setUrgent(bool wanted) noexcept;
    /// @brief Counts a failed call to this address.
    void onCallFailed(const std::string &address);
    /// @brief Starts a round when one is due, and returns the calls due by now.
    MembershipActions tick(TimePoint now);
    /// @brief Requests an unscheduled call of all partners, because this instance's state changed.
    void announce();

    // observers
    /// @brief When tick() is next due.
    TimePoint nextDue() const;
    /// @brief The other instances known, without removed ones.
    const std::map<InstanceId, Member> &members() const noexcept;
    /// @brief The member at this address; null when there is none. Complexity: logarithmic.
    const InstanceId *findByAddress(const std::string &address) const;
    /// @brief Whether this instance is one of those that read the store for its zone.
    bool isReader() const noexcept;
    /// @brief The instances that count towards a majority of the fleet.
    Electorate electorate() const;

private:
    std::vector<std::string> choosePartners() const;
    void startRound(TimePoint now);
    void removeInactive(TimePoint now, bool listIsNew, MembershipActions &actions);
    void expireSeeds(TimePoint now);
    std::vector<std::string> zoneMembers() const;
    std::map<InstanceId, Member>::iterator remove(std::map<InstanceId, Member>::iterator place);
    void chooseReaders();
    void addListed(const ListedInstance &row, TimePoint now);
    void updateAddress(const InstanceId &id, Member &member, const std::string &address);
    void addVoter(const InstanceId &id, const Member &member, Electorate &electorate) const;

    InstanceId self;
    ZoneId zone;
    std::string address;
    Incarnation incarnation;
    MembershipLimits limits;
    std::map<InstanceId, Member> known;
    std::map<std::string, InstanceId> byAddress; ///< index of `known`
    std::set<std::string> seeds; ///< addresses not yet matched to a member
    bool reader = true;
    std::optional<TimePoint> firstListAt;
    std::map<std::string, TimePoint> due; ///< remaining calls of this round
    std::vector<std::string> partners; ///< of this round
    std::vector<std::string> previousPartners; ///< of the round before
    std::uint64_t round = 0;
    TimePoint roundEnd{};
    TimePoint announcedAt{};
    bool announcePending = false;
    bool urgent = false;
};

} // namespace parsleyvane
