#include "parsleyvane/core/textcodec.h"
#include "parsleyvane/ledger/runonce.h"

#include <array>
#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

struct StateName
{
    ClaimState state;
    std::string_view name;
};

constexpr std::array stateNames = {
    StateName{ClaimState::Held, "held"},
    StateName{ClaimState::Done, "done"},
    StateName{ClaimState::Released, "released"},
};

std::string_view nameOf(ClaimState state)
{
    return stateNames.at(static_cast<std::size_t>(state)).name;
}

ClaimState parseState(const std::string &name)
{
    for (const StateName &row : stateNames) {
        if (row.name == name) {
            return row.state;
        }
    }
    throw std::invalid_argument("unknown claim state");
}

/// Stores the result as a JSON string, or in hexadecimal when its bytes are not valid UTF-8.
std::string dumpWithResult(Json json, const std::string &result)
{
    try {
        json["result"] = result;
        return json.dump();
    } catch (const Json::exception &) {
        json.erase("result");
        json["resultHex"] = hexEncode(result);
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
}

std::string readResult(const Json &json)
{
    if (!json.contains("resultHex")) {
        return json.at("result").get<std::string>();
    }
    auto result = hexDecode(json.at("resultHex").get<std::string>());
    if (!result) {
        throw std::invalid_argument("resultHex is not hexadecimal");
    }
    return *result;
}

} // namespace

std::string claimKey(const AccountId &account, const IdempotencyKey &key)
{
    return "runonce/" + percentEncode(account.str()) + "/" + percentEncode(key.str());
}

std::string serialise(const ClaimRow &row)
{
    return dumpWithResult(Json{{"attempt", row.attempt.str()},
                               {"request", row.request.str()},
                               {"bodyHash", row.bodyHash},
                               {"state", nameOf(row.state)},
                               {"status", row.status}},
                          row.result);
}

std::optional<ClaimRow> parseClaimRow(const std::string &text, std::uint64_t version, LastReason &reason)
{
    try {
        const Json json = Json::parse(text);
        ClaimRow row;
        row.attempt = AttemptId(json.at("attempt").get<std::string>());
        row.request = RequestId(json.at("request").get<std::string>());
        row.bodyHash = json.at("bodyHash").get<std::string>();
        row.state = parseState(json.at("state").get<std::string>());
        row.status = json.at("status").get<int>();
        row.result = readResult(json);
        row.version = version;
        return row;
    } catch (const std::exception &problem) {
        return reason.fail({.id = ErrorId::BadUpstreamData, .step = Step::Claim, .detail = problem.what()});
    }
}

} // namespace parsleyvane
