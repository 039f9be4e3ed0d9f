#include "rig/fleet.h"

#include "parsleyvane/config/questionnaire.h"
#include "parsleyvane/net/blockingclient.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace parsleyvane::rig {

namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

/// @brief Timeouts of the rig's own requests; shorter than waitBound, so that waitUntil() can retry.
constexpr CallLimits rigLimits{.connect = Milliseconds(500), .progress = Milliseconds(2000)};
constexpr std::size_t secretHexDigits = 64;

std::optional<HttpResponse> call(const std::string &address, http::verb verb, const std::string &target,
                                 const Json &body = {})
{
    LastReason reason;
    const std::string payload = body.is_null() ? "" : body.dump();
    return blockingCall(address, makeRequest(verb, target, payload), reason, rigLimits);
}

bool answersOk(const std::string &address, const std::string &target)
{
    const auto response = call(address, http::verb::get, target);
    return response && response->result() == http::status::ok;
}

void require(bool condition, const std::string &what)
{
    if (!condition) {
        throw std::runtime_error(what);
    }
}

std::string joined(const std::vector<ModelVersion> &versions)
{
    std::string text;
    for (const ModelVersion &version : versions) {
        text += (text.empty() ? "" : ",") + version.model.str() + "@" + version.version.str();
    }
    return text;
}

std::string zoneName(unsigned index, unsigned zones)
{
    return std::string(1, static_cast<char>('a' + index % zones));
}

/// @brief The text in a complete event stream of an engine.
std::string textOfEvents(const std::string &events)
{
    constexpr std::string_view prefix = "data: ";
    std::istringstream lines(events);
    std::string text;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(prefix)) {
            text += Json::parse(line.substr(prefix.size())).value("text", "");
        }
    }
    return text;
}

RunState runStateOf(const std::string &runText)
{
    if (runText == "not_run") {
        return RunState::NotRun;
    }
    return runText == "ran" ? RunState::Ran : RunState::Unknown;
}

} // namespace

ClientObservation observe(const Ask &request, const Answer &answer, const Member &instance)
{
    ClientObservation observation;
    observation.account = AccountId(request.account);
    observation.request = RequestId(answer.request);
    observation.key = IdempotencyKey(request.idempotencyKey);
    observation.conversation = request.conversation;
    observation.instance = InstanceId(instance.id);
    observation.version = readVersionText(answer.version);
    observation.succeeded = answer.succeeded();
    observation.cutOff = !answer.succeeded() && !answer.error;
    observation.reportedRunState = runStateOf(answer.runText());
    observation.error = answer.error ? answer.error->name : "";
    observation.text = answer.text;
    observation.sentAt = answer.sentAt;
    observation.answerReceivedAt = answer.answerReceivedAt;
    return observation;
}

std::filesystem::path programDirectory()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

Fleet::Fleet(FleetPlan plan)
    : planned(std::move(plan))
{
    std::filesystem::remove_all(this->planned.runDirectory);
    std::filesystem::create_directories(this->planned.runDirectory);
}

Member &Fleet::add(std::vector<Member> &group, const std::string &role, const std::string &id, unsigned index)
{
    Member member;
    member.id = id;
    member.role = role;
    member.zone = zoneName(index, this->planned.zones);
    member.address = freeAddress();
    member.log = this->planned.runDirectory / (id + ".log");
    group.push_back(std::move(member));
    return group.back();
}

void Fleet::startStandIn(Member &member, const std::string &program, std::vector<std::string> flags)
{
    member.record = this->planned.runDirectory / (member.id + ".jsonl");
    member.command = {(this->planned.bin / program).string(), "--listen=" + member.address, "--name=" + member.id,
                      "--zone=" + member.zone, "--record=" + member.record.string()};
    member.command.insert(member.command.end(), flags.begin(), flags.end());
    this->start(member);
    require(waitUntil([&] { return answersOk(member.address, "/record"); }), member.id + " did not start");
    if (this->planned.relayed && member.role != "platform") {
        member.front = std::make_unique<Relay>(member.address);
    }
}

void Fleet::startStandIns()
{
    this->startStandIn(this->add(this->platforms, "platform", "platform", 0), "standin-platform", {});
    unsigned index = 0;
    for (const EnginePlan &engine : this->planned.engines) {
        Member &member = this->add(this->engines, "engine", "engine-" + std::to_string(index + 1), index);
        this->startStandIn(member, "standin-engine",
                           {"--slots=" + std::to_string(engine.slots), "--loads=" + joined(engine.loads),
                            "--token_delay_us=" + std::to_string(engine.tokenDelayUs),
                            "--seed=" + std::to_string(this->planned.seed + index),
                            std::string("--check_fence=") + (engine.checksFence ? "true" : "false")});
        this->registerMember(member);
        ++index;
    }
    index = 0;
    for (const std::string &name : this->planned.services) {
        Member &member = this->add(this->services, "service", name, index);
        this->startStandIn(member, "standin-service", {});
        this->registerMember(member);
        ++index;
    }
}

void Fleet::prepareInstances()
{
    for (unsigned index = 0; index < this->planned.instances; ++index) {
        Member &member = this->add(this->instances, "entry", "entry-" + std::to_string(index + 1), index);
        member.operators = freeAddress();
        member.peers = freeAddress();
        if (this->planned.relayed) {
            member.front = std::make_unique<Relay>(member.peers);
            member.toPlatform = std::make_unique<Relay>(this->platform().address);
        }
    }
    for (Member &member : this->instances) {
        this->writeSettings(member);
    }
}

void Fleet::writeSettings(Member &member) const
{
    std::string seeds;
    for (const Member &other : this->instances) {
        if (&other != &member) {
            seeds += (seeds.empty() ? "" : ",") + other.reachedAt();
        }
    }
    const auto path = this->planned.runDirectory / (member.id + ".ini");
    const std::string &platform = member.toPlatform ? member.toPlatform->address() : this->platforms.front().address;
    std::ofstream(path) << "[instance]\nid = " << member.id << "\nzone = " << member.zone
                        << "\n[listen]\ncallers = " << member.address << "\noperators = " << member.operators
                        << "\npeers = " << member.peers << "\n[platform]\naddress = " << platform
                        << "\n[peers]\nseeds = " << seeds << "\n"
                        << this->planned.settings << "\n";
    member.command = {(this->planned.bin / "parsleyvaned").string(), "--settings=" + path.string()};
}

void Fleet::startInstances()
{
    this->prepareInstances();
    for (Member &member : this->instances) {
        this->start(member);
        this->registerMember(member);
    }
    for (const Member &member : this->instances) {
        require(waitUntil([&] { return this->ready(member); }), member.id + " did not become ready");
    }
}

void Fleet::start(Member &member) const
{
    member.process = std::make_unique<Process>(member.command, member.log);
}

void Fleet::restart(Member &member)
{
    this->start(member);
}

void Fleet::registerMember(const Member &member, bool leaving) const
{
    const Json body{{"id", member.id},
                    {"role", member.role},
                    {"address", member.reachedAt()},
                    {"zone", member.zone},
                    {"leaving", leaving}};
    const auto response = call(this->platforms.front().address, http::verb::post, "/instances", body);
    require(response && response->result() == http::status::ok, "the platform did not register " + member.id);
}

void Fleet::runTool(const std::string &name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), (this->planned.bin / name).string());
    const auto log = this->planned.runDirectory / (name + ".log");
    Process process(arguments, log);
    const auto status = process.wait();
    require(status == 0, name + " " + arguments.at(1) + " failed, see " + log.string());
}

void Fleet::submit(const std::filesystem::path &file, Revision basedOn, const std::string &operatorName)
{
    this->runTool("parsleyvanectl",
                  {"submit", "--platform=" + this->platform().address, "--file=" + file.string(),
                   "--based_on=" + std::to_string(basedOn.value()), "--operator=" + operatorName});
}

void Fleet::fault(const Member &member, const Json &faults)
{
    // Retried because a member that was just restarted may not listen yet.
    const auto accepted = [&] {
        const auto response = call(member.address, http::verb::post, "/faults", faults);
        return response && response->result() == http::status::ok;
    };
    require(waitUntil(accepted), member.id + " did not accept its faults");
}

Member &Fleet::platform()
{
    return this->platforms.at(0);
}

Member &Fleet::engine(std::size_t index)
{
    return this->engines.at(index);
}

Member &Fleet::service(std::size_t index)
{
    return this->services.at(index);
}

Member &Fleet::instance(std::size_t index)
{
    return this->instances.at(index);
}

std::size_t Fleet::instanceCount() const noexcept
{
    return this->instances.size();
}

const FleetPlan &Fleet::plan() const noexcept
{
    return this->planned;
}

Configuration Fleet::baseConfiguration() const
{
    Configuration configuration;
    configuration.sessionKeys.push_back({"rig-1", std::string(secretHexDigits, '7')});
    std::size_t index = 0;
    for (const Member &member : this->engines) {
        const EnginePlan &engine = this->planned.engines.at(index++);
        configuration.upstreams.push_back({UpstreamId(member.id), member.reachedAt(), ZoneId(member.zone),
                                           Engine{engine.loads, engine.slots, engine.checksFence}});
    }
    for (const Member &member : this->services) {
        configuration.upstreams.push_back(
            {UpstreamId(member.id), member.reachedAt(), ZoneId(member.zone), PlainService{ServiceName(member.id)}});
    }
    return configuration;
}

bool Fleet::ready(const Member &instance) const
{
    return answersOk(instance.operators, "/readyz");
}

Json Fleet::status(const Member &instance) const
{
    const auto response = call(instance.operators, http::verb::get, "/status");
    return response ? Json::parse(response->body(), nullptr, false) : Json();
}

bool Fleet::allInstancesReport(Revision revision)
{
    for (Member &member : this->instances) {
        if (!member.process || !member.process->running()) {
            continue;
        }
        const Json shown = this->status(member);
        if (!shown.is_object() || shown.value("revision", std::uint64_t{0}) < revision.value()) {
            return false;
        }
    }
    return true;
}

std::size_t Fleet::countRows(const std::string &prefix) const
{
    const auto response = call(this->platforms.front().address, http::verb::get, "/table/scan?prefix=" + prefix);
    return response ? Json::parse(response->body()).at("rows").size() : 0;
}

std::string Fleet::referenceAnswer(const ModelVersion &version, const std::string &prompt, unsigned maxTokens) const
{
    const Json body{{"attempt", "rig-" + std::to_string(bootMilliseconds())},
                    {"request", "rig"},
                    {"account", referenceAccount},
                    {"model", version.model.str()},
                    {"version", version.version.str()},
                    {"prompt", prompt},
                    {"maxTokens", maxTokens},
                    {"priority", 0},
                    {"offset", 0},
                    {"prefix", ""}};
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        const auto &loads = this->planned.engines.at(index).loads;
        if (std::find(loads.begin(), loads.end(), version) == loads.end()) {
            continue;
        }
        const auto response = call(this->engines.at(index).address, http::verb::post, "/generate", body);
        if (response && response->result() == http::status::ok) {
            return textOfEvents(response->body());
        }
    }
    throw std::runtime_error("no engine answers for " + version.model.str() + "@" + version.version.str());
}

Records Fleet::records() const
{
    Records records;
    for (const auto *group : {&this->platforms, &this->engines, &this->services}) {
        for (const Member &member : *group) {
            readRecords(member.record, UpstreamId(member.id), records);
        }
    }
    return records;
}

} // namespace parsleyvane::rig
