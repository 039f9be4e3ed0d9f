#include "parsleyvane/config/validate.h"

#include "parsleyvane/config/questionnaire.h"
#include "parsleyvane/config/textvalues.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace parsleyvane {

namespace {

constexpr std::size_t sha256HexDigits = 64;
constexpr std::size_t leastSecretHexDigits = 64;
constexpr unsigned mostPerMille = 1000;

/// Collects problems; its places are built from the names of members.
class Findings
{
public:
    void add(const std::string &place, const std::string &message)
    {
        this->problems.push_back({ErrorId::InvalidConfiguration, place, message});
    }
    void require(bool good, const std::string &place, const std::string &message)
    {
        if (!good) {
            this->add(place, message);
        }
    }
    std::vector<ConfigurationProblem> take()
    {
        return std::move(this->problems);
    }

private:
    std::vector<ConfigurationProblem> problems;
};

std::string at(const std::string &list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

bool isShare(double number)
{
    return std::isfinite(number) && number >= 0 && number <= 1;
}

bool isPositive(double number)
{
    return std::isfinite(number) && number > 0;
}

bool allHex(const std::string &text, std::size_t leastDigits)
{
    return text.size() >= leastDigits && isHex(text);
}

/// Names that were used before in one list.
using SeenNames = std::set<std::string>;

void checkUnique(Findings &findings, SeenNames &seen, const std::string &name, const std::string &place)
{
    findings.require(seen.insert(name).second, place, "duplicate: '" + name + "' is used before");
}

bool allowsModel(const Configuration &configuration, const Account &account, const ModelName &model)
{
    return std::any_of(account.allowed.begin(), account.allowed.end(), [&](const ModelVersion &version) {
        return version.model == model && configuration.findVersion(version) != nullptr;
    });
}

/// Checks the work of one task of an account.
struct WorkChecker
{
    const Configuration &configuration;
    const Account &account;
    const Task &task;
    std::string place;
    Findings &findings;

    void operator()(const ModelTask &work) const
    {
        this->findings.require(!work.chain.empty(), this->place + ".chain", "names no model");
        this->findings.require(isShare(work.qualityTarget), this->place + ".qualityTarget", "is not from 0 to 1");
        this->findings.require(work.maxTokens > 0, this->place + ".maxTokens", "is 0");
        this->findings.require(this->task.repeatable || work.chain.size() <= 1, this->place + ".repeatable",
                               "is false, but a chain of several models runs the request several times");
        SeenNames seen;
        for (std::size_t i = 0; i < work.chain.size(); ++i) {
            this->checkModel(work.chain[i], at(this->place + ".chain", i), seen);
        }
    }
    void operator()(const ServiceTask &work) const
    {
        const auto serves = [&](const Upstream &upstream) {
            const auto *service = std::get_if<PlainService>(&upstream.kind);
            return service != nullptr && service->name == work.service;
        };
        const auto &upstreams = this->configuration.upstreams;
        this->findings.require(std::any_of(upstreams.begin(), upstreams.end(), serves), this->place + ".service",
                               "no upstream serves '" + work.service.str() + "'");
        this->findings.require(isIdentifier(work.operation), this->place + ".operation", "is not an identifier");
    }

private:
    void checkModel(const ModelName &model, const std::string &where, SeenNames &seen) const
    {
        checkUnique(this->findings, seen, model.str(), where);
        this->findings.require(allowsModel(this->configuration, this->account, model), where,
                               "the account allows no configured version of '" + model.str() + "'");
    }
};

void checkTasks(const Configuration &configuration, const Account &account, const std::string &place,
                Findings &findings)
{
    SeenNames seen;
    for (std::size_t i = 0; i < account.tasks.size(); ++i) {
        const Task &task = account.tasks[i];
        const std::string where = at(place + ".tasks", i);
        findings.require(isIdentifier(task.name.str()), where + ".name", "is not an identifier");
        checkUnique(findings, seen, task.name.str(), where + ".name");
        findings.require(task.maxWait > Milliseconds(0), where + ".maxWaitMs", "is not positive");
        std::visit(WorkChecker{configuration, account, task, where, findings}, task.work);
    }
}

void checkTerms(const Account &account, const std::string &place, Findings &findings)
{
    findings.require(isPositive(account.limits.requestsPerSecond), place + ".limits.requestsPerSecond",
                     "is not positive");
    findings.require(std::isfinite(account.limits.burst) && account.limits.burst >= 1, place + ".limits.burst",
                     "is under 1");
    findings.require(account.limits.inFlight > 0, place + ".limits.inFlight", "is 0");
    findings.require(isShare(account.priority.share), place + ".priority.share", "is not from 0 to 1");
    findings.require(isShare(account.costWeight), place + ".costWeight", "is not from 0 to 1");
}

void checkAccounts(const Configuration &configuration, Findings &findings)
{
    SeenNames accounts;
    SeenNames hashes;
    for (std::size_t i = 0; i < configuration.accounts.size(); ++i) {
        const Account &account = configuration.accounts[i];
        const std::string place = at("accounts", i);
        findings.require(isIdentifier(account.id.str()), place + ".id", "is not an identifier");
        checkUnique(findings, accounts, account.id.str(), place + ".id");
        findings.require(!account.keyHashes.empty(), place + ".keyHashes", "is empty, so nobody can use the account");
        for (std::size_t k = 0; k < account.keyHashes.size(); ++k) {
            const std::string &hash = account.keyHashes[k];
            findings.require(hash.size() == sha256HexDigits && isHex(hash), at(place + ".keyHashes", k),
                             "is not 64 hexadecimal digits");
            checkUnique(findings, hashes, hash, at(place + ".keyHashes", k));
        }
        for (std::size_t v = 0; v < account.allowed.size(); ++v) {
            findings.require(configuration.findVersion(account.allowed[v]) != nullptr, at(place + ".allowed", v),
                             "'" + versionText(account.allowed[v]) + "' is not configured");
        }
        checkTasks(configuration, account, place, findings);
        checkTerms(account, place, findings);
    }
}

/// The models that some task's chain names.
SeenNames modelsInChains(const Configuration &configuration)
{
    SeenNames models;
    for (const Account &account : configuration.accounts) {
        for (const Task &task : account.tasks) {
            const auto *work = std::get_if<ModelTask>(&task.work);
            if (work == nullptr) {
                continue;
            }
            for (const ModelName &model : work->chain) {
                models.insert(model.str());
            }
        }
    }
    return models;
}

/// Whether a model that chains name can get no new work although nobody withdrew it.
bool isIdleByMistake(const Configuration &configuration, const ModelName &model)
{
    bool configured = false;
    bool serving = false;
    bool withdrawn = false;
    for (const VersionEntry &entry : configuration.versions) {
        if (entry.id.model != model) {
            continue;
        }
        if (takesWork(entry, false) && entry.weight > 0) {
            return false;
        }
        configured = true;
        serving = serving || entry.state == VersionState::Serving;
        withdrawn = withdrawn || entry.state == VersionState::Withdrawn;
    }
    // A withdrawal has to go through also when no other version serves.
    return configured && (serving || !withdrawn);
}

void checkVersions(const Configuration &configuration, Findings &findings)
{
    SeenNames seen;
    for (std::size_t i = 0; i < configuration.versions.size(); ++i) {
        const VersionEntry &entry = configuration.versions[i];
        const std::string place = at("versions", i);
        const bool named = isIdentifier(entry.id.model.str()) && isIdentifier(entry.id.version.str());
        findings.require(named, place, "model and version have to be identifiers");
        checkUnique(findings, seen, versionText(entry.id), place);
        findings.require(entry.costPerMillionTokens.value() >= 0, place + ".costPerMillionTokens", "is negative");
    }
    for (const std::string &model : modelsInChains(configuration)) {
        findings.require(!isIdleByMistake(configuration, ModelName(model)), "versions",
                         "a chain names '" + model + "', but none of its versions serves with a weight over 0");
    }
}

/// Checks what is particular to a kind of upstream.
struct KindChecker
{
    const Configuration &configuration;
    std::string place;
    Findings &findings;

    void operator()(const Engine &engine) const
    {
        this->findings.require(engine.slots > 0, this->place + ".slots", "is 0");
        SeenNames seen;
        for (std::size_t i = 0; i < engine.loads.size(); ++i) {
            const std::string where = at(this->place + ".loads", i);
            const std::string name = versionText(engine.loads[i]);
            checkUnique(this->findings, seen, name, where);
            this->findings.require(this->configuration.findVersion(engine.loads[i]) != nullptr, where,
                                   "'" + name + "' is not configured");
        }
    }
    void operator()(const PlainService &service) const
    {
        this->findings.require(isIdentifier(service.name.str()), this->place + ".service", "is not an identifier");
    }
};

void checkUpstreams(const Configuration &configuration, Findings &findings)
{
    SeenNames ids;
    SeenNames addresses;
    for (std::size_t i = 0; i < configuration.upstreams.size(); ++i) {
        const Upstream &upstream = configuration.upstreams[i];
        const std::string place = at("upstreams", i);
        findings.require(isIdentifier(upstream.id.str()), place + ".id", "is not an identifier");
        checkUnique(findings, ids, upstream.id.str(), place + ".id");
        findings.require(isAddressWithPort(upstream.address), place + ".address",
                         "'" + upstream.address + "' is not IP:PORT");
        checkUnique(findings, addresses, upstream.address, place + ".address");
        findings.require(isIdentifier(upstream.zone.str()), place + ".zone", "is not an identifier");
        std::visit(KindChecker{configuration, place, findings}, upstream.kind);
    }
}

void checkSessionKeys(const Configuration &configuration, Findings &findings)
{
    findings.require(!configuration.sessionKeys.empty(), "sessionKeys", "is empty, so no session can be started");
    SeenNames ids;
    for (std::size_t i = 0; i < configuration.sessionKeys.size(); ++i) {
        const SessionKey &key = configuration.sessionKeys[i];
        const std::string place = at("sessionKeys", i);
        findings.require(isIdentifier(key.id), place + ".id", "is not an identifier");
        checkUnique(findings, ids, key.id, place + ".id");
        findings.require(allHex(key.secret, leastSecretHexDigits), place + ".secret",
                         "is not at least 32 bytes in hexadecimal");
    }
}

void checkRollouts(const Configuration &configuration, Findings &findings)
{
    SeenNames models;
    for (std::size_t i = 0; i < configuration.rollouts.size(); ++i) {
        const Rollout &rollout = configuration.rollouts[i];
        const std::string place = at("rollouts", i);
        checkUnique(findings, models, rollout.model.str(), place + ".model");
        findings.require(rollout.from != rollout.to, place + ".to", "is the same version as from");
        findings.require(configuration.findVersion({rollout.model, rollout.from}) != nullptr, place + ".from",
                         "'" + versionText({rollout.model, rollout.from}) + "' is not configured");
        findings.require(configuration.findVersion({rollout.model, rollout.to}) != nullptr, place + ".to",
                         "'" + versionText({rollout.model, rollout.to}) + "' is not configured");
        const bool known = rollout.state == "running" || rollout.state == "halted" || rollout.state == "done";
        findings.require(known, place + ".state", "is not running, halted or done");
        findings.require(rollout.perMille <= mostPerMille, place + ".perMille", "is over 1000");
    }
}

} // namespace

std::vector<ConfigurationProblem> validate(const Configuration &configuration)
{
    Findings findings;
    checkAccounts(configuration, findings);
    checkVersions(configuration, findings);
    checkUpstreams(configuration, findings);
    checkSessionKeys(configuration, findings);
    checkRollouts(configuration, findings);
    return findings.take();
}

std::string describe(const ConfigurationProblem &problem)
{
    return std::to_string(static_cast<int>(problem.id)) + " " + problem.place + ": " + problem.message;
}

} // namespace parsleyvane
