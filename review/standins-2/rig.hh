// Small stand-ins for the review's scripts: the platform's store, servers, clients, and the supervisor of the
// daemons. Plain blocking sockets with one thread a connection. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

inline long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// record.txt: what was sent, answered and run, a line each with the time in ms.
class Record
{
public:
    void open(const std::string &name)
    {
        this->file = std::fopen(name.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        if (this->file != nullptr) {
            std::fprintf(this->file, "%7ld %s\n", nowMs(), text);
            std::fflush(this->file);
        }
    }

private:
    std::FILE *file = nullptr;
    std::mutex mutex;
};
inline Record record;

inline sockaddr_in address(int port)
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<uint16_t>(port));
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return where;
}

inline int listenAt(int &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in where = address(port);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&where), sizeof where) != 0 || ::listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof where;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&where), &size);
    port = ntohs(where.sin_port);
    return fd;
}

/// Free ports, held only for a moment.
inline std::vector<int> freePorts(int count)
{
    std::vector<int> ports;
    std::vector<int> fds;
    for (int i = 0; i < count; ++i) {
        int port = 0;
        fds.push_back(listenAt(port));
        ports.push_back(port);
    }
    for (const int fd : fds) {
        ::close(fd);
    }
    return ports;
}

inline int connectTo(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in where = address(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0) {
        ::close(fd);
        return -1;
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

inline bool sendAll(int fd, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = ::send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

inline bool sendAll(int fd, const std::string &text)
{
    return sendAll(fd, text.data(), text.size());
}

struct Message
{
    std::string first; ///< request or status line
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::size_t bodyBytes = 0;
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/// Reads HTTP messages from one connection.
class Reader
{
public:
    explicit Reader(int fd)
        : fd(fd)
    {
    }
    bool fill()
    {
        char bytes[65536];
        const ssize_t got = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            this->isReset = got < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    bool readHead(Message &message)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return false;
            }
        }
        message = Message();
        const std::string head = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        message.first = head.substr(0, at);
        while (at != std::string::npos && at < head.size()) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ') {
                    ++value;
                }
                message.headers[name] = line.substr(value);
            }
            at = next;
        }
        return true;
    }
    /// Reads a body with a length, or in chunks. Keeps at most `keep` bytes of it.
    bool readBody(Message &message, std::size_t keep, const std::function<void()> &onPiece = {})
    {
        if (message.header("transfer-encoding") == "chunked") {
            while (true) {
                std::size_t end = 0;
                while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                    if (!this->fill()) {
                        return false;
                    }
                }
                const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
                this->buffer.erase(0, end + 2);
                while (this->buffer.size() < size + 2) {
                    if (!this->fill()) {
                        return false;
                    }
                }
                if (size == 0) {
                    this->buffer.erase(0, 2);
                    return true;
                }
                if (message.body.size() < keep) {
                    message.body.append(this->buffer, 0, size);
                }
                message.bodyBytes += size;
                this->buffer.erase(0, size + 2);
                if (onPiece) {
                    onPiece();
                }
            }
        }
        std::size_t left = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (left > 0) {
            if (this->buffer.empty() && !this->fill()) {
                return false;
            }
            const std::size_t size = std::min(left, this->buffer.size());
            if (message.body.size() < keep) {
                message.body.append(this->buffer, 0, size);
            }
            message.bodyBytes += size;
            this->buffer.erase(0, size);
            left -= size;
        }
        return true;
    }
    bool isReset = false; ///< the latest failure was an error, not an orderly close

private:
    int fd;
    std::string buffer;
};

/// Accepts connections and serves each in a thread.
inline void serveAt(int listener, std::function<void(int)> serve)
{
    std::thread([listener, serve = std::move(serve)]() {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::thread([fd, serve]() {
                serve(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
}

inline std::string base64(const std::string &in)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(in[i]) << 16U;
        value |= i + 1 < in.size() ? static_cast<unsigned>(static_cast<unsigned char>(in[i + 1])) << 8U : 0;
        value |= i + 2 < in.size() ? static_cast<unsigned>(static_cast<unsigned char>(in[i + 2])) : 0;
        out += digits[value >> 18U & 63U];
        out += digits[value >> 12U & 63U];
        out += i + 1 < in.size() ? digits[value >> 6U & 63U] : '=';
        out += i + 2 < in.size() ? digits[value & 63U] : '=';
    }
    return out;
}

/// The platform's store: rows, a feed of changes, transactions under conditions. It behaves soundly.
class Store
{
public:
    int port = 0;

    void start()
    {
        const int listener = listenAt(this->port);
        serveAt(listener, [this](int fd) { this->serve(fd); });
    }
    void put(const std::string &table, const std::string &key, const Json &value)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->rows[{table, "", key}] = {base64(value.dump()), this->version, false};
        this->changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->rows[{table, "", key}] = {"", this->version, true};
        this->changed.notify_all();
    }

private:
    struct Key
    {
        std::string table, part, key;
        bool operator<(const Key &other) const
        {
            return std::tie(table, part, key) < std::tie(other.table, other.part, other.key);
        }
    };
    struct Row
    {
        std::string value; ///< in Base64
        unsigned long version = 0;
        bool removed = false;
    };

    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> found;
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t next = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            const std::size_t equals = pair.find('=');
            std::string value;
            for (std::size_t i = equals + 1; equals != std::string::npos && i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += pair[i];
                }
            }
            found[pair.substr(0, equals)] = value;
            at = next;
        }
        return found;
    }
    static Json rowJson(const Key &key, const Row &row)
    {
        Json json{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"ver", row.version}};
        if (row.removed) {
            json["removed"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }
    Json answer(Json rows)
    {
        return Json{{"rows", std::move(rows)}, {"has_more", false}, {"ver", this->version}, {"now_ms", nowMs() + 1000}};
    }
    Json get(const std::map<std::string, std::string> &wanted)
    {
        const std::lock_guard lock(this->mutex);
        Json found = Json::array();
        for (const auto &[key, row] : this->rows) {
            const bool matches = key.table == wanted.at("table")
                && key.part == (wanted.contains("part") ? wanted.at("part") : "")
                && (!wanted.contains("from") || key.key >= wanted.at("from"));
            if (matches && !row.removed) {
                found.push_back(rowJson(key, row));
            }
        }
        return this->answer(std::move(found));
    }
    Json feed(const std::map<std::string, std::string> &wanted)
    {
        std::unique_lock lock(this->mutex);
        const unsigned long after = std::stoul(wanted.at("after"));
        const auto until = Clock::now() + std::chrono::milliseconds(std::stol(wanted.at("wait_ms")));
        while (true) {
            std::vector<std::pair<unsigned long, Json>> found;
            for (const auto &[key, row] : this->rows) {
                if (key.table == wanted.at("table") && row.version > after) {
                    found.emplace_back(row.version, rowJson(key, row));
                }
            }
            if (!found.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                std::sort(found.begin(), found.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
                Json rows = Json::array();
                for (auto &[ver, row] : found) {
                    rows.push_back(std::move(row));
                }
                return this->answer(std::move(rows));
            }
        }
    }
    Json transact(const Json &body, int &status)
    {
        const std::lock_guard lock(this->mutex);
        Json conflicts = Json::array();
        bool holds = true;
        for (const Json &entry : body.value("expected_revision", Json::array())) {
            const Key key{entry.at("table"), entry.at("part"), entry.at("key")};
            const auto found = this->rows.find(key);
            const unsigned long current
                = found == this->rows.end() || found->second.removed ? 0 : found->second.version;
            holds = holds && current == entry.at("ver").get<unsigned long>();
            if (current > 0) {
                conflicts.push_back(rowJson(key, found->second));
            }
        }
        if (!holds) {
            status = 412;
            return this->answer(std::move(conflicts));
        }
        ++this->version;
        for (const Json &entry : body.value("writes", Json::array())) {
            this->rows[{entry.at("table"), entry.at("part"), entry.at("key")}]
                = {entry.at("value").get<std::string>(), this->version, false};
        }
        for (const Json &entry : body.value("remove", Json::array())) {
            this->rows[{entry.at("table"), entry.at("part"), entry.at("key")}] = {"", this->version, true};
        }
        this->changed.notify_all();
        return Json{{"ver", this->version}, {"now_ms", nowMs() + 1000}};
    }
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.readHead(request) && reader.readBody(request, 1U << 21U)) {
            const std::string target = request.first.substr(request.first.find(' ') + 1);
            const std::string path = target.substr(0, target.find_first_of("? "));
            const auto wanted = query(target.substr(0, target.find(' ')));
            int status = 200;
            Json body;
            if (path == "/rows-get") {
                body = this->get(wanted);
            } else if (path == "/rows-feed") {
                body = this->feed(wanted);
            } else if (path == "/rows-tx") {
                body = this->transact(Json::parse(request.body), status);
            } else {
                status = 404;
            }
            const std::string text = body.dump();
            if (!sendAll(fd,
                         "HTTP/1.1 " + std::to_string(status)
                             + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    unsigned long version = 10;
};

/// A daemon that the deploy file's command starts.
class Daemon
{
public:
    std::string name;
    int callers = 0;
    int operators = 0;
    int peers = 0;
    std::atomic<pid_t> pid{0};

    bool start(const std::string &folder, const std::string &settings)
    {
        this->file = folder + "/" + this->name + ".ini";
        this->log = folder + "/" + this->name + ".log";
        std::FILE *out = std::fopen(this->file.c_str(), "w");
        std::fputs(settings.c_str(), out);
        std::fclose(out);
        return this->restart();
    }
    bool restart()
    {
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            std::freopen(this->log.c_str(), "a", stdout);
            ::dup2(1, 2);
            const std::string argument = "--settings=" + this->file;
            ::execl("target/parsleyvaned", "target/parsleyvaned", argument.c_str(), nullptr);
            ::_exit(127);
        }
        this->pid = child;
        return child > 0;
    }
    void signal(int number) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }
    void kill()
    {
        this->signal(SIGKILL);
        if (this->pid > 0) {
            ::waitpid(this->pid, nullptr, 0);
        }
        this->pid = 0;
    }
    /// Resident memory in bytes.
    std::size_t memory() const
    {
        std::FILE *in = std::fopen(("/proc/" + std::to_string(this->pid.load()) + "/statm").c_str(), "r");
        unsigned long total = 0;
        unsigned long resident = 0;
        if (in != nullptr) {
            if (std::fscanf(in, "%lu %lu", &total, &resident) != 2) {
                resident = 0;
            }
            std::fclose(in);
        }
        return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }
    bool isReady() const
    {
        const int fd = connectTo(this->operators);
        if (fd < 0) {
            return false;
        }
        sendAll(fd, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        Reader reader(fd);
        Message message;
        const bool ok = reader.readHead(message) && message.first.find(" 200") != std::string::npos;
        ::close(fd);
        return ok;
    }

private:
    std::string file;
    std::string log;
};

/// The settings as the platform fills in the template for a small deployment.
inline std::string settingsOf(const Daemon &daemon, const std::string &zone, const std::string &zones, int store)
{
    const auto at = [](int port) {
        return "127.0.0.1:" + std::to_string(port) + "\n";
    };
    return "[instance]\nid = " + daemon.name + "\nzone = " + zone
        + "\nfront = ingress\nprocessor-share = 0.25\nfirst-start = yes\n[zones]\n" + zones
        + "[listen]\ncallers = " + at(daemon.callers) + "operators = " + at(daemon.operators)
        + "peers = " + at(daemon.peers) + "[platform]\naddress = " + at(store)
        + "contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout\n"
          "[limits]\nleast-confidence = 60\n"
          "[bounds]\nchange-ms = 2000\nleaving-ms = 2000\nevidence-ms = 5000\nstable-ms = 3000\ngrace-s = 8\n"
          "repeat-ratio = 0.9\nrepeat-window-s = 10\nrepeat-slack = 52\nexpose-share = 0.15\nsession-s = 5\n";
}

} // namespace rig
