/**
 * @file
 * @brief Distributes accepted configurations to every instance, and tracks when the one in force was last confirmed.
 *
 * Pure: `(event, now) -> actions`. docs/DECISIONS/configuration-spread.md gives the reasons and the limits of the
 * guarantees.
 */
#pragma once

#include "parsleyvane/core/blackboard.h"
#include "parsleyvane/membership/membership.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief Intervals and bounds of the distribution.
struct SpreadLimits
{
    Milliseconds readInterval{500}; ///< between reads of the store by a reader or by an instance that is behind
    Milliseconds selfReadConfirmationAge{1500}; ///< age of the last confirmation at which a non-reader reads the store
    Milliseconds initialSelfReadInterval{750}; ///< between such reads; doubles with each consecutive failure
    Milliseconds maxSelfReadInterval{6000};
    std::size_t maxInFlightReads = 4; ///< reads in flight at once, while the store is slow
    Milliseconds readTimeout{3000}; ///< after this time without an answer a read has failed
    Milliseconds storeAnswerMaxAge{1500}; ///< after this time without an answer the store is unreachable
    Milliseconds replyMaxAge{configurationStalenessLimit}; ///< older replies of peers are dropped
    Milliseconds reachReportMaxAge{2000}; ///< older reports that a peer reaches the store are ignored
    Milliseconds startupGracePeriod{1000}; ///< time after the start in which answers that may be stale are not applied
    Milliseconds unresponsiveAfter{700}; ///< age of an unanswered read at which the store counts as unresponsive
    Milliseconds fetchRetryDelay{300}; ///< between fetches of a document after a failure
    Milliseconds fetchTimeout{2000}; ///< after this time without an answer a fetch is repeated
    Milliseconds failedSourceExclusion{1000}; ///< no fetch from a peer for this time after its fetch failed
};

/// @brief Time passed; carries the current view of the fleet.
struct SpreadTick
{
    bool reader = false;
    Electorate electorate;
};

/// @brief The store answered a read.
struct StoreAnswered
{
    TimePoint requestedAt{};
    Revision revision; ///< 0 if there is no configuration
    std::string changeId;
    bool current = true; ///< false if the answer may come from a stale copy
};

/// @brief A read of the store failed, or its answer was invalid.
struct StoreFailed
{
    TimePoint requestedAt{};
};

/// @brief A peer replied to a call of this instance.
struct PeerReplied
{
    Digest digest;
    TimePoint requestedAt{};
};

/// @brief A peer called this instance. The call may have waited in a buffer, so its digest confirms nothing.
struct PeerCallReceived
{
    Digest digest;
};

/// @brief A peer sent a configuration document.
struct DocumentFetched
{
    Revision revision;
    std::string changeId;
};

/// @brief A fetch of the document from this peer failed.
struct FetchFailed
{
    InstanceId peer;
};

using SpreadEvent
    = std::variant<SpreadTick, StoreAnswered, StoreFailed, PeerReplied, PeerCallReceived, DocumentFetched, FetchFailed>;

/// @brief Read the newest revision from the store now.
struct ReadStore
{
};

/// @brief Fetch the document of this revision or a higher one from the peer.
struct FetchDocument
{
    InstanceId peer;
    Revision revision;
};

/// @brief Apply the document of this revision, which was just received.
struct PutInForce
{
    Revision revision;
};

/// @brief Exchange digests with all partners now.
struct Announce
{
};

using SpreadAction = std::variant<ReadStore, FetchDocument, PutInForce, Announce>;
using SpreadActions = std::vector<SpreadAction>;

/**
 * @brief Distribution of the configuration, seen from one instance.
 *
 * Invariants under loss, delay, duplication and reordering of events: the revision in force never decreases; no
 * revision above it had been committed at `confirmations().storeConfirmedAt`, provided that the store's answers were
 * `current`. Complexity of an event: linear in the electorate.
 *
 * @code
 * for (const SpreadAction &action : spread.handle(SpreadTick{reader, electorate}, now)) { carryOut(action); }
 * @endcode
 */
class ConfigurationSpread
{
public:
    // constructors
    explicit ConfigurationSpread(TimePoint startedAt, SpreadLimits limits = {});

    // modifiers
    /// @brief Handles an event.
    /// @return the actions, to be carried out in order
    SpreadActions handle(const SpreadEvent &event, TimePoint now);

    // observers
    /// @brief The revision in force; 0 if there is none.
    Revision revision() const noexcept;
    /// @brief Times at which the revision in force was last confirmed as the newest.
    const ConfigurationConfirmations &confirmations() const noexcept;
    /// @brief Whether reads of the store fail or are overdue, and the store counts as unreachable.
    bool isStoreUnresponsive(TimePoint now) const;
    /// @brief Sets the digest's fields about the configuration and the store.
    void describe(Digest &digest, TimePoint now) const;
    /// @brief Time of the next SpreadTick.
    TimePoint nextDue(bool reader, TimePoint now) const;

private:
    struct PeerReport
    {
        TimePoint at{}; ///< send time of the call that the peer replied to
        Revision revision;
        bool isStoreReachable = false;
        std::optional<TimePoint> confirmedAt;
    };
    struct Visitor;

    void onTick(const SpreadTick &tick, TimePoint now, SpreadActions &actions);
    void onStoreAnswered(const StoreAnswered &answer, TimePoint now, SpreadActions &actions);
    void onStoreFailed(const StoreFailed &failure, SpreadActions &actions);
    void onPeerReplied(const PeerReplied &reply, TimePoint now);
    void onPeerCallReceived(const Digest &digest, TimePoint now);
    void onFetched(const DocumentFetched &document, TimePoint now, SpreadActions &actions);
    void activateRevision(Revision revision, const std::string &changeId, SpreadActions &actions);
    void confirmFromPeers();
    void confirmFromMajority(TimePoint now);
    bool reportsReachableStore(const PeerReport &report, TimePoint now) const;
    std::size_t peersForMajority() const;
    std::optional<Revision> startingRevision(TimePoint now) const;
    void fetchIfBehind(TimePoint now, SpreadActions &actions);
    std::optional<InstanceId> chooseSource(Revision wanted, TimePoint now);
    void readIfDue(bool reader, TimePoint now, SpreadActions &actions);
    static void announceIf(bool stateChanged, SpreadActions &actions);
    Milliseconds currentReadInterval(bool reader) const;
    TimePoint readDueAt(bool reader) const;

    SpreadLimits limits;
    TimePoint startedAt;
    Revision inForce;
    std::string inForceChangeId;
    Revision highestReportedRevision;
    TimePoint highestReportedAt{};
    ConfigurationConfirmations newestConfirmations;
    bool everConfirmed = false;
    bool isStoreReachable = false;
    std::optional<TimePoint> readAt; ///< send time of the latest read
    std::optional<TimePoint> answeredAt; ///< arrival of the latest answer
    std::vector<TimePoint> inFlightReads;
    unsigned failedReads = 0; ///< consecutive
    std::map<InstanceId, PeerReport> peerReports;
    std::map<InstanceId, Revision> reportedRevisions; ///< latest revision of each peer, from calls and replies
    Electorate electorate;
    std::optional<TimePoint> fetchingSince;
    TimePoint fetchNotBefore{};
    std::map<InstanceId, TimePoint> failedFetches;
};

} // namespace parsleyvane
