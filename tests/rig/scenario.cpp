#include "rig/scenario.h"

#include "parsleyvane/core/digest.h"
#include "parsleyvane/net/blockingclient.h"

#include <algorithm>
#include <fstream>

namespace parsleyvane::rig {

namespace {

constexpr std::string_view keyPrefix = "rig-";
constexpr unsigned fullWeight = 100;
constexpr Milliseconds pollInterval{50};
const ModelVersion wattle{ModelName("wattle"), VersionName("3")};
const ModelVersion newWattle{ModelName("wattle"), VersionName("4")};
const ModelVersion banksia{ModelName("banksia"), VersionName("2")};

FleetPlan fleetPlan(const ScenarioPlan &plan)
{
    FleetPlan fleet;
    fleet.bin = plan.bin.empty() ? programDirectory() : plan.bin;
    fleet.runDirectory = fleet.bin / "run" / plan.name;
    fleet.seed = plan.seed;
    fleet.instances = plan.instances;
    fleet.engines.assign(plan.engines,
                         EnginePlan{.loads = {wattle, newWattle, banksia}, .tokenDelayUs = plan.tokenDelayUs});
    fleet.services = {"ledger"};
    fleet.relayed = plan.relayed;
    fleet.settings = plan.settings;
    return fleet;
}

Task task(const char *name, std::variant<ModelTask, ServiceTask> work, bool repeatable)
{
    constexpr Milliseconds maxWait{10000};
    return {TaskName(name), std::move(work), repeatable, maxWait};
}

std::string apiKeyOf(const std::string &account)
{
    return std::string(keyPrefix) + account;
}

Account account(const std::string &name, std::vector<ModelVersion> allowed, const std::vector<ModelName> &chain)
{
    const ModelTask singleModel{.chain = {chain.front()}};
    const ModelTask cascade{.chain = chain};
    const ModelTask resumable{.chain = {chain.front()}, .resumable = true, .maxTokens = 2000};
    Account account;
    account.id = AccountId(name);
    account.organisation = name;
    account.keyHashes = {sha256Hex(apiKeyOf(name))};
    account.allowed = std::move(allowed);
    account.limits = {1000, 1000, 1000};
    account.tasks = {task("ask", singleModel, true), task("triage", cascade, true), task("long", resumable, true),
                     task("unlock-credit", ServiceTask{ServiceName("ledger"), "unlock-credit"}, false),
                     task("reading", ServiceTask{ServiceName("ledger"), "reading"}, true)};
    return account;
}

VersionEntry serving(const ModelVersion &version, unsigned weight)
{
    return {version, VersionState::Serving, weight, MicroCost(200000)};
}

} // namespace

Scenario::Scenario(const ScenarioPlan &plan)
    : fleet(fleetPlan(plan))
{
    this->fleet.startStandIns();
    this->configuration = this->fleet.baseConfiguration();
    this->configuration.accounts = {account("lumara", {wattle, newWattle, banksia}, {wattle.model, banksia.model}),
                                    account("txoko", {banksia}, {banksia.model})};
    this->configuration.versions = {serving(wattle, fullWeight), serving(newWattle, 0), serving(banksia, fullWeight)};
    this->accept(this->configuration);
    this->fleet.startInstances();
}

Acceptance Scenario::accept(const Configuration &next)
{
    const auto file = this->fleet.plan().runDirectory / "configuration.json";
    std::ofstream(file) << serialise(next);
    this->fleet.submit(file, this->revision, "rig");
    this->configuration = next;
    this->revision = Revision(this->revision.value() + 1);
    return {this->revision, bootMilliseconds()};
}

Ask Scenario::ask(const std::string &task, const std::string &body, const std::string &account) const
{
    return {.apiKey = apiKeyOf(account), .account = account, .task = task, .body = body};
}

void Scenario::recordExchange(const Ask &request, const Answer &answer, const Member &instance)
{
    const std::lock_guard lock(this->mutex);
    this->exchanges.push_back({observe(request, answer, instance), request});
}

std::vector<ClientObservation> Scenario::callers() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ClientObservation> all;
    for (const Exchange &exchange : this->exchanges) {
        all.push_back(exchange.observation);
    }
    return all;
}

Answer Scenario::credit(std::size_t instance, const std::string &key, const std::string &body)
{
    Ask sent = this->ask("unlock-credit", body);
    sent.idempotencyKey = key;
    return this->operate(instance, sent);
}

Answer Scenario::operate(std::size_t instance, const Ask &request)
{
    const Member &member = this->fleet.instance(instance);
    Answer answer = sendTask(member.address, request);
    this->recordExchange(request, answer, member);
    return answer;
}

Answer Scenario::chat(std::size_t instance, const Ask &request)
{
    const Member &member = this->fleet.instance(instance);
    Answer answer = sendChat(member.address, request);
    this->recordExchange(request, answer, member);
    return answer;
}

void Scenario::fetchExpectedAnswers()
{
    for (std::size_t index = 0; index < this->fleet.plan().engines.size(); ++index) {
        Member &engine = this->fleet.engine(index);
        if (!engine.process->running()) {
            continue;
        }
        this->fleet.fault(engine, {{"tokenDelayUs", 0}});
    }
    const std::lock_guard lock(this->mutex);
    for (Exchange &exchange : this->exchanges) {
        ClientObservation &observation = exchange.observation;
        if (!observation.succeeded || !observation.version || observation.expected) {
            continue;
        }
        const Task *task = findTask(this->configuration.accounts.front(), TaskName(exchange.request.task));
        const unsigned maxTokens = std::get<ModelTask>(task->work).maxTokens;
        observation.expected = this->fleet.referenceAnswer(*observation.version, promptOf(exchange.request), maxTokens);
    }
}

bool Scenario::creditSucceeds(const std::string &key, Milliseconds bound)
{
    std::size_t attempt = 0;
    return waitUntil(
        [&] {
            const std::size_t instance = attempt++ % this->fleet.instanceCount();
            return this->credit(instance, key).succeeded();
        },
        bound);
}

std::size_t Scenario::timesApplied(const std::string &key) const
{
    const Records records = this->fleet.records();
    const auto hasKey = [&key](const AppliedOperation &applied) {
        return applied.key.str() == key;
    };
    return static_cast<std::size_t>(std::count_if(records.applied.begin(), records.applied.end(), hasKey));
}

bool Scenario::hasRow(const std::string &prefix) const
{
    return this->fleet.countRows(prefix) > 0;
}

std::string Scenario::settledViolations(Milliseconds bound)
{
    waitUntil([this] { return checkBills(this->fleet.records(), this->callers()).empty(); }, bound);
    return this->violations();
}

std::string Scenario::violations()
{
    this->fetchExpectedAnswers();
    const Records records = this->fleet.records();
    const std::vector<ClientObservation> callers = this->callers();
    return textOf(checkAllowedVersions(records, this->configuration)) + textOf(checkSessions(records, callers))
        + textOf(checkBills(records, callers)) + textOf(checkAnswers(callers)) + textOf(checkNotRun(records, callers))
        + textOf(checkAtMostOnce(records));
}

RevisionWatch::RevisionWatch(Scenario &scenario)
    : thread([this, &scenario](const std::stop_token &token) {
        while (!token.stop_requested()) {
            for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
                const Member &instance = scenario.fleet.instance(index);
                const nlohmann::json shown = scenario.fleet.status(instance);
                const std::uint64_t number = shown.is_object() ? shown.value("revision", std::uint64_t{0}) : 0;
                if (number > 0) {
                    this->seen.push_back({InstanceId(instance.id), Revision(number), bootMilliseconds()});
                }
            }
            std::this_thread::sleep_for(pollInterval);
        }
    })
{
}

std::vector<RevisionSeen> RevisionWatch::stop()
{
    this->thread.request_stop();
    this->thread.join();
    return std::move(this->seen);
}

Traffic::Traffic(const std::function<void(std::size_t)> &send)
{
    constexpr std::size_t callerCount = 6;
    for (std::size_t number = 0; number < callerCount; ++number) {
        this->threads.emplace_back([send, number](const std::stop_token &token) {
            for (std::size_t sent = number; !token.stop_requested(); sent += callerCount + 1) {
                send(sent);
            }
        });
    }
}

Traffic::~Traffic()
{
    // Stops all threads before the first join, so that the others don't keep sending meanwhile.
    for (std::jthread &thread : this->threads) {
        thread.request_stop();
    }
}

std::string textOf(const Violations &violations)
{
    std::string text;
    for (const Violation &violation : violations) {
        text += std::to_string(violation.invariant) + ": " + violation.what + "\n";
    }
    return text;
}

} // namespace parsleyvane::rig
