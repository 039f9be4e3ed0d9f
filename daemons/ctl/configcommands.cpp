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
    for (const std::string &piece : splitList(text)) {
        const std::size_t equals = piece.find('=');
        if (equals == std::string::npos) {
            return std::nullopt;
        }
        overrides[piece.substr(0, equals)] = piece.substr(equals + 1);
    }
    return overrides;
}

/// The configuration to amend: a file's, the platform's, or an empty one.
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

/// Sessions need a key from the first configuration on.
void addSessionKey(Configuration &configuration)
{
    if (configuration.sessionKeys.empty()) {
        configuration.sessionKeys.push_back({"key-1", randomId() + randomId()});
    }
}

ExitCode generate(const std::string &iniText, const std::string &fileName, const SettingOverrides &overrides)
{
    std::vector<SettingProblem> problems;
    const auto answers = readAnswers(iniText, fileName, problems, overrides);
    if (!answers) {
        return reportProblems(problems);
    }
    LastReason reason;
    const auto base = readBase(reason);
    if (!base) {
        return failReading(reason.failure());
    }
    Configuration generated = amend(*base, *answers);
    addSessionKey(generated);
    const ExitCode contradictions = reportContradictions(generated);
    if (contradictions != ExitCode::Ok) {
        return contradictions;
    }
    const std::string text = Json::parse(serialise(generated)).dump(2) + "\n";
    if (!writeFile(absl::GetFlag(FLAGS_out), text, reason)) {
        return failWith(ExitCode::Failure, reason.failure());
    }
    return ExitCode::Ok;
}

ExitCode askAndWrite()
{
    LastReason reason;
    const auto answers = interview(std::cin, std::cerr, reason);
    if (!answers) {
        return failWith(ExitCode::InvalidConfiguration, reason.failure());
    }
    if (!writeFile(absl::GetFlag(FLAGS_out), writeAnswers(*answers), reason)) {
        return failWith(ExitCode::Failure, reason.failure());
    }
    return ExitCode::Ok;
}

} // namespace

ExitCode runQuestionnaire(const Arguments & /*arguments*/)
{
    const std::string fileName = absl::GetFlag(FLAGS_answers);
    const auto overrides = readOverrides(absl::GetFlag(FLAGS_set));
    if (!overrides) {
        return usageError("--set takes NAME.key=value, separated by commas");
    }
    if (fileName.empty()) {
        return askAndWrite();
    }
    LastReason reason;
    const auto text = readFile(fileName, reason);
    if (!text) {
        return failWith(ExitCode::Failure, reason.failure());
    }
    return generate(*text, fileName, *overrides);
}

ExitCode runValidate(const Arguments & /*arguments*/)
{
    LastReason reason;
    const auto configuration = readConfigurationFile(absl::GetFlag(FLAGS_file), reason);
    if (!configuration) {
        return failReading(reason.failure());
    }
    const ExitCode code = reportContradictions(*configuration);
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
        return failReading(reason.failure());
    }
    const auto before = readBase(reason);
    if (!before) {
        return failReading(reason.failure());
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
        return failReading(reason.failure());
    }
    const std::string text = Json::parse(serialise(head->configuration)).dump(2) + "\n";
    if (!writeFile(absl::GetFlag(FLAGS_out), text, reason)) {
        return failWith(ExitCode::Failure, reason.failure());
    }
    return ExitCode::Ok;
}

} // namespace parsleyvane::ctl
