#include "parsleyvane/relay/relaymessage.h"

#include "parsleyvane/core/textcodec.h"

#include <array>
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
    return Json{{"since", table.since},       {"version", table.version}, {"full", table.isFull},
                {"leftOut", table.isLeftOut}, {"rows", std::move(rows)},  {"removed", table.removed}};
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
    return table;
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
    return dump(Json{{"from", poll.from.str()},
                     {"era", poll.era},
                     {"confirmed", poll.confirmed.count()},
                     {"versions", std::move(versions)},
                     {"report", poll.report}});
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
    return dump(Json{{"era", offer.era},
                     {"confirmed", offer.confirmed.count()},
                     {"leaving", offer.isLeaving},
                     {"wantsEvidence", offer.wantsEvidence},
                     {"members", offer.members},
                     {"tables", std::move(tables)}});
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
