#include "parsleyvane/config/configuration.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

struct StateName
{
    VersionState state;
    std::string_view name;
};

constexpr std::array stateNames = {
    StateName{VersionState::Warming, "warming"},
    StateName{VersionState::Serving, "serving"},
    StateName{VersionState::Closed, "closed"},
    StateName{VersionState::Withdrawn, "withdrawn"},
};

VersionState parseState(const std::string &name)
{
    for (const StateName &row : stateNames) {
        if (row.name == name) {
            return row.state;
        }
    }
    throw std::invalid_argument("unknown version state '" + name + "'");
}

template<typename Id>
Id readId(const Json &json, const char *member)
{
    return Id(json.at(member).get<std::string>());
}

/**
 * Reads a whole number. A number with a fraction or an exponent is truncated, as the JSON library does; such a number
 * outside the type's range is refused, as its conversion is undefined.
 */
template<typename Number>
Number readWhole(const Json &json, const char *member, Number fallback)
{
    const auto found = json.find(member);
    if (found != json.end() && found->is_number_float()) {
        const double end = std::ldexp(1.0, std::numeric_limits<Number>::digits);
        const double begin = std::numeric_limits<Number>::is_signed ? -end : 0.0;
        const double value = std::trunc(found->template get<double>());
        if (!(value >= begin && value < end)) {
            throw std::invalid_argument("'" + std::string(member) + "' is out of range: " + found->dump());
        }
    }
    return json.value(member, fallback);
}

ModelVersion readModelVersion(const Json &json)
{
    return ModelVersion{readId<ModelName>(json, "model"), readId<VersionName>(json, "version")};
}

Json writeModelVersion(const ModelVersion &id)
{
    return Json{{"model", id.model.str()}, {"version", id.version.str()}};
}

std::vector<ModelVersion> readModelVersions(const Json &list)
{
    std::vector<ModelVersion> versions;
    for (const Json &entry : list) {
        versions.push_back(readModelVersion(entry));
    }
    return versions;
}

Json writeModelVersions(const std::vector<ModelVersion> &versions)
{
    Json list = Json::array();
    for (const ModelVersion &version : versions) {
        list.push_back(writeModelVersion(version));
    }
    return list;
}

std::variant<ModelTask, ServiceTask> readWork(const Json &json)
{
    if (json.at("kind") == "service") {
        return ServiceTask{readId<ServiceName>(json, "service"), json.at("operation").get<std::string>()};
    }
    ModelTask work;
    for (const Json &model : json.at("chain")) {
        work.chain.emplace_back(model.get<std::string>());
    }
    work.qualityTarget = json.value("qualityTarget", work.qualityTarget);
    work.resumable = json.value("resumable", work.resumable);
    work.maxTokens = readWhole(json, "maxTokens", work.maxTokens);
    return work;
}

struct WorkWriter
{
    Json &json;

    void operator()(const ServiceTask &work) const
    {
        this->json["kind"] = "service";
        this->json["service"] = work.service.str();
        this->json["operation"] = work.operation;
    }
    void operator()(const ModelTask &work) const
    {
        Json chain = Json::array();
        for (const ModelName &model : work.chain) {
            chain.push_back(model.str());
        }
        this->json["kind"] = "model";
        this->json["chain"] = std::move(chain);
        this->json["qualityTarget"] = work.qualityTarget;
        this->json["resumable"] = work.resumable;
        this->json["maxTokens"] = work.maxTokens;
    }
};

Task readTask(const Json &json)
{
    Task task;
    task.name = readId<TaskName>(json, "name");
    task.work = readWork(json);
    task.repeatable = json.value("repeatable", false);
    task.maxWait = Milliseconds(readWhole(json, "maxWaitMs", task.maxWait.count()));
    return task;
}

Json writeTask(const Task &task)
{
    Json json{{"name", task.name.str()}, {"repeatable", task.repeatable}, {"maxWaitMs", task.maxWait.count()}};
    std::visit(WorkWriter{json}, task.work);
    return json;
}

Account readAccount(const Json &json)
{
    Account account;
    account.id = readId<AccountId>(json, "id");
    account.organisation = json.value("organisation", "");
    account.keyHashes = json.at("keyHashes").get<std::vector<std::string>>();
    account.allowed = readModelVersions(json.at("allowed"));
    for (const Json &task : json.at("tasks")) {
        account.tasks.push_back(readTask(task));
    }
    const Json limits = json.value("limits", Json::object());
    account.limits.requestsPerSecond = limits.value("requestsPerSecond", account.limits.requestsPerSecond);
    account.limits.burst = limits.value("burst", account.limits.burst);
    account.limits.inFlight = readWhole(limits, "inFlight", account.limits.inFlight);
    const Json priority = json.value("priority", Json::object());
    account.priority.bought = priority.value("bought", account.priority.bought);
    account.priority.share = priority.value("share", account.priority.share);
    account.costWeight = json.value("costWeight", account.costWeight);
    return account;
}

Json writeAccount(const Account &account)
{
    Json tasks = Json::array();
    for (const Task &task : account.tasks) {
        tasks.push_back(writeTask(task));
    }
    const Json limits{{"requestsPerSecond", account.limits.requestsPerSecond},
                      {"burst", account.limits.burst},
                      {"inFlight", account.limits.inFlight}};
    const Json priority{{"bought", account.priority.bought}, {"share", account.priority.share}};
    return Json{{"id", account.id.str()},         {"organisation", account.organisation},
                {"keyHashes", account.keyHashes}, {"allowed", writeModelVersions(account.allowed)},
                {"tasks", std::move(tasks)},      {"limits", limits},
                {"priority", priority},           {"costWeight", account.costWeight}};
}

VersionEntry readVersion(const Json &json)
{
    VersionEntry entry;
    entry.id = readModelVersion(json);
    entry.state = parseState(json.at("state").get<std::string>());
    entry.weight = readWhole(json, "weight", entry.weight);
    entry.costPerMillionTokens = MicroCost(readWhole(json, "costPerMillionTokens", std::int64_t{0}));
    return entry;
}

Json writeVersion(const VersionEntry &entry)
{
    Json json = writeModelVersion(entry.id);
    json["state"] = versionStateName(entry.state);
    json["weight"] = entry.weight;
    json["costPerMillionTokens"] = entry.costPerMillionTokens.value();
    return json;
}

std::variant<Engine, PlainService> readUpstreamKind(const Json &json)
{
    if (json.at("kind") == "service") {
        return PlainService{readId<ServiceName>(json, "service")};
    }
    Engine engine;
    engine.loads = readModelVersions(json.at("loads"));
    engine.slots = readWhole(json, "slots", engine.slots);
    engine.checksFence = json.value("checksFence", engine.checksFence);
    return engine;
}

Upstream readUpstream(const Json &json)
{
    Upstream upstream;
    upstream.id = readId<UpstreamId>(json, "id");
    upstream.address = json.at("address").get<std::string>();
    upstream.zone = readId<ZoneId>(json, "zone");
    upstream.kind = readUpstreamKind(json);
    return upstream;
}

struct KindWriter
{
    Json &json;

    void operator()(const PlainService &service) const
    {
        this->json["kind"] = "service";
        this->json["service"] = service.name.str();
    }
    void operator()(const Engine &engine) const
    {
        this->json["kind"] = "engine";
        this->json["loads"] = writeModelVersions(engine.loads);
        this->json["slots"] = engine.slots;
        this->json["checksFence"] = engine.checksFence;
    }
};

Json writeUpstream(const Upstream &upstream)
{
    Json json{{"id", upstream.id.str()}, {"address", upstream.address}, {"zone", upstream.zone.str()}};
    std::visit(KindWriter{json}, upstream.kind);
    return json;
}

Rollout readRollout(const Json &json)
{
    return Rollout{readId<ModelName>(json, "model"), readId<VersionName>(json, "from"), readId<VersionName>(json, "to"),
                   json.at("state").get<std::string>(), readWhole(json, "perMille", 0U)};
}

Json writeRollout(const Rollout &rollout)
{
    return Json{{"model", rollout.model.str()},
                {"from", rollout.from.str()},
                {"to", rollout.to.str()},
                {"state", rollout.state},
                {"perMille", rollout.perMille}};
}

ChangeNote readChange(const Json &json)
{
    return ChangeNote{json.value("id", ""), json.value("operator", ""), json.value("at", ""),
                      json.value("summary", "")};
}

Configuration readConfiguration(const Json &json)
{
    Configuration configuration;
    configuration.revision = Revision(readWhole(json, "revision", std::uint64_t{0}));
    configuration.change = readChange(json.value("change", Json::object()));
    for (const Json &account : json.at("accounts")) {
        configuration.accounts.push_back(readAccount(account));
    }
    for (const Json &version : json.at("versions")) {
        configuration.versions.push_back(readVersion(version));
    }
    for (const Json &upstream : json.at("upstreams")) {
        configuration.upstreams.push_back(readUpstream(upstream));
    }
    for (const Json &key : json.value("sessionKeys", Json::array())) {
        configuration.sessionKeys.push_back(SessionKey{key.at("id"), key.at("secret")});
    }
    for (const Json &rollout : json.value("rollouts", Json::array())) {
        configuration.rollouts.push_back(readRollout(rollout));
    }
    return configuration;
}

template<typename List, typename Predicate>
auto findIn(const List &list, Predicate predicate) noexcept -> const typename List::value_type *
{
    const auto found = std::find_if(list.begin(), list.end(), predicate);
    return found != list.end() ? &*found : nullptr;
}

} // namespace

const Account *Configuration::findAccount(const AccountId &id) const noexcept
{
    return findIn(this->accounts, [&](const Account &account) { return account.id == id; });
}

const Account *Configuration::findAccountByKeyHash(const std::string &hash) const noexcept
{
    return findIn(this->accounts, [&](const Account &account) {
        return findIn(account.keyHashes, [&](const std::string &candidate) { return candidate == hash; }) != nullptr;
    });
}

const VersionEntry *Configuration::findVersion(const ModelVersion &id) const noexcept
{
    return findIn(this->versions, [&](const VersionEntry &entry) { return entry.id == id; });
}

const Upstream *Configuration::findUpstream(const UpstreamId &id) const noexcept
{
    return findIn(this->upstreams, [&](const Upstream &upstream) { return upstream.id == id; });
}

const Task *findTask(const Account &account, const TaskName &name) noexcept
{
    return findIn(account.tasks, [&](const Task &task) { return task.name == name; });
}

bool allows(const Account &account, const ModelVersion &version) noexcept
{
    return findIn(account.allowed, [&](const ModelVersion &allowed) { return allowed == version; }) != nullptr;
}

bool takesWork(const VersionEntry &entry, bool pinnedSession) noexcept
{
    if (entry.state == VersionState::Serving) {
        return true;
    }
    return entry.state == VersionState::Closed && pinnedSession;
}

std::string versionText(const ModelVersion &version)
{
    return version.model.str() + "@" + version.version.str();
}

std::string_view versionStateName(VersionState state) noexcept
{
    for (const StateName &row : stateNames) {
        if (row.state == state) {
            return row.name;
        }
    }
    return "unknown";
}

std::optional<Configuration> parseConfiguration(const std::string &text, LastReason &reason)
{
    try {
        return readConfiguration(Json::parse(text));
    } catch (const std::exception &error) {
        return reason.fail({.id = ErrorId::InvalidConfiguration, .step = Step::Configure, .detail = error.what()});
    }
}

std::string serialise(const Configuration &configuration)
{
    Json json;
    json["format"] = 1;
    json["revision"] = configuration.revision.value();
    json["change"] = Json{{"id", configuration.change.id},
                          {"operator", configuration.change.operatorName},
                          {"at", configuration.change.at},
                          {"summary", configuration.change.summary}};
    json["accounts"] = Json::array();
    for (const Account &account : configuration.accounts) {
        json["accounts"].push_back(writeAccount(account));
    }
    json["versions"] = Json::array();
    for (const VersionEntry &version : configuration.versions) {
        json["versions"].push_back(writeVersion(version));
    }
    json["upstreams"] = Json::array();
    for (const Upstream &upstream : configuration.upstreams) {
        json["upstreams"].push_back(writeUpstream(upstream));
    }
    json["sessionKeys"] = Json::array();
    for (const SessionKey &key : configuration.sessionKeys) {
        json["sessionKeys"].push_back(Json{{"id", key.id}, {"secret", key.secret}});
    }
    json["rollouts"] = Json::array();
    for (const Rollout &rollout : configuration.rollouts) {
        json["rollouts"].push_back(writeRollout(rollout));
    }
    return json.dump();
}

} // namespace parsleyvane
