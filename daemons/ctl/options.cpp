#include "options.h"

#include "parsleyvane/config/textvalues.h"
#include "parsleyvane/config/validate.h"
#include "parsleyvane/core/digest.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, against, "",
          "check: the version to compare with: running, which requires --platform, or a file");
ABSL_FLAG(std::string, answers, "",
          "questionnaire: the answers file; without it, the questions are asked interactively");
ABSL_FLAG(std::string, base, "", "questionnaire: the configuration to amend");
ABSL_FLAG(std::string, file, "", "validate, diff, submit: the configuration file; - is the standard input");
ABSL_FLAG(std::string, format, "",
          "check: platform for the platform's configuration; by default the file's members tell");
ABSL_FLAG(std::string, out, "-", "questionnaire, show: the file to write; - is the standard output");
ABSL_FLAG(std::string, set, "", "questionnaire: answers that replace those of the file: NAME.key=value, ...");
ABSL_FLAG(std::string, platform, "", "IP:PORT of the platform");
ABSL_FLAG(std::string, instances, "", "status: IP:PORT of each instance's operators' listener, separated by commas");
ABSL_FLAG(std::string, wait_instances, "", "wait up to 10 s until these instances report the new revision");
ABSL_FLAG(std::int64_t, based_on, -1, "submit: the revision that the file is based on; by default the one in the file");
ABSL_FLAG(std::string, operator, "", "who makes the change");
ABSL_FLAG(std::string, summary, "", "why the change is made");
ABSL_FLAG(std::string, model, "", "rollout: the model");
ABSL_FLAG(std::string, from, "", "rollout: the version that is replaced");
ABSL_FLAG(std::string, to, "", "rollout: the new version");
ABSL_FLAG(std::uint32_t, per_mille, 0, "rollout: the new version's share of new work, 0 to 1000");
ABSL_FLAG(std::string, upstream, "", "upstream drain: the upstream's identifier");
ABSL_FLAG(std::uint32_t, limit, 20, "audit: the number of latest entries to show");
ABSL_FLAG(bool, json, false, "print JSON");

namespace parsleyvane::ctl {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxSummaryBytes = 500;
const std::string standardStream = "-";

std::string currentTimeText()
{
    const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
    return text.str();
}

/// Limits the length and accepts printable ASCII only, which is always valid UTF-8, as JSON requires.
bool isValidSummary(const std::string &text)
{
    return text.size() <= maxSummaryBytes
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

std::nullopt_t failFileOperation(const std::string &name, const std::string &operation, LastReason &reason)
{
    return reason.fail(
        {.id = ErrorId::InvalidSetting, .step = Step::Configure, .detail = "cannot " + operation + " " + name});
}

} // namespace

void print(const Json &json, const std::string &text)
{
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
        return;
    }
    std::cout << text;
}

ExitCode usageError(const std::string &message)
{
    std::cerr << "parsleyvanectl: " << message << "; see parsleyvanectl --help\n";
    return ExitCode::Usage;
}

ExitCode reportFailure(ExitCode code, const Failure &failure)
{
    if (absl::GetFlag(FLAGS_json)) {
        print(Json{{"error",
                    {{"id", static_cast<int>(failure.id)},
                     {"name", errorName(failure.id)},
                     {"step", stepName(failure.step)},
                     {"peer", failure.peer},
                     {"run", runStateName(failure.runState)},
                     {"message", failure.detail}}}},
              "");
    }
    std::cerr << "parsleyvanectl: " << describe(failure) << '\n';
    return code;
}

ExitCode reportReadFailure(const Failure &failure)
{
    if (failure.id == ErrorId::InvalidConfiguration) {
        return reportFailure(ExitCode::InvalidConfiguration, failure);
    }
    const bool isLocalFileError = failure.id == ErrorId::InvalidSetting;
    return reportFailure(isLocalFileError ? ExitCode::Failure : ExitCode::OutcomeUnknown, failure);
}

ExitCode reportSettingProblems(const std::vector<SettingProblem> &problems)
{
    Json list = Json::array();
    std::string text;
    for (const SettingProblem &problem : problems) {
        list.push_back(Json{{"file", problem.file},
                            {"section", problem.section},
                            {"key", problem.key},
                            {"found", problem.found},
                            {"allowed", problem.allowed}});
        text += describe(problem) + "\n";
    }
    print(Json{{"valid", false}, {"problems", list}}, text);
    return ExitCode::InvalidConfiguration;
}

ExitCode reportConfigurationProblems(const Configuration &configuration)
{
    const auto problems = validate(configuration);
    if (problems.empty()) {
        return ExitCode::Ok;
    }
    Json list = Json::array();
    std::string text;
    for (const ConfigurationProblem &problem : problems) {
        list.push_back(
            Json{{"id", static_cast<int>(problem.id)}, {"place", problem.place}, {"message", problem.message}});
        text += describe(problem) + "\n";
    }
    print(Json{{"valid", false}, {"problems", list}}, text);
    return ExitCode::InvalidConfiguration;
}

Json changesJson(const std::vector<ConfigurationChange> &changes)
{
    Json list = Json::array();
    for (const ConfigurationChange &change : changes) {
        list.push_back(Json{{"place", change.place}, {"before", change.before}, {"after", change.after}});
    }
    return list;
}

std::string changesText(const std::vector<ConfigurationChange> &changes)
{
    std::string text;
    for (const ConfigurationChange &change : changes) {
        text += "  " + describe(change) + "\n";
    }
    return text;
}

Json auditJson(const AuditEntry &entry)
{
    return Json::parse(serialise(entry));
}

std::string auditText(const AuditEntry &entry)
{
    return "revision " + std::to_string(entry.revision.value()) + " (from " + std::to_string(entry.basedOn.value())
        + ") by " + entry.change.operatorName + " at " + entry.change.at + ": " + entry.change.summary + "\n"
        + changesText(entry.changes);
}

std::optional<std::string> readFile(const std::string &name, LastReason &reason)
{
    std::ostringstream text;
    if (name == standardStream) {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(name, std::ios::binary);
    if (!file) {
        return failFileOperation(name, "read", reason);
    }
    text << file.rdbuf();
    return text.str();
}

bool writeFile(const std::string &name, const std::string &text, LastReason &reason)
{
    if (name == standardStream) {
        std::cout << text;
        return true;
    }
    std::ofstream file(name, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (!file) {
        failFileOperation(name, "write", reason);
        return false;
    }
    return true;
}

std::optional<Configuration> readConfigurationFile(const std::string &name, LastReason &reason)
{
    const auto text = readFile(name, reason);
    return text ? parseConfiguration(*text, reason) : std::nullopt;
}

std::optional<ChangeNote> makeNote(const std::string &defaultSummary)
{
    const std::string operatorName = absl::GetFlag(FLAGS_operator);
    const std::string givenSummary = absl::GetFlag(FLAGS_summary);
    if (!isIdentifier(operatorName)) {
        usageError("--operator=NAME is required: 1 to 48 letters, digits, '.', '-' or '_'");
        return std::nullopt;
    }
    if (!isValidSummary(givenSummary)) {
        usageError("--summary must be at most 500 printable ASCII characters");
        return std::nullopt;
    }
    return ChangeNote{randomId(), operatorName, currentTimeText(),
                      givenSummary.empty() ? defaultSummary : givenSummary};
}

} // namespace parsleyvane::ctl
