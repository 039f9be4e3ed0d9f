/**
 * @file
 * @brief Enforces each client account's request rate and in-flight limit at one instance.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/core/failure.h"
#include "parsleyvane/limits/tokenbucket.h"

#include <map>
#include <optional>

namespace parsleyvane {

/**
 * @brief A token bucket and a count of requests in flight for each account.
 *
 * The account's rate and burst hold for the fleet; an instance grants its share, which is the limit divided by the
 * number of live instances. The in-flight limit is not divided, since a load balancer may distribute unevenly.
 * Complexity: logarithmic in the accounts.
 */
class AccountLimiter
{
public:
    // modifiers
    /**
     * @brief Admits a request; release() must follow when it returns nothing.
     * @param liveInstances number of instances that share the account's traffic, this one included
     * @return RateLimited with the delay before a retry; nothing when the request is admitted
     */
    std::optional<Failure> tryAcquire(const Account &account, std::size_t liveInstances, TimePoint now);
    /// @brief The request has ended.
    void release(const AccountId &account);

private:
    struct Usage
    {
        TokenBucket bucket;
        unsigned inFlight = 0;
    };
    std::map<AccountId, Usage> accounts;
};

} // namespace parsleyvane
