/**
 * @file
 * @brief Child processes of tests, which are killed when the test ends.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace parsleyvane::rig {

/// @brief The default timeout for waiting on a condition.
constexpr Milliseconds waitBound{20000};

/**
 * @brief Polls until the condition is true or the bound has passed.
 * @return whether the condition became true
 */
bool waitUntil(const std::function<bool()> &condition, Milliseconds bound = waitBound);

/// @brief Milliseconds of CLOCK_BOOTTIME, the clock of the stand-ins' records.
std::int64_t bootMilliseconds();

/// @brief A free TCP port of 127.0.0.1 as "127.0.0.1:PORT". A process gets the same port again only after it
/// has tried the whole range. @throws std::runtime_error when no port is free
std::string freeAddress();

/**
 * @brief A child process; killed by the destructor, and when this process receives SIGINT or SIGTERM.
 *
 * Signals are sent to this process id only, and never after the process was reaped.
 */
class Process
{
public:
    // constructors
    /**
     * @brief Starts a program.
     * @param command the program's path and its arguments
     * @param log file to which standard output and standard error are appended
     * @throws std::system_error when the program cannot be started
     */
    Process(const std::vector<std::string> &command, const std::filesystem::path &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // modifiers
    /// @brief Sends SIGKILL and waits for the exit.
    void kill();
    /// @brief Sends SIGSTOP.
    void freeze();
    /// @brief Sends SIGCONT.
    void thaw();
    /// @brief Sends SIGTERM; does not wait.
    void terminate();
    /// @brief Sends a signal; does not wait.
    void signal(int number) const;
    /// @brief Waits for the exit. @return the status of waitpid(), or nothing on timeout
    std::optional<int> wait(Milliseconds bound = waitBound);

    // observers
    /// @brief Whether the process has not exited; reaps it if it has.
    bool running();
    pid_t id() const noexcept
    {
        return this->pid;
    }

private:
    pid_t pid = -1;
    std::optional<int> waitStatus;
};

} // namespace parsleyvane::rig
