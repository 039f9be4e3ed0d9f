#include "parsleyvane/net/platformclient.h"

#include "parsleyvane/net/httpstatus.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

const std::string platformName = "platform";

Failure unavailable(std::string detail)
{
    constexpr Milliseconds retryAfter{1000};
    return {.id = ErrorId::StoreUnavailable,
            .step = Step::Claim,
            .peer = platformName,
            .detail = std::move(detail),
            .retryAfter = retryAfter};
}

std::string percentEncode(const std::string &text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~/";
    constexpr unsigned nibble = 4;
    constexpr unsigned lowNibble = 0xF;
    std::string out;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            out.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte >> nibble]);
        out.push_back(digits[byte & lowNibble]);
    }
    return out;
}

std::optional<TableRow> parseRow(const Json &json)
{
    if (!json.is_object() || !json.contains("key")) {
        return std::nullopt;
    }
    const Json version = json.value("version", Json(0));
    if (!json.at("key").is_string() || !version.is_number_unsigned()) {
        return std::nullopt;
    }
    TableRow row{json.at("key").get<std::string>(), version.get<std::uint64_t>(), {}};
    if (json.contains("value")) {
        row.value = json.at("value").dump();
    }
    return row;
}

std::string writeTransaction(const Transaction &transaction)
{
    Json json{{"checks", Json::array()}, {"puts", Json::array()}};
    for (const Transaction::Check &check : transaction.checks) {
        json["checks"].push_back(Json{{"key", check.key}, {"version", check.version}});
    }
    for (const Transaction::Put &put : transaction.puts) {
        json["puts"].push_back(Json{{"key", put.key}, {"value", Json::parse(put.value)}});
    }
    return json.dump();
}

std::optional<TransactionConflict> parseConflict(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("rows")) {
        return std::nullopt;
    }
    TransactionConflict conflict;
    for (const Json &entry : json.at("rows")) {
        if (auto row = parseRow(entry)) {
            conflict.rows.push_back(std::move(*row));
        }
    }
    return conflict;
}

} // namespace

PlatformClient::PlatformClient(asio::ip::tcp::endpoint endpoint, CallLimits limits)
    : endpoint(std::move(endpoint))
    , limits(limits)
{
}

asio::awaitable<std::optional<TableRow>> PlatformClient::readRow(std::string key, LastReason &reason) const
{
    CallProgress progress;
    LastReason cause;
    auto request = makeRequest(http::verb::get, "/table/row?key=" + percentEncode(key));
    const auto response
        = co_await httpCall(platformName, this->endpoint, std::move(request), this->limits, progress, cause);
    if (!response) {
        co_return reason.fail(unavailable(cause.failure().detail));
    }
    const auto status = static_cast<int>(response->result_int());
    if (status != statusOk && status != statusNotFound) {
        co_return reason.fail(unavailable("status " + std::to_string(status)));
    }
    const Json json = Json::parse(response->body(), nullptr, false);
    auto row = parseRow(json);
    if (!row) {
        co_return reason.fail(unavailable("malformed row"));
    }
    co_return row;
}

asio::awaitable<TransactionOutcome> PlatformClient::transact(Transaction transaction) const
{
    CallProgress progress;
    LastReason cause;
    auto request = makeRequest(http::verb::post, "/table/transact", writeTransaction(transaction));
    const auto response
        = co_await httpCall(platformName, this->endpoint, std::move(request), this->limits, progress, cause);
    if (!response) {
        Failure failure = unavailable(cause.failure().detail);
        if (progress.step == Step::Connect) {
            co_return TransactionNotSent{std::move(failure)};
        }
        co_return TransactionIndeterminate{std::move(failure)};
    }
    const auto status = static_cast<int>(response->result_int());
    if (status == statusOk) {
        co_return TransactionCommitted{};
    }
    if (status == statusConflict) {
        if (auto conflict = parseConflict(response->body())) {
            co_return std::move(*conflict);
        }
    }
    co_return TransactionIndeterminate{unavailable("status " + std::to_string(status))};
}

asio::awaitable<std::optional<Rating>> PlatformClient::rate(AccountId account, TaskName task, std::string question,
                                                            std::string answer, LastReason &reason) const
{
    CallProgress progress;
    LastReason cause;
    const Json body{{"account", account.str()}, {"task", task.str()}, {"question", question}, {"answer", answer}};
    auto request = makeRequest(http::verb::post, "/ratings", body.dump(-1, ' ', false, Json::error_handler_t::replace));
    const auto response
        = co_await httpCall(platformName, this->endpoint, std::move(request), this->limits, progress, cause);
    if (!response) {
        co_return reason.fail(unavailable("no rating: " + cause.failure().detail));
    }
    if (response->result_int() != statusOk) {
        co_return reason.fail(unavailable("no rating: status " + std::to_string(response->result_int())));
    }
    const Json json = Json::parse(response->body(), nullptr, false);
    if (!json.is_object() || !json.contains("passed") || !json.at("passed").is_boolean()) {
        co_return reason.fail(unavailable("malformed rating"));
    }
    const Json score = json.value("score", Json(0.0));
    co_return Rating{json.at("passed").get<bool>(), score.is_number() ? score.get<double>() : 0.0};
}

} // namespace parsleyvane
