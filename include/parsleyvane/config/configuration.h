/**
 * @file
 * @brief The configuration that all instances act on: client accounts, versions, upstreams, roll-outs.
 *
 * It is one JSON document in the platform's table, read whole and replaced whole under compare-and-set.
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

    // The linter takes the zero of the generated comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ModelVersion &, const ModelVersion &) = default;
};

/// @brief What a version may be given.
enum class VersionState {
    Warming, ///< being loaded; takes nothing
    Serving, ///< takes sessions and requests
    Closed, ///< takes requests of its sessions, no new sessions
    Withdrawn, ///< takes nothing
};

/// @brief One version and its share of new work among the serving versions of its model.
struct VersionEntry
{
    ModelVersion id;
    VersionState state = VersionState::Warming;
    /// @brief Share of new sessions and requests, relative to the other serving versions of the model.
    unsigned weight = 0;
    /// @brief Cost of a million tokens.
    MicroCost costPerMillionTokens;
};

/// @brief A task that model engines answer.
struct ModelTask
{
    /// @brief Models to try, cheapest first; the last one's answer is taken whatever its rating.
    std::vector<ModelName> chain;
    /// @brief Share of answers that must pass the rating, 0 to 1.
    double qualityTarget = 0.9;
    /// @brief Whether an answer under way may be interrupted and resumed to make room for priority.
    bool resumable = false;
    unsigned maxTokens = 256;
};

/// @brief A task that a plain service carries out.
struct ServiceTask
{
    ServiceName service;
    std::string operation;
};

/// @brief A kind of request of an account.
struct Task
{
    TaskName name;
    std::variant<ModelTask, ServiceTask> work;
    /// @brief Whether running it twice harms nobody.
    bool repeatable = false;
    /// @brief How long the caller waits for the first byte.
    Milliseconds maxWait{30000};
};

/// @brief Bounds on an account's traffic over the whole fleet.
struct AccountLimits
{
    double requestsPerSecond = 50;
    double burst = 100;
    unsigned inFlight = 64;
};

/// @brief The priority that an account bought.
struct PriorityTerms
{
    bool bought = false;
    /// @brief Share of capacity that a claim may take at once, 0 to 1.
    double share = 0.2;
};

/// @brief One client account and what its questionnaire's answers permit.
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
    /// @brief Weight of cost against latency in choices, 0 (latency only) to 1 (cost only).
    double costWeight = 0.5;
};

/// @brief A model engine.
struct Engine
{
    std::vector<ModelVersion> loads;
    /// @brief Requests that run at once.
    unsigned slots = 8;
    /// @brief Whether it refuses an order with an old fencing number.
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

/// @brief A key that signs session tokens. The first signs; all verify.
struct SessionKey
{
    std::string id;
    /// @brief At least 32 bytes, in hexadecimal.
    std::string secret;
};

/// @brief A roll-out under way from one version of a model to another.
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

/// @brief Who made a revision, when and why.
struct ChangeNote
{
    std::string id; ///< unique; tells a lost reply from a lost race
    std::string operatorName;
    std::string at; ///< UTC, ISO 8601
    std::string summary;
};

/**
 * @brief The configuration in one revision.
 */
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
/// @brief Whether the account's answers permit the version.
bool allows(const Account &account, const ModelVersion &version) noexcept;
/// @brief Whether new work may be sent to the version, now.
bool takesWork(const VersionEntry &entry, bool pinnedSession) noexcept;
/// @brief "wattle@3".
std::string versionText(const ModelVersion &version);
/// @brief "warming", "serving", "closed" or "withdrawn".
std::string_view versionStateName(VersionState state) noexcept;

/**
 * @brief Reads a configuration from its JSON text.
 * @param text the document
 * @param reason why the result is empty: InvalidConfiguration, with the JSON path in its detail
 */
std::optional<Configuration> parseConfiguration(const std::string &text, LastReason &reason);

/// @brief Writes a configuration as JSON; parseConfiguration() reads the same back.
std::string serialise(const Configuration &configuration);

} // namespace parsleyvane
