/**
 * @file
 * @brief Which requests are known, who may send them, and which service serves them.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleyvane {

/// @brief What may be repeated.
enum class Repeatability {
    Always, ///< may run more than once
    Once, ///< runs at most once for each request of a client
    Resumable, ///< a stream that may go on elsewhere after its last event
};

/// @brief A part of a route's traffic.
struct ServiceShare
{
    ServiceName service;
    double weight = 1;
};

/// @brief One route.
struct RouteRule
{
    RouteName name;
    std::string host;
    std::string prefix; ///< begins and ends with '/'
    Repeatability repeat = Repeatability::Once;
    bool streams = false; ///< the answer is a series of events
    Milliseconds timeout{30000}; ///< longest time a client is kept waiting
    Milliseconds objective{1000}; ///< latency objective, to the first event of a stream
    Milliseconds interEventObjective{2000}; ///< longest pause between events that is still on time
    int rank = 5; ///< 0 is the most urgent
    unsigned maxAttempts = 1; ///< upstreams that may run one request
    bool isPublic = false; ///< needs no API key
    bool usesPrefixCache = false; ///< upstreams keep parts of the prompt
    std::vector<ModelName> sizes; ///< models to choose from, smallest first; empty where the client names the model
    std::vector<ServiceShare> services; ///< at least one
};

/// @brief A client account as far as routing needs it.
struct TenantRule
{
    AccountId account;
    std::optional<int> rank; ///< goes before the route's rank
};

/// @brief What clients may send.
struct ClientLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4U << 20U;
    Milliseconds headTimeout{3000};
    Milliseconds idleTimeout{15000};
};

/**
 * @brief One version of the operator's configuration, made for look-ups.
 *
 * @code
 * const RouteRule *route = table.findRoute("a.example", "/reports/7");
 * const ServiceName &service = table.chooseService(*route, draw);
 * @endcode
 */
class RouteTable
{
public:
    // constructors
    explicit RouteTable(Revision revision);

    // modifiers
    /// @brief Adds a route; a route without a service is left out.
    void addRoute(RouteRule route);
    /// @brief Adds an account and one of its API keys.
    void addKey(const std::string &key, const TenantRule &tenant);
    /// @brief Declares that requests need an API key.
    void requireKeys();
    void setLimits(const ClientLimits &limits);

    // observers
    Revision revision() const noexcept
    {
        return this->number;
    }
    /// @brief The route with the longest prefix of the path; null when there is none. Complexity: linear in the path.
    const RouteRule *findRoute(std::string_view host, std::string_view path) const;
    /// @brief The service for a request. @param draw from 0 to below 1, the same for each attempt of a request
    static const ServiceName &chooseService(const RouteRule &route, double draw);
    /// @brief The account that holds the key; null when none does.
    const TenantRule *findTenant(const std::string &key) const;
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
    ClientLimits clientLimits;
    std::size_t routes = 0;
    bool needsKeys = false;
};

} // namespace parsleyvane
