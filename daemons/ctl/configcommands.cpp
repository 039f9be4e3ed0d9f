#include "commands.h"

#include "parsleyvane/config/interview.h"
#include "parsleyvane/core/digest.h"
#include "platformtable.h"

#include <absl/flags/flag.h>
#include <iostream>

namespace parsleyvane::ctl {

using Json = nlohmann::json;

namespace {

std::optional<SettingOverrides> readOverrides(const std::string &text)
{
    SettingOverrides overrides;
    for (const std::string &assignment : splitList(text)) {
        const std::size_t equalsPosition = assignment.find('=');
        if (equalsPosition == std::string::npos) {
            return std::nullopt;
        }
        overrides[assignment.substr(0, equalsPosition)] = assignment.substr(equalsPosition + 1);
    }
    return overrides;
}

/// The base configuration: from --base, else from --platform, else an empty one.
std::optional<Configuration> readBase(LastReason &reason)
{
    const std::string base = absl::GetFlag(FLAGS_base);
    const std::string platform = absl::GetFlag(FLAGS_platform);
    if (!base.empty()) {
        return readConfigurationFile(base, reason);
    }
    if (platform.empty()) {
        return Configuration{};
    }
    const auto head = PlatformTable(platform).readHead(reason);
    return head ? std::optional(head->configuration) : std::nullopt;
}

/// Generates a session key if there is none, since session tokens cannot be signed without one.
void addSessionKey(Configuration &configuration)
{
    if (configuration.sessionKeys.empty()) {
        configuration.sessionKeys.push_back({"key-1", randomId() + randomId()});
    }
}

ExitCode generateConfiguration(const std::string &iniText, const std::string &fileName,
                               const SettingOverrides &overrides)
{
    std::vector<SettingProblem> problems;
    const auto answers = readAnswers(iniText, fileName, problems, overrides);
    if (!answers) {
        return reportSettingProblems(problems);
    }
    LastReason reason;
    const auto base = readBase(reason);
    if (!base) {
        return reportReadFailure(reason.failure());
    }
    Configuration generated = amend(*base, *answers);
    addSessionKey(generated);
    const ExitCode validationCode = reportConfigurationProblems(generated);
    if (validationCode != ExitCode::Ok) {
        return validationCode;
    }
    const std::string text = Json::parse(serialise(generated)).dump(2) + "\n";
    if (!writeFile(absl::GetFlag(FLAGS_out), text, reason)) {
        return reportFailure(ExitCode::Failure, reason.failure());
    }
    return ExitCode::Ok;
}

ExitCode runInterview()
{
    LastReason reason;
    const auto answers = interview(std::cin, std::cerr, reason);
    if (!answers) {
        return reportFailure(ExitCode::InvalidConfiguration, reason.failure());
    }
    if (!writeFile(absl::GetFlag(FLAGS_out), writeAnswers(*answers), reason)) {
        return reportFailure(ExitCode::Failure, reason.failure());
    }
    return ExitCode::Ok;
}

} // namespace

ExitCode runQuestionnaire(const Arguments & /*arguments*/)
{
    const std::string fileName = absl::GetFlag(FLAGS_answers);
    const auto overrides = readOverrides(absl::GetFlag(FLAGS_set));
    if (!overrides) {
        return usageError("--set expects NAME.key=value, separated by commas");
    }
    if (fileName.empty()) {
        return runInterview();
    }
    LastReason reason;
    const auto text = readFile(fileName, reason);
    if (!text) {
        return reportFailure(ExitCode::Failure, reason.failure());
    }
    return generateConfiguration(*text, fileName, *overrides);
}

ExitCode runValidate(const Arguments & /*arguments*/)
{
    LastReason reason;
    const auto configuration = readConfigurationFile(absl::GetFlag(FLAGS_file), reason);
    if (!configuration) {
        return reportReadFailure(reason.failure());
    }
    const ExitCode code = reportConfigurationProblems(*configuration);
    if (code == ExitCode::Ok) {
        print(Json{{"valid", true}, {"problems", Json::array()}}, "valid\n");
    }
    return code;
}

ExitCode runDiff(const Arguments & /*arguments*/)
{
    LastReason reason;
    const auto after = readConfigurationFile(absl::GetFlag(FLAGS_file), reason);
    if (!after) {
        return reportReadFailure(reason.failure());
    }
    const auto before = readBase(reason);
    if (!before) {
        return reportReadFailure(reason.failure());
    }
    const auto changes = diff(*before, *after);
    print(Json{{"revision", before->revision.value()}, {"changes", changesJson(changes)}}, changesText(changes));
    return ExitCode::Ok;
}

ExitCode runShow(const Arguments & /*arguments*/)
{
    LastReason reason;
    const auto head = PlatformTable(absl::GetFlag(FLAGS_platform)).readHead(reason);
    if (!head) {
        return reportReadFailure(reason.failure());
    }
    const std::string text = Json::parse(serialise(head->configuration)).dump(2) + "\n";
    if (!writeFile(absl::GetFlag(FLAGS_out), text, reason)) {
        return reportFailure(ExitCode::Failure, reason.failure());
    }
    return ExitCode::Ok;
}

} // namespace parsleyvane::ctl
