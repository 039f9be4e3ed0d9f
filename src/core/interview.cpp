#include "parsleyvane/config/interview.h"

#include "parsleyvane/config/answersection.h"
#include "parsleyvane/config/textvalues.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <span>

namespace parsleyvane {

namespace {

using Check = bool (*)(const std::string &);

/// One question, with the key of its answer in the answers file.
struct Question
{
    std::string_view key;
    std::string_view text;
    std::string_view defaultAnswer;
    std::string_view allowed;
    Check check;
};

bool isName(const std::string &value)
{
    return isIdentifier(value);
}

bool isNameList(const std::string &value)
{
    const auto pieces = splitList(value);
    return !pieces.empty() && std::all_of(pieces.begin(), pieces.end(), isName);
}

bool isVersion(const std::string &value)
{
    return readVersionText(value).has_value();
}

bool isVersionList(const std::string &value)
{
    const auto pieces = splitList(value);
    return std::all_of(pieces.begin(), pieces.end(), isVersion);
}

bool isYesOrNo(const std::string &value)
{
    return readBoolean(value).has_value();
}

bool isState(const std::string &value)
{
    return readVersionState(value).has_value();
}

bool isShare(const std::string &value)
{
    return readNumber(value, 0.0, 1.0).has_value();
}

bool isRate(const std::string &value)
{
    return readNumber(value, minRequestsPerSecond, maxRequestsPerSecond).has_value();
}

bool isBurst(const std::string &value)
{
    return readNumber(value, 1.0, maxRequestsPerSecond).has_value();
}

bool isInFlight(const std::string &value)
{
    return readNumber(value, 1U, maxInFlight).has_value();
}

bool isTokenCount(const std::string &value)
{
    return readNumber(value, 1U, maxTokensLimit).has_value();
}

bool isCount(const std::string &value)
{
    return readNumber(value, 1U, 4096U).has_value();
}

bool isWeight(const std::string &value)
{
    return readNumber(value, 0U, 1000000U).has_value();
}

bool isCost(const std::string &value)
{
    return readNumber<std::int64_t>(value, 0, std::int64_t{1} << 50U).has_value();
}

bool isWaitMs(const std::string &value)
{
    return readNumber<std::int64_t>(value, 1, 3600000).has_value();
}

bool isAddress(const std::string &value)
{
    return isAddressWithPort(value);
}

bool isApiKey(const std::string &value)
{
    return !value.empty() && value.find_first_of(" ,;") == std::string::npos;
}

bool isWorkKind(const std::string &value)
{
    return value == "models" || value == "service";
}

constexpr std::string_view nameRule = "letters, digits, '.', '-' or '_'";
constexpr std::string_view versionsRule = "MODEL@VERSION, separated by commas";
constexpr std::string_view shareRule = "a number from 0 to 1";
constexpr std::string_view yesNoRule = "yes or no";

constexpr Question organisationQuestion = {"name", "Which organisation are these answers for?", "", nameRule, isName};
constexpr Question accountName = {"", "A client account's name (empty: no more)?", "", nameRule, isName};
constexpr Question versionName
    = {"", "A model and version that you use (empty: no more)?", "", "MODEL@VERSION", isVersion};
constexpr Question engineName = {"", "A model engine's name (empty: no more)?", "", nameRule, isName};
constexpr Question serviceName = {"", "A plain service's upstream name (empty: no more)?", "", nameRule, isName};
constexpr Question taskName = {"", "A task's name (empty: no more)?", "", nameRule, isName};
constexpr Question workKind
    = {"", "Is it answered by models or by a service?", "models", "models or service", isWorkKind};

constexpr Question accountQuestions[] = {
    {"api-key", "Its API key? Only its hash is stored.", "", "text without blanks, commas or semicolons", isApiKey},
    {"allowed", "Which models and versions may answer it?", "", versionsRule, isVersionList},
    {"cost-weight", "How much does cost weigh against latency, 0 (latency only) to 1 (cost only)?", "0.5", shareRule,
     isShare},
    {"requests-per-second", "How many requests a second may it send?", "50", "a number from 0.001 to 1000000", isRate},
    {"burst", "How many requests may it send in one burst?", "100", "a number from 1 to 1000000", isBurst},
    {"in-flight", "How many may be in progress at the same time?", "64", "a whole number from 1 to 100000", isInFlight},
    {"priority", "Has it bought priority?", "no", yesNoRule, isYesOrNo},
    {"priority-share", "Which share of capacity may a priority claim use?", "0.2", shareRule, isShare},
};

constexpr Question taskQuestions[] = {
    {"accounts", "Which accounts send it?", "", "names, separated by commas", isNameList},
    {"repeatable", "Is it safe to run it twice?", "no", yesNoRule, isYesOrNo},
    {"max-wait-ms", "How long can the client wait for the first byte, in milliseconds?", "30000",
     "whole milliseconds from 1 to 3600000", isWaitMs},
};

constexpr Question modelQuestions[] = {
    {"chain", "Which models are tried, cheapest first?", "", "names, separated by commas", isNameList},
    {"quality-target", "Which share of the answers must be good?", "0.9", shareRule, isShare},
    {"resumable", "May an answer in progress be interrupted for a priority request and resumed later?", "no", yesNoRule,
     isYesOrNo},
    {"max-tokens", "How long may an answer be, in tokens?", "256", "a whole number from 1 to 1048576", isTokenCount},
};

constexpr Question serviceWorkQuestions[] = {
    {"service", "Which service carries it out?", "", nameRule, isName},
    {"operation", "Which operation of the service?", "", nameRule, isName},
};

constexpr Question versionQuestions[] = {
    {"cost-per-million", "What do a million tokens cost, in millionths of your currency?", "0", "a whole number from 0",
     isCost},
    {"initial-state", "In which state does it start?", "warming", "warming, serving, closed or withdrawn", isState},
    {"initial-weight", "With which weight among the model's versions?", "0", "a whole number from 0 to 1000000",
     isWeight},
};

constexpr Question engineQuestions[] = {
    {"address", "Its address?", "", "IP:PORT", isAddress},
    {"zone", "Its availability zone?", "", nameRule, isName},
    {"loads", "Which models and versions does it load?", "", versionsRule, isVersionList},
    {"slots", "How many requests does it run concurrently?", "8", "a whole number from 1 to 4096", isCount},
    {"checks-fence", "Does it reject orders with an outdated fencing token?", "yes", yesNoRule, isYesOrNo},
};

constexpr Question serviceQuestions[] = {
    {"service", "Which service is it?", "", nameRule, isName},
    {"address", "Its address?", "", "IP:PORT", isAddress},
    {"zone", "Its availability zone?", "", nameRule, isName},
};

/// Asks all questions and collects the answers as INI text.
class Interview
{
public:
    Interview(std::istream &input, std::ostream &output)
        : input(input)
        , output(output)
    {
    }

    void run()
    {
        this->text = "[organisation]\n";
        this->askInto(organisationQuestion);
        this->askEach("account", accountName, accountQuestions);
        this->askTasks();
        this->askEach("version", versionName, versionQuestions);
        this->askEach("engine", engineName, engineQuestions);
        this->askEach("service", serviceName, serviceQuestions);
    }

    bool endedEarly() const
    {
        return this->inputEnded;
    }
    const std::string &answersText() const
    {
        return this->text;
    }

private:
    /// Asks until the answer is valid. Returns an empty string when an optional question is skipped or the input ends.
    std::string ask(const Question &question, bool optional)
    {
        std::string line;
        while (!this->inputEnded) {
            this->output << question.text;
            if (!question.defaultAnswer.empty()) {
                this->output << " [" << question.defaultAnswer << "]";
            }
            this->output << " " << std::flush;
            if (!std::getline(this->input, line)) {
                this->inputEnded = true;
                break;
            }
            if (line.empty() && (optional || !question.defaultAnswer.empty())) {
                return std::string(question.defaultAnswer);
            }
            // readAnswers() rejects lines over maxIniLineBytes.
            if (question.check(line) && question.key.size() + line.size() + separatorBytes <= maxIniLineBytes) {
                return line;
            }
            this->output << "  allowed: " << question.allowed << "\n";
        }
        return {};
    }
    void askInto(const Question &question)
    {
        const std::string answer = this->ask(question, false);
        if (!answer.empty()) {
            this->text += std::string(question.key) + " = " + answer + "\n";
        }
    }
    void askAll(std::span<const Question> questions)
    {
        for (const Question &question : questions) {
            this->askInto(question);
        }
    }
    void askEach(const std::string &kind, const Question &nameQuestion, std::span<const Question> questions)
    {
        while (true) {
            const std::string name = this->ask(nameQuestion, true);
            if (name.empty()) {
                return;
            }
            this->text.append("[").append(kind).append(" ").append(name).append("]\n");
            this->askAll(questions);
        }
    }
    void askTasks()
    {
        while (true) {
            const std::string name = this->ask(taskName, true);
            if (name.empty()) {
                return;
            }
            this->text += "[task " + name + "]\n";
            const bool usesModels = this->ask(workKind, false) != "service";
            this->askAll(usesModels ? std::span<const Question>(modelQuestions)
                                    : std::span<const Question>(serviceWorkQuestions));
            this->askAll(taskQuestions);
        }
    }

    /// Upper bound for the characters between a key and its value, " = ".
    static constexpr std::size_t separatorBytes = 4;

    std::istream &input;
    std::ostream &output;
    std::string text;
    bool inputEnded = false;
};

} // namespace

std::optional<Answers> interview(std::istream &input, std::ostream &output, LastReason &reason)
{
    Interview session(input, output);
    session.run();
    if (session.endedEarly()) {
        return reason.fail({.id = ErrorId::InvalidSetting,
                            .step = Step::Configure,
                            .detail = "the input ended before the last question"});
    }
    std::vector<SettingProblem> problems;
    auto answers = readAnswers(session.answersText(), "answers", problems);
    std::string detail;
    for (const SettingProblem &problem : problems) {
        detail += (detail.empty() ? "" : "; ") + describe(problem);
    }
    if (!answers) {
        return reason.fail({.id = ErrorId::InvalidSetting, .step = Step::Configure, .detail = detail});
    }
    return answers;
}

} // namespace parsleyvane
