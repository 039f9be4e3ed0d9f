/**
 * @file
 * @brief A pool of idle connections to upstreams.
 */
#pragma once

#include "parsleyvane/net/httpclient.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace parsleyvane {

/// @brief Limits of the pool.
struct PoolLimits
{
    /// @brief Well below the shortest keep-alive timeout, which upstreams announce in whole seconds.
    Milliseconds idleTimeout{1500};
    std::size_t maxPerUpstream = 6; ///< idle connections to one upstream
};

/**
 * @brief Reuses connections for requests that may be repeated. Complexity: logarithmic in the addresses.
 */
class ConnectionPool
{
public:
    // constructors
    explicit ConnectionPool(PoolLimits limits = {})
        : limits(limits)
    {
    }

    // modifiers
    /// @brief Takes the newest idle connection that still looks open; null when there is none.
    std::unique_ptr<HttpCall> take(const std::string &address, TimePoint now);
    /// @brief Adds a connection whose answer was read to the end; a full pool closes the oldest one to that address.
    /// @pre call->reusable()
    void keep(const std::string &address, std::unique_ptr<HttpCall> call, TimePoint now);
    /// @brief Closes connections that have been idle for too long. Complexity: linear.
    void expire(TimePoint now);

private:
    struct IdleConnection
    {
        std::unique_ptr<HttpCall> call;
        TimePoint since;
    };

    PoolLimits limits;
    std::map<std::string, std::deque<IdleConnection>> idleConnections;
};

} // namespace parsleyvane
