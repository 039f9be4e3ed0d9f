/**
 * @file
 * @brief Connections to upstreams that wait for another request.
 */
#pragma once

#include "parsleyvane/net/httpclient.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace parsleyvane {

/// @brief Bounds on what is kept.
struct PoolLimits
{
    Milliseconds idle{1500}; ///< well below the shortest timeout that upstreams announce, in whole seconds
    std::size_t each = 6; ///< kept for one upstream
};

/**
 * @brief Keeps connections for requests that may be repeated. Complexity: logarithmic in the addresses.
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
    /// @brief A connection that was open a moment ago; null when there is none.
    std::unique_ptr<HttpCall> take(const std::string &address, TimePoint now);
    /// @brief Keeps a connection whose answer was read to the end. @pre call->reusable()
    void keep(const std::string &address, std::unique_ptr<HttpCall> call, TimePoint now);
    /// @brief Closes what has waited too long. Complexity: linear.
    void expire(TimePoint now);

private:
    struct Waiting
    {
        std::unique_ptr<HttpCall> call;
        TimePoint since;
    };

    PoolLimits limits;
    std::map<std::string, std::deque<Waiting>> idle;
};

} // namespace parsleyvane
