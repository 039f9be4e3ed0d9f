/**
 * @file
 * @brief Reassembles the chunks of a streamed answer, complete and in order, across several attempts.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief Token counts that an engine reports at the end of an answer.
struct Usage
{
    Tokens promptTokens;
    Tokens cachedTokens;
    Tokens outputTokens;
};

/// @brief A part of an answer. Offsets count bytes from the start of the answer.
struct Chunk
{
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::string text;
    bool end = false; ///< explicit end marker; `offset` is then the answer's length
    Usage usage; ///< set in the end marker only
};

/**
 * @brief Assembles one answer. Complexity: logarithmic in the chunks buffered out of order.
 *
 * Chunks of attempts other than the current one are dropped, and so are duplicates. Chunks ahead of the next offset are
 * buffered up to a limit. The answer is complete when the end marker and all bytes before it were received.
 * After inconsistent chunks, all further chunks of the attempt are rejected until the next attempt begins. An attempt
 * that conflicts with bytes already delivered makes the answer unrecoverable: see isUnrecoverable().
 *
 * @code
 * assembler.beginAttempt(AttemptId("a1"));
 * const auto text = assembler.accept(chunk, reason); // send *text on
 * if (!assembler.complete()) { ... resume at assembler.offset() ... }
 * @endcode
 */
class AnswerAssembler
{
public:
    // constructors
    explicit AnswerAssembler(std::size_t maxBufferedBytes = 1U << 20U, std::size_t maxAnswerBytes = 16U << 20U);

    // modifiers
    /// @brief Starts an attempt that resumes at offset(); chunks buffered from the previous attempt are dropped.
    void beginAttempt(AttemptId attempt);
    /**
     * @brief Accepts a chunk.
     * @return the text that is now next in order, possibly empty; nothing when the chunk is inconsistent with earlier
     *         ones or over a limit (BadUpstreamData: overlap with different text, bytes past the end, size exceeded)
     */
    std::optional<std::string> accept(const Chunk &chunk, LastReason &reason);

    // observers
    /// @brief Number of bytes delivered.
    std::uint64_t offset() const noexcept;
    /// @brief The text delivered; the prefix for a resumed attempt.
    const std::string &text() const noexcept;
    /// @brief Whether the end marker and all bytes before it were received.
    bool complete() const noexcept;
    /// @brief Whether an attempt conflicted with bytes already delivered; the answer can then never be completed.
    bool isUnrecoverable() const noexcept;
    /// @brief The usage from the end marker; meaningful when complete().
    const Usage &usage() const noexcept;

private:
    std::optional<std::string> failInconsistent(LastReason &reason, std::string detail);
    std::optional<std::string> acceptEnd(const Chunk &chunk, LastReason &reason);
    bool bufferChunk(std::uint64_t offset, const std::string &text);
    bool append(std::uint64_t offset, const std::string &text);
    bool appendBuffered();

    std::size_t maxBufferedBytes;
    std::size_t maxAnswerBytes;
    AttemptId current;
    std::string delivered;
    std::map<std::uint64_t, std::string> buffered;
    std::size_t bufferedBytes = 0;
    std::optional<std::uint64_t> length;
    bool isInconsistent = false;
    bool hasDeliveryConflict = false;
    Usage endUsage;
};

/// @brief Parses the JSON payload of one event of an engine's stream. @param reason BadUpstreamData when it is
/// malformed
std::optional<Chunk> parseChunk(const std::string &payload, LastReason &reason);

} // namespace parsleyvane
