#include "parsleyvane/ingress/fleetreport.h"

#include "parsleyvane/store/transaction.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

const std::string gatheredPrefix = "gathered/";

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

TimePoint readTime(const Json &json)
{
    return TimePoint(Milliseconds(json.get<std::int64_t>()));
}

Json crashJson(const CrashReport &crash)
{
    Json suspects = Json::object();
    for (const auto &[print, depth] : crash.suspects) {
        suspects[print.str()] = depth;
    }
    return Json{{"site", crash.site}, {"at", crash.at.time_since_epoch().count()}, {"suspects", std::move(suspects)}};
}

CrashReport readCrash(const Json &json)
{
    CrashReport crash{.site = json.at("site").get<std::string>(), .at = readTime(json.at("at"))};
    for (const auto &[print, depth] : json.at("suspects").items()) {
        crash.suspects[Fingerprint(print)] = depth.get<unsigned>();
    }
    return crash;
}

Json limitsJson(const LimitReport &limits)
{
    Json notices = Json::array();
    for (const LimitNotice &notice : limits.notices) {
        Json rate = notice.rate ? Json(notice.rate->perSecond) : Json(nullptr);
        notices.push_back(
            Json::array({notice.process, notice.service.str(), std::move(rate), notice.at.time_since_epoch().count()}));
    }
    Json demand = Json::object();
    for (const auto &[service, rate] : limits.demand) {
        demand[service.str()] = rate.perSecond;
    }
    return Json{{"notices", std::move(notices)}, {"demand", std::move(demand)}, {"period", limits.period}};
}

LimitReport readLimits(const Json &json)
{
    LimitReport limits{.period = json.at("period").get<std::int64_t>()};
    for (const Json &notice : json.at("notices")) {
        std::optional<RequestRate> rate;
        if (!notice.at(2).is_null()) {
            rate = RequestRate{notice.at(2).get<double>()};
        }
        limits.notices.push_back({.process = notice.at(0).get<std::string>(),
                                  .service = ServiceName(notice.at(1).get<std::string>()),
                                  .rate = rate,
                                  .at = readTime(notice.at(3))});
    }
    for (const auto &[service, rate] : json.at("demand").items()) {
        limits.demand[ServiceName(service)] = RequestRate{rate.get<double>()};
    }
    return limits;
}

std::vector<VersionReport> readVersions(const Json &json)
{
    std::vector<VersionReport> versions;
    for (const Json &version : json) {
        versions.push_back(readVersion(version));
    }
    return versions;
}

FleetReport readReport(const Json &json)
{
    FleetReport report;
    for (const Json &crash : json.at("crashes")) {
        report.crashes.crashes.push_back(readCrash(crash));
    }
    for (const Json &cleared : json.at("cleared")) {
        report.crashes.cleared.push_back({Fingerprint(cleared.at(0).get<std::string>()), readTime(cleared.at(1))});
    }
    // Reports of earlier versions have no trials.
    if (json.contains("trials")) {
        for (const Json &trial : json.at("trials")) {
            report.crashes.trials.push_back({.print = Fingerprint(trial.at(0).get<std::string>()),
                                             .at = readTime(trial.at(1)),
                                             .failed = trial.at(2).get<unsigned>()});
        }
    }
    report.versions = readVersions(json.at("versions"));
    // Reports of earlier versions have no limits.
    if (json.contains("limits")) {
        report.limits = readLimits(json.at("limits"));
    }
    return report;
}

} // namespace

std::string serialise(const FleetReport &report)
{
    Json json{{"crashes", Json::array()}, {"cleared", Json::array()}, {"versions", Json::array()}};
    for (const CrashReport &crash : report.crashes.crashes) {
        json["crashes"].push_back(crashJson(crash));
    }
    for (const SuspectCleared &cleared : report.crashes.cleared) {
        json["cleared"].push_back(Json::array({cleared.print.str(), cleared.at.time_since_epoch().count()}));
    }
    for (const SuspectTrial &trial : report.crashes.trials) {
        json["trials"].push_back(Json::array({trial.print.str(), trial.at.time_since_epoch().count(), trial.failed}));
    }
    for (const VersionReport &version : report.versions) {
        json["versions"].push_back(versionJson(version));
    }
    if (report.limits != LimitReport()) {
        json["limits"] = limitsJson(report.limits);
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

std::string gatheredRowName(const InstanceId &reader)
{
    return gatheredPrefix + reader.str();
}

bool isGatheredRow(const std::string &key)
{
    return rowName(key).starts_with(gatheredPrefix);
}

std::string serialise(const GatheredReports &reports)
{
    Json json = Json::object();
    for (const auto &[from, versions] : reports) {
        if (versions.empty()) {
            continue;
        }
        Json &list = json[from.str()] = Json::array();
        for (const VersionReport &version : versions) {
            list.push_back(versionJson(version));
        }
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<GatheredReports> parseGathered(const std::string &text, LastReason &reason)
{
    try {
        GatheredReports reports;
        const Json json = Json::parse(text);
        for (const auto &[from, versions] : json.get_ref<const Json::object_t &>()) {
            reports[InstanceId(from)] = readVersions(versions);
        }
        return reports;
    } catch (const Json::exception &error) {
        return reason.fail({.id = ErrorId::BadPeerData, .step = Step::Exchange, .detail = error.what()});
    }
}

} // namespace parsleyvane
