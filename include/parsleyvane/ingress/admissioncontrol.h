/**
 * @file
 * @brief Rejects requests before their first attempt while the upstreams of their service are short of capacity.
 */
#pragma once

#include "parsleyvane/ingress/loadview.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/// @brief What the decision about one request depends on.
struct AdmissionQuery
{
    ServiceName service;
    RouteName route;
    AccountId account; ///< empty for clients without an API key, which count as one account
    int rank = 0; ///< 0 is the most urgent
    std::int64_t promptTokens = 0;
    Milliseconds remaining{0}; ///< time until the client's deadline
    std::uint64_t repeatKey = 0; ///< the same for a client's repeats of a request; 0 when not known
};

/// @brief Why a request was admitted or rejected.
enum class AdmissionReason {
    Room, ///< the service is not known to be short of capacity
    Share, ///< decided by the rate at which the service accepts requests
    Minimum, ///< admitted for the minimum of its route, account or prompt length
    Rank, ///< more urgent requests use the capacity
    Account, ///< its account uses more than an equal share
    Late, ///< an answer would probably come after the client's deadline
};

/// @brief The reason's name in logs, such as "share".
std::string_view admissionReasonName(AdmissionReason reason);

/// @brief The decision about one request, with what it is based on.
struct AdmissionDecision
{
    bool admitted = true;
    AdmissionReason reason = AdmissionReason::Room;
    Milliseconds retryAfter{0}; ///< of a rejected request
    double attempts = 0; ///< observed
    double refusals = 0; ///< of these
    Milliseconds refusalAge{0}; ///< since the newest refusal
    double admittedShare = 1; ///< of the requests of this urgency
};

/// @brief Tunable values of AdmissionControl.
struct AdmissionLimits
{
    double maxRefusedShare = 0.1; ///< of the attempts, above which a service is short of capacity
    std::size_t minAttempts = 8; ///< fewer say nothing about the capacity
    Milliseconds window{2000}; ///< without a refusal in it, everything is admitted
    /// Attempts older than the window count while they are among the newest minAttempts: at one request per second an
    /// instance makes only 2 attempts in the window.
    Milliseconds maxAttemptAge{8000};
    double probeFactor = 1.1; ///< admitted requests per accepted one, to notice that capacity is available again
    /// Requests within countTime that may be refused by chance. At 0, one full upstream of three with room in the other
    /// two led to the rejection of one request in 200.
    double chanceRefusals = 2;
    double minAdmittedShare = 0.25; ///< of each route, account and the largest tenth of prompts
    /// Time constant of the counted requests. 2 s gave accounts of one request per second an admitted share that
    /// changed by half between seconds.
    Milliseconds countTime{4000};
    /// Time constant of the accounts' usage, longer because each account sends few requests to one instance.
    Milliseconds usageTime{10000};
    Milliseconds minRetryAfter{100};
    std::size_t maxServices = 256;
    std::size_t maxKeys = 512; ///< routes and accounts per service
    std::size_t maxAttempts = 256; ///< remembered per service
    std::size_t maxPrompts = 128; ///< remembered lengths per service
    std::size_t maxRejections = 1024; ///< remembered to recognise early repeats
};

/**
 * @brief Decides which requests a service that is short of capacity gets from this instance.
 *
 * A service is short of capacity while its upstreams refuse more than a tenth of the attempts. Then this instance
 * admits requests as fast as its requests were recently accepted, and a tenth more: the more urgent ones first, at the
 * same rank those of accounts within an equal share, then those that can be answered in time. Each instance decides
 * alone, from its own attempts and, if given, the service's load at all instances. It acts on shares of its requests
 * and not on rates, so that it needs no estimate of the capacity.
 *
 * A key is never rejected more than three times in a row, where a key is a route, an account or the largest tenth of
 * prompts. Complexity: linear in the remembered accounts, attempts and prompt lengths of the service.
 */
class AdmissionControl
{
public:
    // constructors
    /// @param seed of the random parts; instances need different ones, so that clients are spread over time
    explicit AdmissionControl(AdmissionLimits limits = {}, std::uint64_t seed = std::random_device()());

    // modifiers
    /// @brief Decides about a request before its first attempt.
    AdmissionDecision onRequest(const AdmissionQuery &query, TimePoint now);
    /// @brief Decides whether a request that an upstream refused may be sent again. Call onRetry() when it is.
    AdmissionDecision onRetryWanted(const AdmissionQuery &query, TimePoint now);
    /// @brief Counts a request as admitted again that an upstream had refused.
    void onRetry(const ServiceName &service, TimePoint now);
    /// @brief Records an attempt that the upstream accepted. @param time until its first event or complete answer
    void onAccepted(const ServiceName &service, Milliseconds time, TimePoint now);
    /// @brief Records an attempt that the upstream refused for lack of room.
    void onRefused(const ServiceName &service, TimePoint now);
    /// @brief Sets the load of the service at several instances, including this one. It replaces this instance's own
    /// counts while it has enough recent attempts. Invalid values are ignored.
    void setServiceLoad(const ServiceName &service, const ServiceLoad &load, TimePoint now);

    // observers
    /// @brief Whether the service is short of capacity.
    bool isShort(const ServiceName &service, TimePoint now) const;
    /// @brief Number of services that are short of capacity. Complexity: linear in the services.
    std::size_t shortServices(TimePoint now) const;
    /// @brief Number of remembered entries of all tables. Complexity: linear in the services.
    std::size_t size() const;

private:
    /// Exponentially decaying sum.
    struct Count
    {
        double sum = 0;
        TimePoint at{};

        double value(TimePoint now, Milliseconds timeConstant) const;
        void add(double amount, TimePoint now, Milliseconds timeConstant);
    };
    struct Attempt
    {
        TimePoint at;
        bool refused = false;
    };
    /// Requests of the same urgency.
    struct Urgency
    {
        Count offered;
        double credit = 0; ///< a request is admitted for each whole 1
    };
    /// A route, an account, or the largest tenth of prompts.
    struct Key
    {
        Count admitted;
        double credit = 0; ///< towards the minimum
        TimePoint usedAt{};
    };
    /// What was observed of a service's attempts.
    struct Observation
    {
        double attempts = 0;
        double refusals = 0;
        std::optional<TimePoint> refusedAt;
    };

    static constexpr std::size_t ranks = 10;
    static constexpr std::size_t urgenciesPerRank = 4;
    struct Service
    {
        std::deque<Attempt> attempts;
        std::optional<TimePoint> refusedAt;
        Count admitted; ///< requests, without those that were refused and not sent again
        Count admittedForUsage;
        Count rejected;
        Count accepted;
        double responseTime = 0; ///< moving average, in ms
        std::array<Urgency, ranks * urgenciesPerRank> urgencies;
        std::map<std::string, Key> keys;
        std::deque<std::int64_t> prompts;
        ServiceLoad shared;
        TimePoint sharedAt{};
        Count sharedRefusals; ///< to measure their growth from
        std::optional<TimePoint> sharedRefusedAt;
        TimePoint usedAt{};
    };

    Service &serviceAt(const ServiceName &name, TimePoint now);
    Key &keyAt(Service &service, const std::string &name, TimePoint now);
    Observation observe(const Service &service, TimePoint now) const;
    bool isShort(const Observation &observation, TimePoint now) const;
    AdmissionDecision decide(Service &service, const AdmissionQuery &query, bool isRetry, TimePoint now);
    double admittedShare(const Service &service, std::size_t urgency, TimePoint now) const;
    bool usesMoreThanEqualShare(const Service &service, const Key &account, TimePoint now) const;
    std::vector<std::string> keysOf(const Service &service, const AdmissionQuery &query) const;
    Milliseconds retryAfter(const Service &service, const AdmissionQuery &query, TimePoint now);
    bool returnsEarly(std::uint64_t repeatKey, TimePoint now);
    void rememberRejection(std::uint64_t repeatKey, TimePoint until, TimePoint now);
    void addAttempt(const ServiceName &name, bool refused, TimePoint now);
    double uniform();

    AdmissionLimits limits;
    std::mt19937_64 random;
    std::map<ServiceName, Service> services;
    std::map<std::uint64_t, TimePoint> rejections; ///< until when the client was told to wait
    TimePoint latest{};
};

} // namespace parsleyvane
