#include "httpserver.h"
#include "lagging.h"
#include "recorder.h"
#include "table.h"
#include "target.h"

#include <absl/flags/flag.h>
#include <algorithm>

ABSL_FLAG(double, weight_rate, 2, "reads of weights answered in a second");
ABSL_FLAG(std::int64_t, list_lag_ms, 0, "how late the instance list shows a change");

namespace parsleyvane::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::int64_t maxListLagMs = 60'000;
constexpr std::int64_t weightBytes = 4'000'000'000;

struct PlatformFaults
{
    bool down = false;
    std::int64_t delayMs = 0;
    std::int64_t loseReplies = 0;
    bool staleReads = false;
    std::int64_t listLagMs = 0;
};

bool isControl(const std::string &path)
{
    return path == "/faults" || path == "/record";
}

/// @brief Whether changes of this row are recorded one by one, with the value written.
bool isAudited(const std::string &key)
{
    return key.starts_with("bill/") || key.starts_with("runonce/");
}

bool passesRating(const std::string &question, const std::string &answer)
{
    const bool tooHard = question.find("[[hard]]") != std::string::npos && answer.starts_with("wattle");
    return !answer.starts_with("BAD ") && !tooHard;
}

/// @brief A token bucket that holds the tokens of one second, and at least one.
class RateLimit
{
public:
    // constructors
    explicit RateLimit(double perSecond);

    // modifiers
    /// @param now in milliseconds
    bool allow(std::int64_t now);

private:
    double perSecond;
    double available;
    std::int64_t filledAt = 0;
};

RateLimit::RateLimit(double perSecond)
    : perSecond(perSecond)
    , available(std::max(1.0, perSecond))
{
}

bool RateLimit::allow(std::int64_t now)
{
    constexpr double millisecondsPerSecond = 1000.0;
    const double gained = static_cast<double>(now - this->filledAt) / millisecondsPerSecond * this->perSecond;
    this->available = std::min(std::max(1.0, this->perSecond), this->available + gained);
    this->filledAt = now;
    if (this->available < 1.0) {
        return false;
    }
    this->available -= 1.0;
    return true;
}

} // namespace

/// @brief The platform: table, object store, instance list, rating service and weight store.
class Platform
{
public:
    Platform(const std::string &recordPath, double weightRate, std::int64_t listLagMs)
        : recorder(recordPath)
        , weightLimit(weightRate)
        , members(Members(), maxListLagMs)
    {
        this->faults.listLagMs = listLagMs;
    }

    asio::awaitable<void> serve(Connection &connection, const Request &request)
    {
        const Target target = parseTarget(request.target());
        if (isControl(target.path)) {
            Reply reply = this->control(request, target);
            co_await connection.send(std::move(reply));
            co_return;
        }
        if (this->faults.delayMs > 0) {
            co_await waitFor(std::chrono::milliseconds(this->faults.delayMs));
        }
        if (this->faults.down) {
            connection.close();
            co_return;
        }
        Reply reply = this->answer(request, target);
        if (target.path == "/table/transact" && this->faults.loseReplies > 0 && writes(request.body())) {
            --this->faults.loseReplies;
            connection.close();
            co_return;
        }
        co_await connection.send(std::move(reply));
    }

private:
    using Members = std::map<std::string, Json>;

    /// Whether a transaction writes. One that only checks is a probe; losing its reply would test nothing.
    static bool writes(const std::string &body)
    {
        const Json json = Json::parse(body, nullptr, false);
        const auto names = [&json](const char *member) {
            return json.is_object() && json.contains(member) && !json.at(member).empty();
        };
        return names("puts") || names("deletes");
    }

    Reply control(const Request &request, const Target &target)
    {
        if (target.path == "/record") {
            return {.body = this->recorder.json()};
        }
        return faultsReply(request,
                           {{"down", &this->faults.down},
                            {"delayMs", &this->faults.delayMs},
                            {"loseReplies", &this->faults.loseReplies},
                            {"staleReads", &this->faults.staleReads},
                            {"listLagMs", &this->faults.listLagMs}});
    }

    Reply answer(const Request &request, const Target &target)
    {
        const bool get = request.method() == http::verb::get;
        const bool post = request.method() == http::verb::post;
        if (get && target.path == "/table/row") {
            return this->readRow(target);
        }
        if (get && target.path == "/table/scan") {
            return this->scanRows(target);
        }
        if (post && target.path == "/table/transact") {
            return this->transact(Json::parse(request.body()));
        }
        if (target.path == "/instances") {
            return post ? this->changeMember(Json::parse(request.body())) : this->listMembers();
        }
        if (post && target.path == "/ratings") {
            return this->rate(Json::parse(request.body()));
        }
        if (const auto name = afterPrefix(target.path, "/objects/")) {
            return this->object(request, *name);
        }
        if (const auto weight = afterPrefix(target.path, "/weights/")) {
            return this->readWeights(*weight);
        }
        return unknownPath();
    }

    ReadState readState() const
    {
        return this->faults.staleReads ? ReadState::BeforeLastWrite : ReadState::Current;
    }

    Reply readRow(const Target &target) const
    {
        constexpr unsigned notFound = 404;
        const auto key = target.query.find("key");
        if (key == target.query.end()) {
            return unknownPath();
        }
        const KeyedRow keyed{key->second, this->table.read(key->second, this->readState())};
        return jsonReply(keyed.row.version > 0 ? 200 : notFound, rowJson(keyed));
    }

    Reply scanRows(const Target &target) const
    {
        const auto prefix = target.query.find("prefix");
        const std::string wanted = prefix == target.query.end() ? "" : prefix->second;
        Json rows = Json::array();
        for (const KeyedRow &keyed : this->table.scan(wanted, this->readState())) {
            rows.push_back(rowJson(keyed));
        }
        return jsonReply(200, {{"rows", rows}});
    }

    Reply transact(const Json &body)
    {
        constexpr unsigned conflict = 409;
        const Transaction transaction = parseTransaction(body);
        Json rows = Json::array();
        for (const KeyedRow &keyed : this->table.conflicts(transaction)) {
            rows.push_back(rowJson(keyed));
        }
        if (!rows.empty()) {
            return jsonReply(conflict, {{"committed", false}, {"rows", rows}});
        }
        const auto versions = this->table.commit(transaction);
        this->recordCommit(transaction, versions);
        return jsonReply(200, {{"committed", true}, {"versions", versions}});
    }

    void recordCommit(const Transaction &transaction, const std::map<std::string, std::uint64_t> &versions)
    {
        Json keys = Json::array();
        for (const auto &[key, version] : versions) {
            keys.push_back(key);
        }
        this->recorder.add({{"type", "committed"}, {"keys", keys}});
        for (const RowPut &put : transaction.puts) {
            if (isAudited(put.key)) {
                this->recorder.add(
                    {{"type", "put"}, {"key", put.key}, {"version", versions.at(put.key)}, {"value", put.value}});
            }
        }
        for (const std::string &key : transaction.deletes) {
            if (isAudited(key)) {
                this->recorder.add({{"type", "deleted"}, {"key", key}});
            }
        }
    }

    Reply object(const Request &request, const std::string &name)
    {
        if (request.method() == http::verb::put) {
            this->objects[name] = request.body();
            return {};
        }
        const auto found = this->objects.find(name);
        if (found == this->objects.end()) {
            return unknownPath();
        }
        return {.body = found->second, .contentType = "application/octet-stream"};
    }

    Reply changeMember(const Json &member)
    {
        const std::int64_t now = bootMilliseconds();
        Members changed = this->members.get(now, 0);
        const auto id = member.at("id").get<std::string>();
        if (member.value("gone", false)) {
            changed.erase(id);
        } else {
            changed[id] = member;
        }
        this->members.set(now, std::move(changed));
        return {};
    }

    Reply listMembers() const
    {
        Json list = Json::array();
        for (const auto &[id, member] : this->members.get(bootMilliseconds(), this->faults.listLagMs)) {
            list.push_back(member);
        }
        return jsonReply(200, {{"members", list}});
    }

    Reply rate(const Json &body)
    {
        const auto question = body.at("question").get<std::string>();
        const bool passed = passesRating(question, body.at("answer").get<std::string>());
        const int score = passed ? 1 : 0;
        this->recorder.add({{"type", "rating"},
                            {"account", body.at("account")},
                            {"task", body.at("task")},
                            {"question", question},
                            {"passed", passed},
                            {"score", score}});
        return jsonReply(200, {{"passed", passed}, {"score", score}});
    }

    Reply readWeights(const std::string &weight)
    {
        constexpr unsigned tooManyRequests = 429;
        if (!this->weightLimit.allow(bootMilliseconds())) {
            Reply reply{.status = tooManyRequests};
            reply.retryAfterSeconds = 1;
            return reply;
        }
        this->recorder.add({{"type", "weights"}, {"weights", weight}});
        return jsonReply(200, {{"bytes", weightBytes}});
    }

    Recorder recorder;
    PlatformFaults faults;
    Table table;
    std::map<std::string, std::string> objects;
    RateLimit weightLimit;
    Lagging<Members> members;
};

} // namespace parsleyvane::standins

int main(int argc, char **argv)
{
    using namespace parsleyvane::standins;
    parseCommandLine(argc, argv, "The platform for tests: table, objects, instance list, ratings and weights.");
    Platform platform(absl::GetFlag(FLAGS_record), absl::GetFlag(FLAGS_weight_rate), absl::GetFlag(FLAGS_list_lag_ms));
    const Handler handler = [&platform](Connection &connection, const Request &request) {
        return platform.serve(connection, request);
    };
    return runServer("standin-platform", handler);
}
