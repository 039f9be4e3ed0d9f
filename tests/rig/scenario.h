/**
 * @file
 * @brief A small fleet with two client accounts that records what its clients receive; the fixture of fault tests.
 */
#pragma once

#include "rig/fleet.h"

#include <mutex>
#include <thread>

namespace parsleyvane::rig {

/// @brief The configuration of a scenario.
struct ScenarioPlan
{
    /// @brief The name of the run directory.
    std::string name;
    /// @brief The directory of the program files; empty for that of the running program.
    std::filesystem::path bin = {};
    unsigned instances = 3;
    unsigned engines = 2;
    bool relayed = false;
    /// @brief Additional lines for the instances' settings files.
    std::string settings = {};
    unsigned tokenDelayUs = 200;
    std::uint64_t seed = 1;
};

/**
 * @brief A ready fleet: engines that load wattle@3, wattle@4 and banksia@2, the service `ledger`, and two accounts.
 *
 * wattle@4 is serving with weight 0, so it gets no new work. The account `lumara` may use all versions, with the model
 * chain wattle, banksia; `txoko` may use only banksia@2. Both have the tasks `ask` (the first model of its chain,
 * repeatable), `triage` (a cascade), `long` (a resumable model), `unlock-credit` (the service, not repeatable) and
 * `reading` (the service, repeatable).
 */
class Scenario
{
public:
    // constructors
    explicit Scenario(const ScenarioPlan &plan);

    // modifiers
    /// @brief Sends an `unlock-credit` request to an instance and records the answer. Thread-safe.
    Answer credit(std::size_t instance, const std::string &key, const std::string &body = R"({"days":7})");
    /// @brief Sends a plain-service task and records the answer. Thread-safe.
    Answer operate(std::size_t instance, const Ask &request);
    /// @brief Sends a chat completion and records the answer. Thread-safe.
    Answer chat(std::size_t instance, const Ask &request);
    /// @brief A request of the account, with its API key; all optional fields have their defaults.
    Ask ask(const std::string &task, const std::string &body, const std::string &account = "lumara") const;
    /// @brief Submits the next revision of the configuration. @throws std::runtime_error when it is not accepted
    Acceptance accept(const Configuration &next);
    /// @brief Sends a credit to the instances in turn until one succeeds. @return whether one did before the bound
    bool creditSucceeds(const std::string &key, Milliseconds bound = waitBound);

    // observers
    /// @brief How many operations the service applied under this idempotency key.
    std::size_t timesApplied(const std::string &key) const;
    /// @brief Whether the platform's table has a row whose key has this prefix.
    bool hasRow(const std::string &prefix) const;
    /**
     * @brief The violations of invariants 1 and 3 to 7, one per line; empty when there are none.
     * @pre the engines run without faults: they are sent reference requests for the expected answers
     */
    std::string violations();
    /// @brief Waits until checkBills() finds no violation or the bound has passed, then returns violations().
    std::string settledViolations(Milliseconds bound = waitBound);
    /// @brief All exchanges recorded until now.
    std::vector<ClientObservation> callers() const;

    Fleet fleet;
    Configuration configuration;

private:
    /// @brief An observation, with the request from which the reference request is built.
    struct Exchange
    {
        ClientObservation observation;
        Ask request;
    };

    void recordExchange(const Ask &request, const Answer &answer, const Member &instance);
    void fetchExpectedAnswers();

    mutable std::mutex mutex;
    Revision revision;
    std::vector<Exchange> exchanges;
};

/// @brief Polls the revision in each instance's /status on its own thread.
class RevisionWatch
{
public:
    // constructors
    explicit RevisionWatch(Scenario &scenario);

    // modifiers
    /// @brief Stops polling and returns the revisions seen. An instance without a configuration has no entry.
    std::vector<RevisionSeen> stop();

private:
    std::vector<RevisionSeen> seen;
    std::jthread thread;
};

/// @brief Threads that each send one request after the other until destruction.
class Traffic
{
public:
    // constructors
    /// @param send sends the request with the given number; called from several threads
    explicit Traffic(const std::function<void(std::size_t)> &send);
    /// @brief Stops sending and waits for the requests in flight.
    ~Traffic();
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

private:
    std::vector<std::jthread> threads;
};

/// @brief The violations, one per line; empty when there are none.
std::string textOf(const Violations &violations);

} // namespace parsleyvane::rig
