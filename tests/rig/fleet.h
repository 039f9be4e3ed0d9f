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

/// @brief The configuration of one stand-in engine.
struct EnginePlan
{
    std::vector<ModelVersion> loads;
    unsigned slots = 8;
    unsigned tokenDelayUs = 200;
    bool checksFence = true;
};

/// @brief The configuration of a fleet.
struct FleetPlan
{
    /// @brief The directory of the program files.
    std::filesystem::path bin;
    /// @brief Directory for settings, logs and records; deleted and recreated at the start.
    std::filesystem::path runDirectory;
    unsigned instances = 3;
    unsigned zones = 3;
    std::vector<EnginePlan> engines;
    /// @brief The names of the plain services.
    std::vector<std::string> services;
    std::uint64_t seed = 1;
    /// @brief Whether to put a relay between each instance and the platform, and in front of each upstream and each
    /// instance's listener for peers.
    bool relayed = false;
    /// @brief Additional lines for the instances' settings files, such as "[limits]\nsilence-ms = 500".
    std::string settings;
};

/// @brief One process of the fleet.
struct Member
{
    std::string id;
    std::string role;
    std::string zone;
    /// @brief The listening address; for an instance, that of its listener for clients.
    std::string address;
    /// @brief The address of an instance's listener for operators.
    std::string operators;
    /// @brief The address of an instance's listener for peers.
    std::string peers;
    std::vector<std::string> command;
    std::filesystem::path log;
    std::filesystem::path record;
    std::unique_ptr<Process> process;
    /// @brief In front of an upstream or of an instance's listener for peers; null without relays.
    std::unique_ptr<Relay> front;
    /// @brief Between an instance and the platform; null without relays.
    std::unique_ptr<Relay> toPlatform;

    // observers
    /// @brief The address that other processes connect to: the relay's, if there is one.
    const std::string &reachedAt() const
    {
        const std::string &own = this->role == "entry" ? this->peers : this->address;
        return this->front ? this->front->address() : own;
    }
};

/**
 * @brief Starts the processes of a plan and kills them on destruction.
 *
 * @code
 * Fleet fleet(plan);
 * fleet.startStandIns();
 * fleet.submit(configurationFile, Revision(0), "operator"); // built from fleet.baseConfiguration()
 * fleet.startInstances();
 * @endcode
 */
class Fleet
{
public:
    // constructors
    explicit Fleet(FleetPlan plan);

    // modifiers
    /// @brief Starts the platform, engines and services and registers the upstreams. @throws std::runtime_error on
    /// timeout
    void startStandIns();
    /// @brief Starts all instances and waits until each is ready. @throws std::runtime_error on timeout
    void startInstances();
    /// @brief Restarts a member that has exited, with the same id and addresses.
    void restart(Member &member);
    /// @brief Runs a program and waits for it; its output goes to `NAME.log`. @throws std::runtime_error on failure
    void runTool(const std::string &name, std::vector<std::string> arguments);
    /// @brief Submits a configuration with parsleyvanectl. @throws std::runtime_error when it is not accepted
    void submit(const std::filesystem::path &file, Revision basedOn, const std::string &operatorName);
    /// @brief Adds or updates a member in the platform's instance list. @throws std::runtime_error on failure
    void registerMember(const Member &member, bool leaving = false) const;
    /// @brief Sets faults of a stand-in. @throws std::runtime_error on timeout
    void fault(const Member &member, const nlohmann::json &faults);

    // observers
    Member &platform();
    Member &engine(std::size_t index);
    Member &service(std::size_t index);
    Member &instance(std::size_t index);
    std::size_t instanceCount() const noexcept;
    const FleetPlan &plan() const noexcept;
    /// @brief A configuration with the fleet's upstreams and a session key, without accounts and versions.
    Configuration baseConfiguration() const;
    /// @brief Whether the instance's /readyz answers 200.
    bool ready(const Member &instance) const;
    /// @brief The instance's /status; null when there is no response.
    nlohmann::json status(const Member &instance) const;
    /// @brief Whether the /status of every running instance shows this revision or a later one.
    bool allInstancesReport(Revision revision);
    /// @brief The number of table rows whose key has this prefix; 0 when the platform does not respond.
    std::size_t countRows(const std::string &prefix) const;
    /// @brief The answer of an engine to a direct request. @throws std::runtime_error when no engine answers
    std::string referenceAnswer(const ModelVersion &version, const std::string &prompt, unsigned maxTokens) const;
    /// @brief Everything that the stand-ins have recorded until now.
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

/// @brief Converts a request and its answer to the checkers' input.
ClientObservation observe(const Ask &request, const Answer &answer, const Member &instance);

/// @brief The directory of the running program; the build puts all programs there.
std::filesystem::path programDirectory();

} // namespace parsleyvane::rig
