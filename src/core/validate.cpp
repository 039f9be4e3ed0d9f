#include "parsleyvane/config/validate.h"

#include "parsleyvane/config/questionnaire.h"
#include "parsleyvane/config/textvalues.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace parsleyvane {

namespace {

constexpr std::size_t sha256HexDigits = 64;
constexpr std::size_t minSecretHexDigits = 64;
constexpr unsigned maxPerMille = 1000;

/// Collects the problems found.
class ProblemList
{
public:
    void add(const std::string &place, const std::string &message)
    {
        this->problems.push_back({ErrorId::InvalidConfiguration, place, message});
    }
    void require(bool valid, const std::string &place, const std::string &message)
    {
        if (!valid) {
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

std::string indexedPlace(const std::string &list, std::size_t index)
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

bool isHexWithMinLength(const std::string &text, std::size_t minDigits)
{
    return text.size() >= minDigits && isHex(text);
}

/// Names already used in one list.
using SeenNames = std::set<std::string>;

void checkUnique(ProblemList &problemList, SeenNames &seen, const std::string &name, const std::string &place)
{
    problemList.require(seen.insert(name).second, place, "duplicate: '" + name + "' is already used");
}

bool allowsModel(const Configuration &configuration, const Account &account, const ModelName &model)
{
    return std::any_of(account.allowed.begin(), account.allowed.end(), [&](const ModelVersion &version) {
        return version.model == model && configuration.findVersion(version) != nullptr;
    });
}

/// Checks the model chain or service of one task of an account.
struct WorkChecker
{
    const Configuration &configuration;
    const Account &account;
    const Task &task;
    std::string place;
    ProblemList &problemList;

    void operator()(const ModelTask &work) const
    {
        this->problemList.require(!work.chain.empty(), this->place + ".chain", "contains no model");
        this->problemList.require(isShare(work.qualityTarget), this->place + ".qualityTarget", "is not from 0 to 1");
        this->problemList.require(work.maxTokens > 0, this->place + ".maxTokens", "is 0");
        this->problemList.require(this->task.repeatable || work.chain.size() <= 1, this->place + ".repeatable",
                                  "is false, but a chain of several models runs the request several times");
        SeenNames seen;
        for (std::size_t i = 0; i < work.chain.size(); ++i) {
            this->checkModel(work.chain[i], indexedPlace(this->place + ".chain", i), seen);
        }
    }
    void operator()(const ServiceTask &work) const
    {
        const auto serves = [&](const Upstream &upstream) {
            const auto *service = std::get_if<PlainService>(&upstream.kind);
            return service != nullptr && service->name == work.service;
        };
        const auto &upstreams = this->configuration.upstreams;
        this->problemList.require(std::any_of(upstreams.begin(), upstreams.end(), serves), this->place + ".service",
                                  "no upstream serves '" + work.service.str() + "'");
        this->problemList.require(isIdentifier(work.operation), this->place + ".operation", "is not an identifier");
    }

private:
    void checkModel(const ModelName &model, const std::string &itemPlace, SeenNames &seen) const
    {
        checkUnique(this->problemList, seen, model.str(), itemPlace);
        this->problemList.require(allowsModel(this->configuration, this->account, model), itemPlace,
                                  "the account allows no configured version of '" + model.str() + "'");
    }
};

void checkTasks(const Configuration &configuration, const Account &account, const std::string &place,
                ProblemList &problemList)
{
    SeenNames seen;
    for (std::size_t i = 0; i < account.tasks.size(); ++i) {
        const Task &task = account.tasks[i];
        const std::string itemPlace = indexedPlace(place + ".tasks", i);
        problemList.require(isIdentifier(task.name.str()), itemPlace + ".name", "is not an identifier");
        checkUnique(problemList, seen, task.name.str(), itemPlace + ".name");
        problemList.require(task.maxWait > Milliseconds(0), itemPlace + ".maxWaitMs", "is not positive");
        std::visit(WorkChecker{configuration, account, task, itemPlace, problemList}, task.work);
    }
}

void checkTerms(const Account &account, const std::string &place, ProblemList &problemList)
{
    problemList.require(isPositive(account.limits.requestsPerSecond), place + ".limits.requestsPerSecond",
                        "is not positive");
    problemList.require(std::isfinite(account.limits.burst) && account.limits.burst >= 1, place + ".limits.burst",
                        "is less than 1");
    problemList.require(account.limits.inFlight > 0, place + ".limits.inFlight", "is 0");
    problemList.require(isShare(account.priority.share), place + ".priority.share", "is not from 0 to 1");
    problemList.require(isShare(account.costWeight), place + ".costWeight", "is not from 0 to 1");
}

void checkAccounts(const Configuration &configuration, ProblemList &problemList)
{
    SeenNames accounts;
    SeenNames hashes;
    for (std::size_t i = 0; i < configuration.accounts.size(); ++i) {
        const Account &account = configuration.accounts[i];
        const std::string place = indexedPlace("accounts", i);
        problemList.require(isIdentifier(account.id.str()), place + ".id", "is not an identifier");
        checkUnique(problemList, accounts, account.id.str(), place + ".id");
        problemList.require(!account.keyHashes.empty(), place + ".keyHashes",
                            "is empty, so no client can use the account");
        for (std::size_t k = 0; k < account.keyHashes.size(); ++k) {
            const std::string &hash = account.keyHashes[k];
            problemList.require(hash.size() == sha256HexDigits && isHex(hash), indexedPlace(place + ".keyHashes", k),
                                "is not 64 hexadecimal digits");
            checkUnique(problemList, hashes, hash, indexedPlace(place + ".keyHashes", k));
        }
        for (std::size_t v = 0; v < account.allowed.size(); ++v) {
            problemList.require(configuration.findVersion(account.allowed[v]) != nullptr,
                                indexedPlace(place + ".allowed", v),
                                "'" + versionText(account.allowed[v]) + "' is not configured");
        }
        checkTasks(configuration, account, place, problemList);
        checkTerms(account, place, problemList);
    }
}

/// All models in the chains of tasks.
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

/// Whether a configured model can get no new requests for a reason other than a withdrawal.
bool isUnservedByMistake(const Configuration &configuration, const ModelName &model)
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
    // Withdrawing a version must be possible even if no other version is serving.
    return configured && (serving || !withdrawn);
}

void checkVersions(const Configuration &configuration, ProblemList &problemList)
{
    SeenNames seen;
    for (std::size_t i = 0; i < configuration.versions.size(); ++i) {
        const VersionEntry &entry = configuration.versions[i];
        const std::string place = indexedPlace("versions", i);
        const bool named = isIdentifier(entry.id.model.str()) && isIdentifier(entry.id.version.str());
        problemList.require(named, place, "model and version must be identifiers");
        checkUnique(problemList, seen, versionText(entry.id), place);
        problemList.require(entry.costPerMillionTokens.value() >= 0, place + ".costPerMillionTokens", "is negative");
    }
    for (const std::string &model : modelsInChains(configuration)) {
        problemList.require(!isUnservedByMistake(configuration, ModelName(model)), "versions",
                            "a chain contains '" + model
                                + "', but no version of it is serving with a weight greater than 0");
    }
}

/// Checks the members that only one kind of upstream has.
struct KindChecker
{
    const Configuration &configuration;
    std::string place;
    ProblemList &problemList;

    void operator()(const Engine &engine) const
    {
        this->problemList.require(engine.slots > 0, this->place + ".slots", "is 0");
        SeenNames seen;
        for (std::size_t i = 0; i < engine.loads.size(); ++i) {
            const std::string itemPlace = indexedPlace(this->place + ".loads", i);
            const std::string name = versionText(engine.loads[i]);
            checkUnique(this->problemList, seen, name, itemPlace);
            this->problemList.require(this->configuration.findVersion(engine.loads[i]) != nullptr, itemPlace,
                                      "'" + name + "' is not configured");
        }
    }
    void operator()(const PlainService &service) const
    {
        this->problemList.require(isIdentifier(service.name.str()), this->place + ".service", "is not an identifier");
    }
};

void checkUpstreams(const Configuration &configuration, ProblemList &problemList)
{
    SeenNames ids;
    SeenNames addresses;
    for (std::size_t i = 0; i < configuration.upstreams.size(); ++i) {
        const Upstream &upstream = configuration.upstreams[i];
        const std::string place = indexedPlace("upstreams", i);
        problemList.require(isIdentifier(upstream.id.str()), place + ".id", "is not an identifier");
        checkUnique(problemList, ids, upstream.id.str(), place + ".id");
        problemList.require(isAddressWithPort(upstream.address), place + ".address",
                            "'" + upstream.address + "' is not IP:PORT");
        checkUnique(problemList, addresses, upstream.address, place + ".address");
        problemList.require(isIdentifier(upstream.zone.str()), place + ".zone", "is not an identifier");
        std::visit(KindChecker{configuration, place, problemList}, upstream.kind);
    }
}

void checkSessionKeys(const Configuration &configuration, ProblemList &problemList)
{
    problemList.require(!configuration.sessionKeys.empty(), "sessionKeys", "is empty, so no session can be started");
    SeenNames ids;
    for (std::size_t i = 0; i < configuration.sessionKeys.size(); ++i) {
        const SessionKey &key = configuration.sessionKeys[i];
        const std::string place = indexedPlace("sessionKeys", i);
        problemList.require(isIdentifier(key.id), place + ".id", "is not an identifier");
        checkUnique(problemList, ids, key.id, place + ".id");
        problemList.require(isHexWithMinLength(key.secret, minSecretHexDigits), place + ".secret",
                            "is not at least 32 bytes in hexadecimal");
    }
}

void checkRollouts(const Configuration &configuration, ProblemList &problemList)
{
    SeenNames models;
    for (std::size_t i = 0; i < configuration.rollouts.size(); ++i) {
        const Rollout &rollout = configuration.rollouts[i];
        const std::string place = indexedPlace("rollouts", i);
        checkUnique(problemList, models, rollout.model.str(), place + ".model");
        problemList.require(rollout.from != rollout.to, place + ".to", "is the same version as from");
        problemList.require(configuration.findVersion({rollout.model, rollout.from}) != nullptr, place + ".from",
                            "'" + versionText({rollout.model, rollout.from}) + "' is not configured");
        problemList.require(configuration.findVersion({rollout.model, rollout.to}) != nullptr, place + ".to",
                            "'" + versionText({rollout.model, rollout.to}) + "' is not configured");
        const bool known = rollout.state == "running" || rollout.state == "halted" || rollout.state == "done";
        problemList.require(known, place + ".state", "is not running, halted or done");
        problemList.require(rollout.perMille <= maxPerMille, place + ".perMille", "is greater than 1000");
    }
}

} // namespace

std::vector<ConfigurationProblem> validate(const Configuration &configuration)
{
    ProblemList problemList;
    checkAccounts(configuration, problemList);
    checkVersions(configuration, problemList);
    checkUpstreams(configuration, problemList);
    checkSessionKeys(configuration, problemList);
    checkRollouts(configuration, problemList);
    return problemList.take();
}

std::string describe(const ConfigurationProblem &problem)
{
    return std::to_string(static_cast<int>(problem.id)) + " " + problem.place + ": " + problem.message;
}

} // namespace parsleyvane
