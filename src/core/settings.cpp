#include "parsleyvane/config/settings.h"

#include "parsleyvane/config/textvalues.h"

#include <algorithm>
#include <array>

namespace parsleyvane {

namespace {

constexpr std::size_t minBytes = 1024;
constexpr std::size_t maxHeadBytes = 1U << 20U;
constexpr std::size_t maxBodyBytes = 256U << 20U;
constexpr unsigned maxConnections = 1000000;
constexpr Milliseconds maxDuration{600000};

using Parser = bool (*)(InstanceSettings &, const std::string &);

/// One known setting: how its value is parsed, and a description of the allowed values.
struct Rule
{
    std::string_view section;
    std::string_view key;
    bool required;
    std::string_view allowed;
    /// Parses a value into the settings; returns false when it is not allowed.
    Parser parse;
};

template<typename Id>
bool parseId(Id &target, const std::string &value)
{
    target = Id(value);
    return isIdentifier(value);
}

bool parseAddress(std::string &target, const std::string &value)
{
    target = value;
    return isAddressWithPort(value);
}

template<typename Number>
bool parseNumber(Number &target, const std::string &value, Number min, Number max)
{
    const auto number = readNumber<Number>(value, min, max);
    target = number.value_or(target);
    return number.has_value();
}

bool parseDuration(Milliseconds &target, const std::string &value, Milliseconds min)
{
    auto count = target.count();
    const bool valid = parseNumber<decltype(count)>(count, value, min.count(), maxDuration.count());
    target = Milliseconds(count);
    return valid;
}

bool parseSeeds(std::vector<std::string> &target, const std::string &value)
{
    target = splitList(value);
    return std::all_of(target.begin(), target.end(), isAddressWithPort);
}

/// The value is in seconds and may have a fraction.
bool parseSeconds(Milliseconds &target, const std::string &value)
{
    constexpr double msPerSecond = 1000;
    const auto seconds = readNumber<double>(value, 0.0, static_cast<double>(maxDuration.count()) / msPerSecond);
    target = Milliseconds(static_cast<std::int64_t>(seconds.value_or(0) * msPerSecond));
    return seconds.has_value();
}

bool parseYesNo(bool &target, const std::string &value)
{
    target = value == "yes";
    return value == "yes" || value == "no";
}

bool parseFront(FrontKind &target, const std::string &value)
{
    target = value == "ingress" ? FrontKind::Ingress : FrontKind::Chat;
    return value == "ingress" || value == "chat";
}

bool parseReplicaRule(ReplicaRule &target, const std::string &value)
{
    target = value == "by-demand" ? ReplicaRule::ByDemand : ReplicaRule::ByLength;
    return value == "by-demand" || value == "by-length";
}

bool parseFirstModelRule(FirstModelRule &target, const std::string &value)
{
    target = value == "learned" ? FirstModelRule::Learned : FirstModelRule::Smallest;
    return value == "learned" || value == "smallest";
}

constexpr double maxConfidence = 100;
constexpr double maxShare = 1;
constexpr double maxHedgedShare = 0.5;
constexpr double maxProcessorShare = 1024;
constexpr double maxRatio = 10;
constexpr double maxSlack = 1000000;
constexpr std::string_view secondsRule = "seconds from 0 to 600";
constexpr std::string_view identifierRule = "1 to 48 letters, digits, '.', '-' or '_'";
constexpr std::string_view addressRule = "IP:PORT with a port from 1 to 65535";
constexpr std::string_view durationRule = "whole milliseconds from 1 to 600000";
constexpr std::string_view zonesSection = "zones";
constexpr Milliseconds zeroDuration{0};
constexpr Milliseconds minPositiveDuration{1};

constexpr std::array rules = {
    Rule{"instance", "id", true, identifierRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseId(settings.id, value);
         }},
    Rule{"instance", "zone", true, identifierRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseId(settings.zone, value);
         }},
    Rule{"instance", "front", false, "chat or ingress",
         [](InstanceSettings &settings, const std::string &value) {
             return parseFront(settings.front, value);
         }},
    Rule{"instance", "processor-share", false, "cores from 0 to 1024",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.processorShare, value, 0.0, maxProcessorShare);
         }},
    Rule{"instance", "first-start", false, "yes or no",
         [](InstanceSettings &settings, const std::string &value) {
             settings.isFirstStart = value == "yes";
             return value == "yes" || value == "no";
         }},
    Rule{"listen", "callers", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseAddress(settings.listen.callers, value);
         }},
    Rule{"listen", "operators", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseAddress(settings.listen.operators, value);
         }},
    Rule{"listen", "peers", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseAddress(settings.listen.peers, value);
         }},
    Rule{"platform", "address", true, addressRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseAddress(settings.platformAddress, value);
         }},
    Rule{"platform", "contracts", false, "names, separated by commas",
         [](InstanceSettings &settings, const std::string &value) {
             settings.contracts = splitList(value);
             return true;
         }},
    Rule{"peers", "seeds", false, "IP:PORT, separated by commas",
         [](InstanceSettings &settings, const std::string &value) {
             return parseSeeds(settings.seeds, value);
         }},
    Rule{"limits", "head-bytes", false, "whole bytes from 1024 to 1048576",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.limits.headBytes, value, minBytes, maxHeadBytes);
         }},
    Rule{"limits", "body-bytes", false, "whole bytes from 1024 to 268435456",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.limits.bodyBytes, value, minBytes, maxBodyBytes);
         }},
    Rule{"limits", "connections", false, "a whole number from 1 to 1000000",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.limits.connections, value, 1U, maxConnections);
         }},
    Rule{"limits", "request-timeout-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.limits.requestTimeout, value, minPositiveDuration);
         }},
    Rule{"limits", "silence-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.limits.progressTimeout, value, minPositiveDuration);
         }},
    Rule{"limits", "drain-linger-ms", false, "whole milliseconds from 0 to 600000",
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.limits.drainLinger, value, zeroDuration);
         }},
    Rule{"limits", "least-confidence", false, "a number from 0 to 100",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.limits.minConfidence, value, 0.0, maxConfidence);
         }},
    Rule{"limits", "bill-hold-ms", false, "whole milliseconds from 0 to 600000",
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.limits.billHold, value, zeroDuration);
         }},
    Rule{"bounds", "change-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.bounds.change, value, minPositiveDuration);
         }},
    Rule{"bounds", "leaving-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.bounds.leaving, value, minPositiveDuration);
         }},
    Rule{"bounds", "evidence-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.bounds.evidence, value, minPositiveDuration);
         }},
    Rule{"bounds", "stable-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.bounds.stable, value, minPositiveDuration);
         }},
    Rule{"bounds", "grace-s", false, secondsRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseSeconds(settings.bounds.grace, value);
         }},
    Rule{"bounds", "repeat-ratio", false, "a number from 0 to 10",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.bounds.repeatRatio, value, 0.0, maxRatio);
         }},
    Rule{"bounds", "repeat-window-s", false, secondsRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseSeconds(settings.bounds.repeatWindow, value);
         }},
    Rule{"bounds", "repeat-slack", false, "a number from 0 to 1000000",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.bounds.repeatSlack, value, 0.0, maxSlack);
         }},
    Rule{"bounds", "expose-share", false, "a number from 0 to 1",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.bounds.maxExposedShare, value, 0.0, maxShare);
         }},
    Rule{"bounds", "cold-factor", false, "a number from 0 to 10",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.bounds.coldFactor, value, 0.0, maxRatio);
         }},
    Rule{"bounds", "cold-slack", false, "a number from 0 to 1000000",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.bounds.coldSlack, value, 0.0, maxSlack);
         }},
    Rule{"bounds", "evacuation-ms", false, durationRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseDuration(settings.bounds.evacuation, value, minPositiveDuration);
         }},
    Rule{"bounds", "session-s", false, secondsRule,
         [](InstanceSettings &settings, const std::string &value) {
             return parseSeconds(settings.bounds.sessionIdleTimeout, value);
         }},
    Rule{"load", "shared", false, "yes or no",
         [](InstanceSettings &settings, const std::string &value) {
             return parseYesNo(settings.load.shared, value);
         }},
    Rule{"load", "admission", false, "yes or no",
         [](InstanceSettings &settings, const std::string &value) {
             return parseYesNo(settings.load.controlsAdmission, value);
         }},
    Rule{"hedging", "max-share", false, "a number from 0 to 0.5",
         [](InstanceSettings &settings, const std::string &value) {
             return parseNumber(settings.hedging.maxShare, value, 0.0, maxHedgedShare);
         }},
    Rule{"load", "replicas", false, "by-length or by-demand",
         [](InstanceSettings &settings, const std::string &value) {
             return parseReplicaRule(settings.load.replicas, value);
         }},
    Rule{"load", "first-model", false, "smallest or learned",
         [](InstanceSettings &settings, const std::string &value) {
             return parseFirstModelRule(settings.load.firstModel, value);
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
    return keys.empty() ? "the sections instance, listen, platform, peers, limits, bounds, load, hedging, zones"
                        : "the keys " + keys;
}

bool sameSetting(const IniEntry &a, const IniEntry &b)
{
    return a.section == b.section && a.key == b.key;
}

/// An entry with its source, the file or the command line, which problems report.
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

void applyEntry(InstanceSettings &settings, const SourcedEntry &sourced, std::vector<SettingProblem> &problems)
{
    const IniEntry &entry = sourced.entry;
    if (entry.section == zonesSection && isIdentifier(entry.key)) {
        // The keys are the names of the zones.
        settings.zones.emplace_back(entry.key);
        settings.regions.insert_or_assign(ZoneId(entry.key), RegionId(entry.value));
        return;
    }
    const Rule *rule = findRule(entry.section, entry.key);
    if (rule == nullptr) {
        problems.push_back(
            {sourced.source, entry.section, entry.key, "(an unknown setting)", knownKeys(entry.section)});
        return;
    }
    if (!rule->parse(settings, entry.value)) {
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
        applyEntry(settings, entry, problems);
    }
    reportMissing(entries, fileName, problems);
    return problems.size() == before ? std::optional(settings) : std::nullopt;
}

} // namespace parsleyvane
