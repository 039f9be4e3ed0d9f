#include "parsleyvane/billing/billqueue.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

std::string billKey(const RequestId &request)
{
    return "bill/" + request.str();
}

std::string serialise(const Bill &bill)
{
    const Json json{{"request", bill.request.str()},
                    {"account", bill.account.str()},
                    {"task", bill.task.str()},
                    {"model", bill.version.model.str()},
                    {"version", bill.version.version.str()},
                    {"promptTokens", bill.promptTokens.value()},
                    {"outputTokens", bill.outputTokens.value()},
                    {"cost", bill.cost.value()}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Bill> parseBill(const std::string &text, LastReason &reason)
{
    try {
        const Json json = Json::parse(text);
        Bill bill;
        bill.request = RequestId(json.at("request").get<std::string>());
        bill.account = AccountId(json.at("account").get<std::string>());
        bill.task = TaskName(json.at("task").get<std::string>());
        bill.version.model = ModelName(json.at("model").get<std::string>());
        bill.version.version = VersionName(json.at("version").get<std::string>());
        bill.promptTokens = Tokens(json.at("promptTokens").get<std::int64_t>());
        bill.outputTokens = Tokens(json.at("outputTokens").get<std::int64_t>());
        bill.cost = MicroCost(json.at("cost").get<std::int64_t>());
        return bill;
    } catch (const std::exception &problem) {
        return reason.fail({.id = ErrorId::BadUpstreamData, .step = Step::Bill, .detail = problem.what()});
    }
}

} // namespace parsleyvane
