/**
 * @file
 * @brief Stand-ins for the cases of the review: the platform's store, model servers, clients, the operator, and the
 * judges that check a rule from what the others recorded. They do what the users' pages say and no more.
 *
 * standin store|server|client|operator|ports|judge-recover|judge-budget|judge-lost|judge-drain|path --NAME=VALUE ...
 */
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

namespace {

using Json = nlohmann::json;
using Options = std::map<std::string, std::string>;

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

std::string option(const Options &options, const std::string &name, const std::string &fallback = "")
{
    const auto found = options.find(name);
    return found != options.end() ? found->second : fallback;
}

std::int64_t number(const Options &options, const std::string &name, std::int64_t fallback)
{
    const auto found = options.find(name);
    return found != options.end() ? std::stoll(found->second) : fallback;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

/// Appends lines to the record that all processes of a case share.
class Record
{
public:
    explicit Record(const std::string &path)
        : fd(path.empty() ? -1 : ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644))
    {
    }
    void line(const std::string &text) const
    {
        if (this->fd >= 0) {
            const std::string whole = std::to_string(nowMs()) + " " + text + "\n";
            [[maybe_unused]] const auto written = ::write(this->fd, whole.data(), whole.size());
        }
    }

private:
    int fd;
};

// --- HTTP/1.1 -------------------------------------------------------------------------------------------------------

struct Message
{
    std::string start; ///< request line or status line
    std::map<std::string, std::string> headers; ///< names in lowercase
    std::string body;
    bool isComplete = false; ///< the body was read to its end

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found != this->headers.end() ? found->second : "";
    }
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// A connection; the destructor closes it.
class Channel
{
public:
    explicit Channel(int fd)
        : fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    ~Channel()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
        }
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Whether the peer has closed the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const auto n = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    std::optional<Message> read(std::int64_t deadline)
    {
        Message message;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(deadline)) {
                return std::nullopt;
            }
        }
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        message.start = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
            }
        }
        if (lower(message.header("transfer-encoding")) == "chunked") {
            message.isComplete = this->readChunks(message.body, deadline);
        } else {
            const std::size_t length = message.header("content-length").empty()
                ? 0
                : static_cast<std::size_t>(std::stoul(message.header("content-length")));
            while (this->buffer.size() < length && this->more(deadline)) { }
            message.isComplete = this->buffer.size() >= length;
            message.body = this->buffer.substr(0, length);
            this->buffer.erase(0, length);
        }
        return message;
    }

private:
    bool more(std::int64_t deadline)
    {
        pollfd waiting{.fd = this->fd, .events = POLLIN, .revents = 0};
        const std::int64_t left = deadline - nowMs();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        std::array<char, 16384> bytes{};
        const auto n = ::recv(this->fd, bytes.data(), bytes.size(), 0);
        if (n <= 0) {
            return false;
        }
        this->buffer.append(bytes.data(), static_cast<std::size_t>(n));
        return true;
    }
    bool readChunks(std::string &body, std::int64_t deadline)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->more(deadline)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!this->more(deadline)) {
                    return false;
                }
            }
            body.append(this->buffer, end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int fd;
    std::string buffer;
};

sockaddr_in addressOf(const std::string &text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

std::unique_ptr<Channel> connectTo(const std::string &text)
{
    const sockaddr_in address = addressOf(text);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Channel>(fd);
}

int listenAt(const std::string &text, int queue = 1024)
{
    const sockaddr_in address = addressOf(text);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, queue) != 0) {
        std::cerr << "cannot listen at " << text << "\n";
        std::exit(2);
    }
    return fd;
}

void serve(const std::string &address, const std::function<bool(Channel &, const Message &)> &handle)
{
    constexpr std::int64_t idleMs = 30000;
    const int listener = listenAt(address);
    while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        std::thread([fd, &handle]() {
            Channel channel(fd);
            while (true) {
                const auto request = channel.read(nowMs() + idleMs);
                if (!request || !request->isComplete || !handle(channel, *request)) {
                    return;
                }
            }
        }).detach();
    }
}

std::string reply(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            block = block << 8U | (at + k < bytes.size() ? static_cast<unsigned char>(bytes[at + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(at + k > bytes.size() ? '=' : digits[block >> (18 - 6 * k) & 63U]);
        }
    }
    return text;
}

// --- the platform's store -------------------------------------------------------------------------------------------

/// Header of the operator's and the servers' calls; the system may not write to their tables.
constexpr const char *privileged = "x-standin";

class Store
{
public:
    bool handle(Channel &channel, const Message &request)
    {
        constexpr std::int64_t answerMs = 4;
        std::istringstream line(request.start);
        std::string method;
        std::string target;
        line >> method >> target;
        const std::string path = target.substr(0, target.find('?'));
        const Options query = queryOf(target);
        sleepMs(answerMs);
        std::pair<int, Json> answer{404, Json::object()};
        if (path == "/rows-tx") {
            answer = this->transact(Json::parse(request.body), !request.header(privileged).empty());
        } else if (path == "/rows-get") {
            answer = this->get(query);
        } else if (path == "/rows-feed") {
            answer = this->feed(query);
        }
        return channel.send(reply(answer.first, "Content-Type: application/json\r\n", answer.second.dump()));
    }
    /// Removes the entries of servers that have been silent for three check-in intervals.
    void expire()
    {
        constexpr std::int64_t silenceMs = 3600;
        const std::lock_guard lock(this->mutex);
        for (auto row = this->rows.begin(); row != this->rows.end();) {
            if (std::get<0>(row->first) == "servers" && nowMs() - row->second.writtenAt > silenceMs) {
                this->log.push_back({++this->version, row->first, "", true});
                row = this->rows.erase(row);
                this->changed.notify_all();
            } else {
                ++row;
            }
        }
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        std::int64_t writtenAt = 0;
    };
    struct Change
    {
        std::uint64_t version;
        Key key;
        std::string value;
        bool isRemoved;
    };

    static Options queryOf(const std::string &target)
    {
        Options query;
        const std::size_t mark = target.find('?');
        if (mark == std::string::npos) {
            return query;
        }
        for (const std::string &pair : split(target.substr(mark + 1), '&')) {
            const std::size_t equals = pair.find('=');
            std::string value;
            for (std::size_t at = equals + 1; at < pair.size(); ++at) {
                if (pair[at] == '%') {
                    value.push_back(static_cast<char>(std::stoi(pair.substr(at + 1, 2), nullptr, 16)));
                    at += 2;
                } else {
                    value.push_back(pair[at]);
                }
            }
            query[pair.substr(0, equals)] = value;
        }
        return query;
    }
    static Key keyOf(const Json &entry)
    {
        return {entry.at("table").get<std::string>(), entry.value("part", ""), entry.at("key").get<std::string>()};
    }
    static Json rowJson(const Key &key, const std::string &value, std::uint64_t version)
    {
        return Json{{"table", std::get<0>(key)},
                    {"part", std::get<1>(key)},
                    {"key", std::get<2>(key)},
                    {"value", value},
                    {"ver", version}};
    }
    Json stamped(Json answer) const
    {
        answer["ver"] = this->version;
        answer["now_ms"]
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
                  .count();
        return answer;
    }
    std::pair<int, Json> transact(const Json &call, bool isPrivileged)
    {
        const std::lock_guard lock(this->mutex);
        Json current = Json::array();
        bool isMet = true;
        for (const Json &entry : call.at("expected_revision")) {
            const auto found = this->rows.find(keyOf(entry));
            const std::uint64_t actual = found != this->rows.end() ? found->second.version : 0;
            isMet = isMet && actual == entry.at("ver").get<std::uint64_t>();
            if (found != this->rows.end()) {
                current.push_back(rowJson(found->first, found->second.value, actual));
            }
        }
        if (!isMet) {
            return {412, this->stamped({{"rows", current}})};
        }
        for (const char *list : {"writes", "remove"}) {
            for (const Json &entry : call.at(list)) {
                const std::string table = std::get<0>(keyOf(entry));
                if (!isPrivileged && (table == "op" || table == "servers")) {
                    return {403, this->stamped(Json::object())};
                }
            }
        }
        ++this->version;
        for (const Json &entry : call.at("writes")) {
            const Key key = keyOf(entry);
            const auto value = entry.at("value").get<std::string>();
            this->rows[key] = {value, this->version, nowMs()};
            this->log.push_back({this->version, key, value, false});
        }
        for (const Json &entry : call.at("remove")) {
            const Key key = keyOf(entry);
            if (this->rows.erase(key) > 0) {
                this->log.push_back({this->version, key, "", true});
            }
        }
        this->changed.notify_all();
        return {200, this->stamped(Json::object())};
    }
    std::pair<int, Json> get(const Options &query)
    {
        const std::lock_guard lock(this->mutex);
        Json found = Json::array();
        for (const auto &[key, row] : this->rows) {
            if (std::get<0>(key) == option(query, "table") && std::get<1>(key) == option(query, "part")
                && std::get<2>(key) >= option(query, "from")) {
                found.push_back(rowJson(key, row.value, row.version));
            }
        }
        return {200, this->stamped({{"rows", found}, {"has_more", false}})};
    }
    std::pair<int, Json> feed(const Options &query)
    {
        const auto after = static_cast<std::uint64_t>(number(query, "after", 0));
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(number(query, "wait_ms", 0));
        std::unique_lock lock(this->mutex);
        Json found = Json::array();
        const auto collect = [&]() {
            for (const Change &change : this->log) {
                if (change.version > after && std::get<0>(change.key) == option(query, "table")) {
                    Json row = rowJson(change.key, change.value, change.version);
                    if (change.isRemoved) {
                        row["removed"] = true;
                    }
                    found.push_back(row);
                }
            }
            return !found.empty();
        };
        while (!collect() && this->changed.wait_until(lock, until) != std::cv_status::timeout) { }
        return {200, this->stamped({{"rows", found}})};
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::vector<Change> log;
    std::uint64_t version = 0;
};

int runStore(const Options &options)
{
    constexpr std::int64_t sweepMs = 200;
    static Store store;
    std::thread([]() {
        while (true) {
            sleepMs(sweepMs);
            store.expire();
        }
    }).detach();
    const std::function<bool(Channel &, const Message &)> handle = [](Channel &channel, const Message &request) {
        return store.handle(channel, request);
    };
    serve(option(options, "listen"), handle);
    return 0;
}

/// Writes or removes a row as the operator or a server. @return the store's status; 0 without an answer
int putRow(const std::string &store, const std::string &table, const std::string &key, const std::string &value,
           bool isRemoved = false)
{
    constexpr std::int64_t timeoutMs = 2000;
    const auto channel = connectTo(store);
    if (!channel) {
        return 0;
    }
    Json row{{"table", table}, {"part", ""}, {"key", key}};
    Json call{{"expected_revision", Json::array()}, {"writes", Json::array()}, {"remove", Json::array()}};
    if (!isRemoved) {
        row["value"] = base64(value);
    }
    call[isRemoved ? "remove" : "writes"].push_back(row);
    const std::string body = call.dump();
    channel->send("POST /rows-tx HTTP/1.1\r\nHost: store\r\nX-Standin: 1\r\nContent-Length: "
                  + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = channel->read(nowMs() + timeoutMs);
    return answer && answer->start.size() > 11 ? std::stoi(answer->start.substr(9, 3)) : 0;
}

int runOperator(const Options &options)
{
    std::ifstream file(option(options, "file"));
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const int status = putRow(option(options, "store"), "op", option(options, "key", "config"), text);
    Record(option(options, "record"))
        .line("operator wrote=" + option(options, "key", "config") + " status=" + std::to_string(status));
    return status == 200 ? 0 : 2;
}

// --- a path that can be cut ------------------------------------------------------------------------------------------

std::atomic<bool> isPathCut{false};

void cutPath(int)
{
    isPathCut = true;
}

void healPath(int)
{
    isPathCut = false;
}

/// Copies bytes between two sockets; while the path is cut, nothing passes.
void forward(int from, int to)
{
    constexpr std::int64_t stepMs = 5;
    std::array<char, 16384> bytes{};
    while (true) {
        pollfd waiting{.fd = from, .events = POLLIN, .revents = 0};
        if (isPathCut || ::poll(&waiting, 1, static_cast<int>(stepMs)) == 0) {
            sleepMs(isPathCut ? stepMs : 0);
            continue;
        }
        const auto n = ::recv(from, bytes.data(), bytes.size(), 0);
        while (isPathCut) {
            sleepMs(stepMs);
        }
        if (n <= 0 || ::send(to, bytes.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) != n) {
            break;
        }
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

/// Fills the queue of new connections, so that further ones are not answered, as behind a partition.
std::vector<int> fillQueue(const std::string &listen)
{
    constexpr int connections = 6;
    const sockaddr_in address = addressOf(listen);
    std::vector<int> filling;
    for (int at = 0; at < connections; ++at) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        filling.push_back(fd);
    }
    return filling;
}

/// A path to the store: SIGUSR1 cuts it, SIGUSR2 heals it. During a cut new connections don't come about, and what is
/// sent on open ones is held up.
int runPath(const Options &options)
{
    constexpr int stepMs = 5;
    ::signal(SIGUSR1, cutPath);
    ::signal(SIGUSR2, healPath);
    const std::string listen = option(options, "listen");
    const int listener = listenAt(listen, 1);
    while (true) {
        if (isPathCut) {
            const std::vector<int> filling = fillQueue(listen);
            while (isPathCut) {
                sleepMs(stepMs);
            }
            for (const int fd : filling) {
                ::close(fd);
            }
        }
        pollfd waiting{.fd = listener, .events = POLLIN, .revents = 0};
        if (::poll(&waiting, 1, stepMs) <= 0 || isPathCut) {
            continue;
        }
        const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        std::thread([client, &options]() {
            const sockaddr_in address = addressOf(option(options, "to"));
            const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            if (::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
                std::thread back([client, server]() { forward(server, client); });
                forward(client, server);
                back.join();
            }
            ::close(client);
            ::close(server);
        }).detach();
    }
}

// --- model servers --------------------------------------------------------------------------------------------------

std::atomic<bool> leaveRequested{false};

void requestLeave(int)
{
    leaveRequested = true;
}

/// A server of a service. It crashes on a request whose body holds the word "poison", as PROTOCOL.md allows.
class Server
{
public:
    Server(const Options &options, std::int64_t boot)
        : options(options)
        , record(option(options, "record"))
        , id("i-" + option(options, "name") + "-" + std::to_string(boot))
        , born(nowMs())
    {
    }
    void run()
    {
        constexpr std::int64_t heartbeatMs = 1200;
        constexpr std::int64_t leaveCheckMs = 20;
        std::thread([this]() {
            for (std::int64_t sequence = 1; !leaveRequested; ++sequence) {
                const Json entry{{"service", option(this->options, "service")},
                                 {"address", option(this->options, "listen")},
                                 {"zone", option(this->options, "zone")},
                                 {"version", "v1"},
                                 {"slots", number(this->options, "slots", 64)},
                                 {"state", "ready"},
                                 {"cold_remaining_ms", 0},
                                 {"sequence", sequence},
                                 {"born", this->born}};
                putRow(option(this->options, "store"), "servers", this->id, entry.dump());
                for (std::int64_t waited = 0; waited < heartbeatMs && !leaveRequested; waited += leaveCheckMs) {
                    sleepMs(leaveCheckMs);
                }
            }
            // It never reports that it drains: its entry is removed, and it continues serving for some time.
            const int status = putRow(option(this->options, "store"), "servers", this->id, "", true);
            this->record.line("server=" + this->id + " entry_removed status=" + std::to_string(status));
            sleepMs(number(this->options, "serves-on-ms", 4000));
            ::_exit(0);
        }).detach();
        this->record.line("server=" + this->id + " started");
        const std::function<bool(Channel &, const Message &)> handle
            = [this](Channel &channel, const Message &request) {
                  return this->handle(channel, request);
              };
        serve(option(this->options, "listen"), handle);
    }

private:
    bool handle(Channel &channel, const Message &request)
    {
        const std::string attempt = request.header("x-parsleyvane-attempt-id");
        const std::string echo = "X-Parsleyvane-Attempt-Id: " + attempt + "\r\n";
        if (attempt.empty()) {
            return channel.send(reply(200, "X-Parsleyvane-Instance-Id: " + this->id + "\r\n", "{}"));
        }
        const std::string expected = request.header("x-parsleyvane-expect-instance");
        if (!expected.empty() && expected != this->id) {
            return channel.send(reply(421, echo + "X-Parsleyvane-Instance-Id: " + this->id + "\r\n", ""));
        }
        const bool isPoison = request.body.find("poison") != std::string::npos
            || request.header("x-parsleyvane-prompt-prefix").find("bad0bad0:") != std::string::npos;
        this->record.line("server=" + this->id + " arrival attempt=" + attempt + " poison=" + (isPoison ? "1" : "0"));
        const std::int64_t fullAfter = number(this->options, "full-after-ms", 0);
        const bool isFull = fullAfter > 0 && nowMs() - this->born > fullAfter;
        if (++this->running > number(this->options, "slots", 64) || isFull) {
            --this->running;
            this->record.line("server=" + this->id + " refused attempt=" + attempt);
            return channel.send(reply(503, echo + "X-Parsleyvane-Not-Executed: 1\r\n", ""));
        }
        const bool isKept = this->stream(channel, request, isPoison, echo);
        --this->running;
        return isKept;
    }
    bool stream(Channel &channel, const Message &request, bool isPoison, const std::string &echo)
    {
        constexpr std::int64_t stepMs = 20;
        for (std::int64_t waited = 0; waited < number(this->options, "first-event-ms", 300); waited += stepMs) {
            sleepMs(stepMs);
            if (channel.isClosedByPeer()) {
                return false;
            }
        }
        const std::string attempt = request.header("x-parsleyvane-attempt-id");
        const std::int64_t eventsBeforeCrash = number(this->options, "events-before-crash", 0);
        if (isPoison && eventsBeforeCrash == 0) {
            this->crash(attempt);
        }
        if (!channel.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo
                          + "X-Parsleyvane-Server-Signature: " + this->id
                          + "\r\nX-Parsleyvane-Weight-Versions: 1\r\nX-Parsleyvane-Confidence: 95\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        const std::string last = request.header("last-event-id");
        const std::int64_t first = last.empty() ? 1 : std::stoll(last) + 1;
        const std::int64_t events = number(this->options, "events", 20);
        for (std::int64_t event = first; event <= events; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
            if (!channel.send(chunk.str())) {
                return false;
            }
            if (isPoison && event - first + 1 >= eventsBeforeCrash) {
                this->crash(attempt);
            }
            const bool isPreempted = event - first + 1 == number(this->options, "pause-after-events", 0);
            if (!this->wait(channel, number(this->options, isPreempted ? "pause-ms" : "event-gap-ms", 10))) {
                this->record.line("server=" + this->id + " left attempt=" + attempt
                                  + " events=" + std::to_string(event));
                return false;
            }
        }
        this->record.line("server=" + this->id + " finished attempt=" + attempt);
        return channel.send("0\r\n\r\n");
    }
    /// Waits unless the caller closes its channel. @return whether it is still there
    static bool wait(const Channel &channel, std::int64_t duration)
    {
        const std::int64_t until = nowMs() + duration;
        while (nowMs() < until) {
            sleepMs(std::min<std::int64_t>(20, std::max<std::int64_t>(1, until - nowMs())));
            if (channel.isClosedByPeer()) {
                return false;
            }
        }
        return true;
    }
    [[noreturn]] void crash(const std::string &attempt)
    {
        this->record.line("server=" + this->id + " crashed attempt=" + attempt);
        ::_exit(1);
    }

    Options options;
    Record record;
    std::string id;
    std::int64_t born;
    std::atomic<std::int64_t> running{0};
};

pid_t serverChild = 0;

void killChild(int)
{
    if (serverChild > 0) {
        ::kill(serverChild, SIGKILL);
    }
}

void passLeaveOn(int)
{
    if (serverChild > 0) {
        ::kill(serverChild, SIGUSR2);
    }
}

void endBoth(int)
{
    killChild(0);
    ::_exit(0);
}

/// Runs the server in a child process and starts it anew, as another boot with another id, some time after it has died.
/// SIGUSR1 crashes it; at SIGUSR2 it leaves as planned.
int runServer(const Options &options)
{
    struct sigaction action
    {
    };
    action.sa_handler = killChild;
    ::sigaction(SIGUSR1, &action, nullptr);
    action.sa_handler = passLeaveOn;
    ::sigaction(SIGUSR2, &action, nullptr);
    action.sa_handler = endBoth;
    ::sigaction(SIGTERM, &action, nullptr);
    const Record record(option(options, "record"));
    for (std::int64_t boot = 1;; ++boot) {
        serverChild = ::fork();
        if (serverChild == 0) {
            ::signal(SIGUSR1, SIG_DFL);
            ::signal(SIGUSR2, requestLeave);
            ::signal(SIGTERM, SIG_DFL);
            Server(options, boot).run();
            ::_exit(0);
        }
        int status = 0;
        while (::waitpid(serverChild, &status, 0) < 0 && errno == EINTR) { }
        serverChild = 0;
        record.line("server=i-" + option(options, "name") + "-" + std::to_string(boot) + " ended");
        const std::int64_t backAt = nowMs() + number(options, "back-ms", 3000);
        while (nowMs() < backAt) {
            sleepMs(10);
        }
    }
}

// --- clients --------------------------------------------------------------------------------------------------------

struct Attempt
{
    std::string outcome; ///< the status, or how the attempt ended without one
    bool isSuccess = false;
    std::optional<double> retryAfter; ///< in seconds
};

/// Chooses machines as the platform's balancer does: by their readiness, asked once a second, out after two misses.
class Balancer
{
public:
    Balancer(std::vector<std::string> fronts, std::vector<std::string> readies)
        : fronts(std::move(fronts))
        , readies(std::move(readies))
        , misses(this->fronts.size(), 2)
    {
        std::thread([this]() {
            while (true) {
                this->ask();
                sleepMs(1000);
            }
        }).detach();
    }
    std::string choose(std::uint64_t hash)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> in;
        for (std::size_t at = 0; at < this->fronts.size(); ++at) {
            if (this->misses[at] < 2) {
                in.push_back(this->fronts[at]);
            }
        }
        // With fewer than half in rotation, all of them are used.
        const auto &used = in.size() * 2 < this->fronts.size() ? this->fronts : in;
        return used[hash % used.size()];
    }

private:
    void ask()
    {
        for (std::size_t at = 0; at < this->readies.size(); ++at) {
            const auto channel = connectTo(this->readies[at]);
            bool isReady = false;
            if (channel) {
                channel->send("GET /ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n");
                const auto answer = channel->read(nowMs() + 900);
                isReady = answer && answer->start.find(" 200 ") != std::string::npos;
            }
            const std::lock_guard lock(this->mutex);
            this->misses[at] = isReady ? 0 : this->misses[at] + 1;
        }
    }

    std::vector<std::string> fronts;
    std::vector<std::string> readies;
    std::vector<int> misses;
    std::mutex mutex;
};

std::string hexId(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << value;
    return text.str();
}

Attempt sendOnce(const std::string &front, const std::string &id, const std::string &path, const std::string &prompt,
                 const std::string &body, std::int64_t deadline)
{
    const auto channel = connectTo(front);
    if (!channel) {
        return {.outcome = "no_connection", .isSuccess = false, .retryAfter = {}};
    }
    channel->send(
        "POST " + path + " HTTP/1.1\r\nHost: review.example\r\nX-Parsleyvane-Attempt-Id: " + id
        + "\r\nX-Parsleyvane-Model: m0\r\nX-Parsleyvane-Token-Counts: 6610,400\r\nX-Parsleyvane-Prompt-Prefix: "
        + prompt + "\r\nX-Parsleyvane-Deadline-Ms: " + std::to_string(deadline - nowMs())
        + "\r\nX-Parsleyvane-Credential: key-1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = channel->read(deadline);
    if (!answer) {
        return {.outcome = "no_answer", .isSuccess = false, .retryAfter = {}};
    }
    Attempt attempt{.outcome = answer->start.substr(9, 3), .isSuccess = false, .retryAfter = {}};
    if (!answer->isComplete) {
        attempt.outcome += "_cut";
        return attempt;
    }
    attempt.isSuccess = attempt.outcome == "200" && !answer->header("x-parsleyvane-server-signature").empty();
    const std::string wait = answer->header("retry-after");
    if (!wait.empty()) {
        attempt.retryAfter = std::stod(wait);
    }
    return attempt;
}

/// Sends requests at a steady rate; each is repeated once, as the sheet of the small sites says.
int runClient(const Options &options)
{
    const Record record(option(options, "record"));
    Balancer balancer(split(option(options, "fronts"), ','), split(option(options, "readies"), ','));
    const std::int64_t perSecond = number(options, "per-second", 15);
    const std::int64_t timeBudget = number(options, "time-budget-ms", 25000);
    const std::int64_t documents = number(options, "documents", 74);
    const bool isPoison = option(options, "poison") == "1";
    const std::string tag = option(options, "tag", "sound");
    sleepMs(1500);
    const std::int64_t begin = nowMs();
    const std::int64_t count = number(options, "seconds", 10) * perSecond;
    const std::int64_t interval = number(options, "interval-ms", perSecond > 0 ? 1000 / perSecond : 1000);
    std::vector<std::thread> threads;
    for (std::int64_t request = 0; request < count; ++request) {
        while (nowMs() < begin + request * interval) {
            sleepMs(1);
        }
        threads.emplace_back([&, request]() {
            const std::uint64_t seed
                = (static_cast<std::uint64_t>(nowMs()) << 20U) + static_cast<std::uint64_t>(request);
            const std::string document = hexId(0x200000 + static_cast<std::uint64_t>(request * 7919 % documents));
            const std::string own = isPoison ? "f00d" : hexId(seed);
            const std::string prompt = option(options, "parts", "a0a0:512") + "," + document + ":4870," + own + ":1228";
            const std::string path = "/report/" + (isPoison ? std::string("poison") : document);
            const std::string body = isPoison ? "poison" : "request " + own;
            const std::int64_t sentAt = nowMs();
            const std::int64_t deadline = sentAt + timeBudget;
            Attempt attempt;
            for (std::uint64_t attemptNumber = 0; attemptNumber < 2; ++attemptNumber) {
                const std::string id = hexId(seed * 4 + attemptNumber + (isPoison ? 2 : 0));
                const std::string front = balancer.choose(static_cast<std::uint64_t>(request) + attemptNumber);
                record.line("client tag=" + tag + " request=" + std::to_string(request) + " attempt=" + id
                            + " sent_to=" + front);
                attempt = sendOnce(front, id, path, prompt, body, deadline);
                record.line("client tag=" + tag + " request=" + std::to_string(request) + " attempt=" + id
                            + " answer=" + attempt.outcome);
                if (attempt.isSuccess || deadline - nowMs() < 100) {
                    break;
                }
                const auto third = static_cast<double>(deadline - nowMs()) / 3;
                sleepMs(static_cast<std::int64_t>(std::min(attempt.retryAfter.value_or(0.05) * 1000, third)));
            }
            record.line("request tag=" + tag + " number=" + std::to_string(request) + " sent=" + std::to_string(sentAt)
                        + " served=" + (attempt.isSuccess ? "1" : "0") + " last=" + attempt.outcome);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return 0;
}

// --- judges ---------------------------------------------------------------------------------------------------------

struct Line
{
    std::int64_t at = 0;
    std::string text;

    std::string field(const std::string &name) const
    {
        const std::size_t found = (" " + this->text).find(" " + name + "=");
        if (found == std::string::npos) {
            return "";
        }
        const std::size_t begin = found + name.size() + 1;
        return this->text.substr(begin, this->text.find(' ', begin) - begin);
    }
};

std::vector<Line> readRecord(const std::string &path)
{
    std::vector<Line> lines;
    std::ifstream file(path);
    for (std::string text; std::getline(file, text);) {
        const std::size_t space = text.find(' ');
        if (space != std::string::npos) {
            lines.push_back({std::stoll(text.substr(0, space)), text.substr(space + 1)});
        }
    }
    return lines;
}

/// RECOVER: of the requests sent later than recover_s after the machines are back, less than a quarter is served,
/// though a quarter or more was before the final fault.
int judgeRecover(const Options &options)
{
    const std::string path = option(options, "record");
    std::int64_t faultAt = 0;
    std::int64_t backAt = 0;
    std::size_t before = 0;
    std::size_t beforeServed = 0;
    std::size_t after = 0;
    std::size_t afterServed = 0;
    const std::vector<Line> lines = readRecord(path);
    for (const Line &line : lines) {
        faultAt = line.text == "final fault" ? line.at : faultAt;
        backAt = line.text == "machines back" ? line.at : backAt;
    }
    if (faultAt == 0 || backAt == 0) {
        std::cerr << "the record names no final fault\n";
        return 2;
    }
    for (const Line &line : lines) {
        if (!line.text.starts_with("request tag=sound")) {
            continue;
        }
        const std::int64_t sent = std::stoll(line.field("sent"));
        const bool isServed = line.field("served") == "1";
        if (sent < faultAt) {
            ++before;
            beforeServed += isServed ? 1 : 0;
        } else if (sent > backAt + number(options, "recover-ms", 12000)) {
            ++after;
            afterServed += isServed ? 1 : 0;
        }
    }
    if (before < 20 || after < 20 || beforeServed * 4 < before) {
        std::cerr << "too few requests, or too few served before the final fault\n";
        return 2;
    }
    const bool isBroken = afterServed * 4 < after;
    std::ostringstream result;
    result << "verdict RECOVER " << (isBroken ? "broken" : "held") << " before=" << beforeServed << "/" << before
           << " after=" << afterServed << "/" << after;
    Record(path).line(result.str());
    std::cout << result.str() << "\n";
    return isBroken ? 1 : 0;
}

/// BUDGET: a request that crashes the servers that run it reaches servers in more than three retries, sent by machines
/// in touch later than stable_window_ms after it has crashed the third. One client attempt counts once, however often
/// the machine sent it on.
int judgeBudget(const Options &options)
{
    const std::string path = option(options, "record");
    const std::vector<Line> lines = readRecord(path);
    std::vector<std::int64_t> crashes;
    std::size_t soundServed = 0;
    for (const Line &line : lines) {
        if (line.text.starts_with("server=") && line.text.find(" crashed ") != std::string::npos) {
            crashes.push_back(line.at);
        }
        soundServed += line.text.starts_with("request tag=sound") && line.field("served") == "1" ? 1 : 0;
    }
    std::sort(crashes.begin(), crashes.end());
    if (soundServed < 20) {
        std::cerr << "too few sound requests were served\n";
        return 2;
    }
    std::set<std::string> retries;
    std::size_t arrivals = 0;
    const std::int64_t from = crashes.size() < 3 ? 0 : crashes[2] + number(options, "stable-window-ms", 3000);
    for (const Line &line : lines) {
        const bool isArrival = line.text.find(" arrival ") != std::string::npos && line.field("poison") == "1";
        if (crashes.size() >= 3 && isArrival && line.at > from) {
            retries.insert(line.field("attempt"));
            ++arrivals;
        }
    }
    const bool isBroken = retries.size() > 3;
    std::ostringstream result;
    result << "verdict BUDGET " << (isBroken ? "broken" : "held") << " crashes=" << crashes.size()
           << " late_retries=" << retries.size() << " late_arrivals=" << arrivals;
    Record(path).line(result.str());
    std::cout << result.str() << "\n";
    return isBroken ? 1 : 0;
}

/// LOST, around planned work: a process has read a whole request, has passed it on, and the channel ends without a
/// complete answer, though no server broke off and neither the time budget nor the route's timeout was reached. The
/// record is of a deployment with one machine, which got SIGTERM at the line "planned stop".
int judgeLost(const Options &options)
{
    const std::string path = option(options, "record");
    const std::vector<Line> lines = readRecord(path);
    std::int64_t stopAt = 0;
    std::set<std::string> arrived;
    std::set<std::string> brokenOff;
    for (const Line &line : lines) {
        stopAt = line.text == "planned stop" ? line.at : stopAt;
        if (line.text.find(" arrival ") != std::string::npos) {
            arrived.insert(line.field("attempt"));
        }
        if (line.text.find(" crashed ") != std::string::npos) {
            brokenOff.insert(line.field("attempt"));
        }
    }
    std::size_t answered = 0;
    std::size_t lost = 0;
    for (const Line &line : lines) {
        const std::string answer = line.field("answer");
        if (!line.text.starts_with("client ") || answer.empty()) {
            continue;
        }
        answered += answer == "200" ? 1 : 0;
        const bool isCut = answer == "200_cut" || answer == "no_answer";
        const std::string attempt = line.field("attempt");
        // The last sixth of the grace time, in which a server's work may be cut, isn't judged.
        const std::int64_t judgedUntil = stopAt + number(options, "grace-ms", 8000) * 5 / 6;
        if (isCut && line.at >= stopAt && line.at < judgedUntil && arrived.contains(attempt)
            && !brokenOff.contains(attempt)) {
            ++lost;
        }
    }
    if (stopAt == 0 || answered < 5) {
        std::cerr << "no planned stop, or too few answers\n";
        return 2;
    }
    std::ostringstream result;
    result << "verdict LOST " << (lost > 0 ? "broken" : "held") << " lost=" << lost << " answered=" << answered;
    Record(path).line(result.str());
    std::cout << result.str() << "\n";
    return lost > 0 ? 1 : 0;
}

/// DRAIN: a request reaches a server later than drain_ms after the store has acknowledged that the server is gone, sent
/// on by a machine in touch: here, later than stable_window_ms after the machine's path to the store has healed. The
/// record is of a deployment with one machine, whose store is sound all the while.
int judgeDrain(const Options &options)
{
    const std::string path = option(options, "record");
    const std::vector<Line> lines = readRecord(path);
    std::size_t served = 0;
    std::size_t late = 0;
    std::int64_t latest = 0;
    std::int64_t cutAt = 0;
    std::int64_t healedAt = 0;
    std::map<std::string, std::int64_t> goneAt;
    for (const Line &line : lines) {
        served += line.text.starts_with("request tag=sound") && line.field("served") == "1" ? 1 : 0;
        cutAt = line.text == "path cut" ? line.at : cutAt;
        healedAt = line.text == "path healed" ? line.at : healedAt;
        if (line.text.find(" entry_removed status=200") != std::string::npos) {
            goneAt[line.field("server")] = line.at;
        }
        const auto gone = goneAt.find(line.field("server"));
        if (line.text.find(" arrival ") == std::string::npos || gone == goneAt.end()) {
            continue;
        }
        const bool isInTouch = healedAt >= cutAt && line.at > healedAt + number(options, "stable-window-ms", 3000);
        if (isInTouch && line.at > gone->second + number(options, "drain-ms", 2000)) {
            ++late;
            latest = std::max(latest, line.at - gone->second);
        }
    }
    if (served < 20 || goneAt.size() < 2) {
        std::cerr << "too few requests were served, or servers left\n";
        return 2;
    }
    std::ostringstream result;
    result << "verdict DRAIN " << (late > 0 ? "broken" : "held") << " late=" << late << " latest_ms=" << latest
           << " left=" << goneAt.size() << " served=" << served;
    Record(path).line(result.str());
    std::cout << result.str() << "\n";
    return late > 0 ? 1 : 0;
}

/// Prints free loopback ports.
int printPorts(const Options &options)
{
    std::vector<int> sockets;
    std::ostringstream ports;
    for (std::int64_t at = 0; at < number(options, "count", 1); ++at) {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = addressOf("127.0.0.1:0");
        socklen_t length = sizeof(address);
        if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            return 2;
        }
        ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
        sockets.push_back(fd);
        ports << ntohs(address.sin_port) << " ";
    }
    std::cout << ports.str() << "\n";
    for (const int fd : sockets) {
        ::close(fd);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    Options options;
    for (int at = 2; at < argc; ++at) {
        const std::string text = argv[at];
        const std::size_t equals = text.find('=');
        if (text.starts_with("--") && equals != std::string::npos) {
            options[text.substr(2, equals - 2)] = text.substr(equals + 1);
        }
    }
    const std::map<std::string, std::function<int(const Options &)>> modes
        = {{"store", runStore},           {"server", runServer},
           {"client", runClient},         {"operator", runOperator},
           {"ports", printPorts},         {"judge-recover", judgeRecover},
           {"judge-budget", judgeBudget}, {"judge-lost", judgeLost},
           {"judge-drain", judgeDrain},   {"path", runPath}};
    const auto mode = modes.find(argc > 1 ? argv[1] : "");
    if (mode == modes.end()) {
        std::cerr << "unknown mode\n";
        return 2;
    }
    return mode->second(options);
}
