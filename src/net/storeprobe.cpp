#include "storeprobe.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

constexpr const char *headKey = "config/head";
constexpr std::size_t maxAnswerBytes = 4U << 20U;
constexpr CallLimits probeLimits{
    .connect = Milliseconds(1000), .progress = Milliseconds(2500), .bodyBytes = maxAnswerBytes};

HttpRequest makeProbe(StoreProbe probe, std::uint64_t rowVersion)
{
    if (probe == StoreProbe::Read) {
        return makeRequest(http::verb::get, std::string("/table/row?key=") + headKey);
    }
    const Json check{{"key", headKey}, {"version", rowVersion}};
    const Json body{{"checks", Json::array({check})}, {"puts", Json::array()}, {"deletes", Json::array()}};
    return makeRequest(http::verb::post, "/table/transact", body.dump());
}

/// @brief Text of a row's value, which is either a JSON document or a string that contains one.
std::string valueText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

ProbeResult readRow(const Json &row, std::uint64_t rowVersion)
{
    ProbeResult result;
    result.rowVersion = row.at("version").get<std::uint64_t>();
    result.absent = result.rowVersion == 0;
    result.unchanged = !result.absent && result.rowVersion == rowVersion;
    if (!result.absent && !result.unchanged) {
        result.json = valueText(row.at("value"));
    }
    return result;
}

ProbeResult readAnswer(StoreProbe probe, const HttpResponse &response, std::uint64_t rowVersion)
{
    if (probe == StoreProbe::CheckedTransaction && response.result() == http::status::ok) {
        return {.unchanged = rowVersion != 0, .absent = rowVersion == 0, .rowVersion = rowVersion};
    }
    const Json body = Json::parse(response.body());
    return readRow(probe == StoreProbe::Read ? body : body.at("rows").at(0), rowVersion);
}

bool isExpectedStatus(StoreProbe probe, http::status status)
{
    const auto alternative = probe == StoreProbe::Read ? http::status::not_found : http::status::conflict;
    return status == http::status::ok || status == alternative;
}

Failure invalidAnswer(std::string detail)
{
    return {.id = ErrorId::BadUpstreamData, .step = Step::Configure, .peer = "platform", .detail = std::move(detail)};
}

ListedMember readMember(const Json &row)
{
    return {.id = row.at("id").get<std::string>(),
            .role = row.at("role").get<std::string>(),
            .address = row.at("address").get<std::string>(),
            .zone = ZoneId(row.at("zone").get<std::string>()),
            .leaving = row.value("leaving", false)};
}

} // namespace

asio::awaitable<std::optional<ProbeResult>> probeStore(asio::ip::tcp::endpoint platform, StoreProbe probe,
                                                       std::uint64_t rowVersion, LastReason &reason)
{
    CallProgress progress;
    HttpRequest request = makeProbe(probe, rowVersion);
    const auto response
        = co_await httpCall("platform", std::move(platform), std::move(request), probeLimits, progress, reason);
    if (!response) {
        co_return std::nullopt;
    }
    if (!isExpectedStatus(probe, response->result())) {
        const bool isClientError = http::to_status_class(response->result()) == http::status_class::client_error;
        Failure failure = invalidAnswer("status " + std::to_string(response->result_int()));
        failure.id = isClientError ? ErrorId::BadUpstreamData : ErrorId::StoreUnavailable;
        co_return reason.fail(std::move(failure));
    }
    try {
        ProbeResult result = readAnswer(probe, *response, rowVersion);
        result.bytes = response->body().size();
        co_return result;
    } catch (const std::exception &error) {
        Failure failure = invalidAnswer(error.what());
        failure.id = ErrorId::StoreUnavailable;
        co_return reason.fail(std::move(failure));
    }
}

asio::awaitable<std::optional<InstanceList>> readInstanceList(asio::ip::tcp::endpoint platform, LastReason &reason)
{
    CallProgress progress;
    HttpRequest request = makeRequest(http::verb::get, "/instances");
    const auto response
        = co_await httpCall("platform", std::move(platform), std::move(request), probeLimits, progress, reason);
    if (!response) {
        co_return std::nullopt;
    }
    if (response->result() != http::status::ok) {
        co_return reason.fail(invalidAnswer("status " + std::to_string(response->result_int())));
    }
    try {
        InstanceList list;
        list.bytes = response->body().size();
        const Json body = Json::parse(response->body());
        for (const Json &row : body.at("members")) {
            list.members.push_back(readMember(row));
        }
        co_return list;
    } catch (const std::exception &error) {
        co_return reason.fail(invalidAnswer(error.what()));
    }
}

std::optional<LoadedConfiguration> loadConfiguration(ConfigurationDocument document, LastReason &reason)
{
    auto configuration = parseConfiguration(document.json, reason);
    if (!configuration) {
        return std::nullopt;
    }
    return LoadedConfiguration{std::make_shared<const Configuration>(std::move(*configuration)), std::move(document)};
}

} // namespace parsleyvane
