/**
 * @file
 * @brief The settings of one entry instance, read from INI text and all checked at once.
 */
#pragma once

#include "parsleyvane/config/ini.h"
#include "parsleyvane/core/ids.h"

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

/// @brief Bounds on what an instance takes and how long it waits.
struct LimitSettings
{
    /// @brief Largest request head, in bytes.
    std::size_t headBytes = 16384;
    /// @brief Largest request body, in bytes.
    std::size_t bodyBytes = 1048576;
    /// @brief Open connections of callers.
    unsigned connections = 4096;
    /// @brief Time to receive a request.
    Milliseconds requestTimeout{10000};
    /// @brief Time that an upstream's stream may go without progress.
    Milliseconds progressTimeout{2000};
    /// @brief At a planned stop: time to accept on while the balancer still sends.
    Milliseconds drainLinger{5000};
    /// @brief At no load, a smaller model's answer is taken from this opinion of its own on, 0 to 100.
    double minConfidence = 60;
    /// @brief Time that the end of an answer is held back for its bill during an outage of the platform.
    Milliseconds billHold{2000};

    friend bool operator==(const LimitSettings &, const LimitSettings &) = default;
};

/// @brief What callers speak.
enum class FrontKind {
    Chat, ///< the project's own chat and task API
    Ingress, ///< plain HTTP, forwarded by host and path
};

/// @brief What the deployment promises of the fleet as a whole; only the ingress front reads them.
struct BoundSettings
{
    /// @brief From the store's acknowledgement of a configuration until it is in force.
    Milliseconds change{2000};
    /// @brief From the store's acknowledgement that an upstream leaves until it gets nothing new.
    Milliseconds leaving{2000};
    /// @brief From the request to stop until the process is killed.
    Milliseconds grace{8000};
    /// @brief Sendings beyond the first of each request, as a share of the requests.
    double repeatRatio = 0.2;
    /// @brief The window over which these are counted.
    Milliseconds repeatWindow{10000};
    /// @brief Such sendings in a window that need no requests.
    double repeatSlack = 10;
    /// @brief Most of a service's requests that a bad version may get.
    double maxExposedShare = 0.1;
    /// @brief Requests of a session follow each other within this.
    Milliseconds sessionIdleTimeout{5000};

    friend bool operator==(const BoundSettings &, const BoundSettings &) = default;
};

/// @brief All settings of one instance; docs/CONFIGURATION.md lists the keys.
struct InstanceSettings
{
    InstanceId id;
    ZoneId zone;
    ListenSettings listen;
    /// @brief IP address and port of the platform.
    std::string platformAddress;
    /// @brief Peer listeners of other instances.
    std::vector<std::string> seeds;
    LimitSettings limits;
    FrontKind front = FrontKind::Chat;
    BoundSettings bounds;

    friend bool operator==(const InstanceSettings &, const InstanceSettings &) = default;
};

/// @brief Values that replace those of the file, by "section.key".
using SettingOverrides = std::map<std::string, std::string>;

/**
 * @brief Reads and checks the settings of an instance.
 * @param iniText the file's text; any bytes are safe
 * @param fileName the name that problems carry
 * @param problems receives every wrong, unknown, missing and duplicate setting
 * @param overrides values from the command line; the same checks apply to them
 * @return the settings; nothing when there is any problem
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
