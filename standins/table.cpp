#include "table.h"

#include <utility>

namespace parsleyvane::standins {

Json rowJson(const KeyedRow &keyed)
{
    Json json{{"key", keyed.key}, {"version", keyed.row.version}};
    if (keyed.row.version > 0) {
        json["value"] = keyed.row.value;
    }
    return json;
}

Transaction parseTransaction(const Json &body)
{
    const Json none = Json::array();
    Transaction transaction;
    for (const Json &check : body.value("checks", none)) {
        transaction.checks.push_back({check.at("key").get<std::string>(), check.at("version").get<std::uint64_t>()});
    }
    for (const Json &put : body.value("puts", none)) {
        transaction.puts.push_back({put.at("key").get<std::string>(), put.at("value")});
    }
    for (const Json &key : body.value("deletes", none)) {
        transaction.deletes.push_back(key.get<std::string>());
    }
    return transaction;
}

Row Table::read(const std::string &key, ReadState state) const
{
    const auto found = this->cells.find(key);
    if (found == this->cells.end()) {
        return {};
    }
    return state == ReadState::Current ? found->second.current : found->second.previous;
}

std::vector<KeyedRow> Table::scan(const std::string &prefix, ReadState state) const
{
    std::vector<KeyedRow> rows;
    for (auto cell = this->cells.lower_bound(prefix); cell != this->cells.end(); ++cell) {
        if (!cell->first.starts_with(prefix)) {
            break;
        }
        const Row &row = state == ReadState::Current ? cell->second.current : cell->second.previous;
        if (row.version > 0) {
            rows.push_back({cell->first, row});
        }
    }
    return rows;
}

std::vector<KeyedRow> Table::conflicts(const Transaction &transaction) const
{
    std::vector<KeyedRow> rows;
    for (const RowCheck &check : transaction.checks) {
        const Row row = this->read(check.key);
        if (row.version != check.version) {
            rows.push_back({check.key, row});
        }
    }
    return rows;
}

std::map<std::string, std::uint64_t> Table::commit(const Transaction &transaction)
{
    std::map<std::string, std::uint64_t> versions;
    for (const RowPut &put : transaction.puts) {
        Cell &cell = this->cells[put.key];
        cell.previous = cell.current;
        cell.current = {cell.previous.version + 1, put.value};
        versions[put.key] = cell.current.version;
    }
    for (const std::string &key : transaction.deletes) {
        Cell &cell = this->cells[key];
        cell.previous = std::exchange(cell.current, Row{});
        versions[key] = 0;
    }
    return versions;
}

} // namespace parsleyvane::standins
