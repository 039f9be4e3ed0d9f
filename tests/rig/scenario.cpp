#include "rig/scenario.h"

#include "parsleyvane/core/digest.h"
#include "parsleyvane/net/blockingclient.h"

#include <algorithm>
#include <fstream>

namespace parsleyvane::rig {

namespace {

constexpr const char *apiKey = "rig-key";
constexpr const char *accountName = "lumara";
const ModelVersion wattle{ModelName("wattle"), VersionName("3")};
const ModelVersion banksia{ModelName("banksia"), VersionName("2")};

FleetPlan fleetPlan(const ScenarioPlan &plan)
{
    FleetPlan fleet;
    fleet.bin = plan.bin.empty() ? programDirectory() : plan.bin;
    fleet.runDirectory = fleet.bin / "run" / plan.name;
    fleet.seed = plan.seed;
    fleet.instances = plan.instances;
    fleet.engines.assign(plan.engines, EnginePlan{.loads = {wattle, banksia}, .tokenDelayUs = plan.tokenDelayUs});
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

Account account()
{
    const ModelTask one{.chain = {wattle.model}};
    const ModelTask cascade{.chain = {wattle.model, banksia.model}};
    const ModelTask resumable{.chain = {wattle.model}, .resumable = true, .maxTokens = 2000};
    Account account;
    account.id = AccountId(accountName);
    account.organisation = accountName;
    account.keyHashes = {sha256Hex(apiKey)};
    account.allowed = {wattle, banksia};
    account.limits = {1000, 1000, 1000};
    account.tasks = {task("ask", one, true), task("triage", cascade, true), task("long", resumable, true),
                     task("unlock-credit", ServiceTask{ServiceName("ledger"), "unlock-credit"}, false),
                     task("reading", ServiceTask{ServiceName("ledger"), "reading"}, true)};
    return account;
}

VersionEntry serving(const ModelVersion &version)
{
    constexpr unsigned weight = 100;
    return {version, VersionState::Serving, weight, MicroCost(200000)};
}

} // namespace

Scenario::Scenario(const ScenarioPlan &plan)
    : fleet(fleetPlan(plan))
{
    this->fleet.startStandIns();
    this->configuration = this->fleet.baseConfiguration();
    this->configuration.accounts = {account()};
    this->configuration.versions = {serving(wattle), serving(banksia)};
    const auto file = this->fleet.plan().runDirectory / "configuration.json";
    std::ofstream(file) << serialise(this->configuration);
    this->fleet.submit(file, Revision(0), "rig");
    this->fleet.startInstances();
}

Ask Scenario::ask(const std::string &task, const std::string &body) const
{
    return {.apiKey = apiKey, .account = accountName, .task = task, .body = body};
}

void Scenario::keep(const Ask &ask, const Answer &answer, const Member &instance)
{
    const std::lock_guard lock(this->mutex);
    this->exchanges.push_back({observe(ask, answer, instance), ask});
}

std::vector<CallerGot> Scenario::callers() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CallerGot> all;
    for (const Exchange &exchange : this->exchanges) {
        all.push_back(exchange.got);
    }
    return all;
}

Answer Scenario::credit(std::size_t instance, const std::string &key, const std::string &body)
{
    Ask sent = this->ask("unlock-credit", body);
    sent.idempotencyKey = key;
    return this->operate(instance, sent);
}

Answer Scenario::operate(std::size_t instance, const Ask &ask)
{
    const Member &member = this->fleet.instance(instance);
    Answer answer = sendTask(member.address, ask);
    this->keep(ask, answer, member);
    return answer;
}

Answer Scenario::chat(std::size_t instance, const Ask &ask)
{
    const Member &member = this->fleet.instance(instance);
    Answer answer = sendChat(member.address, ask);
    this->keep(ask, answer, member);
    return answer;
}

void Scenario::fillExpected()
{
    const std::lock_guard lock(this->mutex);
    for (Exchange &exchange : this->exchanges) {
        CallerGot &got = exchange.got;
        if (!got.succeeded || !got.version || got.expected) {
            continue;
        }
        const Task *task = findTask(this->configuration.accounts.front(), TaskName(exchange.ask.task));
        const unsigned maxTokens = std::get<ModelTask>(task->work).maxTokens;
        got.expected = this->fleet.referenceAnswer(*got.version, promptOf(exchange.ask), maxTokens);
    }
}

bool Scenario::creditSucceeds(const std::string &key, Milliseconds bound)
{
    std::size_t turn = 0;
    return waitUntil(
        [&] {
            const std::size_t instance = turn++ % this->fleet.instanceCount();
            return this->credit(instance, key).succeeded();
        },
        bound);
}

std::size_t Scenario::timesApplied(const std::string &key) const
{
    const Records records = this->fleet.records();
    const auto underKey = [&key](const Applied &applied) {
        return applied.key.str() == key;
    };
    return static_cast<std::size_t>(std::count_if(records.applied.begin(), records.applied.end(), underKey));
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
    this->fillExpected();
    const Records records = this->fleet.records();
    const std::vector<CallerGot> callers = this->callers();
    std::string text;
    for (const Violations &some : {checkAllowedVersions(records, this->configuration), checkSessions(records, callers),
                                   checkBills(records, callers), checkAnswers(callers), checkNotRun(records, callers),
                                   checkAtMostOnce(records)}) {
        for (const Violation &violation : some) {
            text += std::to_string(violation.invariant) + ": " + violation.what + "\n";
        }
    }
    return text;
}

} // namespace parsleyvane::rig
