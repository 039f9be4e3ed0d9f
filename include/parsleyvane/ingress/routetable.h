/**
 * @file
 * @brief Looks up the route and service for a request, and the client account for an API key.
 */
#pragma once

#include "parsleyvane/core/ids.h"
#include "parsleyvane/core/region.h"
#include "parsleyvane/limits/tokenbucket.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyvane {

/// @brief How a route's requests may be retried.
enum class Repeatability {
    Always, ///< idempotent: may run more than once
    Once, ///< runs at most once for each client request
    Resumable, ///< a stream that another upstream may resume after the last event sent
};

/// @brief A service and its weight in the traffic of a route.
struct ServiceShare
{
    ServiceName service;
    double weight = 1;

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// @brief Configuration of one route.
struct RouteRule
{
    RouteName name;
    std::string host;
    std::string prefix; ///< begins and ends with '/'
    Repeatability repeat = Repeatability::Once;
    bool streams = false; ///< the answer is a stream of server-sent events
    Milliseconds timeout{30000}; ///< maximum time that a client waits for an answer
    Milliseconds objective{1000}; ///< latency objective; for a stream, to its first event
    Milliseconds interEventObjective{2000}; ///< latency objective between two events of a stream
    int rank = 5; ///< priority; 0 is the most urgent
    unsigned maxAttempts = 1; ///< maximum number of upstreams that may run one request
    bool isPublic = false; ///< requests need no API key
    bool usesPrefixCache = false; ///< the upstreams cache prompt prefixes
    std::vector<ModelName> sizes; ///< models to choose from, smallest first; empty where the client names the model
    std::vector<ServiceShare> services; ///< at least one
    std::vector<RegionId> allowedRegions; ///< of the upstreams; empty allows all

    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

/// @brief The routing settings of a client account.
struct TenantRule
{
    AccountId account;
    std::optional<int> rank; ///< takes precedence over the route's rank
    std::vector<RegionId> allowedRegions; ///< of the upstreams; empty allows all

    friend bool operator==(const TenantRule &, const TenantRule &) = default;
};

/// @brief What the upstreams of a service tolerate while they are cold, as for some time after their start.
struct ColdStart
{
    Milliseconds duration{0}; ///< how long an upstream is cold after its start
    RequestRate rate; ///< of all instances together, at each cold upstream; 0 for a service without a cold phase

    friend bool operator==(const ColdStart &, const ColdStart &) = default;
};

/// @brief Limits on client requests and connections.
struct ClientLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/**
 * @brief One revision of the operator's configuration, indexed for request routing.
 *
 * @code
 * const RouteRule *route = table.findRoute("a.example", "/reports/7");
 * const ServiceName &service = table.chooseService(*route, randomValue);
 * @endcode
 */
class RouteTable
{
public:
    // constructors
    explicit RouteTable(Revision revision);

    // modifiers
    /// @brief Adds a route or replaces the one with the same host and prefix; a route without a service is ignored.
    void addRoute(RouteRule route);
    /// @brief Maps an API key to its client account.
    void addKey(const std::string &key, const TenantRule &tenant);
    /// @brief Makes API keys mandatory for routes that are not public.
    void requireKeys();
    void setLimits(const ClientLimits &limits);
    /// @brief Sets what the cold upstreams of a service tolerate.
    void setColdStart(const ServiceName &service, const ColdStart &coldStart);
    /// @brief Records that the configuration of a service's cold phase cannot be read, so that it is reported.
    void addUnreadableColdStart(const ServiceName &service);

    // observers
    Revision revision() const noexcept
    {
        return this->number;
    }
    /// @brief The route with the longest prefix of the path; null when there is none. Complexity: linear in the path.
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    /// @brief Chooses a service of the route by weight.
    /// @param randomValue in [0, 1), the same for each attempt of a request
    static const ServiceName &chooseService(const RouteRule &route, double randomValue);
    /// @brief The client account of an API key; null when the key is unknown.
    const TenantRule *findTenant(const std::string &key) const;
    /// @brief What the cold upstreams of a service tolerate; a rate of 0 when it has no cold phase.
    ColdStart coldStart(const ServiceName &service) const;
    /// @brief Services whose cold phase is ignored because its configuration cannot be read.
    const std::vector<ServiceName> &unreadableColdStarts() const noexcept
    {
        return this->ignoredColdStarts;
    }
    bool keysRequired() const noexcept
    {
        return this->needsKeys;
    }
    const ClientLimits &limits() const noexcept
    {
        return this->clientLimits;
    }
    std::size_t routeCount() const noexcept
    {
        return this->routes;
    }

private:
    using Prefixes = std::unordered_map<std::string, RouteRule>;

    Revision number;
    std::unordered_map<std::string, Prefixes> hosts;
    std::unordered_map<std::string, TenantRule> tenants;
    std::unordered_map<ServiceName, ColdStart> coldStarts;
    std::vector<ServiceName> ignoredColdStarts;
    ClientLimits clientLimits;
    std::size_t routes = 0;
    bool needsKeys = false;
};

} // namespace parsleyvane
