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

/// @brief Bounds on the volume.
struct LogLimits
{
    std::size_t linesPerSecond = 300; ///< above it lines are dropped and counted
    std::size_t bufferBytes = 64U << 10U; ///< kept while standard output takes nothing
    Milliseconds flushInterval{100}; ///< several lines share one write
};

/**
 * @brief Writes one line for each decision: milliseconds of the boot-time clock, the event, its fields.
 *
 * Values are quoted when they hold blanks. What does not fit the bounds is dropped; the next line says how much was.
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
    /// @brief Writes what standard output takes at once.
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
    std::uint64_t droppedTold = 0;
    bool scheduled = false;
};

} // namespace parsleyvane
