#include "commands.h"

#include "parsleyvane/config/check.h"
#include "platform/configurationcheck.h"
#include "platform/configurationdiff.h"
#include "platformtable.h"

#include <absl/flags/flag.h>

namespace parsleyvane::ctl {

using Json = nlohmann::json;

namespace {

// The exit codes of this command differ from those of the others: they tell scripts whether to go on.
constexpr ExitCode findingsExist = ExitCode::Failure;
constexpr ExitCode isUnreadable = ExitCode::Usage;

constexpr const char *runningVersion = "running";
constexpr const char *platformFormat = "platform";

std::optional<CheckedFile> readCheckedFile(const std::string &name, LastReason &reason)
{
    const auto text = readFile(name, reason);
    return text ? std::optional(CheckedFile{name, *text}) : std::nullopt;
}

/// Reads the version named by --against.
std::optional<Configuration> readAgainst(const std::string &against, LastReason &reason)
{
    if (against == runningVersion) {
        const auto head = PlatformTable(absl::GetFlag(FLAGS_platform)).readHead(reason);
        return head ? std::optional(head->configuration) : std::nullopt;
    }
    const auto file = readCheckedFile(against, reason);
    return file ? readComparedVersion(*file, reason) : std::nullopt;
}

ExitCode reportUnreadable(const Failure &failure)
{
    const bool isLocal = failure.id == ErrorId::InvalidSetting || failure.id == ErrorId::InvalidConfiguration;
    return reportFailure(isLocal ? isUnreadable : ExitCode::OutcomeUnknown, failure);
}

ExitCode reportFindings(const std::vector<CheckFinding> &findings)
{
    Json list = Json::array();
    std::string text;
    for (const CheckFinding &finding : findings) {
        list.push_back(Json{{"severity", severityName(finding.severity)},
                            {"file", finding.file},
                            {"entry", finding.entry},
                            {"field", finding.field},
                            {"message", finding.message}});
        text += describe(finding) + "\n";
    }
    print(Json{{"findings", list}}, findings.empty() ? "no findings\n" : text);
    return findings.empty() ? ExitCode::Ok : findingsExist;
}

/// Checks the platform's configuration, and compares it with the file `against` unless the name is empty.
ExitCode checkPlatformFile(const CheckedFile &file, const std::string &against)
{
    if (against == runningVersion) {
        return usageError("check compares the platform's configuration with a file only");
    }
    LastReason reason;
    auto findings = platform::checkConfiguration(file, reason);
    if (!findings || against.empty()) {
        return findings ? reportFindings(*findings) : reportUnreadable(reason.failure());
    }
    const auto compared = readCheckedFile(against, reason);
    const auto differences = compared ? platform::compareConfigurations(*compared, file, reason) : std::nullopt;
    if (!differences) {
        return reportUnreadable(reason.failure());
    }
    findings->insert(findings->end(), differences->begin(), differences->end());
    return reportFindings(*findings);
}

} // namespace

ExitCode runCheck(const Arguments &arguments)
{
    const std::string against = absl::GetFlag(FLAGS_against);
    const std::string format = absl::GetFlag(FLAGS_format);
    if (!format.empty() && format != platformFormat) {
        return usageError("--format must be platform");
    }
    if (arguments.size() != 1) {
        return usageError("check expects one FILE");
    }
    if (against == runningVersion && absl::GetFlag(FLAGS_platform).empty()) {
        return usageError("--against=running requires --platform=IP:PORT");
    }
    LastReason reason;
    const auto file = readCheckedFile(arguments.front(), reason);
    if (!file) {
        return reportUnreadable(reason.failure());
    }
    if (format == platformFormat || platform::isConfiguration(file->text)) {
        return checkPlatformFile(*file, against);
    }
    const auto compared = against.empty() ? std::nullopt : readAgainst(against, reason);
    if (!against.empty() && !compared) {
        return reportUnreadable(reason.failure());
    }
    const auto findings = checkFile(*file, compared, reason);
    return findings ? reportFindings(*findings) : reportUnreadable(reason.failure());
}

} // namespace parsleyvane::ctl
