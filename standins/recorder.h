/**
 * @file
 * @brief Event records of a stand-in, with their clock and JSON form.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace parsleyvane::standins {

using Json = nlohmann::json;

/// @brief CLOCK_BOOTTIME in milliseconds, which orders the records of all processes on a machine.
std::int64_t bootMilliseconds();

/// @brief Serialises to JSON; invalid UTF-8 is replaced.
std::string dumpJson(const Json &value);

/// @brief Keeps the latest events in memory and appends each as a line of JSON to a file that outlives the process.
class Recorder
{
public:
    // constructors
    /// @param path the file to append to, empty for none; throws std::system_error when it cannot be opened
    explicit Recorder(const std::string &path);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    // modifiers
    /// @brief Records the event, with the current time as `at`.
    void add(Json event);

    // observers
    /// @brief `{"events":[...]}` with the latest events, oldest first.
    std::string json() const;

private:
    int file = -1;
    std::deque<std::string> events;
};

} // namespace parsleyvane::standins
