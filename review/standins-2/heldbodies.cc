// One zone of the Txoko sheet: two machines, its rate of requests, bodies as long as the configuration's limit allows.
// With TROUBLE, one of the two machines is lost. The platform kills a process that exceeds the machine's memory.
#include "rig.hh"

#include <set>

using namespace rig;

namespace {

constexpr std::size_t memoryLimit = 260UL * 1024 * 1024; ///< memory_mb of the sheet's machines
constexpr std::size_t longBody = 4194304; ///< max_body_bytes of the configuration
constexpr long lengthMs = 40000;
constexpr long lossAtMs = 14000;

struct Kind
{
    const char *name;
    const char *path;
    double perSecond; ///< in the zone bilbo-a, by the sheet's mix
    std::size_t body;
    int events; ///< 0: not a stream
    bool repeatable;
    int deadlineMs;
};

const std::vector<Kind> kinds = {
    {"return-report", "/report/", 6.7, longBody, 76, true, 25000},
    {"photo-tag", "/photo/", 9.8, longBody, 5, true, 5000},
    {"member-chat", "/chat/", 9.8, 900, 58, true, 25000},
    {"deposit-take", "/deposit/", 6.6, 600, 0, false, 1500},
    {"stock-look", "/stock/", 2.6, 0, 0, true, 1500},
};

const std::string fullBody(longBody, 'x');

std::mutex ranMutex;
std::set<std::string> arrived; ///< ids of the requests that reached a server

/// A sound server: it reads the request, begins after half a second, and makes an event every 60 ms.
void serveRequests(int fd, const std::string &id)
{
    Reader reader(fd);
    Message request;
    while (reader.readHead(request)) {
        if (!reader.readBody(request, 0)) {
            return;
        }
        const std::string attempt = request.header("x-parsleyvane-attempt-id");
        if (request.header("x-parsleyvane-expect-instance") != id) {
            sendAll(fd,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Parsleyvane-Instance-Id: " + id
                        + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        {
            const std::lock_guard lock(ranMutex);
            arrived.insert(attempt);
        }
        const std::string path = request.first.substr(request.first.find(' ') + 1);
        int events = 0;
        for (const Kind &kind : kinds) {
            events = path.starts_with(kind.path) ? kind.events : events;
        }
        record.line("server %s runs %s (%zu bytes)", id.c_str(), attempt.c_str(), request.bodyBytes);
        const std::string head = "HTTP/1.1 200 OK\r\nX-Parsleyvane-Attempt-Id: " + attempt
            + "\r\nX-Parsleyvane-Server-Signature: s." + attempt + "\r\nContent-Type: text/event-stream\r\n";
        if (events == 0) {
            sleepMs(30);
            const std::string body(800, 'a');
            if (!sendAll(fd, head + "Content-Length: 800\r\n\r\n" + body)) {
                return;
            }
            continue;
        }
        sleepMs(500);
        std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
        const int from = std::atoi(request.header("last-event-id").c_str());
        for (int event = from + 1; event <= events; ++event) {
            const std::string piece = "id: " + std::to_string(event) + "\ndata: five tokens of the answer are here\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
            text += size + piece + "\r\n";
            if (!sendAll(fd, text)) {
                record.line("server %s dropped %s: its channel closed", id.c_str(), attempt.c_str());
                return;
            }
            text.clear();
            sleepMs(60);
        }
        if (!sendAll(fd, text + "0\r\n\r\n")) {
            return;
        }
    }
}

struct Channel
{
    int fd = -1;
    int answers = 0; ///< complete ones so far
};

struct Front
{
    Daemon daemon;
    std::mutex mutex;
    std::vector<Channel> idle;
    std::atomic<bool> lost{false};
    int kills = 0;
    std::size_t peak = 0;
};

std::atomic<int> lostOnKept{0};
std::atomic<int> lostInAll{0};
std::atomic<int> served{0};
std::atomic<int> refused{0};

/// One client attempt. Returns whether it got a complete answer, or was refused.
bool attempt(Front &front, const Kind &kind, const std::string &id)
{
    Channel channel;
    {
        const std::lock_guard lock(front.mutex);
        if (!front.idle.empty()) {
            channel = front.idle.back();
            front.idle.pop_back();
        }
    }
    const bool isKept = channel.fd >= 0;
    if (!isKept) {
        channel.fd = connectTo(front.daemon.callers);
    }
    if (channel.fd < 0) {
        return false;
    }
    const timeval patience{30, 0};
    ::setsockopt(channel.fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    const std::string head = std::string(kind.body > 0 ? "POST " : "GET ") + kind.path
        + "2f HTTP/1.1\r\nHost: txoko.example\r\nX-Parsleyvane-Attempt-Id: " + id + "\r\nX-Parsleyvane-Deadline-Ms: "
        + std::to_string(kind.deadlineMs) + "\r\nX-Parsleyvane-Credential: key-one\r\n"
        + (kind.body > 0 ? "Content-Length: " + std::to_string(kind.body) + "\r\n\r\n" : "\r\n");
    const bool isSent = sendAll(channel.fd, head) && sendAll(channel.fd, fullBody.data(), kind.body);
    Reader reader(channel.fd);
    Message answer;
    const bool hasHead = reader.readHead(answer);
    const bool isWhole = hasHead && reader.readBody(answer, 0);
    bool reachedServer = false;
    {
        const std::lock_guard lock(ranMutex);
        reachedServer = arrived.contains(id);
    }
    const std::string status = hasHead ? answer.first.substr(9, 3) : "none";
    record.line("client %s %s at %s on a %s channel: sent %s, answer %s, %s, %s", id.c_str(), kind.name,
                front.daemon.name.c_str(), isKept ? "kept" : "new", isSent ? "whole" : "in part", status.c_str(),
                isWhole ? "complete" : "incomplete", reachedServer ? "reached a server" : "not at a server");
    if (isWhole) {
        served += status == "200" ? 1 : 0;
        refused += status == "200" ? 0 : 1;
        const bool closes = answer.header("connection") == "close";
        if (closes) {
            ::close(channel.fd);
        } else {
            ++channel.answers;
            const std::lock_guard lock(front.mutex);
            front.idle.push_back(channel);
        }
        return true;
    }
    ::close(channel.fd);
    if (!front.lost && reachedServer) {
        ++lostInAll;
        // The rule: a request from a kept channel was passed on to a sound server, and the channel closed unanswered.
        lostOnKept += isKept && !hasHead ? 1 : 0;
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 2 ? argv[2] : "record.txt");
    Store store;
    store.start();
    const Json limits{{"max_header_bytes", 16384},
                      {"max_body_bytes", longBody},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}};
    Json routes = Json::array();
    for (const Kind &kind : kinds) {
        Json route{{"name", kind.name},
                   {"host", "txoko.example"},
                   {"prefix", kind.path},
                   {"kind",
                    kind.events > 0       ? "streaming"
                        : kind.repeatable ? "idempotent"
                                          : "non_idempotent"},
                   {"timeout_ms", kind.events > 0 ? kind.deadlineMs : 800},
                   {"target_latency_ms",
                    kind.events == 76     ? 4000
                        : kind.events > 0 ? 2000
                                          : 150},
                   {"priority", 1},
                   {"service", kind.events > 0 ? "parsley-llm" : "alokairu-app"},
                   {"max_attempts",
                    kind.events > 0       ? 3
                        : kind.repeatable ? 2
                                          : 1},
                   {"public", false}};
        if (kind.events > 0) {
            route["stream_resume"] = true;
            route["gap_aim_ms"] = 2000;
        }
        routes.push_back(std::move(route));
    }
    store.put("op", "config",
              {{"version", 7},
               {"routes", routes},
               {"services", {{{"name", "parsley-llm"}}, {{"name", "alokairu-app"}}}},
               {"limits", limits},
               {"tenants", {{{"name", "tenant-one"}, {"api_keys", {"key-one"}}}}}});
    std::vector<std::pair<std::string, Json>> entries;
    for (int number = 0; number < 9; ++number) {
        const bool isModel = number < 6;
        int port = 0;
        const int listener = listenAt(port);
        const std::string id = "i-" + std::to_string(number);
        serveAt(listener, [id](int fd) { serveRequests(fd, id); });
        entries.emplace_back(id,
                             Json{{"service", isModel ? "parsley-llm" : "alokairu-app"},
                                  {"address", "127.0.0.1:" + std::to_string(port)},
                                  {"zone", "bilbo-a"},
                                  {"version", "v1"},
                                  {"slots", isModel ? 48 : 6},
                                  {"state", "ready"},
                                  {"cold_remaining_ms", 0},
                                  {"born", 1700000000000L + number},
                                  {"sequence", 1}});
    }
    for (const auto &[id, entry] : entries) {
        store.put("servers", id, entry);
    }
    std::thread([&]() {
        for (long sequence = 2;; ++sequence) {
            sleepMs(1200);
            for (auto &[id, entry] : entries) {
                entry["sequence"] = sequence;
                store.put("servers", id, entry);
            }
        }
    }).detach();

    std::vector<Front> fronts(2);
    const auto ports = freePorts(6);
    for (std::size_t i = 0; i < fronts.size(); ++i) {
        Daemon &daemon = fronts[i].daemon;
        daemon.name = "edge-bilbo-a-" + std::to_string(i + 1);
        daemon.callers = ports[i * 3];
        daemon.operators = ports[i * 3 + 1];
        daemon.peers = ports[i * 3 + 2];
        daemon.start(folder,
                     settingsOf(daemon, "bilbo-a", "bilbo-a = iparralde\ngasteiz-b = iparralde\niruna-c = iparralde\n",
                                store.port));
    }
    const auto end = [&](int code) {
        for (Front &front : fronts) {
            front.daemon.kill();
        }
        std::_Exit(code);
    };
    for (const Front &front : fronts) {
        for (int tries = 0; !front.daemon.isReady(); ++tries) {
            if (tries == 100) {
                std::puts("a daemon doesn't become ready");
                end(2);
            }
            sleepMs(100);
        }
    }
    const long begin = nowMs();
    std::atomic<bool> isOver{false};
    // The platform: it kills a process that exceeds the memory of its machine, and starts it again.
    std::thread watch([&]() {
        while (!isOver) {
            for (Front &front : fronts) {
                if (front.lost) {
                    continue;
                }
                const std::size_t memory = front.daemon.memory();
                front.peak = std::max(front.peak, memory);
                if (memory <= memoryLimit) {
                    continue;
                }
                ++front.kills;
                front.daemon.kill();
                record.line("platform: %s holds %zu MB, more than memory_mb = 260: killed", front.daemon.name.c_str(),
                            memory >> 20U);
                sleepMs(500);
                front.daemon.restart();
            }
            sleepMs(5);
        }
    });
    std::atomic<int> running{0};
    std::vector<double> due(kinds.size(), 0);
    unsigned number = 0;
    bool isLossDone = false;
    while (nowMs() - begin < lengthMs) {
        const long at = nowMs() - begin;
        if (trouble && !isLossDone && at >= lossAtMs) {
            isLossDone = true;
            fronts[0].lost = true;
            fronts[0].daemon.kill();
            record.line("trouble: %s is lost for good", fronts[0].daemon.name.c_str());
        }
        for (std::size_t k = 0; k < kinds.size(); ++k) {
            if (static_cast<double>(at) / 1000 * kinds[k].perSecond < due[k]) {
                continue;
            }
            due[k] += 1;
            ++number;
            // The balancer: channels to both machines; to the one that is ready after the other has missed two probes.
            const bool isRemoved = fronts[0].lost && at > lossAtMs + 2000;
            Front &front = isRemoved ? fronts[1] : fronts[number % 2];
            ++running;
            std::thread([&, k, number]() {
                char id[32];
                std::snprintf(id, sizeof id, "%016x", number);
                if (!attempt(front, kinds[k], id) && kinds[k].repeatable) {
                    sleepMs(200);
                    std::snprintf(id, sizeof id, "r%015x", number);
                    attempt(fronts[1], kinds[k], id);
                }
                --running;
            }).detach();
        }
        sleepMs(2);
    }
    while (running > 0 && nowMs() - begin < lengthMs + 20000) {
        sleepMs(50);
    }
    isOver = true;
    watch.join();
    for (const Front &front : fronts) {
        record.line("%s: peak %zu MB, killed for its memory %d times", front.daemon.name.c_str(), front.peak >> 20U,
                    front.kills);
    }
    const bool isBroken = lostOnKept > 3;
    record.line(
        "%d served, %d refused or failed; closed after passing on: %d, of these from a kept channel and without "
        "any answer: %d (more than 3 break LOST): %s",
        served.load(), refused.load(), lostInAll.load(), lostOnKept.load(), isBroken ? "BROKEN" : "held");
    std::printf("served %d, refused %d, lost %d, of these on kept channels unanswered %d, peak %zu MB, kills %d\n",
                served.load(), refused.load(), lostInAll.load(), lostOnKept.load(), fronts[1].peak >> 20U,
                fronts[1].kills);
    std::fflush(stdout);
    end(isBroken ? 1 : 0);
}
