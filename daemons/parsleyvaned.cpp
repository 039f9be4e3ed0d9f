// parsleyvaned: the daemon of one router instance.

#include "parsleyvane/forward/ingressinstance.h"
#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/failuresignals.h"
#include "parsleyvane/net/instance.h"
#include "platform/contracts.h"
#include "platform/platform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "INI file with the instance's settings (docs/CONFIGURATION.md)");
ABSL_FLAG(std::vector<std::string>, set, {}, "settings that override the file: section.key=value,...");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitInvalidSettings = 2;

std::optional<std::string> readFile(const std::string &name)
{
    const std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

parsleyvane::SettingOverrides readOverrides(const std::vector<std::string> &pairs)
{
    parsleyvane::SettingOverrides overrides;
    for (const std::string &pair : pairs) {
        const std::size_t equals = pair.find('=');
        const std::string key = pair.substr(0, equals);
        overrides[key] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return overrides;
}

std::optional<parsleyvane::InstanceSettings> loadSettings()
{
    const std::string name = absl::GetFlag(FLAGS_settings);
    const auto text = readFile(name);
    if (!text) {
        std::cerr << "parsleyvaned: cannot read the settings file '" << name << "' (--settings)\n";
        return std::nullopt;
    }
    std::vector<parsleyvane::SettingProblem> problems;
    auto settings = parsleyvane::readSettings(*text, name, problems, readOverrides(absl::GetFlag(FLAGS_set)));
    for (const parsleyvane::SettingProblem &problem : problems) {
        std::cerr << parsleyvane::describe(problem) << '\n';
    }
    if (settings) {
        parsleyvane::platform::applyContracts(*settings);
    }
    return settings;
}

std::unique_ptr<parsleyvane::PlatformPort> makePlatform(boost::asio::io_context &context, const std::string &address)
{
    parsleyvane::LastReason reason;
    // The settings were validated, so the address is well-formed.
    const auto store = parsleyvane::parseEndpoint(address, reason).value_or(boost::asio::ip::tcp::endpoint());
    return std::make_unique<parsleyvane::platform::Platform>(context.get_executor(), store);
}

/// Holds back the signals that an instance handles: once it is destroyed, they would end the process as unplanned.
void blockStopSignals()
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&handled, signal);
    }
    ::pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

template<typename Program>
int serve(Program &instance)
{
    parsleyvane::LastReason reason;
    if (!instance.start(reason)) {
        std::cerr << "parsleyvaned: " << parsleyvane::describe(reason.failure()) << '\n';
        return exitFailure;
    }
    instance.run();
    blockStopSignals();
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("parsleyvaned --settings=FILE: one entry instance of the router. SIGTERM begins a "
                                 "planned stop. Exit codes: 0 stopped as planned, 1 failure, 2 invalid settings.");
    absl::FlagsUsageConfig usage;
    usage.version_string = []() {
        return std::string("parsleyvaned ") + PARSLEYVANE_VERSION + "\n";
    };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    parsleyvane::installFailureSignalHandler();
    const auto settings = loadSettings();
    if (!settings) {
        return exitInvalidSettings;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    if (settings->front == parsleyvane::FrontKind::Ingress) {
        const auto platform = [&](boost::asio::io_context &context) {
            return makePlatform(context, settings->platformAddress);
        };
        parsleyvane::IngressInstance instance(*settings, platform, loadSettings);
        return serve(instance);
    }
    parsleyvane::Instance instance(*settings);
    return serve(instance);
}
