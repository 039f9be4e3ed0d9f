#include "rig/process.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace parsleyvane::rig {

namespace {

constexpr std::size_t maxChildren = 256;
constexpr Milliseconds pollInterval{10};
/// @brief Below the kernel's range of ephemeral ports, so that outgoing connections don't use these ports.
constexpr unsigned firstPort = 20000;
constexpr unsigned portCount = 12000;
constexpr unsigned portStride = 101;

/// @brief Process ids of the running children, for the signal handler; 0 marks a free slot.
std::array<std::atomic<pid_t>, maxChildren> children;

void registerChild(pid_t pid)
{
    for (std::atomic<pid_t> &slot : children) {
        pid_t none = 0;
        if (slot.compare_exchange_strong(none, pid)) {
            return;
        }
    }
    ::kill(pid, SIGKILL);
    throw std::length_error("too many child processes");
}

void unregisterChild(pid_t pid)
{
    for (std::atomic<pid_t> &slot : children) {
        pid_t expected = pid;
        if (slot.compare_exchange_strong(expected, 0)) {
            return;
        }
    }
}

void killChildrenAndExit(int number)
{
    for (const std::atomic<pid_t> &slot : children) {
        const pid_t pid = slot.load();
        if (pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    constexpr int signalExitBase = 128;
    ::_exit(signalExitBase + number);
}

/// @brief Installs a handler for SIGINT and SIGTERM that kills all children and exits.
void killChildrenOnSignals()
{
    struct sigaction action
    {
    };
    action.sa_handler = killChildrenAndExit;
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
}

bool portIsFree(unsigned port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    ::close(descriptor);
    return result == 0;
}

/// @brief Owns the file actions and attributes for posix_spawn().
struct SpawnPlan
{
    posix_spawn_file_actions_t files{};
    posix_spawnattr_t attributes{};

    explicit SpawnPlan(const std::string &log)
    {
        constexpr mode_t logMode = 0644;
        posix_spawn_file_actions_init(&this->files);
        posix_spawn_file_actions_addopen(&this->files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         logMode);
        posix_spawn_file_actions_adddup2(&this->files, STDOUT_FILENO, STDERR_FILENO);
        posix_spawnattr_init(&this->attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&this->attributes, &none);
        posix_spawnattr_setflags(&this->attributes, POSIX_SPAWN_SETSIGMASK);
    }
    ~SpawnPlan()
    {
        posix_spawn_file_actions_destroy(&this->files);
        posix_spawnattr_destroy(&this->attributes);
    }
    SpawnPlan(const SpawnPlan &) = delete;
    SpawnPlan &operator=(const SpawnPlan &) = delete;
};

} // namespace

bool waitUntil(const std::function<bool()> &condition, Milliseconds bound)
{
    const auto limit = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::int64_t bootMilliseconds()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return std::chrono::duration_cast<Milliseconds>(sinceBoot).count();
}

std::string freeAddress()
{
    // Test programs that run in parallel start at different ports.
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * portStride};
    for (unsigned attempt = 0; attempt < portCount; ++attempt) {
        const unsigned port = firstPort + next++ % portCount;
        if (portIsFree(port)) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free port");
}

Process::Process(const std::vector<std::string> &command, const std::filesystem::path &log)
{
    static std::once_flag handlersInstalled;
    std::call_once(handlersInstalled, killChildrenOnSignals);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    const SpawnPlan plan(log.string());
    const int error
        = ::posix_spawn(&this->pid, arguments.front(), &plan.files, &plan.attributes, arguments.data(), environ);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), command.front());
    }
    registerChild(this->pid);
}

Process::~Process()
{
    this->kill();
}

void Process::signal(int number) const
{
    if (!this->waitStatus) {
        ::kill(this->pid, number);
    }
}

void Process::kill()
{
    this->signal(SIGKILL);
    this->wait();
}

void Process::freeze()
{
    this->signal(SIGSTOP);
}

void Process::thaw()
{
    this->signal(SIGCONT);
}

void Process::terminate()
{
    this->signal(SIGTERM);
}

bool Process::running()
{
    if (this->waitStatus) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) != this->pid) {
        return true;
    }
    unregisterChild(this->pid);
    this->waitStatus = status;
    return false;
}

std::optional<int> Process::wait(Milliseconds bound)
{
    waitUntil([this] { return !this->running(); }, bound);
    return this->waitStatus;
}

} // namespace parsleyvane::rig
