/**
 * @file
 * @brief The configuration shared by all instances: client accounts, versions, upstreams and roll-outs.
 *
 * It is one JSON document in the platform's table, always read and replaced as a whole with compare-and-swap.
 * docs/CONFIGURATION.md describes each member.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleyvane {

/// @brief A model in one version.
struct ModelVersion
{
    ModelName model;
    VersionName version;

    // clang-tidy mistakes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ModelVersion &, const ModelVersion &) = default;
};

/// @brief Which requests a version accepts.
enum class VersionState {
    Warming, ///< being loaded; accepts no requests
    Serving, ///< accepts new sessions and all requests
    Closed, ///< accepts requests of its existing sessions, but no new sessions
    Withdrawn, ///< accepts no requests
};

/// @brief A version of a model with its state, weight and cost.
struct VersionEntry
{
    ModelVersion id;
    VersionState state = VersionState::Warming;
    /// @brief Share of new sessions and requests, relative to the other serving versions of the model.
    unsigned weight = 0;
    /// @brief Cost of a million tokens.
    MicroCost costPerMillionTokens;
};

/// @brief A task that is answered by model engines.
struct ModelTask
{
    /// @brief Models to try, cheapest first; the last one's answer is used whatever its rating.
    std::vector<ModelName> chain;
    /// @brief Share of answers that must be rated good enough, 0 to 1.
    double qualityTarget = 0.9;
    /// @brief Whether an answer in progress may be interrupted to free a slot for a priority request, and resumed
    /// later.
    bool resumable = false;
    unsigned maxTokens = 256;
};

/// @brief A task that is carried out by a plain service.
struct ServiceTask
{
    ServiceName service;
    std::string operation;
};

/// @brief A kind of request that an account may send.
struct Task
{
    TaskName name;
    std::variant<ModelTask, ServiceTask> work;
    /// @brief Whether it is safe to run it twice.
    bool repeatable = false;
    /// @brief How long the client waits for the first byte.
    Milliseconds maxWait{30000};
};

/// @brief Limits on an account's traffic, over the whole fleet.
struct AccountLimits
{
    double requestsPerSecond = 50;
    double burst = 100;
    unsigned inFlight = 64;
};

/// @brief Whether an account has bought priority, and for how much of the capacity.
struct PriorityTerms
{
    bool bought = false;
    /// @brief Share of capacity that a priority claim may use at once, 0 to 1.
    double share = 0.2;
};

/// @brief A client account with its keys, tasks and limits, as given in the questionnaire's answers.
struct Account
{
    AccountId id;
    std::string organisation;
    /// @brief SHA-256 of each API key, in hexadecimal.
    std::vector<std::string> keyHashes;
    std::vector<ModelVersion> allowed;
    std::vector<Task> tasks;
    AccountLimits limits;
    PriorityTerms priority;
    /// @brief Weight of cost against latency in routing decisions, 0 (latency only) to 1 (cost only).
    double costWeight = 0.5;
};

/// @brief A model engine.
struct Engine
{
    std::vector<ModelVersion> loads;
    /// @brief Number of requests that it runs concurrently.
    unsigned slots = 8;
    /// @brief Whether it rejects orders with an outdated fencing token.
    bool checksFence = true;
};

/// @brief A plain service.
struct PlainService
{
    ServiceName name;
};

/// @brief Something that requests are sent to.
struct Upstream
{
    UpstreamId id;
    /// @brief IP address and port, such as "127.0.0.1:9001".
    std::string address;
    ZoneId zone;
    std::variant<Engine, PlainService> kind;
};

/// @brief A key for session tokens. The first key of the configuration signs; all of them verify.
struct SessionKey
{
    std::string id;
    /// @brief At least 32 bytes, in hexadecimal.
    std::string secret;
};

/// @brief A roll-out from one version of a model to another.
struct Rollout
{
    ModelName model;
    VersionName from;
    VersionName to;
    /// @brief "running", "halted" or "done".
    std::string state = "running";
    /// @brief Share of new work on the new version, per mille.
    unsigned perMille = 0;
};

/// @brief Audit record of a revision: its author, time and summary.
struct ChangeNote
{
    /// @brief Unique; shows after a write without a reply whether this or a competing revision was stored.
    std::string id;
    std::string operatorName;
    std::string at; ///< UTC, ISO 8601
    std::string summary;
};

/// @brief One revision of the configuration.
struct Configuration
{
    Revision revision;
    ChangeNote change;
    std::vector<Account> accounts;
    std::vector<VersionEntry> versions;
    std::vector<Upstream> upstreams;
    std::vector<SessionKey> sessionKeys;
    std::vector<Rollout> rollouts;

    // observers
    /// @brief The account with this identifier, or nullptr. Complexity: linear.
    const Account *findAccount(const AccountId &id) const noexcept;
    /// @brief The account that owns an API key with this hash, or nullptr. Complexity: linear in all keys.
    const Account *findAccountByKeyHash(const std::string &hash) const noexcept;
    /// @brief The entry of a version, or nullptr. Complexity: linear.
    const VersionEntry *findVersion(const ModelVersion &id) const noexcept;
    /// @brief The upstream with this identifier, or nullptr. Complexity: linear.
    const Upstream *findUpstream(const UpstreamId &id) const noexcept;
};

/// @brief The account's task of this name, or nullptr.
const Task *findTask(const Account &account, const TaskName &name) noexcept;
/// @brief Whether the account may use the version.
bool allows(const Account &account, const ModelVersion &version) noexcept;
/// @brief Whether the state of the version allows sending it a request.
/// @param pinnedSession whether the request belongs to a session that is pinned to the version
bool takesWork(const VersionEntry &entry, bool pinnedSession) noexcept;
/// @brief The text form "MODEL@VERSION", such as "wattle@3".
std::string versionText(const ModelVersion &version);
/// @brief "warming", "serving", "closed" or "withdrawn".
std::string_view versionStateName(VersionState state) noexcept;

/**
 * @brief Reads a configuration from its JSON text.
 * @param text the document
 * @param reason receives the failure when the result is empty: InvalidConfiguration, with the parser's message as
 * detail
 */
std::optional<Configuration> parseConfiguration(const std::string &text, LastReason &reason);

/// @brief Writes a configuration as JSON that parseConfiguration() reads back unchanged.
std::string serialise(const Configuration &configuration);

} // namespace parsleyvane
