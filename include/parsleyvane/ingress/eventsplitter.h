/**
 * @file
 * @brief Cuts a stream of server-sent events into whole events, bytes unchanged.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/// @brief One whole event as it came, with its blank line.
struct RawEvent
{
    std::string_view bytes; ///< valid until the next feed()
    std::optional<std::uint64_t> id;
};

/**
 * @brief Gives back only whole events, so that a torn one never leaves.
 *
 * @code
 * splitter.feed(piece);
 * while (const auto event = splitter.next()) {
 *     pass(event->bytes);
 * }
 * @endcode
 */
class EventSplitter
{
public:
    // modifiers
    /// @brief Takes the next bytes, cut anywhere. Complexity: linear, amortised.
    void feed(std::string_view bytes);
    /// @brief The next whole event; nothing when none is complete. Complexity: linear in the event.
    std::optional<RawEvent> next();

    // observers
    /// @brief Bytes of an event that is not complete yet.
    std::size_t pending() const noexcept
    {
        return this->buffer.size() - this->begin;
    }

private:
    std::string buffer;
    std::size_t begin = 0;
};

} // namespace parsleyvane
