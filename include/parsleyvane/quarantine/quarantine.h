/**
 * @file
 * @brief Finds requests that crash each upstream which runs them, and stops them over the whole fleet.
 *
 * A crash makes every request in flight at that upstream a suspect, unless the same request was answered just before or
 * since. A suspect runs alone, at one instance only; whole
 * answers clear it, a second crash quarantines it. Evidence is kept for each upstream and witness and merges by
 * union, so reports of peers may come late, twice or out of order. docs/DECISIONS/quarantine.md weighs the ways.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief What a request is, whatever identifier its caller gives it.
using Fingerprint = StrongId<struct FingerprintTag>;

/**
 * @brief The fingerprint of a request's account and content. Complexity: linear.
 * @param content what reaches the upstream, with the model and version: a request may crash one version and not another
 */
Fingerprint fingerprint(const AccountId &account, std::string_view content);

/// @brief Which upstream crashed, and which instance had the request in flight there.
struct CrashSite
{
    UpstreamId upstream;
    InstanceId witness;

    // The linter takes the zero of the generated comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const CrashSite &, const CrashSite &) = default;
};

/**
 * @brief Crashes at one site, each known by its time on the witness's clock, which is only compared with other times of
 * the same witness.
 */
struct CrashTimes
{
    std::set<TimePoint> open; ///< not excused by a whole answer
    TimePoint clearedUpTo = TimePoint::min(); ///< crashes up to this one are excused; only rises

    friend bool operator==(const CrashTimes &, const CrashTimes &) = default;
};

/// @brief What one instance tells another of one fingerprint.
struct SuspectReport
{
    Fingerprint fingerprint;
    std::map<CrashSite, CrashTimes> sites;
    Milliseconds sinceLastCrash{0}; ///< an age, since clocks of instances do not agree

    friend bool operator==(const SuspectReport &, const SuspectReport &) = default;
};

/// @brief Bounds of the quarantine.
struct QuarantineLimits
{
    Milliseconds propagationTime{500}; ///< until peers know of a crash
    Milliseconds life{3600000}; ///< until evidence is forgotten
    Milliseconds clearedLife{10000}; ///< until a cleared suspect is forgotten; several times the spread
    Milliseconds finishMemory{10000}; ///< a whole answer excuses a crash that came up to this long after it
    std::size_t finishCapacity = 16384; ///< whole answers remembered
    Milliseconds askAgain{250}; ///< when to ask again about a suspect that runs elsewhere
    std::size_t capacity = 4096; ///< fingerprints kept
    std::size_t crashesToQuarantine = 2;
};

/// @brief No evidence against it.
struct RunUnrestricted
{
};
/// @brief A suspect: run it at an upstream that nothing else of this instance uses, and ask again just before.
struct RunInIsolation
{
    TimePoint notBefore;
};
/**
 * @brief Quarantined; or a suspect that another instance or attempt is to try, whose failure carries a retryAfter: ask
 * again then, and refuse only when the caller's deadline does not permit that.
 */
struct RefuseRun
{
    Failure failure;
};
using RunDecision = std::variant<RunUnrestricted, RunInIsolation, RefuseRun>;

/**
 * @brief One instance's part of the quarantine. Complexity: logarithmic in the fingerprints kept, unless said
 * otherwise.
 *
 * @code
 * const auto verdict = quarantine.decideRun(print, now);
 * // choose an upstream accordingly, then
 * quarantine.onDispatch(print, upstream, attempt, now);
 * // and one of onFinished(attempt, now), onEnded(attempt), onUpstreamCrash(upstream, now)
 * @endcode
 */
class Quarantine
{
public:
    // constructors
    explicit Quarantine(InstanceId self, QuarantineLimits limits = {});

    // modifiers
    /// @brief An attempt leaves for an upstream.
    void onDispatch(const Fingerprint &print, const UpstreamId &upstream, const AttemptId &attempt, TimePoint now);
    /// @brief A whole answer came: the request crashes nothing.
    void onFinished(const AttemptId &attempt, TimePoint now);
    /// @brief The attempt ended in another way (cancelled, refused, cut), which proves nothing.
    void onEnded(const AttemptId &attempt);
    /**
     * @brief The upstream's process ended. Complexity: linear in the attempts in flight.
     * @return the fingerprints that were in flight there and are suspects now
     */
    std::vector<Fingerprint> onUpstreamCrash(const UpstreamId &upstream, TimePoint now);
    /**
     * @brief Takes in what a peer reported. Complexity: linear in the reports.
     * @return whether this instance excuses a crash that the reports do not, so that peers should hear of it
     */
    bool merge(const std::vector<SuspectReport> &reports, TimePoint now);
    /// @brief Forgets evidence past its life. Complexity: linear.
    void expire(TimePoint now);

    // observers
    /// @brief Whether and how the request may run, now.
    RunDecision decideRun(const Fingerprint &print, TimePoint now) const;
    /// @brief Before this time the failure of a suspect must not be told to its caller, who might send it again where
    /// the crash is not known yet; empty when nothing is held back.
    std::optional<TimePoint> failureWithheldUntil(const Fingerprint &print, TimePoint now) const;
    /// @brief Whether a suspect runs alone at the upstream, which is then closed to everything else of this instance.
    bool isReserved(const UpstreamId &upstream) const;
    /// @brief Whether anything of this instance is in flight at the upstream.
    bool isBusy(const UpstreamId &upstream) const;
    /// @brief What to tell peers. Complexity: linear.
    std::vector<SuspectReport> report(TimePoint now) const;
    /// @brief The fingerprints that may not run at all. Complexity: linear.
    std::set<Fingerprint> quarantined(TimePoint now) const;
    /// @brief Fingerprints kept.
    std::size_t size() const noexcept;

private:
    struct Flight
    {
        Fingerprint print;
        UpstreamId upstream;
        bool alone = false;
    };
    struct UpstreamUse
    {
        std::size_t inFlight = 0;
        std::size_t alone = 0;
    };
    struct Suspect
    {
        std::map<CrashSite, CrashTimes> sites;
        TimePoint lastCrash{};
        std::optional<TimePoint> clearedAt;
    };

    struct Finish
    {
        TimePoint at;
        Fingerprint print;
    };

    static std::size_t openCrashes(const Suspect &suspect);
    static void clear(Suspect &suspect, TimePoint now);
    static void noteCleared(Suspect &suspect, TimePoint now);
    void rememberFinish(const Fingerprint &print, TimePoint now);
    bool finishedSince(const Fingerprint &print, TimePoint since) const;
    bool isOver(const Suspect &suspect, TimePoint now) const;
    static std::optional<InstanceId> trialHolder(const Suspect &suspect);
    const Suspect *findLive(const Fingerprint &print, TimePoint now) const;
    void land(std::map<AttemptId, Flight>::iterator flight);
    bool fliesAlone(const Fingerprint &print) const;
    void makeRoom();

    InstanceId self;
    QuarantineLimits limits;
    std::map<AttemptId, Flight> flights;
    std::map<UpstreamId, UpstreamUse> uses;
    std::map<Fingerprint, Suspect> suspects;
    std::map<Fingerprint, TimePoint> finished;
    std::deque<Finish> finishes;
};

} // namespace parsleyvane
