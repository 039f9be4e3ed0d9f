#include "answer.h"
#include "generation.h"
#include "httpserver.h"
#include "lagging.h"
#include "prefixcache.h"
#include "recorder.h"
#include "runstream.h"
#include "target.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <unistd.h>

ABSL_FLAG(std::int64_t, slots, 8, "requests that run at once");
ABSL_FLAG(std::int64_t, token_delay_us, 2000, "time between two tokens of an answer, in microseconds");
ABSL_FLAG(std::string, loads, "", "what is loaded at the start: MODEL@VERSION, separated by commas");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the choice of bad answers and errors");
ABSL_FLAG(bool, check_fence, true, "refuse orders with an old fencing number");
ABSL_FLAG(std::int64_t, load_lag_ms, 0, "how late load reports and cache events are");
ABSL_FLAG(std::size_t, cache_prefixes, 64, "entries of the prefix cache");

namespace parsleyvane::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned unavailable = 503;
constexpr std::int64_t maxWaitingPerSlot = 4;
constexpr std::chrono::milliseconds queuePollInterval{20};
constexpr std::size_t maxCacheEvents = 10'000;
/// @brief One cache event in this many is never reported; its sequence number is skipped.
constexpr std::uint64_t cacheEventGap = 8;

struct EngineFaults
{
    std::int64_t slots = 0;
    std::int64_t tokenDelayUs = 0;
    double errorRate = 0;
    double badQuality = 0;
    bool leaving = false;
    bool refuse = false;
    bool ignoreFence = false;
    StreamFaults stream; ///< applies to attempts that arrive after the change
};

struct EngineOptions
{
    std::vector<LoadedVersion> loaded;
    std::uint64_t seed = 0;
    bool checkFence = true;
    std::int64_t loadLagMs = 0;
    std::size_t cachePrefixes = 0;
    std::string recordPath;
};

/// @brief An attempt that is queued or running.
struct Run
{
    Generation wanted;
    RunStream stream;
    asio::steady_timer wake;
    bool started = false;
    bool cancelled = false;
    std::int64_t outputTokens = 0;
};

/// @brief Position in the queue: higher priority first, then order of arrival.
struct QueuePlace
{
    std::int64_t priority = 0;
    std::uint64_t arrival = 0;

    friend bool operator<(const QueuePlace &a, const QueuePlace &b)
    {
        return a.priority != b.priority ? a.priority > b.priority : a.arrival < b.arrival;
    }
};

/// @brief How a run ended.
enum class RunEnd {
    Finished,
    Cancelled,
    Cut,
    Failed,
};

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Finished:
        return "finished";
    case RunEnd::Cancelled:
        return "cancelled";
    case RunEnd::Cut:
        return "cut";
    case RunEnd::Failed:
        return "failed";
    }
    return "";
}

struct LoadReport
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    bool leaving = false;
    std::vector<LoadedVersion> loaded;
};

struct CacheEvent
{
    std::uint64_t sequence = 0;
    std::int64_t at = 0;
    CacheChange change;
};

Reply refusal(const std::string &reason)
{
    constexpr int retryAfterMs = 50;
    return jsonReply(unavailable, {{"ran", false}, {"reason", reason}, {"retryAfterMs", retryAfterMs}});
}

std::vector<LoadedVersion> parseLoads(const std::string &text)
{
    std::vector<LoadedVersion> loaded;
    const std::vector<std::string> entries = absl::StrSplit(text, ',', absl::SkipEmpty());
    for (const std::string &entry : entries) {
        const std::size_t at = std::min(entry.find('@'), entry.size());
        loaded.push_back({entry.substr(0, at), entry.substr(std::min(at + 1, entry.size()))});
    }
    return loaded;
}

} // namespace

/// @brief A model engine with continuous batching.
class Engine
{
public:
    Engine(EngineOptions options, const EngineFaults &faults)
        : options(std::move(options))
        , faults(faults)
        , recorder(this->options.recordPath)
        , loaded(this->options.loaded)
        , everLoaded(this->options.loaded.begin(), this->options.loaded.end())
        , load(LoadReport{0, 0, faults.slots, false, this->options.loaded}, this->options.loadLagMs)
        , cache(this->options.cachePrefixes)
    {
    }

    asio::awaitable<void> serve(Connection &connection, const Request &request)
    {
        const Target target = parseTarget(request.target());
        if (target.path == "/generate" && request.method() == http::verb::post) {
            co_await this->generate(connection, request);
            co_return;
        }
        Reply reply = this->answer(request, target);
        co_await connection.send(std::move(reply));
    }

private:
    Reply answer(const Request &request, const Target &target)
    {
        if (request.method() == http::verb::get) {
            return this->show(target);
        }
        if (target.path == "/cancel") {
            return this->cancel(Json::parse(request.body()));
        }
        if (target.path == "/orders") {
            return this->order(Json::parse(request.body()));
        }
        if (target.path == "/faults") {
            return this->changeFaults(request);
        }
        return unknownPath();
    }

    Reply show(const Target &target) const
    {
        if (target.path == "/load") {
            return this->showLoad();
        }
        if (target.path == "/cache-events") {
            return this->showCacheEvents(target);
        }
        if (target.path == "/record") {
            return {.body = this->recorder.json()};
        }
        return unknownPath();
    }

    Reply showLoad() const
    {
        const LoadReport &report = this->load.get(bootMilliseconds(), this->options.loadLagMs);
        return jsonReply(200,
                         {{"running", report.running},
                          {"waiting", report.waiting},
                          {"slots", report.slots},
                          {"leaving", report.leaving},
                          {"loaded", loadedJson(report.loaded)}});
    }

    Reply showCacheEvents(const Target &target) const
    {
        const auto since = target.query.find("since");
        const std::uint64_t after = since == target.query.end() ? 0 : std::strtoull(since->second.c_str(), nullptr, 10);
        const std::int64_t visibleUntil = bootMilliseconds() - this->options.loadLagMs;
        Json events = Json::array();
        for (const CacheEvent &event : this->cacheEvents) {
            if (event.sequence <= after || event.at > visibleUntil) {
                continue;
            }
            events.push_back({{"seq", event.sequence}, {"prefix", event.change.prefix}, {"kept", event.change.kept}});
        }
        return jsonReply(200, {{"events", events}});
    }

    Reply changeFaults(const Request &request)
    {
        Reply reply = faultsReply(request,
                                  {{"slots", &this->faults.slots},
                                   {"tokenDelayUs", &this->faults.tokenDelayUs},
                                   {"errorRate", &this->faults.errorRate},
                                   {"badQuality", &this->faults.badQuality},
                                   {"silentAfter", &this->faults.stream.silentAfter},
                                   {"cutAfter", &this->faults.stream.cutAfter},
                                   {"cutLooksFinished", &this->faults.stream.cutLooksFinished},
                                   {"duplicate", &this->faults.stream.duplicate},
                                   {"reorder", &this->faults.stream.reorder},
                                   {"leaving", &this->faults.leaving},
                                   {"refuse", &this->faults.refuse},
                                   {"ignoreFence", &this->faults.ignoreFence}});
        this->startWaiting();
        this->updateLoadReport();
        return reply;
    }

    /// @brief Cancels an attempt; the reply reports whether it was known and whether it had started to run.
    Reply cancel(const Json &body)
    {
        const auto attempt = body.at("attempt").get<std::string>();
        bool known = false;
        bool ran = false;
        for (Run *run : this->attempts) {
            if (run->wanted.attempt != attempt) {
                continue;
            }
            known = true;
            ran = ran || run->started;
            run->cancelled = true;
            run->wake.cancel();
        }
        return jsonReply(200, {{"known", known}, {"ran", ran}});
    }

    Reply order(const Json &body)
    {
        constexpr unsigned conflict = 409;
        const auto fence = body.at("fence").get<std::uint64_t>();
        const bool checked = this->options.checkFence && !this->faults.ignoreFence;
        const bool obeyed = !checked || fence >= this->highestFence;
        std::vector<LoadedVersion> wanted = parseLoaded(body.at("loaded"));
        this->recorder.add({{"type", "order"},
                            {"owner", body.at("owner")},
                            {"fence", fence},
                            {"loaded", body.at("loaded")},
                            {"obeyed", obeyed}});
        if (!obeyed) {
            return jsonReply(conflict, {{"fence", this->highestFence}});
        }
        this->highestFence = std::max(this->highestFence, fence);
        this->everLoaded.insert(wanted.begin(), wanted.end());
        this->loaded = std::move(wanted);
        this->updateLoadReport();
        return {};
    }

    bool isLoaded(const LoadedVersion &version) const
    {
        return std::find(this->loaded.begin(), this->loaded.end(), version) != this->loaded.end();
    }

    /// @brief The reason to refuse a version; nothing if it is loaded.
    std::optional<std::string> versionRefusal(const LoadedVersion &version) const
    {
        if (this->isLoaded(version)) {
            return std::nullopt;
        }
        return this->everLoaded.contains(version) ? "withdrawn" : "not-loaded";
    }

    /// @brief The reason to refuse a new attempt; nothing if it is accepted.
    std::optional<std::string> newWorkRefusal(const Generation &wanted) const
    {
        if (this->faults.leaving) {
            return "leaving";
        }
        const auto waitingCount = static_cast<std::int64_t>(this->waiting.size());
        if (this->faults.refuse || waitingCount >= maxWaitingPerSlot * this->faults.slots) {
            return "full";
        }
        return this->versionRefusal(wanted.version);
    }

    asio::awaitable<void> generate(Connection &connection, const Request &request)
    {
        const Generation wanted = parseGeneration(Json::parse(request.body()));
        if (const auto reason = this->newWorkRefusal(wanted)) {
            Reply reply = refusal(*reason);
            co_await connection.send(std::move(reply));
            co_return;
        }
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        Run run{wanted, RunStream(connection, this->faults.stream), asio::steady_timer(executor)};
        this->attempts.push_back(&run);
        co_await this->waitForSlot(run);
        if (run.started) {
            const RunEnd end = co_await this->answerRun(run);
            this->recorder.add({{"type", "ran"},
                                {"attempt", run.wanted.attempt},
                                {"outputTokens", run.outputTokens},
                                {"end", runEndName(end)}});
            --this->running;
            this->startWaiting();
            this->updateLoadReport();
        }
        std::erase(this->attempts, &run);
        co_await run.stream.end(run.cancelled);
    }

    /// @brief Waits in the queue; returns once the run has started or its refusal has been sent.
    asio::awaitable<void> waitForSlot(Run &run)
    {
        const QueuePlace place{run.wanted.priority, this->arrivals++};
        this->waiting.emplace(place, &run);
        this->startWaiting();
        this->updateLoadReport();
        while (!run.started && !run.cancelled && !run.stream.peerClosed()) {
            if (this->versionRefusal(run.wanted.version)) {
                break;
            }
            run.wake.expires_after(queuePollInterval);
            co_await waitOn(run.wake);
        }
        if (run.started) {
            co_return;
        }
        this->waiting.erase(place);
        this->updateLoadReport();
        Reply reply = refusal(this->versionRefusal(run.wanted.version).value_or("cancelled"));
        co_await run.stream.refuse(std::move(reply));
    }

    static asio::awaitable<void> waitOn(asio::steady_timer &timer)
    {
        boost::system::error_code ignored;
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        co_await timer.async_wait(token);
    }

    /// @brief Starts queued attempts in order while slots are free; an attempt counts as run once it is recorded.
    void startWaiting()
    {
        while (this->running < this->faults.slots && !this->waiting.empty()) {
            Run *next = this->waiting.begin()->second;
            this->waiting.erase(this->waiting.begin());
            if (next->cancelled || !this->isLoaded(next->wanted.version)) {
                continue; // its waitForSlot() sends the refusal
            }
            this->recordRun(next->wanted);
            next->started = true;
            next->wake.cancel();
            ++this->running;
        }
    }

    void updateLoadReport()
    {
        const auto waitingCount = static_cast<std::int64_t>(this->waiting.size());
        LoadReport report{this->running, waitingCount, this->faults.slots, this->faults.leaving, this->loaded};
        this->load.set(bootMilliseconds(), std::move(report));
    }

    void recordRun(const Generation &wanted)
    {
        this->recorder.add({{"type", "run"},
                            {"attempt", wanted.attempt},
                            {"request", wanted.request},
                            {"account", wanted.account},
                            {"model", wanted.version.model},
                            {"version", wanted.version.version},
                            {"priority", wanted.priority},
                            {"offset", wanted.offset}});
    }

    asio::awaitable<RunEnd> answerRun(Run &run)
    {
        constexpr unsigned internalError = 500;
        if (run.wanted.prompt.find("[[poison]]") != std::string::npos) {
            ::_exit(1);
        }
        if (shareOf(hashOf(run.wanted.attempt, this->options.seed)) < this->faults.errorRate) {
            Reply reply = jsonReply(internalError, {{"error", "the run failed"}});
            co_await run.stream.refuse(std::move(reply));
            co_return RunEnd::Failed;
        }
        co_await run.stream.begin();
        co_return co_await this->streamAnswer(run);
    }

    asio::awaitable<RunEnd> streamAnswer(Run &run)
    {
        const std::int64_t cachedTokens = this->useCache(run.wanted.prompt);
        const std::vector<std::string> tokens = answerTokens(this->sourceOf(run.wanted));
        std::size_t offset = 0;
        Clock::time_point due = Clock::now();
        for (const std::string &token : tokens) {
            const std::size_t begin = std::max(offset, run.wanted.offset);
            const std::size_t end = offset + token.size();
            const std::string text = begin < end ? token.substr(begin - offset) : std::string();
            offset = end;
            if (text.empty()) {
                continue;
            }
            due = std::max(due + std::chrono::microseconds(this->faults.tokenDelayUs), Clock::now());
            run.wake.expires_at(due);
            co_await waitOn(run.wake);
            if (run.cancelled || run.stream.peerClosed()) {
                co_return RunEnd::Cancelled;
            }
            ++run.outputTokens;
            const Json event{{"attempt", run.wanted.attempt}, {"offset", begin}, {"text", text}};
            if (!co_await run.stream.emit(dumpJson(event))) {
                co_return RunEnd::Cut;
            }
        }
        const Json last{{"attempt", run.wanted.attempt},
                        {"offset", offset},
                        {"end", true},
                        {"promptTokens", countWords(run.wanted.prompt)},
                        {"cachedTokens", cachedTokens},
                        {"outputTokens", tokens.size()}};
        const bool sent = co_await run.stream.emit(dumpJson(last));
        co_return sent ? RunEnd::Finished : RunEnd::Cut;
    }

    std::int64_t useCache(const std::string &prompt)
    {
        const CacheUse use = this->cache.use(prompt);
        for (const CacheChange &change : use.changes) {
            ++this->cacheSequence;
            if (this->cacheSequence % cacheEventGap == 0) {
                continue;
            }
            this->cacheEvents.push_back({this->cacheSequence, bootMilliseconds(), change});
        }
        while (this->cacheEvents.size() > maxCacheEvents) {
            this->cacheEvents.pop_front();
        }
        return use.cachedTokens;
    }

    /// @brief The source of an answer; a resumed answer is good or bad according to its prefix, without a new sample.
    AnswerSource sourceOf(const Generation &wanted) const
    {
        const std::string_view badMarker = "BAD ";
        const bool sampledBad = shareOf(hashOf(wanted.prompt, this->options.seed)) < this->faults.badQuality;
        const bool resumedBad = badMarker.starts_with(wanted.prefix.substr(0, badMarker.size()));
        return {.prompt = wanted.prompt,
                .model = wanted.version.model,
                .version = wanted.version.version,
                .maxTokens = wanted.maxTokens,
                .bad = wanted.prefix.empty() ? sampledBad : resumedBad};
    }

    EngineOptions options;
    EngineFaults faults;
    Recorder recorder;
    std::vector<LoadedVersion> loaded;
    std::set<LoadedVersion> everLoaded;
    std::uint64_t highestFence = 0;
    Lagging<LoadReport> load;
    std::vector<Run *> attempts;
    std::map<QueuePlace, Run *> waiting;
    std::uint64_t arrivals = 0;
    std::int64_t running = 0;
    PrefixCache cache;
    std::deque<CacheEvent> cacheEvents;
    std::uint64_t cacheSequence = 0;
};

} // namespace parsleyvane::standins

int main(int argc, char **argv)
{
    using namespace parsleyvane::standins;
    parseCommandLine(argc, argv, "A model engine for tests: continuous batching, deterministic answers, faults.");
    EngineOptions options{.loaded = parseLoads(absl::GetFlag(FLAGS_loads)),
                          .seed = absl::GetFlag(FLAGS_seed),
                          .checkFence = absl::GetFlag(FLAGS_check_fence),
                          .loadLagMs = absl::GetFlag(FLAGS_load_lag_ms),
                          .cachePrefixes = absl::GetFlag(FLAGS_cache_prefixes),
                          .recordPath = absl::GetFlag(FLAGS_record)};
    const EngineFaults faults{.slots = absl::GetFlag(FLAGS_slots), .tokenDelayUs = absl::GetFlag(FLAGS_token_delay_us)};
    Engine engine(std::move(options), faults);
    const Handler handler = [&engine](Connection &connection, const Request &request) {
        return engine.serve(connection, request);
    };
    return runServer("standin-engine", handler);
}
