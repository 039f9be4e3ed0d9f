/**
 * @file
 * @brief Records of what a stand-in did, their clock and their text.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace parsleyvane::standins {

using Json = nlohmann::json;

/// @brief Milliseconds of CLOCK_BOOTTIME, which orders the records of one machine.
std::int64_t bootMilliseconds();

/// @brief JSON text; bytes that are not UTF-8 are replaced.
std::string dumpJson(const Json &value);

/// @brief Keeps events and appends each as a line of JSON to a file, which survives the process.
class Recorder
{
public:
    // constructors
    /// @param path empty for no file; throws std::system_error when it cannot be opened
    explicit Recorder(const std::string &path);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    // modifiers
    /// @brief Adds the time as `at` and records the event.
    void add(Json event);

    // observers
    /// @brief `{"events":[...]}` with the latest events, oldest first.
    std::string json() const;

private:
    int file = -1;
    std::deque<std::string> events;
};

} // namespace parsleyvane::standins
