#include "parsleyvane/config/settings.h"

#include "parsleyvane/config/textvalues.h"

#include <algorithm>
#include <array>

namespace parsleyvane {

namespace {

constexpr std::size_t leastBytes = 1024;
constexpr std::size_t mostHeadBytes = 1U << 20U;
constexpr std::size_t mostBodyBytes = 256U << 20U;
constexpr unsigned mostConnections = 1000000;
constexpr Milliseconds mostWait{600000};

using Store = bool (*)(InstanceSettings &, const std::string &);

/// One known setting: how it is stored, and what is allowed in words.
struct Rule
{
    std::string_view section;
    std::string_view key;
    bool required;
    std::string_view allowed;
    /// Returns false when the value is not allowed.
    Store store;
};

template<typename Id>
bool storeId(Id &target, const std::string &value)
{
    target = Id(value);
    return isIdentifier(value);
}

bool storeAddress(std::string &target, const std::string &value)
{
    target = value;
    return isAddressWithPort(value);
}

template<typename Number>
bool storeNumber(Number &target, const std::string &value, Number least, Number most)
{
    const auto number = readNumber<Number>(value, least, most);
    target = number.value_or(target);
    return number.has_value();
}

bool storeWait(Milliseconds &target, const std::string &value, Milliseconds least)
{
    auto count = target.count();
    const bool good = storeNumber<decltype(count)>(count, value, least.count(), mostWait.count());
    target = Milliseconds(count);
    return good;
}

bool storeSeeds(std::vector<std::string> &target, const std::string &value)
{
    target = splitList(value);
    return std::all_of(target.begin(), target.end(), isAddressWithPort);
}

/// Seconds, with fractions, as the deployment gives them.
bool storeSeconds(Milliseconds &target, const std::string &value)
{
    constexpr double msPerSecond = 1000;
    const auto seconds = readNumber<double>(value, 0.0, static_cast<double>(mostWait.count()) / msPerSecond);
    target = Milliseconds(static_cast<std::int64_t>(seconds.value_or(0) * msPerSecond));
    return seconds.has_value();
}

bool storeFront(FrontKind &target, const std::string &value)
{
    target = value == "ingress" ? FrontKind::Ingress : FrontKind::Chat;
    return value == "ingress" || value == "chat";
}

constexpr double mostConfidence = 100;
constexpr double mostShare = 1;
constexpr double mostRatio = 10;
constexpr double mostSlack = 1000000;
constexpr std::string_view secondsRule = "seconds from 0 to 600";
constexpr std::string_view identifierRule = "1 to 48 letters, digits, '.', '-' or '_'";
constexpr std::string_view addressRule = "IP:PORT with a port from 1 to 65535";
constexpr std::string_view waitRule = "whole milliseconds from 1 to 600000";
constexpr Milliseconds noWait{0};
constexpr Milliseconds shortestWait{1};

constexpr std::array rules = {
    Rule{"instance", "id", true, identifierRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeId(settings.id, value);
         }},
    Rule{"instance", "zone", true, identifierRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeId(settings.zone, value);
         }},
    Rule{"instance", "front", false, "chat or ingress",
         [](InstanceSettings &settings, const std::string &value) {
             return storeFront(settings.front, value);
         }},
    Rule{"listen", "callers", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeAddress(settings.listen.callers, value);
         }},
    Rule{"listen", "operators", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeAddress(settings.listen.operators, value);
         }},
    Rule{"listen", "peers", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeAddress(settings.listen.peers, value);
         }},
    Rule{"platform", "address", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeAddress(settings.platformAddress, value);
         }},
    Rule{"peers", "seeds", false, "IP:PORT, separated by commas",
         [](InstanceSettings &settings, const std::string &value) {
             return storeSeeds(settings.seeds, value);
         }},
    Rule{"limits", "head-bytes", false, "whole bytes from 1024 to 1048576",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.limits.headBytes, value, leastBytes, mostHeadBytes);
         }},
    Rule{"limits", "body-bytes", false, "whole bytes from 1024 to 268435456",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.limits.bodyBytes, value, leastBytes, mostBodyBytes);
         }},
    Rule{"limits", "connections", false, "a whole number from 1 to 1000000",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.limits.connections, value, 1U, mostConnections);
         }},
    Rule{"limits", "request-timeout-ms", false, waitRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeWait(settings.limits.requestTimeout, value, shortestWait);
         }},
    Rule{"limits", "silence-ms", false, waitRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeWait(settings.limits.progressTimeout, value, shortestWait);
         }},
    Rule{"limits", "drain-linger-ms", false, "whole milliseconds from 0 to 600000",
         [](InstanceSettings &settings, const std::string &value) {
             return storeWait(settings.limits.drainLinger, value, noWait);
         }},
    Rule{"limits", "least-confidence", false, "a number from 0 to 100",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.limits.minConfidence, value, 0.0, mostConfidence);
         }},
    Rule{"limits", "bill-hold-ms", false, "whole milliseconds from 0 to 600000",
         [](InstanceSettings &settings, const std::string &value) {
             return storeWait(settings.limits.billHold, value, noWait);
         }},
    Rule{"bounds", "change-ms", false, waitRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeWait(settings.bounds.change, value, shortestWait);
         }},
    Rule{"bounds", "leaving-ms", false, waitRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeWait(settings.bounds.leaving, value, shortestWait);
         }},
    Rule{"bounds", "grace-s", false, secondsRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeSeconds(settings.bounds.grace, value);
         }},
    Rule{"bounds", "repeat-ratio", false, "a number from 0 to 10",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.bounds.repeatRatio, value, 0.0, mostRatio);
         }},
    Rule{"bounds", "repeat-window-s", false, secondsRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeSeconds(settings.bounds.repeatWindow, value);
         }},
    Rule{"bounds", "repeat-slack", false, "a number from 0 to 1000000",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.bounds.repeatSlack, value, 0.0, mostSlack);
         }},
    Rule{"bounds", "expose-share", false, "a number from 0 to 1",
         [](InstanceSettings &settings, const std::string &value) {
             return storeNumber(settings.bounds.maxExposedShare, value, 0.0, mostShare);
         }},
    Rule{"bounds", "session-s", false, secondsRule,
         [](InstanceSettings &settings, const std::string &value) {
             return storeSeconds(settings.bounds.sessionIdleTimeout, value);
         }},
};

const Rule *findRule(const std::string &section, const std::string &key)
{
    const auto found = std::find_if(rules.begin(), rules.end(),
                                    [&](const Rule &rule) { return rule.section == section && rule.key == key; });
    return found != rules.end() ? &*found : nullptr;
}

std::string knownKeys(const std::string &section)
{
    std::string keys;
    for (const Rule &rule : rules) {
        if (rule.section == section) {
            keys += (keys.empty() ? "" : ", ") + std::string(rule.key);
        }
    }
    return keys.empty() ? "the sections instance, listen, platform, peers, limits, bounds" : "the keys " + keys;
}

bool sameSetting(const IniEntry &a, const IniEntry &b)
{
    return a.section == b.section && a.key == b.key;
}

/// An entry with the place it was given at, which the problem has to name.
struct SourcedEntry
{
    std::string source;
    IniEntry entry;
};

void applyOverride(std::vector<SourcedEntry> &entries, const IniEntry &given)
{
    const SourcedEntry sourced{"command line", given};
    for (SourcedEntry &existing : entries) {
        if (sameSetting(existing.entry, given)) {
            existing = sourced;
            return;
        }
    }
    entries.push_back(sourced);
}

IniEntry splitOverride(const std::string &name, const std::string &value)
{
    const std::size_t dot = name.find('.');
    if (dot == std::string::npos) {
        return {"", name, value};
    }
    return {name.substr(0, dot), name.substr(dot + 1), value};
}

void storeEntry(InstanceSettings &settings, const SourcedEntry &sourced, std::vector<SettingProblem> &problems)
{
    const IniEntry &entry = sourced.entry;
    const Rule *rule = findRule(entry.section, entry.key);
    if (rule == nullptr) {
        problems.push_back(
            {sourced.source, entry.section, entry.key, "(an unknown setting)", knownKeys(entry.section)});
        return;
    }
    if (!rule->store(settings, entry.value)) {
        problems.push_back(
            {sourced.source, entry.section, entry.key, "'" + entry.value + "'", std::string(rule->allowed)});
    }
}

void reportMissing(const std::vector<SourcedEntry> &entries, const std::string &fileName,
                   std::vector<SettingProblem> &problems)
{
    for (const Rule &rule : rules) {
        const auto given = [&](const SourcedEntry &sourced) {
            return sourced.entry.section == rule.section && sourced.entry.key == rule.key;
        };
        if (rule.required && std::none_of(entries.begin(), entries.end(), given)) {
            problems.push_back({fileName, std::string(rule.section), std::string(rule.key), "(nothing; it is required)",
                                std::string(rule.allowed)});
        }
    }
}

} // namespace

std::optional<InstanceSettings> readSettings(const std::string &iniText, const std::string &fileName,
                                             std::vector<SettingProblem> &problems, const SettingOverrides &overrides)
{
    const std::size_t before = problems.size();
    std::vector<SourcedEntry> entries;
    for (const IniEntry &entry : readIni(iniText, fileName, problems)) {
        entries.push_back({fileName, entry});
    }
    for (const auto &[name, value] : overrides) {
        applyOverride(entries, splitOverride(name, value));
    }
    InstanceSettings settings;
    for (const SourcedEntry &entry : entries) {
        storeEntry(settings, entry, problems);
    }
    reportMissing(entries, fileName, problems);
    return problems.size() == before ? std::optional(settings) : std::nullopt;
}

} // namespace parsleyvane
