#include "parsleyvane/quarantine/reportcodec.h"

#include <nlohmann/json.hpp>

namespace parsleyvane {

using Json = nlohmann::json;

namespace {

Json writeSite(const CrashSite &site, const CrashTimes &times)
{
    Json open = Json::array();
    for (const TimePoint &time : times.open) {
        open.push_back(time.time_since_epoch().count());
    }
    return Json{{"upstream", site.upstream.str()},
                {"witness", site.witness.str()},
                {"open", std::move(open)},
                {"cleared", times.clearedUpTo.time_since_epoch().count()}};
}

TimePoint readTime(const Json &json)
{
    return TimePoint(Milliseconds(json.get<std::int64_t>()));
}

SuspectReport readReport(const Json &json)
{
    SuspectReport report;
    report.fingerprint = Fingerprint(json.at("print").get<std::string>());
    report.sinceLastCrash = Milliseconds(json.at("age").get<std::int64_t>());
    for (const Json &entry : json.at("sites")) {
        const CrashSite site{UpstreamId(entry.at("upstream").get<std::string>()),
                             InstanceId(entry.at("witness").get<std::string>())};
        CrashTimes &times = report.sites[site];
        times.clearedUpTo = readTime(entry.at("cleared"));
        for (const Json &time : entry.at("open")) {
            times.open.insert(readTime(time));
        }
    }
    return report;
}

} // namespace

std::string serialise(const SuspectReport &report)
{
    Json sites = Json::array();
    for (const auto &[site, times] : report.sites) {
        sites.push_back(writeSite(site, times));
    }
    const Json json{{"print", report.fingerprint.str()}, {"age", report.sinceLastCrash.count()}, {"sites", sites}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<SuspectReport> parseSuspectReport(const std::string &text, LastReason &reason)
{
    try {
        return readReport(Json::parse(text));
    } catch (const std::exception &error) {
        return reason.fail({.id = ErrorId::BadPeerData, .step = Step::Exchange, .detail = error.what()});
    }
}

} // namespace parsleyvane
