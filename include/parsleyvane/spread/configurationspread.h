/**
 * @file
 * @brief Brings an accepted configuration into force at every instance, and tells how fresh the one in force is.
 *
 * Pure: `(event, now) -> actions`. docs/DECISIONS/configuration-spread.md gives the reasons and the limits of what is
 * guaranteed.
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

/// @brief Times and bounds of the spread.
struct SpreadLimits
{
    Milliseconds readInterval{500}; ///< between reads of the store by a reader
    Milliseconds selfReadAge{1500}; ///< age of the confirmation at which a non-reader reads the store itself
    Milliseconds selfReadPause{750}; ///< between such reads at first; doubles with each failure
    Milliseconds selfReadPauseMost{6000};
    std::size_t openReads = 4; ///< reads under way at once, while the store is slow
    Milliseconds readLost{3000}; ///< a read unanswered so long counts as failed
    Milliseconds reachAge{1500}; ///< without an answer for so long, the store is out of reach
    Milliseconds heardWindow{configurationStalenessLimit}; ///< an answer of a peer older than this counts no more
    Milliseconds reachWindow{2000}; ///< how long a peer's word that it reaches the store counts
    Milliseconds startPatience{1000}; ///< a starting instance listens so long before it takes a plain read's answer
    Milliseconds silentAfter{700}; ///< a read unanswered so long speaks against the store
    Milliseconds fetchPause{300}; ///< between fetches of a document that failed
    Milliseconds fetchLost{2000}; ///< a fetch unanswered so long counts as failed
    Milliseconds fetchFailedFor{1000}; ///< how long a peer that failed to hand over is passed over
};

/// @brief Time passed, and the fleet looks like this.
struct SpreadTick
{
    bool reader = false;
    Electorate electorate;
};

/// @brief The store answered a read.
struct StoreAnswered
{
    TimePoint requestedAt{};
    Revision revision; ///< 0 when there is no configuration
    std::string changeId;
    bool current = true; ///< whether the answer cannot have come from an old copy
};

/// @brief The store did not answer a read, or not usefully.
struct StoreFailed
{
    TimePoint requestedAt{};
};

/// @brief A peer answered this instance's own call.
struct PeerReplied
{
    Digest digest;
    TimePoint requestedAt{};
};

/// @brief A peer's call came in. It may have waited in a buffer, so it proves no freshness.
struct PeerCallReceived
{
    Digest digest;
};

/// @brief A peer handed over a document.
struct DocumentFetched
{
    Revision revision;
    std::string changeId;
};

/// @brief A peer did not hand over the document.
struct FetchFailed
{
    InstanceId peer;
};

using SpreadEvent
    = std::variant<SpreadTick, StoreAnswered, StoreFailed, PeerReplied, PeerCallReceived, DocumentFetched, FetchFailed>;

/// @brief Read the store now.
struct ReadStore
{
};

/// @brief Fetch the document of at least this revision from the peer.
struct FetchDocument
{
    InstanceId peer;
    Revision revision;
};

/// @brief The document of this revision, just received, is in force from now on.
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
 * @brief Spread of the configuration, seen from one instance.
 *
 * What it holds, over any loss, delay, repeat and reordering of events: the revision in force only rises; at the time
 * `freshness().storeConfirmedAt` no higher revision than the one in force was committed, as long as the store's answers
 * were `current`. Complexity of an event: linear in the electorate.
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
    /// @brief Takes in an event. Actions are to be carried out in order.
    SpreadActions handle(const SpreadEvent &event, TimePoint now);

    // observers
    /// @brief The revision in force; 0 for none.
    Revision revision() const noexcept;
    /// @brief Evidence that the revision in force is the newest.
    const ConfigurationConfirmations &confirmations() const noexcept;
    /// @brief Whether the store was asked and does not answer.
    bool isStoreUnresponsive(TimePoint now) const;
    /// @brief Fills in what a digest tells of the configuration.
    void describe(Digest &digest, TimePoint now) const;
    /// @brief When the next SpreadTick is worth giving.
    TimePoint nextDue(bool reader, TimePoint now) const;

private:
    struct Heard
    {
        TimePoint at{}; ///< when the call was sent that it answered
        Revision revision;
        bool isStoreReachable = false;
        std::optional<TimePoint> confirmedAt;
    };
    struct Visitor;

    void onTick(const SpreadTick &tick, TimePoint now, SpreadActions &actions);
    void onStoreAnswered(const StoreAnswered &answer, TimePoint now, SpreadActions &actions);
    void onStoreFailed(const StoreFailed &failure, SpreadActions &actions);
    void onPeerReplied(const PeerReplied &reply, TimePoint now);
    void onPeerAsked(const Digest &digest, TimePoint now);
    void onFetched(const DocumentFetched &document, TimePoint now, SpreadActions &actions);
    void raise(Revision revision, const std::string &changeId, SpreadActions &actions);
    void confirmFromPeers();
    void confirmFromMajority(TimePoint now);
    bool someoneReachesStore(const Heard &word, TimePoint now) const;
    std::size_t othersNeeded() const;
    std::optional<Revision> startingRevision(TimePoint now) const;
    void fetchIfBehind(TimePoint now, SpreadActions &actions);
    std::optional<InstanceId> chooseSource(Revision wanted, TimePoint now);
    void readIfDue(bool reader, TimePoint now, SpreadActions &actions);
    static void announceIf(bool news, SpreadActions &actions);
    Milliseconds readPause(bool reader) const;
    TimePoint readDueAt(bool reader) const;

    SpreadLimits limits;
    TimePoint startedAt;
    Revision inForce;
    std::string inForceChange;
    Revision highestHeard;
    TimePoint highestHeardAt{};
    ConfigurationConfirmations fresh;
    bool everConfirmed = false;
    bool isStoreReachable = false;
    std::optional<TimePoint> readAt; ///< latest read asked for
    std::optional<TimePoint> answeredAt; ///< latest answer's arrival
    std::vector<TimePoint> openReads;
    unsigned failedReads = 0; ///< in a row
    std::map<InstanceId, Heard> heard;
    std::map<InstanceId, Revision> hints; ///< revisions that peers told of in calls of their own
    Electorate electorate;
    std::optional<TimePoint> fetchingSince;
    TimePoint fetchNotBefore{};
    std::map<InstanceId, TimePoint> failedFetch;
};

} // namespace parsleyvane
