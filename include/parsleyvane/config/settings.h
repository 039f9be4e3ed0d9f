/**
 * @file
 * @brief The settings of one instance, read from INI text and checked as a whole.
 */
#pragma once

#include "parsleyvane/config/ini.h"
#include "parsleyvane/core/ids.h"
#include "parsleyvane/core/region.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief IP addresses and ports to listen on.
struct ListenSettings
{
    std::string callers;
    std::string operators;
    std::string peers;

    friend bool operator==(const ListenSettings &, const ListenSettings &) = default;
};

/// @brief Size limits and timeouts of an instance.
struct LimitSettings
{
    /// @brief Largest request head, in bytes.
    std::size_t headBytes = 16384;
    /// @brief Largest request body, in bytes.
    std::size_t bodyBytes = 1048576;
    /// @brief Maximum number of open client connections.
    unsigned connections = 4096;
    /// @brief Time to receive a request.
    Milliseconds requestTimeout{10000};
    /// @brief Longest time that an upstream's response stream may make no progress.
    Milliseconds progressTimeout{2000};
    /// @brief At a planned stop: how long to accept new requests while the load balancer still sends them.
    Milliseconds drainLinger{5000};
    /// @brief Lowest self-reported confidence, 0 to 100, at which a smaller model's answer is used when there is no
    /// load.
    double minConfidence = 60;
    /// @brief Longest time that the end of an answer is withheld for its bill during an outage of the platform.
    Milliseconds billHold{2000};

    friend bool operator==(const LimitSettings &, const LimitSettings &) = default;
};

/// @brief Protocol that clients use.
enum class FrontKind {
    Chat, ///< the project's own chat and task API
    Ingress, ///< plain HTTP, forwarded by host and path
};

/// @brief Limits that the deployment guarantees for the fleet as a whole; only the ingress front uses them.
struct BoundSettings
{
    /// @brief Longest time from the store's acknowledgement of a configuration until it is in force.
    Milliseconds change{2000};
    /// @brief Longest time from the store's acknowledgement that an upstream is draining until it gets no new requests.
    Milliseconds leaving{2000};
    /// @brief Longest time from the answer that shows a version to be bad until it gets no new requests.
    Milliseconds evidence{5000};
    /// @brief Time after the end of a disturbance from which the other bounds hold again.
    Milliseconds stable{3000};
    /// @brief Time from the request to stop until the process is killed.
    Milliseconds grace{8000};
    /// @brief Budget for attempts beyond the first of each request, as a share of the requests.
    double repeatRatio = 0.2;
    /// @brief The window over which requests and extra attempts are counted.
    Milliseconds repeatWindow{10000};
    /// @brief Extra attempts allowed in a window regardless of the number of requests.
    double repeatSlack = 10;
    /// @brief Largest share of a service's requests that a bad version may receive.
    double maxExposedShare = 0.1;
    /// @brief Longest idle time between two requests of the same session.
    Milliseconds sessionIdleTimeout{5000};
    /// @brief Within any second a cold upstream may get this multiple of the rate that it tolerates, and coldSlack
    /// requests more.
    double coldFactor = 1;
    double coldSlack = 0;
    /// @brief Longest time from the store's acknowledgement that a zone is evacuated until its upstreams get no new
    /// requests.
    Milliseconds evacuation{5000};

    friend bool operator==(const BoundSettings &, const BoundSettings &) = default;
};

/// @brief How many upstreams hold a prompt prefix.
enum class ReplicaRule {
    ByLength, ///< a fixed part of the upstreams, larger for short prefixes
    ByDemand, ///< as many as the rate of its requests needs
};

/// @brief Which model of a cascade gets a request first.
enum class FirstModelRule {
    Smallest, ///< always the smallest, if there is an attempt for a larger one
    Learned, ///< the smallest that is worth its time, or the largest if a second attempt is not possible
};

/// @brief How instances treat load; only the ingress front uses it.
struct LoadSettings
{
    /// @brief Whether the instances of a zone tell each other how upstreams respond, and choose by it.
    bool shared = false;
    /// @brief Whether requests are rejected before their first attempt while a service is short of capacity.
    bool controlsAdmission = false;
    ReplicaRule replicas = ReplicaRule::ByLength;
    FirstModelRule firstModel = FirstModelRule::Smallest;

    friend bool operator==(const LoadSettings &, const LoadSettings &) = default;
};

/// @brief Second attempts for requests whose first response is late; only the ingress front sends them.
struct HedgingSettings
{
    /// @brief Maximum of such attempts, as a share of the requests; 0 disables them.
    double maxShare = 0;

    friend bool operator==(const HedgingSettings &, const HedgingSettings &) = default;
};

/// @brief All settings of one instance; docs/CONFIGURATION.md lists the keys.
struct InstanceSettings
{
    InstanceId id;
    ZoneId zone;
    ListenSettings listen;
    /// @brief IP address and port of the platform.
    std::string platformAddress;
    /// @brief Parts of the platform's rules that are in force; platform/ translates them into other settings.
    std::vector<std::string> contracts;
    /// @brief Peer addresses of other instances.
    std::vector<std::string> seeds;
    LimitSettings limits;
    FrontKind front = FrontKind::Chat;
    BoundSettings bounds;
    LoadSettings load;
    HedgingSettings hedging;
    /// @brief This instance's share of a processor core. Those with the largest read the store for the others.
    double processorShare = 0;
    /// @brief Whether the whole fleet starts for the first time, so that the others start at the same moment.
    bool isFirstStart = false;
    /// @brief The availability zones of the deployment; empty when they are not given.
    std::vector<ZoneId> zones;
    /// @brief The region of each of these zones.
    std::map<ZoneId, RegionId> regions;

    friend bool operator==(const InstanceSettings &, const InstanceSettings &) = default;
};

/// @brief Values that override those of the file, by "section.key".
using SettingOverrides = std::map<std::string, std::string>;

/**
 * @brief Reads and checks the settings of an instance.
 * @param iniText the file's text; malformed input is reported in `problems`
 * @param fileName the file name to report in problems
 * @param problems receives every invalid, unknown, missing and duplicate setting
 * @param overrides values from the command line; the same checks apply to them
 * @return the settings, or nullopt when there is any problem
 *
 * Complexity: linear in the text.
 *
 * @code
 * std::vector<SettingProblem> problems;
 * const auto settings = readSettings(text, "parsleyvaned.ini", problems, {{"instance.zone", "b"}});
 * for (const SettingProblem &problem : problems) {
 *     std::cerr << describe(problem) << '\n';
 * }
 * @endcode
 */
std::optional<InstanceSettings> readSettings(const std::string &iniText, const std::string &fileName,
                                             std::vector<SettingProblem> &problems,
                                             const SettingOverrides &overrides = {});

} // namespace parsleyvane
