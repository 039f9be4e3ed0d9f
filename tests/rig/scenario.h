/**
 * @file
 * @brief A small fleet with one client account, and all that its callers were told: the frame of a failure test.
 */
#pragma once

#include "rig/fleet.h"

#include <mutex>
#include <thread>

namespace parsleyvane::rig {

/// @brief What a failure test starts.
struct ScenarioPlan
{
    /// @brief Names the run directory.
    std::string name;
    /// @brief Where the programs are; empty for the directory of the running program.
    std::filesystem::path bin = {};
    unsigned instances = 3;
    unsigned engines = 2;
    bool relayed = false;
    /// @brief Further lines of the instances' settings.
    std::string settings = {};
    unsigned tokenDelayUs = 200;
    std::uint64_t seed = 1;
};

/**
 * @brief A ready fleet: engines that load wattle@3, wattle@4 and banksia@2, the service `ledger`, and two accounts.
 *
 * wattle@4 serves, with no share of new work. The account `lumara` may use everything, with the
 * chain wattle, banksia; `txoko` only banksia@2. Both
 * have the tasks `ask` (the first model of its chain, repeatable), `triage` (a cascade), `long` (a resumable model),
 * `unlock-credit` (the service, not repeatable) and `reading` (the service, repeatable).
 */
class Scenario
{
public:
    // constructors
    explicit Scenario(const ScenarioPlan &plan);

    // modifiers
    /// @brief Sends an unlock credit to an instance, and keeps what it was told. Callable from any thread.
    Answer credit(std::size_t instance, const std::string &key, const std::string &body = R"({"days":7})");
    /// @brief Sends a plain-service task, and keeps what it was told. Callable from any thread.
    Answer operate(std::size_t instance, const Ask &ask);
    /// @brief Sends a chat completion, and keeps what it was told. Callable from any thread.
    Answer chat(std::size_t instance, const Ask &ask);
    /// @brief A request of the account; the caller sets what else it needs.
    Ask ask(const std::string &task, const std::string &body, const std::string &account = "lumara") const;
    /// @brief Submits the next revision of the configuration. @throws std::runtime_error when it is not accepted
    Acceptance accept(const Configuration &next);
    /// @brief Repeats a credit at all instances in turn until one of them succeeds. @return whether one did
    bool creditSucceeds(const std::string &key, Milliseconds bound = waitBound);

    // observers
    /// @brief How often the service applied the key.
    std::size_t timesApplied(const std::string &key) const;
    /// @brief Whether the platform holds a row under this prefix.
    bool hasRow(const std::string &prefix) const;
    /**
     * @brief All invariants that these callers and records can break; each on a line of its own, empty when none.
     * @pre the engines run and have no faults: they are asked for the answers that the callers should hold
     */
    std::string violations();
    /// @brief Waits until every answered request is billed, then as violations().
    std::string settledViolations(Milliseconds bound = waitBound);
    /// @brief What the callers were told so far.
    std::vector<ClientObservation> callers() const;

    Fleet fleet;
    Configuration configuration;

private:
    /// @brief An exchange, with what is needed to ask an engine for the same answer.
    struct Exchange
    {
        ClientObservation got;
        Ask ask;
    };

    void keep(const Ask &ask, const Answer &answer, const Member &instance);
    void fillExpected();

    mutable std::mutex mutex;
    Revision revision;
    std::vector<Exchange> exchanges;
};

/// @brief Notes what revision each instance's /status shows, on a thread of its own.
class RevisionWatch
{
public:
    // constructors
    explicit RevisionWatch(Scenario &scenario);

    // modifiers
    /// @brief Stops, and hands over what was seen. An instance that has no configuration yet shows none.
    std::vector<RevisionSeen> stop();

private:
    std::vector<RevisionSeen> seen;
    std::jthread thread;
};

/// @brief Callers that send one request after the other until the scope ends.
class Traffic
{
public:
    // constructors
    /// @param send sends the request with this number; called from several threads
    explicit Traffic(const std::function<void(std::size_t)> &send);
    /// @brief Lets what is under way come to its end.
    ~Traffic();
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

private:
    std::vector<std::jthread> threads;
};

/// @brief Each violation on a line of its own; empty when there is none.
std::string textOf(const Violations &violations);

} // namespace parsleyvane::rig
