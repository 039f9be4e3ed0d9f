#include "platformtable.h"

#include "parsleyvane/net/blockingclient.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace parsleyvane::ctl {

namespace {

using Json = nlohmann::json;
using boost::beast::http::verb;

constexpr Milliseconds retryInterval{250};
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;

struct Row
{
    std::uint64_t version = 0;
    /// @brief JSON text; empty when the row does not exist.
    std::string value;
};

/// Outcome of a transaction; when its check failed, with the current row.
struct Transaction
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::optional<Row> currentRow;
};

Row parseRow(const Json &json)
{
    const auto version = json.at("version").get<std::uint64_t>();
    return version == 0 ? Row{} : Row{version, json.at("value").dump()};
}

Failure unexpectedReply(const std::string &address, const std::string &detail)
{
    return {.id = ErrorId::StoreUnavailable, .step = Step::Configure, .peer = address, .detail = detail};
}

std::optional<Row> fetchRow(const std::string &address, const std::string &key, LastReason &reason)
{
    const auto response = blockingCall(address, makeRequest(verb::get, "/table/row?key=" + key), reason);
    if (!response) {
        return std::nullopt;
    }
    if (response->result_int() == statusNotFound) {
        return Row{};
    }
    if (response->result_int() != statusOk) {
        return reason.fail(unexpectedReply(address, "status " + std::to_string(response->result_int())));
    }
    try {
        return parseRow(Json::parse(response->body()));
    } catch (const std::exception &error) {
        return reason.fail(unexpectedReply(address, error.what()));
    }
}

/// Each transaction in this file checks exactly one row, so the reply to a failed check holds one row.
Transaction parseFailedCheck(const std::string &body)
{
    return {CommitOutcome::CheckFailed, parseRow(Json::parse(body).at("rows").at(0))};
}

Transaction transact(const std::string &address, const Json &body, LastReason &reason)
{
    const auto response = blockingCall(address, makeRequest(verb::post, "/table/transact", body.dump()), reason);
    if (!response) {
        const bool isNotSent = reason.failure().id == ErrorId::ConnectFailed;
        return {isNotSent ? CommitOutcome::NotSent : CommitOutcome::Unknown, std::nullopt};
    }
    try {
        if (response->result_int() == statusConflict) {
            return parseFailedCheck(response->body());
        }
        if (response->result_int() == statusOk && Json::parse(response->body()).at("committed").get<bool>()) {
            return {CommitOutcome::Committed, std::nullopt};
        }
        reason.fail(unexpectedReply(address, "status " + std::to_string(response->result_int())));
    } catch (const std::exception &error) {
        reason.fail(unexpectedReply(address, error.what()));
    }
    return {CommitOutcome::Unknown, std::nullopt};
}

Json makeVersionCheck(const std::string &key, std::uint64_t rowVersion)
{
    return Json{{"key", key}, {"version", rowVersion}};
}

/// Reads a row, then confirms with a transaction that only checks its version that the read was not stale.
std::optional<Row> fetchConfirmedRow(const std::string &address, const std::string &key, LastReason &reason)
{
    const auto row = fetchRow(address, key, reason);
    if (!row) {
        return std::nullopt;
    }
    const Json confirmation{{"checks", Json::array({makeVersionCheck(key, row->version)})},
                            {"puts", Json::array()},
                            {"deletes", Json::array()}};
    const Transaction transaction = transact(address, confirmation, reason);
    return transaction.outcome == CommitOutcome::Committed ? row : transaction.currentRow;
}

std::optional<HeadRow> parseHead(const Row &row, LastReason &reason)
{
    if (row.version == 0) {
        return HeadRow{};
    }
    auto configuration = parseConfiguration(row.value, reason);
    if (!configuration) {
        return std::nullopt;
    }
    return HeadRow{row.version, std::move(*configuration)};
}

} // namespace

PlatformTable::PlatformTable(std::string address)
    : address(std::move(address))
{
}

std::optional<HeadRow> PlatformTable::readHead(LastReason &reason)
{
    const auto row = fetchConfirmedRow(this->address, headKey, reason);
    return row ? parseHead(*row, reason) : std::nullopt;
}

std::optional<AuditEntry> PlatformTable::readAuditEntry(Revision revision, LastReason &reason)
{
    const auto row = fetchConfirmedRow(this->address, auditPrefix + std::to_string(revision.value()), reason);
    if (!row) {
        return std::nullopt;
    }
    return row->version == 0 ? AuditEntry{} : parseAuditEntry(row->value, reason);
}

std::optional<std::vector<AuditEntry>> PlatformTable::readAuditTrail(std::size_t limit, LastReason &reason)
{
    const auto head = this->readHead(reason);
    if (!head) {
        return std::nullopt;
    }
    std::vector<AuditEntry> trail;
    for (std::uint64_t number = head->configuration.revision.value(); number > 0 && trail.size() < limit; --number) {
        auto entry = this->readAuditEntry(Revision(number), reason);
        if (!entry) {
            return std::nullopt;
        }
        if (entry->change.id.empty()) {
            break;
        }
        trail.push_back(std::move(*entry));
    }
    std::reverse(trail.begin(), trail.end());
    return trail;
}

CommitOutcome PlatformTable::commit(std::uint64_t rowVersion, const Configuration &configuration,
                                    const AuditEntry &entry, LastReason &reason)
{
    const std::string auditKey = auditPrefix + std::to_string(entry.revision.value());
    const Json body{{"checks", Json::array({makeVersionCheck(headKey, rowVersion)})},
                    {"puts",
                     Json::array({Json{{"key", headKey}, {"value", Json::parse(serialise(configuration))}},
                                  Json{{"key", auditKey}, {"value", Json::parse(serialise(entry))}}})},
                    {"deletes", Json::array()}};
    return transact(this->address, body, reason).outcome;
}

void PlatformTable::waitBeforeRetry()
{
    std::this_thread::sleep_for(retryInterval);
}

} // namespace parsleyvane::ctl
