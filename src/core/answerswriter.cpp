#include "parsleyvane/config/questionnaire.h"

#include <charconv>
#include <map>

namespace parsleyvane {

namespace {

/// Enough for any double in its shortest exact form.
constexpr std::size_t maxNumberBytes = 32;

std::string numberText(double number)
{
    char text[maxNumberBytes];
    const auto [end, error] = std::to_chars(text, text + maxNumberBytes, number);
    return {text, end};
}

/// Builds INI text.
class IniWriter
{
public:
    void section(const std::string &heading)
    {
        this->text += (this->text.empty() ? "[" : "\n[") + heading + "]\n";
    }
    void value(const std::string &key, const std::string &value)
    {
        this->text += key + " = " + value + "\n";
    }
    void flag(const std::string &key, bool value)
    {
        this->value(key, value ? "yes" : "no");
    }
    /// Continues under "KEY-2" and so on when a line would exceed maxIniLineBytes.
    void list(const std::string &key, const std::vector<std::string> &pieces)
    {
        std::string line;
        std::string partKey = key;
        unsigned number = 1;
        for (const std::string &piece : pieces) {
            if (!line.empty() && partKey.size() + line.size() + piece.size() + separatorBytes > maxIniLineBytes) {
                this->value(partKey, line);
                line.clear();
                partKey = key + "-" + std::to_string(++number);
            }
            line += (line.empty() ? "" : ", ") + piece;
        }
        if (!line.empty()) {
            this->value(partKey, line);
        }
    }
    void versions(const std::string &key, const std::vector<ModelVersion> &versions)
    {
        std::vector<std::string> pieces;
        pieces.reserve(versions.size());
        for (const ModelVersion &version : versions) {
            pieces.push_back(versionText(version));
        }
        this->list(key, pieces);
    }
    std::string take()
    {
        return std::move(this->text);
    }

private:
    /// Upper bound for the characters between key and value and between two pieces.
    static constexpr std::size_t separatorBytes = 8;

    std::string text;
};

void writeAccount(IniWriter &writer, const Account &account)
{
    writer.section("account " + account.id.str());
    writer.list("key-hashes", account.keyHashes);
    writer.versions("allowed", account.allowed);
    writer.value("cost-weight", numberText(account.costWeight));
    writer.value("requests-per-second", numberText(account.limits.requestsPerSecond));
    writer.value("burst", numberText(account.limits.burst));
    writer.value("in-flight", std::to_string(account.limits.inFlight));
    writer.flag("priority", account.priority.bought);
    writer.value("priority-share", numberText(account.priority.share));
}

struct WorkWriter
{
    IniWriter &writer;

    void operator()(const ModelTask &work) const
    {
        std::vector<std::string> chain;
        chain.reserve(work.chain.size());
        for (const ModelName &model : work.chain) {
            chain.push_back(model.str());
        }
        this->writer.list("chain", chain);
        this->writer.value("quality-target", numberText(work.qualityTarget));
        this->writer.flag("resumable", work.resumable);
        this->writer.value("max-tokens", std::to_string(work.maxTokens));
    }
    void operator()(const ServiceTask &work) const
    {
        this->writer.value("service", work.service.str());
        this->writer.value("operation", work.operation);
    }
};

struct KindWriter
{
    IniWriter &writer;

    void operator()(const Engine &engine) const
    {
        this->writer.versions("loads", engine.loads);
        this->writer.value("slots", std::to_string(engine.slots));
        this->writer.flag("checks-fence", engine.checksFence);
    }
    void operator()(const PlainService &service) const
    {
        this->writer.value("service", service.name.str());
    }
};

void writeTask(IniWriter &writer, const Task &task, const std::vector<std::string> &owners)
{
    writer.section("task " + task.name.str());
    writer.list("accounts", owners);
    std::visit(WorkWriter{writer}, task.work);
    writer.flag("repeatable", task.repeatable);
    writer.value("max-wait-ms", std::to_string(task.maxWait.count()));
}

/// Writes one section for each task name, with all accounts that have the task.
void writeTasks(IniWriter &writer, const std::vector<Account> &accounts)
{
    std::vector<Task> tasks;
    std::map<std::string, std::vector<std::string>> owners;
    for (const Account &account : accounts) {
        for (const Task &task : account.tasks) {
            if (!owners.contains(task.name.str())) {
                tasks.push_back(task);
            }
            owners[task.name.str()].push_back(account.id.str());
        }
    }
    for (const Task &task : tasks) {
        writeTask(writer, task, owners[task.name.str()]);
    }
}

void writeVersion(IniWriter &writer, const VersionAnswers &version)
{
    writer.section("version " + versionText(version.id));
    if (version.state) {
        writer.value("state", std::string(versionStateName(*version.state)));
    }
    if (version.weight) {
        writer.value("weight", std::to_string(*version.weight));
    }
    writer.value("initial-state", std::string(versionStateName(version.initialState)));
    writer.value("initial-weight", std::to_string(version.initialWeight));
    if (version.costPerMillionTokens) {
        writer.value("cost-per-million", std::to_string(version.costPerMillionTokens->value()));
    }
}

void writeUpstream(IniWriter &writer, const Upstream &upstream)
{
    const bool engine = std::holds_alternative<Engine>(upstream.kind);
    writer.section((engine ? "engine " : "service ") + upstream.id.str());
    writer.value("address", upstream.address);
    writer.value("zone", upstream.zone.str());
    std::visit(KindWriter{writer}, upstream.kind);
}

} // namespace

std::string writeAnswers(const Answers &answers)
{
    IniWriter writer;
    writer.section("organisation");
    writer.value("name", answers.organisation);
    for (const Account &account : answers.accounts) {
        writeAccount(writer, account);
    }
    writeTasks(writer, answers.accounts);
    for (const VersionAnswers &version : answers.versions) {
        writeVersion(writer, version);
    }
    for (const Upstream &upstream : answers.upstreams) {
        writeUpstream(writer, upstream);
    }
    return writer.take();
}

} // namespace parsleyvane
