/**
 * @file
 * @brief Demo: a fleet on loopback serves both organisations; the records of the stand-ins are checked afterwards.
 */
#include "parsleyvane/config/configuration.h"
#include "rig/fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_format.h>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, bin, "build", "where the programs are");
ABSL_FLAG(std::string, run, "run/demo", "receives settings, logs and records; emptied first");
ABSL_FLAG(std::string, answers, "answers", "where the questionnaires' answers are");

namespace parsleyvane::rig {

namespace {

constexpr unsigned instanceCount = 7;
constexpr unsigned zoneCount = 3;
constexpr Milliseconds inForceBound{2000};
constexpr Milliseconds stopBound{10000};

const ModelVersion wattle{ModelName("wattle"), VersionName("3")};
const ModelVersion banksia{ModelName("banksia"), VersionName("2")};
const ModelVersion karri{ModelName("karri"), VersionName("7")};

/// @brief One request of the demo's script.
struct Scene
{
    std::string account;
    std::string task;
    std::string body;
    bool service = false;
    bool stream = false;
    bool claimsPriority = false;
    /// @brief Identifies the conversation of the request.
    std::string conversation = {};
};

/// @brief Outcome of one request.
struct Outcome
{
    Ask ask;
    Answer answer;
    std::string instance;
};

std::vector<Scene> script()
{
    return {
        {"lumara-households", "balance-check", "What do I owe on lantern 4417?"},
        {"lumara-households", "unlock-credit", R"({"lantern":4417,"days":7})", true},
        {"lumara-agents", "fault-triage", "Lantern 982 blinks twice and stays dark.", false, false, true},
        {"lumara-agents", "fault-triage", "[[hard]] Lantern 77 charges, but only in the shade.", false, true, true},
        {"lumara-agents", "repayment-summary", "Sum up the repayments of group 12.", false, true},
        {"txoko-members", "stock-lookup", "Cots free in the north on Friday?"},
        {"txoko-members", "reservation", R"({"tent":"bell-5","nights":2})", true},
        {"txoko-members", "deposit", R"({"booking":"b-310","euro":40})", true},
        {"txoko-organisers", "kit-return-report", "[[tokens=400]] Report on the kit of the river field.", false, true},
        {"txoko-organisers", "damage-tags", "[[hard]] Photo: torn canopy, bent pole."},
        {"txoko-members", "booking-question", "May I bring a dog?", false, false, false, "members-1"},
        {"txoko-members", "booking-question", "And two?", false, true, false, "members-1"},
        {"txoko-members", "booking-question", "What if it rains?", false, false, false, "members-1"},
        {"txoko-members", "booking-question", "Thank you. Until when?", false, true, false, "members-1"},
    };
}

FleetPlan demoPlan()
{
    FleetPlan plan;
    plan.bin = absl::GetFlag(FLAGS_bin);
    plan.runDirectory = absl::GetFlag(FLAGS_run);
    plan.instances = instanceCount;
    plan.zones = zoneCount;
    plan.engines = {{{wattle, banksia}}, {{wattle, banksia}}, {{banksia, karri}}, {{wattle, karri}}};
    plan.services = {"lumara-ledger", "txoko-bookings"};
    plan.settings = "[limits]\ndrain-linger-ms = 500";
    return plan;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path.string());
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// @brief Runs the script on a fleet.
class Demo
{
public:
    // constructors
    Demo()
        : fleet(demoPlan())
    {
    }

    // modifiers
    /// @brief Runs everything. @return whether all checks hold
    bool run()
    {
        this->fleet.startStandIns();
        this->configure();
        this->play();
        this->printTable();
        const bool stopped = this->stopInstances();
        return this->check() && stopped;
    }

private:
    std::filesystem::path file(const std::string &name) const
    {
        return this->fleet.plan().runDirectory / name;
    }

    /// @brief Copies an answer file and replaces its addresses by those of this run. @return the copy
    std::filesystem::path localAnswers(const std::string &organisation)
    {
        std::string text = readFile(std::filesystem::path(absl::GetFlag(FLAGS_answers)) / (organisation + ".ini"));
        for (std::size_t index = 0; index < this->fleet.plan().engines.size(); ++index) {
            replaceAll(text, "127.0.0.1:" + std::to_string(9001 + index), this->fleet.engine(index).address);
        }
        for (std::size_t index = 0; index < this->fleet.plan().services.size(); ++index) {
            replaceAll(text, "127.0.0.1:" + std::to_string(9101 + index), this->fleet.service(index).address);
        }
        auto path = this->file(organisation + ".ini");
        std::ofstream(path) << text;
        return path;
    }

    /// @brief Applies an organisation's answers to the configuration and submits the result.
    void submitAnswers(const std::string &organisation, const std::filesystem::path &base, Revision basedOn)
    {
        const auto next = this->file(organisation + ".json");
        this->fleet.runTool("parsleyvanectl",
                            {"questionnaire", "--answers=" + this->localAnswers(organisation).string(),
                             "--base=" + base.string(), "--out=" + next.string()});
        this->fleet.submit(next, basedOn, organisation + "-operator");
    }

    void configure()
    {
        Configuration base = this->fleet.baseConfiguration();
        base.upstreams.clear();
        std::ofstream(this->file("base.json")) << serialise(base);
        this->submitAnswers("lumara", this->file("base.json"), Revision(0));
        this->fleet.startInstances();
        this->submitAnswers("txoko", this->file("lumara.json"), Revision(1));
        const std::int64_t accepted = bootMilliseconds();
        const bool shown = waitUntil([this] { return this->fleet.allInstancesReport(Revision(2)); });
        const std::int64_t took = bootMilliseconds() - accepted;
        std::cout << absl::StreamFormat("revision 2 in force on %d instances after %d ms\n\n", instanceCount, took);
        this->inForce = shown && took <= inForceBound.count();
        LastReason reason;
        this->configuration = parseConfiguration(readFile(this->file("txoko.json")), reason).value();
    }

    void play()
    {
        std::map<std::string, std::string> tokens;
        std::size_t turn = 0;
        for (const Scene &scene : script()) {
            const Member &instance = this->fleet.instance(turn % this->fleet.instanceCount());
            ++turn;
            Ask ask{
                .apiKey = "demo-" + scene.account, .account = scene.account, .task = scene.task, .body = scene.body};
            ask.stream = scene.stream;
            ask.claimsPriority = scene.claimsPriority;
            ask.conversation = scene.conversation;
            ask.idempotencyKey = "demo-" + std::to_string(turn);
            if (!scene.conversation.empty()) {
                ask.session = tokens.try_emplace(scene.conversation, "new").first->second;
            }
            const Answer answer = scene.service ? sendTask(instance.address, ask) : sendChat(instance.address, ask);
            if (!answer.session.empty()) {
                tokens[scene.conversation] = answer.session;
            }
            this->outcomes.push_back({ask, answer, instance.id});
            this->observe(scene, this->outcomes.back(), instance);
        }
    }

    void observe(const Scene &scene, const Outcome &outcome, const Member &instance)
    {
        ClientObservation got = rig::observe(outcome.ask, outcome.answer, instance);
        if (!scene.service && got.version) {
            got.expected = this->fleet.referenceAnswer(*got.version, promptOf(outcome.ask), this->maxTokens(scene));
        }
        this->observed.push_back(std::move(got));
    }

    unsigned maxTokens(const Scene &scene) const
    {
        const Account *account = this->configuration.findAccount(AccountId(scene.account));
        const Task *task = account != nullptr ? findTask(*account, TaskName(scene.task)) : nullptr;
        const auto *work = task != nullptr ? std::get_if<ModelTask>(&task->work) : nullptr;
        return work != nullptr ? work->maxTokens : 0;
    }

    void printTable() const
    {
        std::cout << absl::StreamFormat("%-18s %-18s %-8s %6s %-12s %9s %8s %6s\n", "account", "task", "instance",
                                        "status", "version", "cost", "first ms", "bytes");
        for (const Outcome &outcome : this->outcomes) {
            const Answer &answer = outcome.answer;
            std::cout << absl::StreamFormat("%-18s %-18s %-8s %6d %-12s %9.6f %8.1f %6d", outcome.ask.account,
                                            outcome.ask.task, outcome.instance, answer.status, answer.version,
                                            static_cast<double>(answer.microCost) / 1e6, answer.firstTokenMs,
                                            answer.text.size());
            std::cout << (answer.error ? " " + answer.error->name + ": " + answer.error->message : "") << "\n";
        }
    }

    /// @brief Terminates all instances gracefully. @return whether all exited with code 0
    bool stopInstances()
    {
        for (std::size_t index = 0; index < this->fleet.instanceCount(); ++index) {
            this->fleet.instance(index).process->terminate();
        }
        bool clean = true;
        for (std::size_t index = 0; index < this->fleet.instanceCount(); ++index) {
            Member &instance = this->fleet.instance(index);
            if (instance.process->wait(stopBound) != 0) {
                std::cout << instance.id << " did not stop cleanly, see " << instance.log.string() << "\n";
                clean = false;
            }
        }
        return clean;
    }

    /// @brief Checks that every request was answered, and ran on an engine or was applied by a service.
    Violations checkServed(const Records &records) const
    {
        Violations violations;
        for (const ClientObservation &got : this->observed) {
            const auto ofRequest = [&got](const auto &event) {
                return event.request == got.request;
            };
            const bool ran = std::any_of(records.runs.begin(), records.runs.end(), ofRequest)
                || std::any_of(records.applied.begin(), records.applied.end(), ofRequest);
            if (!got.succeeded || !ran) {
                violations.push_back({5,
                                      "request " + got.request.str() + " of " + got.account.str()
                                          + (ran ? " was not answered" : " did not run")});
            }
        }
        return violations;
    }

    bool check() const
    {
        const Records records = this->fleet.records();
        Violations all;
        const auto add = [&all](Violations some) {
            all.insert(all.end(), some.begin(), some.end());
        };
        add(this->checkServed(records));
        add(checkRunOnce(records));
        add(checkAllowedVersions(records, this->configuration));
        add(checkSessions(records, this->observed));
        add(checkBills(records, this->observed));
        add(checkAnswers(this->observed));
        add(checkNotRun(records, this->observed));
        add(checkAtMostOnce(records));
        if (!this->inForce) {
            all.push_back({10, "the second revision took too long to be in force"});
        }
        std::cout << absl::StreamFormat("\nrecorded: %d runs, %d operations, %d bills\n", records.runs.size(),
                                        records.applied.size(), records.bills.size());
        for (const Violation &violation : all) {
            std::cout << "BROKEN " << violation.invariant << ": " << violation.what << "\n";
        }
        std::cout << (all.empty() ? "all checks hold: each request was run, answered and billed once\n" : "");
        return all.empty();
    }

    Fleet fleet;
    Configuration configuration;
    std::vector<Outcome> outcomes;
    std::vector<ClientObservation> observed;
    bool inForce = false;
};

} // namespace

} // namespace parsleyvane::rig

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Starts a fleet on loopback, serves both organisations and checks the records.");
    absl::ParseCommandLine(argc, argv);
    try {
        parsleyvane::rig::Demo demo;
        return demo.run() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "demo: " << error.what() << "\n";
        return 1;
    }
}
