/**
 * @file
 * @brief A fleet of separate processes on loopback: platform, engines, plain services and entry instances.
 */
#pragma once

#include "rig/caller.h"
#include "rig/checkers.h"
#include "rig/process.h"
#include "rig/relay.h"

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace parsleyvane::rig {

/// @brief A model engine to start.
struct EnginePlan
{
    std::vector<ModelVersion> loads;
    unsigned slots = 8;
    unsigned tokenDelayUs = 200;
    bool checksFence = true;
};

/// @brief What to start.
struct FleetPlan
{
    /// @brief Where the programs are.
    std::filesystem::path bin;
    /// @brief Receives settings, logs and records; emptied first.
    std::filesystem::path runDirectory;
    unsigned instances = 3;
    unsigned zones = 3;
    std::vector<EnginePlan> engines;
    /// @brief The name of each plain service.
    std::vector<std::string> services;
    std::uint64_t seed = 1;
    /// @brief Put a relay between each instance and the platform, and before each upstream and each instance's peers.
    bool relayed = false;
    /// @brief Further lines of the instances' settings, such as "[limits]\nsilence-ms = 500".
    std::string settings;
};

/// @brief One process of the fleet.
struct Member
{
    std::string id;
    std::string role;
    std::string zone;
    /// @brief Where it listens; an instance's listener for callers.
    std::string address;
    /// @brief An instance's listener for operators.
    std::string operators;
    /// @brief An instance's listener for its peers.
    std::string peers;
    std::vector<std::string> command;
    std::filesystem::path log;
    std::filesystem::path record;
    std::unique_ptr<Process> process;
    /// @brief Before an upstream, or before an instance's peers listener; null without relays.
    std::unique_ptr<Relay> front;
    /// @brief Between an instance and the platform; null without relays.
    std::unique_ptr<Relay> toPlatform;

    // observers
    /// @brief Where others reach it.
    const std::string &reachedAt() const
    {
        const std::string &own = this->role == "entry" ? this->peers : this->address;
        return this->front ? this->front->address() : own;
    }
};

/**
 * @brief Starts the processes of a plan and ends them with the object.
 *
 * @code
 * Fleet fleet(plan);
 * fleet.startStandIns();
 * fleet.submit(fleet.baseConfiguration(...));
 * fleet.startInstances();
 * @endcode
 */
class Fleet
{
public:
    // constructors
    explicit Fleet(FleetPlan plan);

    // modifiers
    /// @brief Starts platform, engines and services, and registers them. @throws std::runtime_error past the bound
    void startStandIns();
    /// @brief Starts all instances and waits until each is ready. @throws std::runtime_error past the bound
    void startInstances();
    /// @brief Starts a member that has ended, under the same id and addresses.
    void restart(Member &member);
    /// @brief Runs a program to its end, with its output in `NAME.log`. @throws std::runtime_error when it fails
    void runTool(const std::string &name, std::vector<std::string> arguments);
    /// @brief Submits a configuration through parsleyvanectl.
    void submit(const std::filesystem::path &file, Revision basedOn, const std::string &operatorName);
    /// @brief Tells the platform's instance list of a member. @throws std::runtime_error when it does not answer
    void enrol(const Member &member, bool leaving = false) const;
    /// @brief Switches a stand-in's faults.
    void fault(const Member &member, const nlohmann::json &faults);

    // observers
    Member &platform();
    Member &engine(std::size_t index);
    Member &service(std::size_t index);
    Member &instance(std::size_t index);
    std::size_t instanceCount() const noexcept;
    const FleetPlan &plan() const noexcept;
    /// @brief The fleet's upstreams and session key, with no account and no version.
    Configuration baseConfiguration() const;
    /// @brief Whether the instance's /readyz answers 200.
    bool ready(const Member &instance) const;
    /// @brief The instance's /status; null when it does not answer.
    nlohmann::json status(const Member &instance) const;
    /// @brief Whether every running instance shows this revision or a later one.
    bool allInstancesReport(Revision revision);
    /// @brief The number of rows of the platform's table under this prefix; 0 when it does not answer.
    std::size_t countRows(const std::string &prefix) const;
    /// @brief What an engine answers when it is asked directly. @throws std::runtime_error when it does not
    std::string referenceAnswer(const ModelVersion &version, const std::string &prompt, unsigned maxTokens) const;
    /// @brief All that the stand-ins have recorded so far.
    Records records() const;

private:
    Member &add(std::vector<Member> &group, const std::string &role, const std::string &id, unsigned index);
    void startStandIn(Member &member, const std::string &program, std::vector<std::string> flags);
    void prepareInstances();
    void writeSettings(Member &member) const;
    void start(Member &member) const;

    FleetPlan planned;
    std::vector<Member> platforms;
    std::vector<Member> engines;
    std::vector<Member> services;
    std::vector<Member> instances;
};

/// @brief What the checkers need to know of one exchange.
ClientObservation observe(const Ask &ask, const Answer &answer, const Member &instance);

/// @brief The directory of the running program, where the build puts all programs.
std::filesystem::path programDirectory();

} // namespace parsleyvane::rig
