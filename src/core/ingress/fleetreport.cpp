#include "parsleyvane/ingress/fleetreport.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

Json countJson(const AnswerCounts &counts)
{
    return Json::array({counts.served, counts.bad});
}

AnswerCounts readCount(const Json &json)
{
    return {json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()};
}

Json paceJson(const PaceEvidence &pace)
{
    return Json{{"allSlow", pace.allSlow}, {"someSlow", pace.someSlow}, {"answers", pace.answers}};
}

PaceEvidence readPace(const Json &json)
{
    return {.allSlow = json.at("allSlow").get<double>(),
            .someSlow = json.at("someSlow").get<double>(),
            .answers = json.at("answers").get<std::uint64_t>()};
}

Json versionJson(const VersionReport &version)
{
    Json routes = Json::object();
    for (const auto &[route, answers] : version.routes) {
        routes[route.str()] = Json::array({countJson(answers.candidate), countJson(answers.predecessor)});
    }
    Json json{{"service", version.service.str()},
              {"version", version.version.str()},
              {"routes", std::move(routes)},
              {"start", paceJson(version.firstEventEvidence)},
              {"pace", paceJson(version.latencyEvidence)}};
    if (version.order) {
        json["order"] = *version.order;
    }
    return json;
}

VersionReport readVersion(const Json &json)
{
    VersionReport version{.service = ServiceName(json.at("service").get<std::string>()),
                          .version = VersionName(json.at("version").get<std::string>()),
                          .routes = {},
                          .firstEventEvidence = readPace(json.at("start")),
                          .latencyEvidence = readPace(json.at("pace"))};
    if (json.contains("order")) {
        version.order = json.at("order").get<std::uint64_t>();
    }
    for (const auto &[route, answers] : json.at("routes").items()) {
        version.routes[RouteName(route)] = {readCount(answers.at(0)), readCount(answers.at(1))};
    }
    return version;
}

FleetReport readReport(const Json &json)
{
    FleetReport report;
    for (const Json &crash : json.at("crashes")) {
        report.crashes.push_back(
            {Fingerprint(crash.at("print").get<std::string>()), crash.at("sites").get<std::set<std::string>>()});
    }
    for (const Json &version : json.at("versions")) {
        report.versions.push_back(readVersion(version));
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
    for (const VersionReport &version : report.versions) {
        json["versions"].push_back(versionJson(version));
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
