#include "commands.h"

#include "parsleyvane/config/ini.h"
#include "parsleyvane/net/blockingclient.h"

#include <absl/flags/flag.h>
#include <chrono>
#include <iostream>
#include <thread>

namespace parsleyvane::ctl {

using Json = nlohmann::json;

namespace {

constexpr Milliseconds maxWait{10000};
constexpr Milliseconds pollInterval{100};
constexpr unsigned statusOk = 200;
constexpr CallLimits statusLimits{.connect = Milliseconds(500), .progress = Milliseconds(1000)};

std::optional<Json> fetchStatus(const std::string &address, LastReason &reason)
{
    const auto response
        = blockingCall(address, makeRequest(boost::beast::http::verb::get, "/status"), reason, statusLimits);
    if (!response) {
        return std::nullopt;
    }
    const Json json = Json::parse(response->body(), nullptr, false);
    if (response->result_int() != statusOk || !json.is_object()) {
        return reason.fail({.id = ErrorId::BadPeerData,
                            .step = Step::Exchange,
                            .peer = address,
                            .detail = "status " + std::to_string(response->result_int())});
    }
    return json;
}

template<typename Value>
Value valueOrFallback(const Json &json, const char *name, Value fallback)
{
    try {
        return json.value(name, fallback);
    } catch (const Json::exception &) {
        return fallback;
    }
}

std::string formatStatusLine(const std::string &address, const Json &status)
{
    return address + "  " + valueOrFallback<std::string>(status, "instance", "?") + "  zone "
        + valueOrFallback<std::string>(status, "zone", "?") + "  revision "
        + std::to_string(valueOrFallback<std::uint64_t>(status, "revision", 0))
        + (valueOrFallback(status, "fresh", false) ? "" : " (stale)") + "  "
        + valueOrFallback<std::string>(status, "phase", "?") + "  in flight "
        + std::to_string(valueOrFallback<std::uint64_t>(status, "inFlight", 0)) + "\n";
}

bool reportsRevision(const std::string &address, Revision revision)
{
    LastReason reason;
    const auto status = fetchStatus(address, reason);
    return status && valueOrFallback<std::uint64_t>(*status, "revision", 0) >= revision.value();
}

} // namespace

ExitCode runStatus(const Arguments & /*arguments*/)
{
    const std::vector<std::string> addresses = splitList(absl::GetFlag(FLAGS_instances));
    if (addresses.empty()) {
        return usageError("--instances=IP:PORT,... is required");
    }
    Json list = Json::array();
    std::string text;
    ExitCode code = ExitCode::Ok;
    for (const std::string &address : addresses) {
        LastReason reason;
        const auto status = fetchStatus(address, reason);
        if (!status) {
            list.push_back(Json{{"address", address}, {"error", describe(reason.failure())}});
            text += address + "  " + describe(reason.failure()) + "\n";
            code = ExitCode::Failure;
            continue;
        }
        list.push_back(Json{{"address", address}, {"status", *status}});
        text += formatStatusLine(address, *status);
    }
    print(Json{{"instances", list}}, text);
    return code;
}

ExitCode waitForInstances(Revision revision)
{
    std::vector<std::string> waiting = splitList(absl::GetFlag(FLAGS_wait_instances));
    const auto deadline = std::chrono::steady_clock::now() + maxWait;
    while (true) {
        std::erase_if(waiting, [&](const std::string &address) { return reportsRevision(address, revision); });
        if (waiting.empty()) {
            return ExitCode::Ok;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    for (const std::string &address : waiting) {
        std::cerr << "parsleyvanectl: " << address << " does not report revision " << revision.value() << " yet\n";
    }
    return ExitCode::Failure;
}

} // namespace parsleyvane::ctl
