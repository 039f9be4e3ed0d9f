/**
 * @file
 * @brief Child processes that tests start, freeze, kill and never leave behind.
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

/// @brief The longest that rigs wait for a condition which has no bound of its own.
constexpr Milliseconds waitBound{20000};

/**
 * @brief Polls until the condition holds.
 * @return whether it held before the bound
 */
bool waitUntil(const std::function<bool()> &condition, Milliseconds bound = waitBound);

/// @brief Milliseconds of CLOCK_BOOTTIME, the clock of the stand-ins' records.
std::int64_t bootMilliseconds();

/// @brief A free TCP port of 127.0.0.1 as "127.0.0.1:PORT"; never the same one twice in a process.
std::string freeAddress();

/**
 * @brief One child process; it is killed when the object goes, and when SIGINT or SIGTERM ends this process.
 *
 * Signals go to its process id only, and only until it has been reaped.
 */
class Process
{
public:
    // constructors
    /**
     * @brief Starts a program.
     * @param command the program's path and its arguments
     * @param log receives its standard output and error, appended
     * @throws std::system_error when it cannot be started
     */
    Process(const std::vector<std::string> &command, const std::filesystem::path &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    // modifiers
    /// @brief SIGKILL, and waits for the end.
    void kill();
    /// @brief SIGSTOP.
    void freeze();
    /// @brief SIGCONT.
    void thaw();
    /// @brief SIGTERM; does not wait.
    void terminate();
    /// @brief Waits for the end. @return the wait status, or nothing when the bound passed first
    std::optional<int> wait(Milliseconds bound = waitBound);

    // observers
    /// @brief Whether it has not ended.
    bool running();
    /// @brief Its process identifier.
    pid_t id() const noexcept
    {
        return this->pid;
    }

private:
    void signal(int number) const;

    pid_t pid = -1;
    std::optional<int> ended;
};

} // namespace parsleyvane::rig
