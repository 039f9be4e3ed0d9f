// The platform's store, as the users' pages describe it: rows, transactions and the feed of changes.
// --listen=IP:PORT --record=FILE
// Operator and servers write the tables `op` and `servers` with the header `Writer: operator` or `Writer: server`.

#include "http.hh"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace {

using Json = nlohmann::json;

struct Row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value; ///< Base64
    std::uint64_t version = 0;
    bool isRemoved = false;
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::tuple<std::string, std::string, std::string>, Row> rows;
std::uint64_t newest = 1;

Json json(const Row &row)
{
    Json out{{"table", row.table}, {"part", row.part}, {"key", row.key}, {"ver", row.version}};
    if (row.isRemoved) {
        out["removed"] = true;
    } else {
        out["value"] = row.value;
    }
    return out;
}

std::string text(const Json &entry, const char *name)
{
    return entry.value(name, std::string());
}

/// @pre the mutex is held
std::pair<int, Json> transact(const Json &call)
{
    Json conflicts = Json::array();
    bool isConflict = false;
    for (const Json &check : call.value("expected_revision", Json::array())) {
        const auto found = rows.find({text(check, "table"), text(check, "part"), text(check, "key")});
        const bool exists = found != rows.end() && !found->second.isRemoved;
        isConflict = isConflict || (exists ? found->second.version : 0) != check.value("ver", std::uint64_t{0});
        if (exists) {
            conflicts.push_back(json(found->second));
        }
    }
    Json out{{"ver", newest}, {"now_ms", rig::nowMs()}};
    if (isConflict) {
        out["rows"] = conflicts;
        return {412, out};
    }
    ++newest;
    for (const Json &write : call.value("writes", Json::array())) {
        rows[{text(write, "table"), text(write, "part"), text(write, "key")}]
            = {text(write, "table"), text(write, "part"), text(write, "key"), text(write, "value"), newest, false};
    }
    for (const Json &removal : call.value("remove", Json::array())) {
        const auto found = rows.find({text(removal, "table"), text(removal, "part"), text(removal, "key")});
        if (found != rows.end() && !found->second.isRemoved) {
            found->second.isRemoved = true;
            found->second.version = newest;
        }
    }
    changed.notify_all();
    out["ver"] = newest;
    return {200, out};
}

std::pair<int, Json> read(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(mutex);
    const auto value = [&](const char *name) {
        const auto found = query.find(name);
        return found != query.end() ? found->second : std::string();
    };
    Json found = Json::array();
    for (const auto &[key, row] : rows) {
        const bool isWanted = row.table == value("table") && row.part == value("part") && !row.isRemoved
            && row.key >= value("from") && (value("to").empty() || row.key < value("to"));
        if (isWanted) {
            found.push_back(json(row));
        }
    }
    return {200, {{"rows", found}, {"has_more", false}, {"ver", newest}, {"now_ms", rig::nowMs()}}};
}

std::pair<int, Json> feed(const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const auto after = std::strtoull(query.at("after").c_str(), nullptr, 10);
    const std::int64_t until = rig::nowMs() + std::atoll(query.at("wait_ms").c_str());
    std::unique_lock lock(mutex);
    while (true) {
        std::map<std::uint64_t, Json> found;
        for (const auto &[key, row] : rows) {
            if (row.table == table && row.version > after) {
                found[row.version * 1000 + found.size()] = json(row);
            }
        }
        const std::int64_t left = until - rig::nowMs();
        if (!found.empty() || left <= 0) {
            Json list = Json::array();
            for (auto &[version, row] : found) {
                list.push_back(std::move(row));
            }
            return {200, {{"rows", list}, {"ver", newest}, {"now_ms", rig::nowMs()}}};
        }
        changed.wait_for(lock, std::chrono::milliseconds(left));
    }
}

} // namespace

int main(int argc, char **argv)
{
    const rig::Flags flags(argc, argv);
    rig::Record record(flags.text("record"));
    rig::serve(flags.text("listen"), [&](int socket) {
        rig::Reader reader(socket);
        while (const auto call = reader.read()) {
            const auto space = call->startLine.find(' ');
            const std::string target = call->startLine.substr(space + 1, call->startLine.rfind(' ') - space - 1);
            const std::string path = target.substr(0, target.find('?'));
            const auto query = rig::queryOf(target);
            constexpr std::int64_t answerMs = 4;
            rig::sleepMs(answerMs);
            std::pair<int, Json> answer{404, Json::object()};
            if (path == "/rows-get") {
                answer = read(query);
            } else if (path == "/rows-feed") {
                answer = feed(query);
            } else if (path == "/rows-tx") {
                const Json body = Json::parse(call->body, nullptr, false);
                const auto writer = call->headers.find("writer");
                const std::lock_guard lock(mutex);
                bool isForbidden = false;
                std::string keys;
                for (const char *list : {"writes", "remove"}) {
                    for (const Json &entry : body.value(list, Json::array())) {
                        const std::string table = text(entry, "table");
                        isForbidden
                            = isForbidden || ((table == "op" || table == "servers") && writer == call->headers.end());
                        keys += " " + table + "/" + text(entry, "key");
                    }
                }
                answer = isForbidden ? std::pair<int, Json>{403, Json::object()} : transact(body);
                if (writer == call->headers.end() || writer->second == "operator") {
                    record.line("store " + std::to_string(answer.first) + keys);
                }
            }
            const std::string body = answer.second.dump();
            const std::string head = "HTTP/1.1 " + std::to_string(answer.first)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            if (!rig::sendAll(socket, head + body)) {
                return;
            }
        }
    });
}
