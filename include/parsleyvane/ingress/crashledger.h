/**
 * @file
 * @brief Detects what crashes every upstream that runs it, from the crashes that all instances observe.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "parsleyvane/quarantine/quarantine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief What a request is made of, as far as it may crash an upstream: the shared parts of its prompt in order, then
/// the request as a whole.
using CrashSuspects = std::vector<Fingerprint>;

/**
 * @brief Fingerprints the suspects of a request. Complexity: linear in the parts and the body.
 * @param sharedParts ids of the prompt's parts that other requests may contain too; at most 32 are considered
 */
CrashSuspects crashSuspects(const std::vector<std::string_view> &sharedParts, std::string_view caller,
                            std::string_view body);

/// @brief A crashed upstream process, and what it was running before or right after its first event.
struct CrashReport
{
    /// Upstream id and process start, so that crashes of two processes of one upstream count twice.
    std::string site;
    TimePoint at{};
    /// By fingerprint: the position within its request. A later one is shared by fewer requests.
    std::map<Fingerprint, unsigned> suspects;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// @brief An upstream answered a request that contains the suspect.
struct SuspectCleared
{
    Fingerprint print;
    TimePoint at{};

    friend bool operator==(const SuspectCleared &, const SuspectCleared &) = default;
};

/// @brief A request with a blocked suspect was sent all the same, to find out whether the block still holds.
struct SuspectTrial
{
    Fingerprint print;
    TimePoint at{}; ///< when the latest trial was sent
    unsigned failed = 0; ///< trials that ended in a crash

    friend bool operator==(const SuspectTrial &, const SuspectTrial &) = default;
};

/// @brief What one instance knows about crashes and publishes to the others. Times are on the store's clock there.
struct CrashEvidence
{
    std::vector<CrashReport> crashes;
    std::vector<SuspectCleared> cleared;
    std::vector<SuspectTrial> trials;

    friend bool operator==(const CrashEvidence &, const CrashEvidence &) = default;
};

/// @brief The evidence with all times moved by the offset, for another clock.
CrashEvidence shifted(CrashEvidence evidence, Milliseconds offset);

/// @brief A suspect was blocked or unblocked.
struct BlockChange
{
    Fingerprint print;
    bool isBlocked = false;
    std::set<std::string> sites; ///< the crashes that blocked it
    Milliseconds age{0}; ///< of the newest of them
};

/// @brief The instances that take turns in trials.
struct TrialPeers
{
    InstanceId self;
    ZoneId zone;
    std::vector<ZoneId> zones; ///< of the deployment
    std::vector<InstanceId> zoneMembers; ///< in this instance's zone; empty until they are known
};

/// @brief Tunable values of CrashLedger.
struct CrashLimits
{
    std::size_t crashesToBlock = 3; ///< number of sites from which on a suspect is blocked
    Milliseconds retention{120000}; ///< of a crash that blocks nothing
    Milliseconds blockRetention{600000}; ///< of a block, after the latest crash
    Milliseconds answerRetention{10000}; ///< reports of a crash arrive within this time
    Milliseconds lifeMargin{100}; ///< bytes of a crashed process may be read this long after the crash was observed
    std::size_t maxSites = 256; ///< when full, a new crash replaces the oldest that blocks nothing
    std::size_t maxSuspects = 64; ///< of one crash
    std::size_t maxAnswers = 8192; ///< suspects whose latest answer is known
    std::size_t maxReported = 24; ///< crashes in report(), which keeps the row small
    Milliseconds partTrialDelay{1500}; ///< from the latest crash to the first trial of a shared part
    /// As partTrialDelay, for a whole request: others are not refused with it, and few of its repeats may be sent.
    Milliseconds requestTrialDelay{10000};
    unsigned trialBackoff = 4; ///< factor of the delay for the second trial
    unsigned maxPartTrials = 2; ///< that crashed an upstream; then the block of a shared part stays until its end
    unsigned maxRequestTrials = 1; ///< the same for a whole request
    /// Trials begin when so many requests in a row that begin with the same suspect were refused: then the block keeps
    /// away most of the requests of their kind, not a few among them.
    unsigned refusedBeforeTrial = 3;
    Milliseconds trialPatience{4000}; ///< an undecided trial is repeated after this
    Milliseconds trialSpacing{2000}; ///< between the turns of two instances; evidence spreads within a second
};

/**
 * @brief Collects the crashes of upstream processes and blocks what they have in common.
 *
 * Each crash has a set of suspects: all that the process was running before or right after its first event. A later
 * answer to a request that contains a suspect clears it. A sign of life from the process shows that only connections
 * broke. The suspect with the most crashes is blocked and explains them, so that what merely accompanied it isn't
 * blocked too; of several with as many crashes, the last in the request is blocked, as it is shared by the fewest
 * requests. Reports of other instances may be late, repeated or out of order. Complexity: logarithmic in the suspects
 * unless said otherwise.
 *
 * A block keeps away the answers that could refute it, so a single request is sent as a trial from time to time. The
 * instances take turns in an order by the hash of their names, and publish when they have sent one.
 */
class CrashLedger
{
public:
    // constructors
    explicit CrashLedger(CrashLimits limits = {});

    // modifiers
    /// @brief Sets the instances that take turns in trials. Without members this one sends none.
    void setTrialPeers(TrialPeers newPeers);
    /// @brief Records that a request is admitted without a blocked suspect.
    void onAdmitted(const CrashSuspects &suspects);
    /// @brief Reserves the trial of all blocked suspects of a request for it. Call it once for each request that is
    /// refused otherwise. @return whether the trial is due, and this instance's turn. Complexity: linear in the crashes
    /// of the blocks.
    bool beginTrial(const CrashSuspects &suspects, TimePoint now);
    /// @brief Records that the request of a trial is sent; the others need to know.
    void onTrialSent(const CrashSuspects &suspects, TimePoint now);
    /// @brief Ends the reservation of beginTrial(), whether or not the request was sent.
    void endTrial(const CrashSuspects &suspects);
    /// @brief Records that the connection broke before any event, or right after the first one. Complexity: linear in
    /// the crashes.
    /// @param site as in CrashReport
    void onLost(const CrashSuspects &suspects, const std::string &site, TimePoint now);
    /// @brief Records a sign of life from a process. Complexity: linear in the crashes when it refutes one.
    void onAlive(const std::string &site, TimePoint now);
    /// @brief Records that a process has answered, or has streamed for a while. Complexity: linear in the crashes.
    /// @return whether the others need to know: without this answer they might block one of the suspects
    bool onAnswered(const CrashSuspects &suspects, const std::string &site, TimePoint now);
    /// @brief Adds the evidence of other instances. Complexity: linear in the evidence; in the crashes and their
    /// suspects too when it holds something new.
    void merge(const CrashEvidence &evidence, TimePoint now);
    /// @brief Adds what this instance had published before it restarted; it is published again.
    void restore(const CrashEvidence &evidence, TimePoint now);
    /**
     * @brief Removes what is older than its retention. Complexity: linear.
     *
     * A block ends after blockRetention, but one further crash within as long renews it.
     */
    void expire(TimePoint now);
    /// @brief The blocks that began or ended since the last call.
    std::vector<BlockChange> takeChanges();

    // observers
    /// @brief The suspect that has crashed too many upstream processes for the request to be sent, if any.
    std::optional<Fingerprint> blockedOf(const CrashSuspects &suspects) const;
    /// @brief Whether a suspect was in a crash that nothing has refuted. Complexity: linear in the crashes.
    bool isSuspected(const CrashSuspects &suspects) const;
    /// @brief The evidence that this instance has observed itself, the newest crashes only. Complexity: linear.
    CrashEvidence report() const;
    /// @brief How often the suspects of all crashes were compared, which takes most of the ledger's time.
    std::uint64_t comparisons() const noexcept
    {
        return this->comparisonCount;
    }

private:
    struct Crash
    {
        TimePoint at{};
        std::map<Fingerprint, unsigned> suspects;
        std::map<Fingerprint, unsigned> ownSuspects; ///< observed by this instance
        TimePoint aliveAt{}; ///< the latest sign of life from the process
        TimePoint keptUntil{}; ///< set while it blocks a suspect
    };
    struct Answers
    {
        TimePoint known{}; ///< by any instance
        TimePoint published{}; ///< by any instance, for all to know
        bool isOwn = false; ///< this instance has published it
    };
    struct Trials
    {
        TimePoint at{}; ///< when the latest was sent, by any instance
        unsigned failed = 0; ///< how many ended in a crash
        bool isOwn = false; ///< this instance publishes them
        bool isReserved = false; ///< a request of this instance is the trial
    };

    Crash &crashAt(const std::string &site, TimePoint at);
    void add(const CrashEvidence &evidence, TimePoint now, bool own);
    /// Returns whether the report says something new.
    bool addCrash(const CrashReport &report, bool own);
    void makeRoom();
    TimePoint newestOf(const std::set<std::string> &sites) const;
    bool isRefuted(const Crash &crash) const;
    bool accuses(const Crash &crash, const Fingerprint &print, bool publishedOnly) const;
    std::size_t crashesOf(const Fingerprint &print, bool publishedOnly) const;
    /// This instance's place in the order of all instances.
    std::size_t trialTurn(const Fingerprint &print, unsigned round) const;
    TimePoint trialDue(const Fingerprint &print, const std::set<std::string> &sites) const;
    void update(TimePoint now);

    CrashLimits limits;
    std::map<std::string, Crash> crashes; ///< by site
    std::map<Fingerprint, Answers> answers;
    std::map<Fingerprint, std::set<std::string>> blocked; ///< with the sites that it explains
    std::map<Fingerprint, Trials> trials;
    std::map<Fingerprint, unsigned> refusedInRow; ///< by the first suspect of the requests
    TrialPeers peers;
    std::vector<BlockChange> changes;
    std::uint64_t comparisonCount = 0;
};

} // namespace parsleyvane
