#include "parsleyvane/relay/relaymessage.h"

#include "parsleyvane/core/textcodec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

constexpr std::array<std::pair<StoreTable, std::string_view>, 4> tableNames = {{{StoreTable::Orders, "orders"},
                                                                                {StoreTable::Upstreams, "upstreams"},
                                                                                {StoreTable::Status, "status"},
                                                                                {StoreTable::Fleet, "fleet"}}};

Json rowJson(const TableRow &row)
{
    // A value may hold any bytes.
    return Json::array({row.key, row.version, base64Encode(row.value)});
}

TableRow readRow(const Json &json)
{
    auto value = base64Decode(json.at(2).get_ref<const std::string &>());
    if (!value) {
        throw Json::other_error::create(0, "a row's value is not Base64", nullptr);
    }
    return {json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>(), std::move(*value)};
}

Json tableJson(const RelayedTable &table)
{
    Json rows = Json::array();
    for (const TableRow &row : table.rows) {
        rows.push_back(rowJson(row));
    }
    Json json{{"since", table.since},       {"version", table.version}, {"full", table.isFull},
              {"leftOut", table.isLeftOut}, {"rows", std::move(rows)},  {"removed", table.removed}};
    if (table.confirmed) {
        json["confirmed"] = table.confirmed->count();
    }
    return json;
}

RelayedTable readTable(const Json &json)
{
    RelayedTable table{.since = json.at("since").get<std::uint64_t>(),
                       .version = json.at("version").get<std::uint64_t>(),
                       .isFull = json.at("full").get<bool>(),
                       .isLeftOut = json.at("leftOut").get<bool>(),
                       .rows = {},
                       .removed = json.at("removed").get<std::vector<std::string>>()};
    for (const Json &row : json.at("rows")) {
        table.rows.push_back(readRow(row));
    }
    // Offers of earlier versions have no confirmation of each table.
    if (json.contains("confirmed")) {
        table.confirmed = Milliseconds(json.at("confirmed").get<std::int64_t>());
    }
    return table;
}

/// Sums are sent in thousandths, as whole numbers are shorter.
constexpr double loadUnit = 1000;

Json loadsJson(const LoadTable &loads)
{
    Json json = Json::object();
    for (const auto &[service, processLoads] : loads) {
        Json &ofService = json[service.str()] = Json::object();
        for (const auto &[process, load] : processLoads) {
            const AttemptSums &sums = load.sums;
            Json &numbers = ofService[process] = Json::array();
            for (const double value : {sums.attempts, sums.failures, sums.refusals, sums.timed, sums.relativeTimes}) {
                numbers.push_back(std::llround(value * loadUnit));
            }
            numbers.push_back(load.age.count());
        }
    }
    return json;
}

std::optional<ProcessLoad> readLoad(const Json &json)
{
    constexpr std::size_t numbers = 6;
    // More is not sent, and does not fit into the number of milliseconds.
    constexpr double maxAge = 600000;
    if (!json.is_array() || json.size() != numbers
        || !std::all_of(json.begin(), json.end(), [](const Json &value) { return value.is_number(); })) {
        return std::nullopt;
    }
    const auto sum = [&](std::size_t index) {
        return json.at(index).get<double>() / loadUnit;
    };
    const auto age = json.at(numbers - 1).get<double>();
    if (!(age >= 0 && age <= maxAge)) {
        return std::nullopt;
    }
    const ProcessLoad load{
        .sums = {.attempts = sum(0), .failures = sum(1), .refusals = sum(2), .timed = sum(3), .relativeTimes = sum(4)},
        .age = Milliseconds(static_cast<std::int64_t>(age))};
    return isPlausible(load) ? std::optional(load) : std::nullopt;
}

/// Leaves out what is unreadable: the load is no reason to refuse the rest of a message.
LoadTable readLoads(const Json &json, std::size_t &invalid)
{
    LoadTable loads;
    if (!json.is_object()) {
        ++invalid;
        return loads;
    }
    for (const auto &[service, processLoads] : json.items()) {
        if (!processLoads.is_object()) {
            ++invalid;
            continue;
        }
        for (const auto &[process, numbers] : processLoads.items()) {
            if (const auto load = readLoad(numbers)) {
                loads[ServiceName(service)][process] = *load;
            } else {
                ++invalid;
            }
        }
    }
    return loads;
}

std::optional<LoadReport> readReport(const Json &json, std::size_t &invalid)
{
    const bool isReadable = json.is_object() && json.contains("number") && json.at("number").is_number_unsigned()
        && json.contains("loads");
    if (!isReadable) {
        ++invalid;
        return std::nullopt;
    }
    return LoadReport{.number = json.at("number").get<std::uint64_t>(), .loads = readLoads(json.at("loads"), invalid)};
}

RelayPoll readPoll(const Json &json)
{
    RelayPoll poll{.from = InstanceId(json.at("from").get<std::string>()),
                   .era = json.at("era").get<std::uint64_t>(),
                   .confirmed = Milliseconds(json.at("confirmed").get<std::int64_t>()),
                   .versions = {},
                   .report = json.at("report").get<std::string>()};
    for (const auto &[table, name] : tableNames) {
        poll.versions[table] = json.at("versions").at(std::string(name)).get<std::uint64_t>();
    }
    // Instances that do not share the load, and earlier versions, send none.
    if (json.contains("load")) {
        poll.load = readReport(json.at("load"), poll.invalidLoads);
    }
    return poll;
}

RelayOffer readOffer(const Json &json)
{
    RelayOffer offer{.era = json.at("era").get<std::uint64_t>(),
                     .confirmed = Milliseconds(json.at("confirmed").get<std::int64_t>()),
                     .isLeaving = json.at("leaving").get<bool>(),
                     .wantsEvidence = json.at("wantsEvidence").get<bool>(),
                     .members = json.at("members").get<std::size_t>(),
                     .tables = {}};
    for (const auto &[table, name] : tableNames) {
        const auto found = json.at("tables").find(std::string(name));
        if (found != json.at("tables").end()) {
            offer.tables[table] = readTable(*found);
        }
    }
    if (json.contains("load")) {
        offer.load = readLoads(json.at("load"), offer.invalidLoads);
    }
    return offer;
}

template<typename Message, typename Read>
std::optional<Message> parse(const std::string &text, Read read, LastReason &reason)
{
    try {
        return read(Json::parse(text));
    } catch (const Json::exception &error) {
        return reason.fail({.id = ErrorId::BadPeerData, .step = Step::Exchange, .detail = error.what()});
    }
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string serialise(const RelayPoll &poll)
{
    Json versions = Json::object();
    for (const auto &[table, name] : tableNames) {
        const auto found = poll.versions.find(table);
        versions[std::string(name)] = found != poll.versions.end() ? found->second : 0;
    }
    Json json{{"from", poll.from.str()},
              {"era", poll.era},
              {"confirmed", poll.confirmed.count()},
              {"versions", std::move(versions)},
              {"report", poll.report}};
    if (poll.load) {
        json["load"] = Json{{"number", poll.load->number}, {"loads", loadsJson(poll.load->loads)}};
    }
    return dump(json);
}

std::string serialise(const RelayOffer &offer)
{
    Json tables = Json::object();
    for (const auto &[table, name] : tableNames) {
        const auto found = offer.tables.find(table);
        if (found != offer.tables.end()) {
            tables[std::string(name)] = tableJson(found->second);
        }
    }
    Json json{{"era", offer.era},           {"confirmed", offer.confirmed.count()},
              {"leaving", offer.isLeaving}, {"wantsEvidence", offer.wantsEvidence},
              {"members", offer.members},   {"tables", std::move(tables)}};
    if (offer.load) {
        json["load"] = loadsJson(*offer.load);
    }
    return dump(json);
}

std::optional<RelayPoll> parseRelayPoll(const std::string &text, LastReason &reason)
{
    return parse<RelayPoll>(text, readPoll, reason);
}

std::optional<RelayOffer> parseRelayOffer(const std::string &text, LastReason &reason)
{
    return parse<RelayOffer>(text, readOffer, reason);
}

} // namespace parsleyvane
