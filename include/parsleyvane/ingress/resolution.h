/**
 * @file
 * @brief What one revision of the configuration says about one request.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/ingress/routetable.h"

#include <memory>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief The fields of a request that select its route, client account and service.
struct ResolutionQuery
{
    std::string host;
    std::string path;
    std::string apiKey;
    double randomValue = 0; ///< in [0, 1), the same for each attempt of a request; selects the service
};

/// @brief Route, client account and service of a request, all from the same revision of the configuration.
struct Resolution
{
    std::shared_ptr<const RouteTable> table; ///< owns route and tenant
    const RouteRule *route = nullptr; ///< not null
    const TenantRule *tenant = nullptr; ///< null for a public route without a known API key
    ServiceName service;
};

/**
 * @brief Looks a request up in one revision of the configuration. Complexity: as RouteTable::findRoute().
 * @param reason UnknownPath or BadCredentials
 *
 * @code
 * const auto resolution = resolve(table, {.host = "a.example", .path = "/reports/7", .apiKey = key}, reason);
 * @endcode
 */
std::optional<Resolution> resolve(std::shared_ptr<const RouteTable> table, const ResolutionQuery &query,
                                  LastReason &reason);

/// @brief Whether both send the request to the same service, by the same route and for the same account, whatever
/// revision they are from.
bool haveSameRules(const Resolution &a, const Resolution &b);

} // namespace parsleyvane
