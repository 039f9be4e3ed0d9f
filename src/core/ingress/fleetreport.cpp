#include "parsleyvane/ingress/fleetreport.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

Json countJson(const VersionCount &count)
{
    return Json{{"service", count.service.str()},
                {"version", count.version.str()},
                {"served", count.served},
                {"bad", count.bad},
                {"paceAnswers", count.pace.answers},
                {"paceLogOdds", count.pace.logOdds}};
}

VersionCount readCount(const Json &json)
{
    return {.service = ServiceName(json.at("service").get<std::string>()),
            .version = VersionName(json.at("version").get<std::string>()),
            .served = json.at("served").get<std::uint64_t>(),
            .bad = json.at("bad").get<std::uint64_t>(),
            .pace = {.logOdds = json.at("paceLogOdds").get<double>(),
                     .answers = json.at("paceAnswers").get<std::uint64_t>()}};
}

FleetReport readReport(const Json &json)
{
    FleetReport report;
    for (const Json &crash : json.at("crashes")) {
        report.crashes.push_back(
            {Fingerprint(crash.at("print").get<std::string>()), crash.at("sites").get<std::set<std::string>>()});
    }
    for (const Json &version : json.at("versions")) {
        report.versions.emplace_back(readCount(version.at(0)), readCount(version.at(1)));
    }
    return report;
}

} // namespace

std::string serialise(const FleetReport &report)
{
    Json json{{"crashes", Json::array()}, {"versions", Json::array()}};
    for (const CrashReport &crash : report.crashes) {
        json["crashes"].push_back(Json{{"print", crash.print.str()}, {"sites", crash.sites}});
    }
    for (const auto &[candidate, predecessor] : report.versions) {
        json["versions"].push_back(Json::array({countJson(candidate), countJson(predecessor)}));
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<FleetReport> parseFleetReport(const std::string &text, LastReason &reason)
{
    try {
        return readReport(Json::parse(text));
    } catch (const Json::exception &error) {
        return reason.fail({.id = ErrorId::BadPeerData, .step = Step::Exchange, .detail = error.what()});
    }
}

} // namespace parsleyvane
