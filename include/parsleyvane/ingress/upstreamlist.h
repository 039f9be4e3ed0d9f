/**
 * @file
 * @brief Registered upstreams, with the results of this instance's attempts at them.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace parsleyvane {

/// @brief An upstream's registration.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    std::string address; ///< IP:PORT
    ZoneId zone;
    VersionName version;
    unsigned slots = 1;
    bool draining = false;
    std::int64_t startedAtMs = 0; ///< process start, in Unix ms; a new value means a new process with the same id
    std::optional<Milliseconds> coldRemaining; ///< how much longer it is slow after its start; empty when not readable

    bool isColdReadable = true; ///< false when the registration has a cold time that cannot be read

    /// @brief Compares all but the cold time, which falls while the registration stays the same.
    friend bool operator==(const UpstreamEntry &a, const UpstreamEntry &b);
};

/// @brief Whether both entries were written by the same process.
bool isSameProcess(const UpstreamEntry &a, const UpstreamEntry &b);

/// @brief Names the entry's process: its id and its start.
std::string processName(const UpstreamEntry &entry);

/// @brief Result of an attempt, as far as it is evidence for or against the upstream.
enum class UpstreamOutcome {
    Answered, ///< a complete answer
    Failed, ///< an error answer, or malformed data
    Refused, ///< at capacity or unwilling; it did not run the request
    Unreachable, ///< no connection
    Lost, ///< the connection broke during the attempt
    Silent, ///< no progress within the timeout
    ReportedDraining, ///< it reported that it is draining, or that it is a different process
};

/// @brief A registered upstream with this instance's view of it.
struct RegisteredUpstream
{
    UpstreamEntry entry;
    unsigned running = 0; ///< attempts of this instance in flight at this process
    TimePoint avoidUntil{}; ///< until then, used only if no other untried upstream is available
    Milliseconds backoff{0}; ///< length of the latest avoidance period
    double failureRate = 0; ///< exponential moving average over its attempts
    bool reportedDraining = false; ///< reported by the upstream itself, before its entry was updated
    TimePoint notBefore{}; ///< it wants no requests of this instance until then
    std::optional<TimePoint> missingSince; ///< when its entry lapsed, during a store outage or soon after one
    bool isLackedByCopy = false; ///< its entry is missing since the store was restored from a copy
};

/// @brief Tunable values of UpstreamList.
struct UpstreamListLimits
{
    /// Upstreams whose entries lapsed during a store outage register again within about 2 s after its end.
    Milliseconds lapseGracePeriod{2200};
    Milliseconds initialBackoff{500}; ///< after a connection failure or timeout; doubles with each further one
    Milliseconds maxBackoff{8000}; ///< a crashed upstream restarts within some seconds
    Milliseconds refusedBackoff{150}; ///< a full upstream frees a slot after about one request
    double failureWeight = 0.15; ///< of the latest attempt in the moving average
    Milliseconds departedMemory{300000}; ///< a copy of the store's list is younger than this
};

/**
 * @brief The list of upstreams. Complexity: logarithmic in the upstreams unless said otherwise.
 *
 * A process that was draining stays so, whatever its entry says later: the entry may come from an older copy.
 *
 * An entry without the draining mark that is removed during a store outage, or soon after one, is kept for a grace
 * period after the outage: the upstream may only have been unable to renew it. What looks like an outage may have been
 * the loss of this instance's own path to the store, while upstreams left. An outage that is long enough for entries to
 * lapse concerns all upstreams, so lapsed ones are usable only while they are the larger part of their service.
 */
class UpstreamList
{
public:
    // constructors
    explicit UpstreamList(UpstreamListLimits limits = {});

    // modifiers
    /// @brief Applies a written entry. @return the change for the log, or empty
    std::string update(const UpstreamEntry &written);
    /// @brief Applies the removal of an entry. @return as update()
    std::string remove(const UpstreamId &id, TimePoint now);
    /// @brief Applies a full read of the list: entries that are not in it are removed. Complexity: linear.
    /// @return each change as id and change
    std::vector<std::string> replace(const std::vector<UpstreamEntry> &entries, TimePoint now);
    /// @brief Applies a full read of a list that was restored from a copy: as replace(), but a process that had left is
    /// not listed again, and entries that the copy lacks are kept for the grace period.
    std::vector<std::string> replaceRestored(const std::vector<UpstreamEntry> &entries, TimePoint now);
    /// @brief Starts an outage: entries that lapse from now on are kept for the grace period.
    void onStoreUnreachable();
    /// @brief Ends an outage; the grace period starts now.
    void onStoreReachable(TimePoint now);
    /// @brief Removes lapsed entries once the grace period has passed. @return their ids. Complexity: linear.
    std::vector<UpstreamId> expire(TimePoint now);
    /// @brief Counts an attempt as in flight. @param target the entry that the attempt was made for
    void begin(const UpstreamEntry &target);
    /// @brief Ends an attempt that begin() counted, whatever its result.
    void end(const UpstreamEntry &target);
    /// @brief Updates the upstream's failure rate, backoff and availability from the result of an attempt; one at a
    /// process that was replaced meanwhile is ignored.
    void recordOutcome(const UpstreamEntry &target, UpstreamOutcome verdict, TimePoint now);

    /// @brief Records that the process wants no requests of this instance for some time. @return whether it is a later
    /// end than the one known before
    bool postpone(const UpstreamEntry &target, TimePoint until);

    // observers
    /// @brief When the first upstream of the service wants requests again; nothing when one that is not leaving does
    /// now, or there is none. Complexity: linear.
    std::optional<TimePoint> earliestWanted(const ServiceName &service, TimePoint now) const;
    const RegisteredUpstream *find(const UpstreamId &id) const;
    /// @brief Calls the visitor with each upstream of the service that is not draining, nor one of a few whose entries
    /// lapsed. Complexity: linear.
    void forEachUsable(const ServiceName &service, const std::function<void(const RegisteredUpstream &)> &visit) const;
    std::size_t size() const noexcept
    {
        return this->upstreams.size();
    }

private:
    /// A process: another one may register under the same id.
    using Process = std::tuple<UpstreamId, std::int64_t, std::string>;

    /// Whether most of the service's entries lapsed, as in an outage, rather than those of a few that left.
    bool hasMostlyLapsed(const ServiceName &service) const;
    static Process processOf(const UpstreamEntry &entry);
    void erase(const UpstreamId &id, TimePoint now);
    RegisteredUpstream *findProcess(const UpstreamEntry &target);
    unsigned attemptsAt(const UpstreamEntry &target) const;

    UpstreamListLimits limits;
    std::map<UpstreamId, RegisteredUpstream> upstreams;
    std::map<Process, unsigned> attempts; ///< in flight, also at processes that are no longer registered
    std::map<Process, TimePoint> departed; ///< processes whose entries were removed, and when
    bool storeUnreachable = false;
    TimePoint storeReachableSince{};
};

} // namespace parsleyvane
