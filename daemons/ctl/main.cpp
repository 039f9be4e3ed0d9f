/**
 * @file
 * @brief parsleyvanectl: the command-line client for operators.
 */
#include "commands.h"

#include "parsleyvane/config/textvalues.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <array>
#include <iostream>
#include <sys/stat.h>

namespace parsleyvane::ctl {

namespace {

constexpr const char *usage = R"(parsleyvanectl: the command-line client for operators of parsleyvane.

  parsleyvanectl questionnaire [--answers=FILE] [--base=FILE | --platform=IP:PORT] [--out=FILE] [--set=NAME.key=value,...]
      Amends the base configuration with an answers file. Without --answers, asks the questions and writes the answers.
  parsleyvanectl validate --file=FILE
      Lists all problems of a configuration.
  parsleyvanectl check FILE [--against=running | --against=FILE] [--platform=IP:PORT] [--format=platform]
      Lists errors, unused entries and contradictory limits of a configuration, answers or settings, and what they change,
      the most harmful first. Also for the platform's configuration. Exit codes: 0 no findings; 1 findings; 2 a file cannot be read; 5 as below.
  parsleyvanectl show --platform=IP:PORT [--out=FILE]
      Writes the active configuration.
  parsleyvanectl diff --file=FILE [--base=FILE | --platform=IP:PORT]
      Lists what the file changes.
  parsleyvanectl submit --platform=IP:PORT --file=FILE [--based_on=REVISION] --operator=NAME [--summary=TEXT]
      Makes a configuration active, unless the active one has changed since that revision.
  parsleyvanectl status --instances=IP:PORT,...
      Shows zone, revision, phase and load of each instance.
  parsleyvanectl rollout start|step --platform=IP:PORT --operator=NAME --model=M --from=V --to=V --per_mille=N
  parsleyvanectl rollout halt|back --platform=IP:PORT --operator=NAME --model=M
  parsleyvanectl rollout withdraw --platform=IP:PORT --operator=NAME --model=M --to=V
      Moves new work from one version to another, halts or reverts that, or withdraws the version V.
  parsleyvanectl upstream drain --platform=IP:PORT --operator=NAME --upstream=ID
      Removes an upstream from the configuration; its requests in progress continue.
  parsleyvanectl audit --platform=IP:PORT [--limit=N]
      Shows who changed what, and based on which revision.

submit, rollout and upstream accept --wait_instances=IP:PORT,... and wait up to 10 s until all report the revision.
All commands accept --json.

Exit codes: 0 ok; 1 failure; 2 wrong usage; 3 invalid configuration or answers; 4 conflict with another change;
5 the platform was not reached, or the outcome is unknown.
)";

using Run = ExitCode (*)(const Arguments &);

struct Command
{
    std::string_view name;
    bool needsPlatform;
    bool needsFile;
    Run run;
};

constexpr std::array commands = {
    Command{"questionnaire", false, false, runQuestionnaire},
    Command{"validate", false, true, runValidate},
    Command{"check", false, false, runCheck},
    Command{"show", true, false, runShow},
    Command{"diff", false, true, runDiff},
    Command{"submit", true, true, runSubmit},
    Command{"status", false, false, runStatus},
    Command{"rollout", true, false, runRollout},
    Command{"upstream", true, false, runUpstream},
    Command{"audit", true, false, runAudit},
};

ExitCode runCommand(const Command &command, const Arguments &arguments)
{
    const std::string platform = absl::GetFlag(FLAGS_platform);
    const bool isPlatformValid = platform.empty() ? !command.needsPlatform : isAddressWithPort(platform);
    if (!isPlatformValid) {
        return usageError("--platform=IP:PORT is required");
    }
    if (command.needsFile && absl::GetFlag(FLAGS_file).empty()) {
        return usageError("--file=FILE is required");
    }
    return command.run(arguments);
}

ExitCode dispatch(const Arguments &arguments)
{
    if (arguments.empty()) {
        return usageError("a command is required");
    }
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const Command &command) { return command.name == arguments.front(); });
    if (found == commands.end()) {
        return usageError("unknown command '" + arguments.front() + "'");
    }
    return runCommand(*found, {arguments.begin() + 1, arguments.end()});
}

/// A command-line option such as "--file=x" or "--json".
struct Option
{
    std::string name;
    std::optional<std::string> value;
};

std::optional<Option> readOption(const std::string &argument)
{
    if (argument.size() < 2 || argument.front() != '-') {
        return std::nullopt;
    }
    const std::string nameAndValue = argument.substr(argument.starts_with("--") ? 2 : 1);
    const std::size_t equalsPosition = nameAndValue.find('=');
    if (equalsPosition == std::string::npos) {
        return Option{nameAndValue, std::nullopt};
    }
    return Option{nameAndValue.substr(0, equalsPosition), nameAndValue.substr(equalsPosition + 1)};
}

/// Returns an error message, or an empty string if the option is valid.
std::string findOptionProblem(const Option &option)
{
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag(option.name);
    if (flag == nullptr) {
        return "unknown option --" + option.name;
    }
    if (!option.value && !flag->IsOfType<bool>()) {
        return "--" + option.name + " requires a value: --" + option.name + "=VALUE";
    }
    std::string error;
    if (option.value && !flag->ParseFrom(*option.value, &error)) {
        return "--" + option.name + ": '" + *option.value + "' is not allowed; " + error;
    }
    return {};
}

/// Checks options and handles --help before Abseil does, which would exit with code 1 in both cases.
std::optional<ExitCode> checkOptions(const Arguments &arguments)
{
    for (const std::string &argument : arguments) {
        const auto option = readOption(argument);
        if (!option) {
            continue;
        }
        if (option->name == "help" || option->name == "h") {
            std::cout << usage;
            return ExitCode::Ok;
        }
        if (option->name == "version") {
            std::cout << "parsleyvanectl " PARSLEYVANE_VERSION "\n";
            return ExitCode::Ok;
        }
        const std::string problem = findOptionProblem(*option);
        if (!problem.empty()) {
            return usageError(problem);
        }
    }
    return std::nullopt;
}

ExitCode run(int argc, char **argv)
{
    const auto exitCode = checkOptions({argv + 1, argv + argc});
    if (exitCode) {
        return *exitCode;
    }
    const std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
    return dispatch({positional.begin() + 1, positional.end()});
}

} // namespace

} // namespace parsleyvane::ctl

int main(int argc, char **argv)
{
    // Configurations hold the keys that sign session tokens.
    umask(S_IRWXG | S_IRWXO);
    try {
        return static_cast<int>(parsleyvane::ctl::run(argc, argv));
    } catch (const std::exception &error) {
        std::cerr << "parsleyvanectl: " << error.what() << '\n';
        return static_cast<int>(parsleyvane::ctl::ExitCode::Failure);
    }
}
