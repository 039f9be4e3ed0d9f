#include "parsleyvane/config/answersection.h"
#include "parsleyvane/config/questionnaire.h"
#include "parsleyvane/core/digest.h"

#include <algorithm>
#include <array>

namespace parsleyvane {

namespace {

constexpr unsigned maxSlots = 4096;
constexpr unsigned maxWeight = 1000000;
constexpr std::int64_t maxCost = std::int64_t{1} << 50U;
constexpr std::int64_t maxWaitLimitMs = 3600000;
constexpr std::size_t sha256HexDigits = 64;

/// A section of an answers file, with the values by key.
struct RawSection
{
    std::string heading;
    std::map<std::string, std::string> values;
};

RawSection &sectionOf(std::vector<RawSection> &sections, const std::string &heading)
{
    const auto found = std::find_if(sections.begin(), sections.end(),
                                    [&](const RawSection &section) { return section.heading == heading; });
    if (found != sections.end()) {
        return *found;
    }
    return sections.emplace_back(RawSection{heading, {}});
}

std::vector<RawSection> groupEntries(const std::vector<IniEntry> &entries)
{
    std::vector<RawSection> sections;
    for (const IniEntry &entry : entries) {
        sectionOf(sections, entry.section).values.emplace(entry.key, entry.value);
    }
    return sections;
}

bool matchesSectionName(const std::string &heading, const std::string &name)
{
    return heading == name || (heading.size() > name.size() && heading.ends_with(" " + name));
}

void applyOverrides(std::vector<RawSection> &sections, const SettingOverrides &overrides,
                    std::vector<SettingProblem> &problems)
{
    for (const auto &[place, value] : overrides) {
        const std::size_t dot = place.rfind('.');
        const std::string name = place.substr(0, dot);
        bool applied = false;
        for (RawSection &section : sections) {
            if (dot == std::string::npos || !matchesSectionName(section.heading, name)) {
                continue;
            }
            section.values[place.substr(dot + 1)] = value;
            applied = true;
        }
        if (!applied) {
            problems.push_back({"command line", "", place, "'" + value + "'", "SECTION.key of a section of the file"});
        }
    }
}

std::vector<std::string> readKeyHashes(AnswerSection &section)
{
    std::vector<std::string> hashes;
    for (const std::string &key : section.list("api-key")) {
        hashes.push_back(sha256Hex(key));
    }
    for (const std::string &hash : section.list("key-hashes")) {
        if (hash.size() != sha256HexDigits || !isHex(hash)) {
            section.report("key-hashes", hash, "SHA-256 in 64 hexadecimal digits");
            continue;
        }
        hashes.push_back(hash);
    }
    if (hashes.empty()) {
        section.report("key-hashes", "", "at least one of key-hashes and api-key");
    }
    return hashes;
}

Account readAccount(AnswerSection &section, const std::string &organisation)
{
    Account account;
    account.id = AccountId(section.name());
    account.organisation = organisation;
    account.keyHashes = readKeyHashes(section);
    account.allowed = section.versions("allowed");
    const AccountLimits limits;
    account.limits.requestsPerSecond = section.number("requests-per-second", minRequestsPerSecond, maxRequestsPerSecond)
                                           .value_or(limits.requestsPerSecond);
    account.limits.burst = section.number("burst", 1.0, maxRequestsPerSecond).value_or(limits.burst);
    account.limits.inFlight = section.number("in-flight", 1U, maxInFlight).value_or(limits.inFlight);
    account.priority.bought = section.boolean("priority", false);
    account.priority.share = section.number("priority-share", 0.0, 1.0).value_or(account.priority.share);
    account.costWeight = section.number("cost-weight", 0.0, 1.0).value_or(account.costWeight);
    return account;
}

ModelTask readModelTask(AnswerSection &section)
{
    ModelTask work;
    for (const std::string &model : section.list("chain")) {
        if (!isIdentifier(model)) {
            section.report("chain", model, "names of models, separated by commas");
        }
        work.chain.emplace_back(model);
    }
    work.qualityTarget = section.number("quality-target", 0.0, 1.0).value_or(work.qualityTarget);
    work.resumable = section.boolean("resumable", work.resumable);
    work.maxTokens = section.number("max-tokens", 1U, maxTokensLimit).value_or(work.maxTokens);
    return work;
}

std::variant<ModelTask, ServiceTask> readWork(AnswerSection &section)
{
    if (section.has("service")) {
        const std::string service = section.identifier("service");
        return ServiceTask{ServiceName(service), section.identifier("operation")};
    }
    if (!section.has("chain")) {
        section.report("chain", "", "chain (models, cheapest first), or service and operation");
    }
    return readModelTask(section);
}

Task readTask(AnswerSection &section)
{
    Task task;
    task.name = TaskName(section.name());
    task.work = readWork(section);
    task.repeatable = section.boolean("repeatable", false);
    task.maxWait
        = Milliseconds(section.number("max-wait-ms", std::int64_t{1}, maxWaitLimitMs).value_or(task.maxWait.count()));
    return task;
}

VersionAnswers readVersion(AnswerSection &section)
{
    VersionAnswers version;
    version.id = readVersionText(section.name()).value_or(ModelVersion());
    version.state = section.state("state");
    version.weight = section.number("weight", 0U, maxWeight);
    version.initialState = section.state("initial-state").value_or(version.initialState);
    version.initialWeight = section.number("initial-weight", 0U, maxWeight).value_or(version.initialWeight);
    const auto cost = section.number("cost-per-million", std::int64_t{0}, maxCost);
    version.costPerMillionTokens = cost ? std::optional(MicroCost(*cost)) : std::nullopt;
    return version;
}

Upstream readUpstream(AnswerSection &section)
{
    Upstream upstream;
    upstream.id = UpstreamId(section.name());
    upstream.address = section.address("address");
    upstream.zone = ZoneId(section.identifier("zone"));
    if (section.kind() == "service") {
        upstream.kind = PlainService{ServiceName(section.identifier("service"))};
        return upstream;
    }
    Engine engine;
    engine.loads = section.versions("loads");
    engine.slots = section.number("slots", 1U, maxSlots).value_or(engine.slots);
    engine.checksFence = section.boolean("checks-fence", engine.checksFence);
    upstream.kind = std::move(engine);
    return upstream;
}

void addTask(Answers &answers, AnswerSection &section)
{
    const Task task = readTask(section);
    const std::vector<std::string> owners = section.list("accounts");
    if (owners.empty()) {
        section.report("accounts", "", "names of accounts, separated by commas");
    }
    for (const std::string &owner : owners) {
        const auto account = std::find_if(answers.accounts.begin(), answers.accounts.end(),
                                          [&](const Account &candidate) { return candidate.id.str() == owner; });
        if (account == answers.accounts.end()) {
            section.report("accounts", owner, "accounts with a section [account NAME] in this file");
            continue;
        }
        account->tasks.push_back(task);
    }
}

/// Adds one section to the answers. A task is added to its accounts, so tasks must be read after all other sections.
void addSection(Answers &answers, AnswerSection &section)
{
    const std::string kind = section.kind();
    if (kind == "account") {
        answers.accounts.push_back(readAccount(section, answers.organisation));
    } else if (kind == "version") {
        answers.versions.push_back(readVersion(section));
    } else if (kind == "engine" || kind == "service") {
        answers.upstreams.push_back(readUpstream(section));
    } else if (kind == "task") {
        addTask(answers, section);
    }
}

bool isKnownKind(const std::string &kind)
{
    constexpr std::array<std::string_view, 5> kinds = {"account", "task", "version", "engine", "service"};
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

bool hasValidName(const AnswerSection &section)
{
    return section.kind() == "version" ? readVersionText(section.name()).has_value() : isIdentifier(section.name());
}

void readOrganisation(Answers &answers, std::vector<RawSection> &sections, const std::string &fileName,
                      std::vector<SettingProblem> &problems)
{
    const RawSection raw = sectionOf(sections, "organisation");
    AnswerSection section(fileName, raw.heading, raw.values, problems);
    answers.organisation = section.identifier("name");
    section.reportUnknown();
}

void readSections(Answers &answers, const std::vector<RawSection> &sections, bool tasks, const std::string &fileName,
                  std::vector<SettingProblem> &problems)
{
    for (const RawSection &raw : sections) {
        AnswerSection section(fileName, raw.heading, raw.values, problems);
        if (raw.heading == "organisation" || (section.kind() == "task") != tasks) {
            continue;
        }
        if (!isKnownKind(section.kind()) || !hasValidName(section)) {
            problems.push_back({fileName, raw.heading, "", "(an unknown section)",
                                "[organisation], [account NAME], [task NAME], [version MODEL@VERSION], [engine ID], "
                                "[service ID]"});
            continue;
        }
        addSection(answers, section);
        section.reportUnknown();
    }
}

} // namespace

std::optional<ModelVersion> readVersionText(std::string_view text)
{
    const std::size_t at = text.find('@');
    if (at == std::string_view::npos || !isIdentifier(text.substr(0, at)) || !isIdentifier(text.substr(at + 1))) {
        return std::nullopt;
    }
    return ModelVersion{ModelName(std::string(text.substr(0, at))), VersionName(std::string(text.substr(at + 1)))};
}

std::optional<VersionState> readVersionState(std::string_view text) noexcept
{
    constexpr std::array states
        = {VersionState::Warming, VersionState::Serving, VersionState::Closed, VersionState::Withdrawn};
    for (const VersionState state : states) {
        if (versionStateName(state) == text) {
            return state;
        }
    }
    return std::nullopt;
}

std::optional<Answers> readAnswers(const std::string &iniText, const std::string &fileName,
                                   std::vector<SettingProblem> &problems, const SettingOverrides &overrides)
{
    const std::size_t before = problems.size();
    std::vector<RawSection> sections = groupEntries(readIni(iniText, fileName, problems));
    applyOverrides(sections, overrides, problems);
    Answers answers;
    readOrganisation(answers, sections, fileName, problems);
    readSections(answers, sections, false, fileName, problems);
    readSections(answers, sections, true, fileName, problems);
    return problems.size() == before ? std::optional(answers) : std::nullopt;
}

} // namespace parsleyvane
