/**
 * @file
 * @brief Soak test: random requests under random faults, at most two at a time, then the invariant checks.
 *
 * The seed determines the fault schedule and the requests of each client.
 */
#include "rig/scenario.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <atomic>
#include <deque>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, bin, "build", "where the programs are");
ABSL_FLAG(std::uint64_t, seed, 1, "the first seed");
ABSL_FLAG(unsigned, seeds, 1, "how many seeds to run, one after the other");
ABSL_FLAG(unsigned, seconds, 20, "how long faults come and go, for each seed");
ABSL_FLAG(unsigned, callers, 6, "callers that send at once");
ABSL_FLAG(std::string, faults, "", "only faults whose name contains this text");

namespace parsleyvane::rig {

namespace {

constexpr unsigned instanceCount = 5;
constexpr unsigned engineCount = 3;
constexpr std::size_t faultsAtOnce = 2;
constexpr Milliseconds faultInterval{600};
constexpr Milliseconds callerPause{20};
/// @brief Settling time after the last fault for drains, heartbeats and late attempts to complete.
constexpr Milliseconds settling{6000};

/// @brief A fault that is injected and later removed.
struct Fault
{
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
};

/// @brief All faults that can be injected into a scenario.
class FaultBook
{
public:
    // constructors
    explicit FaultBook(Scenario &scenario)
        : fleet(scenario.fleet)
    {
        this->addPlatform();
        this->addService();
        for (std::size_t index = 0; index < engineCount; ++index) {
            this->addEngine(index);
        }
        for (std::size_t index = 0; index < instanceCount; ++index) {
            this->addInstance(index);
        }
    }

    // observers
    const std::vector<Fault> &faults() const noexcept
    {
        return this->all;
    }

private:
    using Json = nlohmann::json;

    /// @brief Adds a fault that a stand-in switches on and off by its fault settings.
    void addSwitch(Member &member, const std::string &name, const Json &on, const Json &off)
    {
        this->add(
            member.id + " " + name,
            [this, &member, on] {
                this->fleet.fault(member, {{on.begin().key(), on.begin().value()}});
            },
            [this, &member, on, off] {
                this->fleet.fault(member, {{on.begin().key(), off}});
            });
    }

    void add(std::string name, std::function<void()> begin, std::function<void()> end)
    {
        if (name.find(absl::GetFlag(FLAGS_faults)) != std::string::npos) {
            this->all.push_back({std::move(name), std::move(begin), std::move(end)});
        }
    }

    void addPlatform()
    {
        Member &platform = this->fleet.platform();
        this->addSwitch(platform, "down", {{"down", true}}, false);
        this->addSwitch(platform, "slow", {{"delayMs", 400}}, 0);
        this->addSwitch(platform, "loses replies", {{"loseReplies", 3}}, 0);
        this->addSwitch(platform, "stale reads", {{"staleReads", true}}, false);
    }

    void addService()
    {
        Member &service = this->fleet.service(0);
        this->addSwitch(service, "refuses", {{"refuse", true}}, false);
        this->addSwitch(service, "resets before", {{"resetBefore", true}}, false);
        this->addSwitch(service, "resets after", {{"resetAfter", true}}, false);
        this->addSwitch(service, "silent", {{"silentAfterFirstByte", true}}, false);
        this->addSwitch(service, "slow", {{"delayMs", 300}}, 0);
        this->addProcess(service);
    }

    void addEngine(std::size_t index)
    {
        Member &engine = this->fleet.engine(index);
        this->addSwitch(engine, "errors", {{"errorRate", 0.5}}, 0.0);
        this->addSwitch(engine, "silent", {{"silentAfter", 5}}, -1);
        this->addSwitch(engine, "cuts", {{"cutAfter", 5}}, -1);
        this->addSwitch(engine, "duplicates", {{"duplicate", true}}, false);
        this->addSwitch(engine, "reorders", {{"reorder", true}}, false);
        this->addSwitch(engine, "refuses", {{"refuse", true}}, false);
        this->addProcess(engine);
    }

    void addInstance(std::size_t index)
    {
        Member &instance = this->fleet.instance(index);
        this->addProcess(instance);
        Relay &toPlatform = *instance.toPlatform;
        this->add(
            instance.id + " platform silent", [&toPlatform] { toPlatform.setMode(RelayMode::Drop); },
            [&toPlatform] { toPlatform.setMode(RelayMode::Pass); });
        this->add(
            instance.id + " platform cut", [&toPlatform] { toPlatform.setMode(RelayMode::Cut); },
            [&toPlatform] { toPlatform.setMode(RelayMode::Pass); });
    }

    /// @brief Adds the process faults of a member: kill and restart, freeze and thaw.
    void addProcess(Member &member)
    {
        this->add(
            member.id + " killed", [&member] { member.process->kill(); },
            [this, &member] { this->fleet.restart(member); });
        this->add(
            member.id + " frozen", [&member] { member.process->freeze(); }, [&member] { member.process->thaw(); });
    }

    Fleet &fleet;
    std::vector<Fault> all;
};

/// @brief A client that sends requests one after the other until it is stopped.
class RandomCaller
{
public:
    // constructors
    RandomCaller(Scenario &scenario, std::uint64_t seed, unsigned number)
        : scenario(scenario)
        , random(seed * 1000 + number)
        , name("c" + std::to_string(number))
    {
    }

    // modifiers
    void run(const std::atomic<bool> &stopping)
    {
        while (!stopping) {
            this->sendOne();
            std::this_thread::sleep_for(callerPause);
        }
    }

private:
    unsigned draw(unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(this->random);
    }

    void sendOne()
    {
        constexpr unsigned kinds = 4;
        const std::string text = this->name + " asks " + std::to_string(++this->sent);
        const std::size_t instance = this->draw(instanceCount);
        switch (this->draw(kinds)) {
        case 0:
            this->sendCredit(instance);
            return;
        case 1:
            this->scenario.chat(instance, this->keyed(this->scenario.ask("triage", "[[hard]] " + text)));
            return;
        case 2:
            this->sendStream(instance, text);
            return;
        default:
            this->scenario.chat(instance, this->keyed(this->scenario.ask("ask", text)));
        }
    }

    Ask keyed(Ask ask)
    {
        constexpr Milliseconds patience{15000};
        ask.idempotencyKey = this->name + "-" + std::to_string(this->sent);
        ask.responseTimeout = patience;
        return ask;
    }

    void sendStream(std::size_t instance, const std::string &text)
    {
        Ask ask = this->keyed(this->scenario.ask("long", "[[tokens=300]] " + text));
        ask.stream = true;
        this->scenario.chat(instance, ask);
    }

    /// @brief Retries under the same idempotency key on the next instance until an attempt succeeds, at most `tries`
    /// times.
    void sendCredit(std::size_t instance)
    {
        constexpr unsigned tries = 3;
        const Ask ask = this->keyed(this->scenario.ask("unlock-credit", R"({"days":7})"));
        for (unsigned tried = 0; tried < tries; ++tried) {
            if (this->scenario.operate((instance + tried) % instanceCount, ask).succeeded()) {
                return;
            }
        }
    }

    Scenario &scenario;
    std::mt19937_64 random;
    std::string name;
    unsigned sent = 0;
};

/// @brief Injects the fault schedule of a seed into a scenario.
class FaultPlayer
{
public:
    // constructors
    FaultPlayer(Scenario &scenario, std::uint64_t seed)
        : book(scenario)
        , random(seed)
    {
    }

    // modifiers
    void play(Milliseconds duration)
    {
        for (Milliseconds passed{0}; passed < duration; passed += faultInterval) {
            if (this->active.size() == faultsAtOnce) {
                this->endOldest();
            }
            this->beginOne();
            std::this_thread::sleep_for(faultInterval);
        }
        while (!this->active.empty()) {
            this->endOldest();
        }
    }

private:
    void beginOne()
    {
        const std::vector<Fault> &all = this->book.faults();
        const Fault &fault = all[std::uniform_int_distribution<std::size_t>(0, all.size() - 1)(this->random)];
        for (const Fault *other : this->active) {
            // Two simultaneous faults of one member would cancel each other.
            if (memberOf(*other) == memberOf(fault)) {
                return;
            }
        }
        std::cout << "  + " << fault.name << "\n";
        fault.begin();
        this->active.push_back(&fault);
    }

    void endOldest()
    {
        this->active.front()->end();
        this->active.pop_front();
    }

    static std::string memberOf(const Fault &fault)
    {
        return fault.name.substr(0, fault.name.find(' '));
    }

    FaultBook book;
    std::mt19937_64 random;
    std::deque<const Fault *> active;
};

/// @brief Prints the number of requests by outcome.
void printCounts(const Scenario &scenario)
{
    std::size_t succeeded = 0;
    std::size_t notRun = 0;
    std::size_t cutOff = 0;
    const auto callers = scenario.callers();
    for (const ClientObservation &got : callers) {
        succeeded += got.succeeded ? 1 : 0;
        notRun += got.reportedRunState == RunState::NotRun ? 1 : 0;
        cutOff += got.cutOff ? 1 : 0;
    }
    std::cout << "  " << callers.size() << " requests: " << succeeded << " answered, " << notRun
              << " reported not run, " << cutOff << " cut off\n";
}

/// @brief Waits until every instance is ready again. @return a line for each that is not
std::string unready(Scenario &scenario)
{
    std::string lines;
    for (std::size_t index = 0; index < instanceCount; ++index) {
        const Member &instance = scenario.fleet.instance(index);
        if (!waitUntil([&] { return scenario.fleet.ready(instance); })) {
            lines += instance.id + " did not become ready again\n";
        }
    }
    return lines;
}

/// @brief Stops the clients at the end of the scope, also on an exception, so that their threads can be joined.
struct StopAtEnd
{
    std::atomic<bool> &stopping;

    ~StopAtEnd()
    {
        this->stopping = true;
    }
};

/// @return the violations, each on a line
std::string soak(std::uint64_t seed)
{
    std::cout << "seed " << seed << "\n";
    Scenario scenario({.name = "soak-" + std::to_string(seed),
                       .bin = absl::GetFlag(FLAGS_bin),
                       .instances = instanceCount,
                       .engines = engineCount,
                       .relayed = true,
                       .seed = seed});
    std::atomic<bool> stopping = false;
    std::vector<std::jthread> threads;
    threads.reserve(absl::GetFlag(FLAGS_callers));
    for (unsigned number = 0; number < absl::GetFlag(FLAGS_callers); ++number) {
        threads.emplace_back([&scenario, &stopping, seed, number] {
            RandomCaller caller(scenario, seed, number);
            caller.run(stopping);
        });
    }
    {
        const StopAtEnd stop{stopping};
        FaultPlayer(scenario, seed).play(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
    }
    threads.clear();
    std::string lines = unready(scenario);
    std::this_thread::sleep_for(settling);
    lines += scenario.settledViolations();
    printCounts(scenario);
    return lines;
}

int run()
{
    unsigned broken = 0;
    const std::uint64_t first = absl::GetFlag(FLAGS_seed);
    for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        const std::string lines = soak(seed);
        std::cout << lines;
        broken += lines.empty() ? 0 : 1;
    }
    std::cout << absl::GetFlag(FLAGS_seeds) << " seeds, " << broken << " with violations\n";
    return broken == 0 ? 0 : 1;
}

} // namespace

} // namespace parsleyvane::rig

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Random requests under random faults; checks the invariants at the end.");
    absl::ParseCommandLine(argc, argv);
    std::cout << std::unitbuf;
    try {
        return parsleyvane::rig::run();
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 1;
    }
}
