/**
 * @file
 * @brief Which instances make up the fleet, which of them are alive, and whom to exchange heartbeats with.
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

/// @brief Times and bounds of the heartbeats.
struct MembershipLimits
{
    Milliseconds round{3000}; ///< each partner is called once in a round
    Milliseconds urgentRound{1650}; ///< the same while the store is out of reach
    std::size_t meshSize = 8; ///< up to so many others are all partners
    std::size_t zonePartners = 4; ///< in a larger fleet: partners in the own availability zone
    std::size_t otherPartners = 2; ///< in a larger fleet: partners in the other zones together
    std::size_t zoneReaders = 2; ///< readers of the store in a zone, at least
    std::size_t zoneShare = 16; ///< one reader of the store for so many instances of a zone
    unsigned suspectAfter = 2; ///< failed calls in a row until a member is suspected
    Milliseconds removeAfter{30000}; ///< silence after which a member that the list lacks is removed
    Milliseconds seedGrace{120000}; ///< a seed that neither answers nor is listed counts no longer than this
    Milliseconds announcePause{250}; ///< least time between calls of all partners out of turn
};

/// @brief Another instance, as the platform's list shows it.
struct ListedInstance
{
    InstanceId instance;
    ZoneId zone;
    std::string address;
    bool leaving = false;
};

/// @brief What is known of another instance.
struct Member
{
    ZoneId zone;
    std::string address;
    Incarnation incarnation;
    Revision revision;
    std::optional<TimePoint> lastReceivedAt; ///< empty when only the list or nobody told of it directly
    TimePoint knownSince{};
    unsigned failures = 0; ///< failed calls in a row
    bool suspected = false;
    bool leaving = false;
    bool listed = false;
};

/// @brief The instances whose word counts for "most of the fleet".
struct Electorate
{
    std::vector<InstanceId> peers;
    std::size_t unknown = 0; ///< seeds that never answered
    std::set<InstanceId> otherZones; ///< those of `peers` outside the own zone
    bool sampled = false; ///< whether `peers` are only the partners of late, because the fleet is large
};

/// @brief What is to be done after an event.
struct MembershipActions
{
    std::vector<std::string> call; ///< addresses to exchange digests with now
    std::vector<std::string> close; ///< addresses whose connections are of no use any more
};

/**
 * @brief Membership of one instance. Complexity of an event: linear in the fleet at a round's start, else logarithmic.
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
    /// @brief Addresses of instances to start with.
    void setSeeds(const std::vector<std::string> &addresses);
    /// @brief Takes over the platform's list, which lags: it adds members, and removes none that were heard lately.
    MembershipActions onList(const std::vector<ListedInstance> &list, TimePoint now);
    /// @brief A digest came, as a call or as the answer to one. Returns whether it is of a current incarnation.
    bool onDigest(const Digest &digest, TimePoint now);
    /// @brief The address of a seed turned out to be this instance's own.
    void dropSeed(const std::string &address);
    /// @brief Whether rounds are to be short, because only the peers' word keeps this instance fresh.
    void setUrgent(bool wanted) noexcept;
    /// @brief A call of this address failed.
    void onCallFailed(const std::string &address);
    /// @brief Time passed.
    MembershipActions tick(TimePoint now);
    /// @brief Calls all partners soon, out of turn: there is news.
    void announce();

    // observers
    /// @brief When tick() is next due.
    TimePoint nextDue() const;
    /// @brief All other instances known, without those that left.
    const std::map<InstanceId, Member> &members() const noexcept;
    /// @brief The member at this address; null when there is none. Complexity: logarithmic.
    const InstanceId *findByAddress(const std::string &address) const;
    /// @brief Whether this instance is one that reads the store for its zone.
    bool isReader() const noexcept;
    /// @brief Whose word counts for "most of the fleet".
    Electorate electorate() const;

private:
    std::vector<std::string> choosePartners() const;
    void startRound(TimePoint now);
    void removeSilent(TimePoint now, bool listIsNew, MembershipActions &actions);
    void expireSeeds(TimePoint now);
    std::vector<std::string> zoneMembers() const;
    std::map<InstanceId, Member>::iterator forget(std::map<InstanceId, Member>::iterator place);
    void chooseReaders();
    void addListed(const ListedInstance &row, TimePoint now);
    void move(const InstanceId &id, Member &member, const std::string &address);
    void addVoter(const InstanceId &id, const Member &member, Electorate &electorate) const;

    InstanceId self;
    ZoneId zone;
    std::string address;
    Incarnation incarnation;
    MembershipLimits limits;
    std::map<InstanceId, Member> known;
    std::map<std::string, InstanceId> byAddress; ///< of the members known
    std::set<std::string> seeds; ///< addresses not yet matched to a member
    bool reader = true;
    std::optional<TimePoint> firstListAt;
    std::map<std::string, TimePoint> due; ///< calls left in this round
    std::vector<std::string> partners; ///< of this round
    std::vector<std::string> formerPartners; ///< of the round before
    std::uint64_t round = 0;
    TimePoint roundEnd{};
    TimePoint announcedAt{};
    bool announceWanted = false;
    bool urgent = false;
};

} // namespace parsleyvane
