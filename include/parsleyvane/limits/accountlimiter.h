/**
 * @file
 * @brief Keeps each client account within its share of requests at one instance.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/failure.h"

#include <map>
#include <optional>

namespace parsleyvane {

/**
 * @brief A token bucket and a count of requests under way for each account.
 *
 * The account's limits hold for the fleet; an instance grants its share, the limits divided by the live instances.
 * The number of requests under way is bounded at each instance by the whole limit, since a balancer may be uneven.
 * Complexity: logarithmic in the accounts.
 */
class AccountLimiter
{
public:
    // modifiers
    /**
     * @brief Takes a request in; leave() must follow when it returns nothing.
     * @param liveInstances instances that share the account's traffic, this one included
     * @return RateLimited with the time until the next token, or nothing when the request may go on
     */
    std::optional<Failure> tryAcquire(const Account &account, std::size_t liveInstances, TimePoint now);
    /// @brief The request has ended.
    void release(const AccountId &account);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt{};
        unsigned inFlight = 0;
        bool fresh = true;
    };
    std::map<AccountId, Bucket> buckets;
};

} // namespace parsleyvane
