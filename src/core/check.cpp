#include "parsleyvane/config/check.h"

#include "parsleyvane/config/diff.h"
#include "parsleyvane/config/questionnaire.h"
#include "parsleyvane/config/settings.h"
#include "parsleyvane/config/validate.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

enum class FileKind {
    Configuration,
    Answers,
    Settings,
};

/// Copying and writing JSON recurses, so a document nested without limit would overflow the stack. A configuration has
/// 7 levels.
constexpr int maxDepth = 32;

/// Each place may be as long as the text, so the places of all repeated members could exhaust the memory.
constexpr std::size_t maxRepeatedMembers = 100;

/// The identifier of a list entry, as in the places of diff(); empty when it has none.
std::string entryName(const Json &entry)
{
    const auto text = [&](const char *member) {
        const auto found = entry.is_object() ? entry.find(member) : entry.end();
        return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    if (!text("model").empty() && !text("version").empty()) {
        return text("model") + "@" + text("version");
    }
    for (const char *member : {"id", "name", "model"}) {
        if (!text(member).empty()) {
            return text(member);
        }
    }
    return {};
}

const Json *findChild(const Json &parent, const std::string &member, bool isIndex)
{
    if (!isIndex) {
        const auto found = parent.is_object() ? parent.find(member) : parent.end();
        return found != parent.end() ? &*found : nullptr;
    }
    const std::size_t index = std::strtoull(member.c_str(), nullptr, 10);
    return parent.is_array() && index < parent.size() ? &parent[index] : nullptr;
}

/// Replaces the indexes in a place such as "accounts[0].tasks[1].chain" by identifiers.
std::string namedPlace(const Json &document, const std::string &place)
{
    std::string named;
    const Json *value = &document;
    for (std::size_t at = 0; at < place.size();) {
        const bool isIndex = place[at] == '[';
        const std::size_t begin = isIndex || place[at] == '.' ? at + 1 : at;
        const std::size_t end = std::min(place.find_first_of(isIndex ? "]" : ".[", begin), place.size());
        value = value != nullptr ? findChild(*value, place.substr(begin, end - begin), isIndex) : nullptr;
        const std::string name = isIndex && value != nullptr ? entryName(*value) : std::string();
        const std::size_t next = std::min(isIndex ? end + 1 : end, place.size());
        named += name.empty() ? place.substr(at, next - at) : "[" + name + "]";
        at = next;
    }
    return named;
}

/// Collects the findings about one file.
class FindingList
{
public:
    FindingList(std::string fileName, Json documentRead)
        : file(std::move(fileName))
        , document(std::move(documentRead))
    {
    }
    /// @param place path with list entries by index, as validate() reports it
    void add(FindingSeverity severity, const std::string &place, const std::string &message)
    {
        this->addNamed(severity, namedPlace(this->document, place), message);
    }
    /// @param place path with list entries by identifier, as diff() reports it
    void addNamed(FindingSeverity severity, const std::string &place, const std::string &message)
    {
        // The entry ends at the last list entry with members, otherwise at the first member.
        const std::size_t listEnd = place.rfind("].");
        const std::size_t dot = listEnd != std::string::npos ? listEnd + 1 : place.find('.');
        const bool hasField = dot < place.find('[') || listEnd != std::string::npos;
        this->findings.push_back({severity, this->file, hasField ? place.substr(0, dot) : place,
                                  hasField ? place.substr(dot + 1) : "", message});
    }
    void warnIf(bool found, const std::string &place, const std::string &message)
    {
        if (found) {
            this->add(FindingSeverity::Warning, place, message);
        }
    }
    void addSettingProblems(const std::vector<SettingProblem> &problems)
    {
        for (const SettingProblem &problem : problems) {
            this->findings.push_back({FindingSeverity::Error, problem.file, problem.section, problem.key,
                                      "found " + problem.found + ", allowed: " + problem.allowed});
        }
    }
    void addRepeatedMembers(const std::vector<std::string> &places)
    {
        for (const std::string &place : places) {
            this->add(FindingSeverity::Error, place, "is given twice; only the last value is read");
        }
    }
    bool isEmpty() const noexcept
    {
        return this->findings.empty();
    }
    std::vector<CheckFinding> take()
    {
        return std::move(this->findings);
    }

private:
    std::string file;
    Json document;
    std::vector<CheckFinding> findings;
};

std::string indexedPlace(const std::string &list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

// Errors in a document that parseConfiguration() cannot read

/// What is lost when JSON text becomes a document.
struct TextTraits
{
    int depth = 0;
    /// Places of the members that an object has twice; only the last value is read.
    std::vector<std::string> repeatedMembers;
};

/// Follows the events of the JSON parser, and collects what is lost in the document.
class TextObserver
{
public:
    explicit TextObserver(TextTraits &traitsFound)
        : traits(traitsFound)
    {
    }
    bool observe(int depth, Json::parse_event_t event, const Json &parsed)
    {
        this->traits.depth = std::max(this->traits.depth, depth);
        switch (event) {
        case Json::parse_event_t::object_start:
        case Json::parse_event_t::array_start:
            this->open(event == Json::parse_event_t::array_start);
            break;
        case Json::parse_event_t::object_end:
        case Json::parse_event_t::array_end:
            this->levels.pop_back();
            this->countItem();
            break;
        case Json::parse_event_t::key:
            this->enterMember(parsed.get<std::string>());
            break;
        case Json::parse_event_t::value:
            this->countItem();
            break;
        }
        return true;
    }

private:
    /// An object or array that has not ended.
    struct Level
    {
        bool isArray = false;
        std::size_t items = 0;
        std::string member;
        std::set<std::string> members;
    };

    void open(bool isArray)
    {
        this->levels.push_back({.isArray = isArray});
    }
    void countItem()
    {
        if (!this->levels.empty()) {
            ++this->levels.back().items;
        }
    }
    void enterMember(std::string member)
    {
        Level &level = this->levels.back();
        const bool isNew = level.members.insert(member).second;
        level.member = std::move(member);
        const bool isTooDeep = this->levels.size() > maxDepth;
        if (!isNew && !isTooDeep && this->traits.repeatedMembers.size() < maxRepeatedMembers) {
            this->traits.repeatedMembers.push_back(this->place());
        }
    }
    std::string place() const
    {
        std::string path;
        for (const Level &level : this->levels) {
            path += level.isArray ? indexedPlace("", level.items) : (path.empty() ? "" : ".") + level.member;
        }
        return path;
    }

    TextTraits &traits;
    std::vector<Level> levels;
};

/// Parses JSON text. @throw Json::exception
Json parseText(const std::string &text, TextTraits &traits)
{
    TextObserver observer(traits);
    const auto observe = [&](int depth, Json::parse_event_t event, const Json &parsed) {
        return observer.observe(depth, event, parsed);
    };
    return Json::parse(text, observe);
}

/// Returns why a value cannot be read in its place of a document; empty when it can.
using ReadProblem = std::function<std::string(const Json &)>;

/// Returns why the document cannot be read as a configuration, without the parser's prefix "[json.exception...] ".
std::string documentProblem(const Json &document)
{
    LastReason reason;
    if (parseConfiguration(document.dump(), reason)) {
        return {};
    }
    const std::string &detail = reason.failure().detail;
    const std::size_t prefix = detail.starts_with("[json.") ? detail.find("] ") : std::string::npos;
    return prefix == std::string::npos ? detail : detail.substr(prefix + 2);
}

/// The member that a problem reports as missing; empty for another problem.
std::string missingMember(const std::string &problem)
{
    constexpr std::string_view start = "key '";
    const std::size_t end = problem.rfind("' not found");
    return problem.starts_with(start) && end != std::string::npos ? problem.substr(start.size(), end - start.size())
                                                                  : std::string();
}

/// Removes members without which the problem is the same, in groups: trying each member of a long object on a copy
/// would take quadratic time.
Json withoutUnrelatedMembers(Json object, const ReadProblem &readProblem)
{
    constexpr std::size_t smallestGroup = 8;
    const std::string problem = readProblem(object);
    for (std::size_t group = object.size() / 2; group >= smallestGroup; group /= 2) {
        std::vector<std::string> members;
        for (const auto &[member, value] : object.items()) {
            members.push_back(member);
        }
        for (std::size_t begin = 0; begin < members.size(); begin += group) {
            Json without = object;
            for (std::size_t i = begin; i < std::min(begin + group, members.size()); ++i) {
                without.erase(members[i]);
            }
            if (readProblem(without) == problem) {
                object = std::move(without);
            }
        }
    }
    return object;
}

/// The member that cannot be read. Without any member that is read before, or without the member itself, the problem is
/// another one; without two required members, the problem names the one that is read first.
std::string findUnreadableMember(const Json &object, const ReadProblem &readProblem)
{
    const std::string problem = readProblem(object);
    std::string last;
    for (const auto &[member, value] : object.items()) {
        Json without = object;
        without.erase(member);
        if (readProblem(without) == problem) {
            continue;
        }
        if (!last.empty()) {
            without.erase(last);
            if (missingMember(readProblem(without)) == member) {
                continue;
            }
        }
        last = member;
    }
    return last;
}

/// Finds the place and the reason of the first unreadable value.
void addUnreadable(const Json &value, const std::string &place, const ReadProblem &readProblem, FindingList &findings)
{
    const std::string problem = readProblem(value);
    // An array in the place of a text has the same problem without its items.
    if (value.is_array() && readProblem(Json::array()) != problem) {
        for (std::size_t i = 0; i < value.size(); ++i) {
            const ReadProblem itemProblem = [&](const Json &item) {
                return readProblem(Json::array({item}));
            };
            if (!itemProblem(value[i]).empty()) {
                addUnreadable(value[i], indexedPlace(place, i), itemProblem, findings);
                return;
            }
        }
    }
    if (value.is_object()) {
        const std::string missing = missingMember(problem);
        Json completed = value;
        completed[missing] = nullptr;
        if (!missing.empty() && readProblem(completed) != problem) {
            findings.add(FindingSeverity::Error, place + "." + missing, "is missing");
            return;
        }
        const Json related = withoutUnrelatedMembers(value, readProblem);
        const std::string member = findUnreadableMember(related, readProblem);
        if (!member.empty()) {
            // Other lists are left out: copying them for each item would take quadratic time in a long entry.
            Json others = related;
            for (Json &other : others) {
                if (other.is_array()) {
                    other = Json::array();
                }
            }
            const ReadProblem memberProblem = [&](const Json &replaced) {
                Json changed = others;
                changed[member] = replaced;
                return readProblem(changed);
            };
            addUnreadable(value.at(member), place + "." + member, memberProblem, findings);
            return;
        }
    }
    findings.add(FindingSeverity::Error, place, "cannot be read: " + problem);
}

/// Reports each list that is missing or no list, and the first problem of each entry.
void addUnreadableEntries(const Json &document, FindingList &findings)
{
    const Json emptyDocument{{"accounts", Json::array()}, {"versions", Json::array()}, {"upstreams", Json::array()}};
    for (const char *list : {"accounts", "versions", "upstreams", "sessionKeys", "rollouts"}) {
        if (!document.contains(list)) {
            if (emptyDocument.contains(list)) {
                findings.add(FindingSeverity::Error, list, "is missing");
            }
            continue;
        }
        const Json &entries = document.at(list);
        if (!entries.is_array()) {
            findings.add(FindingSeverity::Error, list, "is not a list");
            continue;
        }
        const ReadProblem entryProblem = [&](const Json &entry) {
            Json single = emptyDocument;
            single[list] = Json::array({entry});
            return documentProblem(single);
        };
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (!entryProblem(entries[i]).empty()) {
                addUnreadable(entries[i], indexedPlace(list, i), entryProblem, findings);
            }
        }
    }
    for (const char *member : {"revision", "change"}) {
        Json single = emptyDocument;
        single[member] = document.value(member, Json());
        if (document.contains(member) && !documentProblem(single).empty()) {
            findings.add(FindingSeverity::Error, member, "cannot be read: " + documentProblem(single));
        }
    }
}

/// Reports members that are not read, and values that are read as another one, such as a negative number of slots.
void addMisreadMembers(const Json &given, const Json &read, const std::string &place, FindingList &findings)
{
    if (given.is_object() && read.is_object()) {
        for (const auto &[member, value] : given.items()) {
            std::string memberPlace = place;
            memberPlace.append(place.empty() ? "" : ".").append(member);
            if (!read.contains(member)) {
                findings.warnIf(true, memberPlace, "is not a member of this entry and is ignored");
                continue;
            }
            addMisreadMembers(value, read.at(member), memberPlace, findings);
        }
        return;
    }
    if (given.is_array() && read.is_array()) {
        for (std::size_t i = 0; i < std::min(given.size(), read.size()); ++i) {
            addMisreadMembers(given[i], read[i], indexedPlace(place, i), findings);
        }
        return;
    }
    if (given != read) {
        findings.add(FindingSeverity::Error, place,
                     read.is_structured() ? "has the wrong type" : "is read as " + read.dump());
    }
}

// Unused entries and contradictory limits of a configuration

bool loads(const Upstream &upstream, const ModelVersion &version)
{
    const auto *engine = std::get_if<Engine>(&upstream.kind);
    return engine != nullptr && std::find(engine->loads.begin(), engine->loads.end(), version) != engine->loads.end();
}

bool usesService(const Account &account, const ServiceName &name)
{
    return std::any_of(account.tasks.begin(), account.tasks.end(), [&](const Task &task) {
        const auto *work = std::get_if<ServiceTask>(&task.work);
        return work != nullptr && work->service == name;
    });
}

bool usesModel(const Account &account, const ModelName &model)
{
    return std::any_of(account.tasks.begin(), account.tasks.end(), [&](const Task &task) {
        const auto *work = std::get_if<ModelTask>(&task.work);
        return work != nullptr && std::find(work->chain.begin(), work->chain.end(), model) != work->chain.end();
    });
}

/// The lowest cost of the versions of the model that get new requests of the account; nothing when there is none.
std::optional<MicroCost> servedCost(const Configuration &configuration, const Account &account, const ModelName &model)
{
    std::optional<MicroCost> lowest;
    for (const VersionEntry &entry : configuration.versions) {
        if (entry.id.model != model || !allows(account, entry.id) || !takesWork(entry, false) || entry.weight == 0) {
            continue;
        }
        // A cost of 0 is one that was not given.
        const MicroCost cost = entry.costPerMillionTokens;
        const bool isLower = !lowest || lowest->value() == 0 || (cost.value() > 0 && cost < *lowest);
        lowest = isLower ? cost : lowest;
    }
    return lowest;
}

void checkChain(const Configuration &configuration, const Account &account, const ModelTask &work,
                const std::string &place, FindingList &findings)
{
    std::optional<MicroCost> previous;
    for (std::size_t i = 0; i < work.chain.size(); ++i) {
        const auto cost = servedCost(configuration, account, work.chain[i]);
        const std::string itemPlace = indexedPlace(place + ".chain", i);
        findings.warnIf(!cost, itemPlace,
                        "is never used: the account allows no version of '" + work.chain[i].str()
                            + "' that is serving with a weight greater than 0");
        const bool isCostKnown = cost && cost->value() > 0;
        const bool isCheaper = isCostKnown && previous && *cost < *previous;
        findings.warnIf(isCheaper, itemPlace, "costs less than the model before it, but the cheapest must be first");
        previous = isCostKnown ? cost : previous;
    }
}

/// Reports hashes that no key can have: validate() accepts capital digits, but hashes of keys are compared as text.
void checkKeyHashes(const Account &account, const std::string &place, FindingList &findings)
{
    for (std::size_t i = 0; i < account.keyHashes.size(); ++i) {
        const std::string &hash = account.keyHashes[i];
        const bool hasCapital = std::any_of(hash.begin(), hash.end(), [](char c) { return c >= 'A' && c <= 'F'; });
        findings.warnIf(hasCapital, indexedPlace(place + ".keyHashes", i),
                        "is never used: it has capital digits, and the hashes of keys are in lower case");
    }
}

void checkAccountUse(const Configuration &configuration, FindingList &findings)
{
    double boughtShares = 0;
    for (std::size_t i = 0; i < configuration.accounts.size(); ++i) {
        const Account &account = configuration.accounts[i];
        const std::string place = indexedPlace("accounts", i);
        findings.warnIf(account.tasks.empty(), place + ".tasks", "is empty, so every request is rejected");
        findings.warnIf(account.priority.bought && account.priority.share == 0, place + ".priority.share",
                        "is 0, but the account bought priority");
        checkKeyHashes(account, place, findings);
        boughtShares += account.priority.bought ? account.priority.share : 0;
        for (std::size_t k = 0; k < account.tasks.size(); ++k) {
            if (const auto *work = std::get_if<ModelTask>(&account.tasks[k].work)) {
                checkChain(configuration, account, *work, indexedPlace(place + ".tasks", k), findings);
            }
        }
    }
    // The tolerance covers rounding in sums such as 0.7 + 0.2 + 0.1.
    constexpr double roundingTolerance = 1e-9;
    findings.warnIf(boughtShares > 1 + roundingTolerance, "accounts",
                    "the priority shares of the accounts that bought priority add up to more than 1");
}

void checkVersionUse(const Configuration &configuration, FindingList &findings)
{
    for (std::size_t i = 0; i < configuration.versions.size(); ++i) {
        const VersionEntry &entry = configuration.versions[i];
        const std::string place = indexedPlace("versions", i);
        const bool isAllowed = std::any_of(configuration.accounts.begin(), configuration.accounts.end(),
                                           [&](const Account &account) { return allows(account, entry.id); });
        const bool isInChain
            = std::any_of(configuration.accounts.begin(), configuration.accounts.end(), [&](const Account &account) {
                  return allows(account, entry.id) && usesModel(account, entry.id.model);
              });
        const bool isLoaded = std::any_of(configuration.upstreams.begin(), configuration.upstreams.end(),
                                          [&](const Upstream &upstream) { return loads(upstream, entry.id); });
        const bool isServing = entry.state == VersionState::Serving;
        findings.warnIf(!isAllowed && entry.state != VersionState::Withdrawn, place,
                        "is never used: no account allows it");
        findings.warnIf(isAllowed && !isInChain && entry.state != VersionState::Withdrawn, place,
                        "is never used: no account that allows it has a task with its model");
        findings.warnIf(isServing && entry.weight == 0, place + ".weight",
                        "is 0, so it gets no new requests although it is serving");
        findings.warnIf(isServing && entry.weight > 0 && !isLoaded, place, "is serving, but no engine loads it");
    }
}

void checkUpstreamUse(const Configuration &configuration, FindingList &findings)
{
    for (std::size_t i = 0; i < configuration.upstreams.size(); ++i) {
        const Upstream &upstream = configuration.upstreams[i];
        const std::string place = indexedPlace("upstreams", i);
        if (const auto *service = std::get_if<PlainService>(&upstream.kind)) {
            const bool isUsed
                = std::any_of(configuration.accounts.begin(), configuration.accounts.end(),
                              [&](const Account &account) { return usesService(account, service->name); });
            findings.warnIf(!isUsed, place, "is never used: no task uses the service '" + service->name.str() + "'");
            continue;
        }
        const auto &loaded = std::get<Engine>(upstream.kind).loads;
        const bool isUsed = std::any_of(loaded.begin(), loaded.end(), [&](const ModelVersion &version) {
            const VersionEntry *entry = configuration.findVersion(version);
            return entry != nullptr && entry->state != VersionState::Withdrawn;
        });
        findings.warnIf(!isUsed, place + ".loads",
                        "names no version that may get requests, so the engine is never used");
    }
}

void checkSecrets(const Configuration &configuration, FindingList &findings)
{
    std::set<std::string> secrets;
    for (std::size_t i = 0; i < configuration.sessionKeys.size(); ++i) {
        findings.warnIf(!secrets.insert(configuration.sessionKeys[i].secret).second,
                        indexedPlace("sessionKeys", i) + ".secret", "is the secret of another key, too");
    }
}

void checkRolloutStates(const Configuration &configuration, FindingList &findings)
{
    for (std::size_t i = 0; i < configuration.rollouts.size(); ++i) {
        const Rollout &rollout = configuration.rollouts[i];
        for (const auto &[member, name] : {std::pair("from", rollout.from), std::pair("to", rollout.to)}) {
            const VersionEntry *entry = configuration.findVersion({rollout.model, name});
            const bool isStuck
                = rollout.state == "running" && entry != nullptr && entry->state != VersionState::Serving;
            findings.warnIf(isStuck, indexedPlace("rollouts", i) + "." + member,
                            "is not serving, but the roll-out is running");
        }
    }
}

// Differences from another version

std::optional<unsigned> stateRank(const std::string &text)
{
    const auto state = readVersionState(text);
    if (!state) {
        return std::nullopt;
    }
    constexpr std::array ascending
        = {VersionState::Withdrawn, VersionState::Warming, VersionState::Closed, VersionState::Serving};
    return static_cast<unsigned>(std::find(ascending.begin(), ascending.end(), *state) - ascending.begin());
}

template<typename Value>
ChangeHarm compareRanks(const Value &before, const Value &after)
{
    return after < before ? ChangeHarm::Narrowed : ChangeHarm::Widened;
}

/// A list narrows when an element is missing afterwards, and widens when there are only new ones.
ChangeHarm compareLists(const Json &before, const Json &after)
{
    const auto containsAll = [](const Json &list, const Json &elements) {
        return std::all_of(elements.begin(), elements.end(), [&](const Json &element) {
            return std::find(list.begin(), list.end(), element) != list.end();
        });
    };
    if (!containsAll(after, before)) {
        return ChangeHarm::Narrowed;
    }
    return containsAll(before, after) ? ChangeHarm::Replaced : ChangeHarm::Widened;
}

/// Whether a smaller value lets less through; costs, targets and shares of a roll-out are neither less nor more.
bool isLimit(const std::string &place)
{
    constexpr std::array<std::string_view, 11> members
        = {"requestsPerSecond", "burst",  "inFlight", "share",      "bought", "maxTokens",
           "maxWaitMs",         "weight", "slots",    "repeatable", "state"};
    const std::string member = place.substr(place.rfind('.') + 1);
    return std::find(members.begin(), members.end(), member) != members.end();
}

ChangeHarm classify(const ConfigurationChange &change)
{
    const Json before = change.before.empty() ? Json::array() : Json::parse(change.before);
    const Json after = change.after.empty() ? Json::array() : Json::parse(change.after);
    // An empty list on one side stands for a list with entries on the other.
    if (change.after.empty() || (after.empty() && after.is_array())) {
        return ChangeHarm::Removed;
    }
    if (change.before.empty() || (before.empty() && before.is_array())) {
        return ChangeHarm::Added;
    }
    if (before.is_array() && after.is_array()) {
        return compareLists(before, after);
    }
    if (!isLimit(change.place) || before.type_name() != std::string_view(after.type_name())) {
        return ChangeHarm::Replaced;
    }
    if (!before.is_string()) {
        return compareRanks(before, after);
    }
    const auto rankBefore = stateRank(before.get<std::string>());
    const auto rankAfter = stateRank(after.get<std::string>());
    return rankBefore && rankAfter ? compareRanks(*rankBefore, *rankAfter) : ChangeHarm::Replaced;
}

/// The values of a change, or nothing when a whole entry was added or removed.
std::string valuesText(const ConfigurationChange &change)
{
    if (change.before.starts_with('{') || change.after.starts_with('{')) {
        return {};
    }
    const bool isOneSided = change.before.empty() || change.after.empty();
    return ": " + change.before + (isOneSided ? "" : " -> ") + change.after;
}

void addDifferences(const Configuration &before, const Configuration &after, FindingList &findings)
{
    std::vector<std::pair<ChangeHarm, ConfigurationChange>> changes;
    for (const ConfigurationChange &change : diff(before, after)) {
        changes.emplace_back(classify(change), change);
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[harm, change] : changes) {
        findings.addNamed(harm <= ChangeHarm::Replaced ? FindingSeverity::Warning : FindingSeverity::Note, change.place,
                          std::string(harmName(harm)) + valuesText(change));
    }
}

void checkConfiguration(const Configuration &configuration, const std::optional<Configuration> &against,
                        FindingList &findings)
{
    for (const ConfigurationProblem &problem : validate(configuration)) {
        findings.add(FindingSeverity::Error, problem.place, problem.message);
    }
    checkAccountUse(configuration, findings);
    checkVersionUse(configuration, findings);
    checkUpstreamUse(configuration, findings);
    checkSecrets(configuration, findings);
    checkRolloutStates(configuration, findings);
    if (against) {
        addDifferences(*against, configuration, findings);
    }
}

// Settings

/// Reports addresses that two listeners share, and seeds that name the instance itself or occur twice.
void checkAddresses(const InstanceSettings &settings, FindingList &findings)
{
    std::set<std::string> listeners;
    for (const auto &[key, address] :
         {std::pair("callers", settings.listen.callers), std::pair("operators", settings.listen.operators),
          std::pair("peers", settings.listen.peers)}) {
        findings.warnIf(!listeners.insert(address).second, std::string("listen.") + key,
                        "'" + address + "' is the address of another listener");
    }
    findings.warnIf(listeners.contains(settings.platformAddress), "platform.address", "is the address of a listener");
    std::set<std::string> seeds;
    for (const std::string &seed : settings.seeds) {
        findings.warnIf(seed == settings.listen.peers, "peers.seeds", "'" + seed + "' is the instance itself");
        findings.warnIf(!seeds.insert(seed).second, "peers.seeds", "'" + seed + "' occurs twice");
    }
}

void checkSettings(const InstanceSettings &settings, FindingList &findings)
{
    checkAddresses(settings, findings);
    const bool isZoneKnown = settings.zones.empty()
        || std::find(settings.zones.begin(), settings.zones.end(), settings.zone) != settings.zones.end();
    findings.warnIf(!isZoneKnown, "instance.zone", "is not one of [zones]");
    const BoundSettings &bounds = settings.bounds;
    if (settings.front == FrontKind::Chat) {
        constexpr const char *unusedMessage = "is never used: only front = ingress reads it";
        findings.warnIf(bounds != BoundSettings(), "bounds", unusedMessage);
        findings.warnIf(settings.load != LoadSettings(), "load", unusedMessage);
        findings.warnIf(settings.hedging != HedgingSettings(), "hedging", unusedMessage);
        return;
    }
    findings.warnIf(settings.hedging.maxShare > bounds.repeatRatio, "hedging.max-share",
                    "is greater than bounds.repeat-ratio, which limits hedges, too");
    findings.warnIf(bounds.coldFactor == 0 && bounds.coldSlack == 0, "bounds.cold-factor",
                    "and cold-slack are 0, so a cold upstream never gets a request");
}

// Kinds of files

FileKind iniKindOf(const std::string &section)
{
    return section == "instance" || section == "listen" || section == "platform" ? FileKind::Settings
                                                                                 : FileKind::Answers;
}

/// Tells the kind by the content; nothing when the text is neither JSON nor INI with a known section.
std::optional<FileKind> findKind(const std::string &text)
{
    // The JSON and INI parsers skip a byte order mark.
    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
    const std::size_t first
        = text.find_first_not_of(" \t\r\n", text.starts_with(byteOrderMark) ? byteOrderMark.size() : 0);
    if (first != std::string::npos && text[first] == '{') {
        return FileKind::Configuration;
    }
    constexpr std::array<std::string_view, 9> sections
        = {"instance", "listen", "platform", "organisation", "account", "task", "version", "engine", "service"};
    std::vector<SettingProblem> ignored;
    for (const IniEntry &entry : readIni(text, "", ignored)) {
        const std::string kind = entry.section.substr(0, entry.section.find(' '));
        if (std::find(sections.begin(), sections.end(), kind) != sections.end()) {
            return iniKindOf(kind);
        }
    }
    return std::nullopt;
}

std::nullopt_t failUnreadable(const CheckedFile &file, const std::string &detail, LastReason &reason)
{
    return reason.fail({.id = ErrorId::InvalidConfiguration,
                        .step = Step::Configure,
                        .detail = file.name + (file.name.empty() ? "" : ": ") + detail});
}

std::nullopt_t failTooDeep(const CheckedFile &file, LastReason &reason)
{
    return failUnreadable(file, "is nested more than " + std::to_string(maxDepth) + " levels deep", reason);
}

/// A session key for configurations generated from answers, as the questionnaire adds one where there is none.
void addPlaceholderSessionKey(Configuration &configuration)
{
    constexpr std::size_t secretHexDigits = 64;
    if (configuration.sessionKeys.empty()) {
        configuration.sessionKeys.push_back({"key-1", std::string(secretHexDigits, '0')});
    }
}

std::vector<CheckFinding> checkAnswersFile(const CheckedFile &file, const std::optional<Configuration> &against)
{
    std::vector<SettingProblem> problems;
    const auto answers = readAnswers(file.text, file.name, problems);
    if (!answers) {
        FindingList findings(file.name, Json::object());
        findings.addSettingProblems(problems);
        return findings.take();
    }
    std::optional<Configuration> base = against;
    Configuration generated = amend(base.value_or(Configuration()), *answers);
    if (!base || base->sessionKeys.empty()) {
        addPlaceholderSessionKey(generated);
    }
    if (base) {
        addPlaceholderSessionKey(*base);
    }
    FindingList findings(file.name, Json::parse(serialise(generated)));
    checkConfiguration(generated, base, findings);
    return findings.take();
}

std::vector<CheckFinding> checkSettingsFile(const CheckedFile &file)
{
    FindingList findings(file.name, Json::object());
    std::vector<SettingProblem> problems;
    const auto settings = readSettings(file.text, file.name, problems);
    findings.addSettingProblems(problems);
    if (settings) {
        checkSettings(*settings, findings);
    }
    return findings.take();
}

std::optional<std::vector<CheckFinding>>
checkConfigurationFile(const CheckedFile &file, const std::optional<Configuration> &against, LastReason &reason)
{
    TextTraits traits;
    const Json document = parseText(file.text, traits);
    if (traits.depth > maxDepth) {
        return failTooDeep(file, reason);
    }
    FindingList findings(file.name, document);
    findings.addRepeatedMembers(traits.repeatedMembers);
    LastReason parseReason;
    const auto configuration = parseConfiguration(file.text, parseReason);
    if (!configuration) {
        addUnreadableEntries(document, findings);
        if (findings.isEmpty()) {
            findings.add(FindingSeverity::Error, "", "cannot be read: " + documentProblem(document));
        }
        return findings.take();
    }
    addMisreadMembers(document, Json::parse(serialise(*configuration)), "", findings);
    checkConfiguration(*configuration, against, findings);
    return findings.take();
}

std::optional<Configuration> readComparedDocument(const CheckedFile &file, LastReason &reason)
{
    try {
        TextTraits traits;
        parseText(file.text, traits);
        if (traits.depth > maxDepth) {
            return failTooDeep(file, reason);
        }
    } catch (const Json::exception &error) {
        return failUnreadable(file, error.what(), reason);
    }
    LastReason parseReason;
    auto configuration = parseConfiguration(file.text, parseReason);
    return configuration ? std::move(configuration) : failUnreadable(file, parseReason.failure().detail, reason);
}

} // namespace

std::optional<std::vector<CheckFinding>> checkFile(const CheckedFile &file, const std::optional<Configuration> &against,
                                                   LastReason &reason)
{
    const auto kind = findKind(file.text);
    if (!kind) {
        return failUnreadable(file, "is neither a configuration (JSON) nor answers or settings (INI)", reason);
    }
    try {
        if (*kind == FileKind::Answers) {
            return checkAnswersFile(file, against);
        }
        return *kind == FileKind::Settings ? checkSettingsFile(file) : checkConfigurationFile(file, against, reason);
    } catch (const Json::exception &error) {
        return failUnreadable(file, error.what(), reason);
    }
}

std::optional<Configuration> readComparedVersion(const CheckedFile &file, LastReason &reason)
{
    const auto kind = findKind(file.text);
    if (kind == FileKind::Configuration) {
        return readComparedDocument(file, reason);
    }
    std::vector<SettingProblem> problems;
    const auto answers = readAnswers(file.text, file.name, problems);
    if (kind != FileKind::Answers || !answers) {
        return failUnreadable(file, problems.empty() ? "cannot be compared with" : describe(problems.front()), reason);
    }
    return amend(Configuration(), *answers);
}

std::vector<CheckFinding> findRepeatedMembers(const CheckedFile &file)
{
    try {
        TextTraits traits;
        const Json document = parseText(file.text, traits);
        if (traits.depth > maxDepth) {
            return {};
        }
        FindingList findings(file.name, document);
        findings.addRepeatedMembers(traits.repeatedMembers);
        return findings.take();
    } catch (const Json::exception &) {
        return {};
    }
}

std::string_view harmName(ChangeHarm harm) noexcept
{
    constexpr std::array<std::string_view, 5> names = {"removed", "narrowed", "replaced", "widened", "added"};
    return names.at(static_cast<std::size_t>(harm));
}

std::string_view severityName(FindingSeverity severity) noexcept
{
    constexpr std::array<std::string_view, 3> names = {"error", "warning", "note"};
    return names.at(static_cast<std::size_t>(severity));
}

std::string describe(const CheckFinding &finding)
{
    std::string text = std::string(severityName(finding.severity)) + " " + finding.file + ":";
    for (const std::string &part : {finding.entry, finding.field}) {
        text += part.empty() ? "" : " " + part;
    }
    const bool isWholeFile = finding.entry.empty() && finding.field.empty();
    text += (isWholeFile ? " " : ": ") + finding.message;
    // Names in a file may contain line breaks and escape sequences, which would forge lines or garble the terminal.
    std::replace_if(
        text.begin(), text.end(), [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; }, '?');
    return text;
}

} // namespace parsleyvane
