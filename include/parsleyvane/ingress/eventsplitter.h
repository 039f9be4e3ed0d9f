/**
 * @file
 * @brief Splits a stream of server-sent events into complete events, with their bytes unchanged.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/// @brief One complete event as received, including the blank line that ends it.
struct RawEvent
{
    std::string_view bytes; ///< valid until the next feed()
    std::optional<std::uint64_t> id;
};

/**
 * @brief Buffers bytes and returns only complete events, so that a partial event is never passed on.
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
    /// @brief Appends the next bytes, which may begin and end anywhere in an event. Complexity: linear, amortised.
    void feed(std::string_view bytes);
    /// @brief Removes and returns the next complete event; empty when there is none. Complexity: linear in the event.
    std::optional<RawEvent> next();

    // observers
    /// @brief Number of buffered bytes that next() has not returned.
    std::size_t pending() const noexcept
    {
        return this->buffer.size() - this->begin;
    }
    /// @brief Whether the bytes of an incomplete event exceed the limit, so that no more may be fed.
    bool isEventTooLong() const noexcept
    {
        return this->pending() > maxEventBytes;
    }

    /// @brief Many times an event of several tokens.
    static constexpr std::size_t maxEventBytes = 64U << 10U;

private:
    std::string buffer;
    std::size_t begin = 0;
};

/**
 * @brief Recognises the events that an upstream repeats when it resumes a stream, also those without an id: these are
 * counted from the event with an id before them. Comments are never taken for repeated.
 */
class RepeatFilter
{
public:
    // modifiers
    /// @brief A stream begins that continues after this event.
    void onStreamBegin(std::optional<std::uint64_t> lastEvent);
    /// @brief Notes the next event of the stream; returns whether an event at its place was noted in a stream before.
    bool isRepeated(const RawEvent &event);

private:
    struct Position
    {
        std::optional<std::uint64_t> id;
        std::uint64_t withoutId = 0; ///< events since the one with the id

        // clang-tidy mistakes the zero in the generated comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const Position &, const Position &) = default;
    };

    Position newest;
    Position current;
};

} // namespace parsleyvane
