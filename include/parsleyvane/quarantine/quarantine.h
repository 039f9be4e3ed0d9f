/**
 * @file
 * @brief Detects requests that crash the upstreams running them, and refuses them in the whole fleet.
 *
 * A crash makes every request in flight at that upstream a suspect, unless the same request completed shortly before or
 * since. A suspect runs in isolation, at one instance only; a complete answer clears it, a second crash quarantines it.
 * Evidence is kept per upstream and witness and merged by union, so reports of peers may be late, repeated or out of
 * order. docs/DECISIONS/quarantine.md compares the alternatives.
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

/// @brief Identifies a request by its account and content, independent of the client's identifiers.
using Fingerprint = StrongId<struct FingerprintTag>;

/**
 * @brief The fingerprint of a request's account and content. Complexity: linear.
 * @param content what is sent to the upstream, with the model and version: a request may crash one version only
 */
Fingerprint fingerprint(const AccountId &account, std::string_view content);

/// @brief The upstream that crashed and the instance (witness) that had the request in flight there.
struct CrashSite
{
    UpstreamId upstream;
    InstanceId witness;

    // False positive of the linter: the generated comparison contains a literal 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const CrashSite &, const CrashSite &) = default;
};

/**
 * @brief Crashes at one site, identified by their times on the witness's clock. These are compared only with times of
 * the same witness.
 */
struct CrashTimes
{
    std::set<TimePoint> open; ///< crashes not cleared by a complete answer
    TimePoint clearedUpTo = TimePoint::min(); ///< crashes up to this time are cleared; never decreases

    friend bool operator==(const CrashTimes &, const CrashTimes &) = default;
};

/// @brief Evidence on one fingerprint, as sent between instances.
struct SuspectReport
{
    Fingerprint fingerprint;
    std::map<CrashSite, CrashTimes> sites;
    Milliseconds sinceLastCrash{0}; ///< an age, since the clocks of instances are not synchronised

    friend bool operator==(const SuspectReport &, const SuspectReport &) = default;
};

/// @brief Bounds of the quarantine.
struct QuarantineLimits
{
    Milliseconds propagationTime{500}; ///< time until peers have received the report of a crash
    Milliseconds evidenceLifetime{3600000}; ///< age at which evidence is dropped
    Milliseconds clearedLifetime{10000}; ///< until a cleared suspect is dropped; several propagation times
    Milliseconds completionRetention{10000}; ///< a complete answer clears crashes up to this long after it
    std::size_t maxCompletions = 16384; ///< complete answers kept
    Milliseconds suspectRetryAfter{250}; ///< delay before a refused suspect is retried
    std::size_t capacity = 4096; ///< suspects kept
    std::size_t crashesToQuarantine = 2;
};

/// @brief No open crash: run the request without restrictions.
struct RunUnrestricted
{
};
/// @brief A suspect: run it, not before this time, at an upstream that nothing else of this instance uses. Check again
/// just before dispatch.
struct RunInIsolation
{
    TimePoint notBefore;
};
/**
 * @brief Quarantined; or a suspect whose isolated run belongs to another instance or attempt. In that case the failure
 * has a retryAfter: check again after it, and refuse the request only if its deadline is earlier.
 */
struct RefuseRun
{
    Failure failure;
};
using RunDecision = std::variant<RunUnrestricted, RunInIsolation, RefuseRun>;

/**
 * @brief The quarantine as seen from one instance. Complexity: logarithmic in the suspects kept unless stated
 * otherwise.
 *
 * @code
 * const auto decision = quarantine.decideRun(print, now);
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
    /// @brief Records an attempt dispatched to an upstream.
    void onDispatch(const Fingerprint &print, const UpstreamId &upstream, const AttemptId &attempt, TimePoint now);
    /// @brief Records a complete answer, which clears the request.
    void onFinished(const AttemptId &attempt, TimePoint now);
    /// @brief Records the end of an attempt without a complete answer (cancelled, refused, cut), which is no evidence.
    void onEnded(const AttemptId &attempt);
    /**
     * @brief Records the exit of the upstream's process. Complexity: linear in the attempts in flight.
     * @return the fingerprints that were in flight there and are now suspects
     */
    std::vector<Fingerprint> onUpstreamCrash(const UpstreamId &upstream, TimePoint now);
    /**
     * @brief Merges a peer's reports. Complexity: linear in the reports.
     * @return whether a crash open in the reports is cleared here, so that the peers need a report of it
     */
    bool merge(const std::vector<SuspectReport> &reports, TimePoint now);
    /// @brief Drops expired evidence. Complexity: linear.
    void expire(TimePoint now);

    // observers
    /// @brief Decides whether and how the request may run now.
    RunDecision decideRun(const Fingerprint &print, TimePoint now) const;
    /// @brief Time until which a suspect's failure is withheld from its client, which might otherwise send the request
    /// to an instance without the report of the crash; empty if nothing is withheld.
    std::optional<TimePoint> failureWithheldUntil(const Fingerprint &print, TimePoint now) const;
    /// @brief Whether a suspect runs in isolation at the upstream, so that this instance sends nothing else there.
    bool isReserved(const UpstreamId &upstream) const;
    /// @brief Whether this instance has an attempt in flight at the upstream.
    bool isBusy(const UpstreamId &upstream) const;
    /// @brief Reports for peers, one per suspect. Complexity: linear.
    std::vector<SuspectReport> report(TimePoint now) const;
    /// @brief The fingerprints that are quarantined. Complexity: linear.
    std::set<Fingerprint> quarantined(TimePoint now) const;
    /// @brief Number of suspects kept.
    std::size_t size() const noexcept;

private:
    struct InFlightAttempt
    {
        Fingerprint print;
        UpstreamId upstream;
        bool isolated = false;
    };
    struct UpstreamUse
    {
        std::size_t inFlight = 0;
        std::size_t isolated = 0;
    };
    struct Suspect
    {
        std::map<CrashSite, CrashTimes> sites;
        TimePoint lastCrash{};
        std::optional<TimePoint> clearedAt;
    };

    struct Completion
    {
        TimePoint at;
        Fingerprint print;
    };

    static std::size_t openCrashes(const Suspect &suspect);
    static void clear(Suspect &suspect, TimePoint now);
    static void updateClearedAt(Suspect &suspect, TimePoint now);
    void recordCompletion(const Fingerprint &print, TimePoint now);
    bool completedSince(const Fingerprint &print, TimePoint since) const;
    bool isExpired(const Suspect &suspect, TimePoint now) const;
    static std::optional<InstanceId> isolatedRunOwner(const Suspect &suspect);
    const Suspect *findUnexpired(const Fingerprint &print, TimePoint now) const;
    void removeAttempt(std::map<AttemptId, InFlightAttempt>::iterator entry);
    bool isRunningInIsolation(const Fingerprint &print) const;
    void evictExcess();

    InstanceId self;
    QuarantineLimits limits;
    std::map<AttemptId, InFlightAttempt> attempts;
    std::map<UpstreamId, UpstreamUse> uses;
    std::map<Fingerprint, Suspect> suspects;
    std::map<Fingerprint, TimePoint> completedAt;
    std::deque<Completion> completions;
};

} // namespace parsleyvane
