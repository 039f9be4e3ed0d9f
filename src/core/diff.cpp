#include "parsleyvane/config/diff.h"

#include "parsleyvane/core/digest.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

/// The identifier by which an entry of a list is matched; empty when it has none.
std::string identifierOf(const Json &entry)
{
    if (!entry.is_object()) {
        return {};
    }
    if (entry.contains("version")) {
        return entry.at("model").get<std::string>() + "@" + entry.at("version").get<std::string>();
    }
    for (const char *member : {"id", "name", "model"}) {
        if (entry.contains(member)) {
            return entry.at(member).get<std::string>();
        }
    }
    return {};
}

/// Converts lists of identified entries to objects keyed by identifier, so that entries are compared by identifier.
Json keyedByIdentifier(const Json &json)
{
    if (json.is_object()) {
        Json object = Json::object();
        for (const auto &[member, value] : json.items()) {
            object[member] = keyedByIdentifier(value);
        }
        return object;
    }
    if (!json.is_array() || json.empty() || identifierOf(json.front()).empty()) {
        return json;
    }
    Json object = Json::object();
    for (const Json &entry : json) {
        object["[" + identifierOf(entry) + "]"] = keyedByIdentifier(entry);
    }
    return object;
}

Json comparable(const Configuration &configuration)
{
    Json json = Json::parse(serialise(configuration));
    json.erase("revision");
    json.erase("change");
    for (Json &key : json["sessionKeys"]) {
        key["secret"] = "sha256:" + sha256Hex(key.at("secret").get<std::string>());
    }
    Json keyed = keyedByIdentifier(json);
    for (auto &[member, value] : keyed.items()) {
        // keyedByIdentifier() leaves an empty list as it is, but its counterpart may have become an object.
        if (value.is_array() && value.empty()) {
            value = Json::object();
        }
    }
    return keyed;
}

std::string joinPath(const std::string &place, const std::string &member)
{
    return place.empty() || member.starts_with('[') ? place + member : place + "." + member;
}

void compare(const std::string &place, const Json &before, const Json &after, std::vector<ConfigurationChange> &changes)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        changes.push_back({place, before.dump(), after.dump()});
        return;
    }
    std::set<std::string> members;
    for (const auto &[member, value] : before.items()) {
        members.insert(member);
    }
    for (const auto &[member, value] : after.items()) {
        members.insert(member);
    }
    for (const std::string &member : members) {
        const std::string memberPath = joinPath(place, member);
        if (!before.contains(member)) {
            changes.push_back({memberPath, "", after.at(member).dump()});
        } else if (!after.contains(member)) {
            changes.push_back({memberPath, before.at(member).dump(), ""});
        } else {
            compare(memberPath, before.at(member), after.at(member), changes);
        }
    }
}

} // namespace

std::vector<ConfigurationChange> diff(const Configuration &before, const Configuration &after)
{
    std::vector<ConfigurationChange> changes;
    compare("", comparable(before), comparable(after), changes);
    return changes;
}

std::string describe(const ConfigurationChange &change)
{
    if (change.before.empty()) {
        return change.place + ": added " + change.after;
    }
    if (change.after.empty()) {
        return change.place + ": removed " + change.before;
    }
    return change.place + ": " + change.before + " -> " + change.after;
}

} // namespace parsleyvane
