/**
 * @file
 * @brief Structured log lines on standard output, bounded and never blocking.
 */
#pragma once

#include "parsleyvane/core/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace parsleyvane {

/// @brief One `key=value` pair of a line.
struct LogField
{
    std::string_view key;
    std::string value;

    LogField(std::string_view key, std::string value)
        : key(key)
        , value(std::move(value))
    {
    }
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, const char *value)
        : key(key)
        , value(value)
    {
    }
    LogField(std::string_view key, std::int64_t value)
        : key(key)
        , value(std::to_string(value))
    {
    }
};

/// @brief Limits of the log volume.
struct LogLimits
{
    std::size_t linesPerSecond = 300; ///< further lines are dropped and counted
    std::size_t bufferBytes = 64U << 10U; ///< buffered while standard output would block
    Milliseconds flushInterval{100}; ///< several lines share one write
};

/**
 * @brief Writes one line per decision: the boot-time clock in milliseconds, the event and its fields.
 *
 * Values that are empty or hold blanks, quotes or `=` are quoted. Lines beyond the limits are dropped; the next line
 * that is written carries their number in the field `dropped`.
 *
 * @code
 * log.line("answered", {{"id", request}, {"status", 200}, {"upstream", id.str()}});
 * @endcode
 */
class DecisionLog
{
public:
    // constructors
    explicit DecisionLog(boost::asio::io_context &context, LogLimits limits = {});

    // modifiers
    /// @brief Adds a line. Complexity: linear in its length.
    void line(std::string_view event, std::initializer_list<LogField> fields);
    /// @brief Writes as much of the buffer as standard output accepts without blocking.
    void flush();

    // observers
    /// @brief Lines dropped since the start.
    std::uint64_t dropped() const noexcept
    {
        return this->droppedLines;
    }

private:
    bool admit(TimePoint now);
    void scheduleFlush();

    LogLimits limits;
    boost::asio::steady_timer timer;
    std::string buffer;
    std::int64_t second = 0;
    std::size_t linesInSecond = 0;
    std::uint64_t droppedLines = 0;
    std::uint64_t reportedDroppedLines = 0;
    bool scheduled = false;
};

} // namespace parsleyvane
