/**
 * @file
 * @brief Keeps the requests of all instances together within the limits that upstreams announce.
 */
#pragma once

#include "parsleyvane/ingress/upstreamlist.h"
#include "parsleyvane/limits/tokenbucket.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief What an answer of an upstream process told about its limit.
struct LimitNotice
{
    std::string process; ///< as processName()
    ServiceName service;
    std::optional<RequestRate> rate; ///< of all instances together; nothing when there is no limit any more
    /// When the answer with a limit arrived, or when the request was sent that got an answer without one: an answer
    /// that was under way when the limit began doesn't end it.
    TimePoint at{};

    friend bool operator==(const LimitNotice &, const LimitNotice &) = default;
};

/// @brief What one instance publishes to the others. Times are on the store's clock there.
struct LimitReport
{
    std::vector<LimitNotice> notices;
    /// @brief Requests that reach the instance, for the services with limits. Empty when it takes part in none.
    std::map<ServiceName, RequestRate> demand;
    std::int64_t period = 0; ///< number of the report period in which the demand was measured

    friend bool operator==(const LimitReport &, const LimitReport &) = default;
};

/// @brief The report with all times moved by the offset, for another clock.
LimitReport shifted(LimitReport report, Milliseconds offset);

/**
 * @brief What decides whether a request may take one of the last tokens.
 *
 * While an upstream without a limit has room, a request whose prompt is shorter than the average leaves half of the
 * burst to longer ones: a limit counts requests, and the longer they are the more they relieve the other upstreams.
 * Otherwise a less urgent request leaves a token for each rank above it, at most half of the burst.
 */
struct TokenClaim
{
    ServiceName service;
    int rank = 0; ///< 0 is the most urgent
    std::int64_t promptTokens = 0;
};

/// @brief Tunable values of UpstreamLimiter.
struct UpstreamLimiterLimits
{
    /// Each has one owner. Their bursts of one request each are the burst of all instances together.
    unsigned sharesPerUpstream = 4;
    Milliseconds reportPeriod{5000}; ///< of the store's clock; reports are repeated in each period
    std::int64_t maxMissedPeriods = 2; ///< an instance that misses more has lost its shares
    Milliseconds retention{20000}; ///< of what no instance has been told since
    Milliseconds demandTime{4000}; ///< time constant of the measured demand
    /// The longest prompts go to upstreams with a limit while the others would otherwise get this multiple of an
    /// equal part of the demand; below it, cached prefixes are worth more.
    double relievedLoadFactor = 1.25;
    std::size_t maxUpstreams = 4096; ///< with a known limit
};

/**
 * @brief The limits that upstreams announce, and this instance's shares of them.
 *
 * The limit of an upstream process is divided into equal shares. Each share has one owner, which rendezvous hashing
 * over the instances, weighted with their demand, gives alike at every instance with the same reports. A share that
 * changes its owner starts with an empty bucket there, so that a change of owners adds no burst. Reports may be late,
 * repeated or out of order. Complexity: logarithmic in the upstreams unless said otherwise.
 */
class UpstreamLimiter
{
public:
    // constructors
    explicit UpstreamLimiter(UpstreamLimiterLimits limits = {});

    // modifiers
    /// @brief Names this instance among the members.
    void setSelf(const InstanceId &instance);
    /// @brief Counts a client's request for the service as demand.
    void onRequest(const ServiceName &service, std::int64_t promptTokens, TimePoint now);
    /// @brief Records what an answer told. @param sentAt when its request was sent
    /// @return whether the limit changed, so that the others need to know
    bool onAnswer(const UpstreamEntry &target, std::optional<RequestRate> rate, TimePoint sentAt, TimePoint now);
    /// @brief Adds reports of other instances, or what this one had published before a restart. Complexity: members x
    /// upstreams when they change the members or their demand. Until the first call, which may have no reports, this
    /// instance owns no shares.
    /// @return the notices that changed a limit
    std::vector<LimitNotice> merge(const std::map<InstanceId, LimitReport> &reports, TimePoint now);
    /// @brief Removes what is older than its retention, and silent members. Complexity: linear.
    /// @param storeTime the store's clock at its latest answer
    /// @return whether there is something new to report
    bool update(Milliseconds storeTime, TimePoint now);
    /// @brief Leaves the members: this instance owns no shares any more.
    void leave(TimePoint now);
    /// @brief Takes a token for one request to the upstream. @return whether the limit permits it
    bool take(const UpstreamEntry &target, TimePoint now);
    /// @brief Returns the token of a request that was not sent.
    void giveBack(const UpstreamEntry &target);

    // observers
    /**
     * @brief Makes the filter of the upstreams that may get one request. Complexity: linear in the upstreams. The
     * filter refers to this object.
     *
     * While an upstream of the service has a limit, one without gets at most as many requests in flight as it has
     * slots, from all instances in proportion to their demand, and fewer less urgent ones: the requests that exceed
     * the limits would only wait there.
     */
    std::function<bool(const RegisteredUpstream &)> filter(const UpstreamList &list, const TokenClaim &claim,
                                                           TimePoint now) const;
    /// @brief Makes the preference for upstreams with a limit, for a long prompt while the others are overloaded;
    /// empty without one. Complexity: linear in the upstreams. It refers to this object.
    std::function<bool(const RegisteredUpstream &)> preference(const UpstreamList &list, const TokenClaim &claim) const;
    /// @brief What this instance has been told, and its demand. Complexity: linear in the upstreams.
    LimitReport report() const;
    /// @brief Whether an upstream of the service has a limit. Complexity: linear in the upstreams.
    bool isLimited(const ServiceName &service) const;
    /// @brief Whether the upstream's process has a limit.
    bool isLimited(const UpstreamEntry &target) const;
    /// @brief Number of upstream processes with a limit. Complexity: linear.
    std::size_t limitedUpstreams() const;
    /// @brief Number of instances that share the limits, this one included.
    std::size_t members() const;

private:
    struct Limit
    {
        ServiceName service;
        std::optional<RequestRate> rate;
        TimePoint at{}; ///< of the newest notice
        TimePoint publishedAt{}; ///< of the newest notice that some instance has published
        bool isOwnNotice = false; ///< this instance publishes it
        TokenBucket bucket; ///< of this instance's shares
        unsigned shares = 0;
    };
    struct Member
    {
        std::map<ServiceName, RequestRate> demand;
        std::int64_t period = 0;
    };
    /// Exponentially decaying count of requests.
    struct Demand
    {
        double requests = 0;
        double promptTokens = 0; ///< of these requests, decaying alike
        TimePoint at{};
    };

    const Limit *findLimit(const UpstreamEntry &target) const;
    double decay(const Demand &demand, TimePoint now) const;
    RequestRate measured(const ServiceName &service, TimePoint now) const;
    bool updateOwnDemand(bool isNewPeriod, TimePoint now);
    bool addNotice(const LimitNotice &notice, TimePoint now);
    bool addMember(const InstanceId &from, const LimitReport &report);
    unsigned ownedShares(const std::string &process, const ServiceName &service) const;
    void assignShares(const std::string &process, Limit &limit, TimePoint now) const;
    void assignAllShares(TimePoint now);
    RequestRate totalDemand(const ServiceName &service) const;
    bool hasTokenFor(const TokenClaim &claim, bool hasAlternative, TimePoint now) const;
    bool isShort(const TokenClaim &claim) const;

    UpstreamLimiterLimits limits;
    InstanceId self;
    std::map<std::string, Limit> upstreams; ///< by process
    std::map<InstanceId, Member> others;
    std::map<ServiceName, Demand> demands;
    std::map<ServiceName, RequestRate> reportedDemand;
    std::int64_t period = 0; ///< by the store's clock, never by what others report
    bool hasReadReports = false;
    bool hasLeft = false;
};

} // namespace parsleyvane
