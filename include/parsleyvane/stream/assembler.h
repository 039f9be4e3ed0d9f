/**
 * @file
 * @brief Puts the chunks of a streamed answer together, whole and in order, over several attempts.
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

/// @brief A piece of an answer. Offsets count bytes of the whole answer.
struct Chunk
{
    AttemptId attempt;
    std::uint64_t offset = 0;
    std::string text;
    bool end = false; ///< the explicit end; `offset` is then the answer's length
    Usage usage; ///< at the end only
};

/**
 * @brief Assembles one answer. Complexity: logarithmic in the chunks waiting out of order.
 *
 * Once an attempt contradicted itself, all its further chunks are refused until the next attempt begins. Where it
 * contradicted bytes already given out, no further attempt can help: see inDoubt().
 * Chunks of another than the current attempt are dropped. Duplicates are dropped. Chunks ahead of their time wait, up
 * to a bound. The answer is complete when the explicit end has come and all bytes before it.
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
    explicit AnswerAssembler(std::size_t maxWaitingBytes = 1U << 20U, std::size_t maxAnswerBytes = 16U << 20U);

    // modifiers
    /// @brief Starts an attempt, which goes on at offset(); what waits from the attempt before is dropped.
    void beginAttempt(AttemptId attempt);
    /**
     * @brief Takes a chunk.
     * @return the text that is now next in order, perhaps empty; nothing when the upstream contradicts itself
     *         (BadUpstreamData: overlap with other text, bytes past the end, a bound exceeded)
     */
    std::optional<std::string> accept(const Chunk &chunk, LastReason &reason);

    // observers
    /// @brief Bytes given out so far.
    std::uint64_t offset() const noexcept;
    /// @brief The answer so far; the prefix for a resumed attempt.
    const std::string &text() const noexcept;
    /// @brief Whether the explicit end and all bytes before it have come.
    bool complete() const noexcept;
    /// @brief Whether bytes already given out were contradicted; the answer can then never be completed.
    bool inDoubt() const noexcept;
    /// @brief Usage from the end; meaningful when complete().
    const Usage &usage() const noexcept;

private:
    std::optional<std::string> contradiction(LastReason &reason, std::string detail);
    std::optional<std::string> acceptEnd(const Chunk &chunk, LastReason &reason);
    bool keepForLater(std::uint64_t offset, const std::string &text);
    bool append(std::uint64_t offset, const std::string &text);
    bool appendWaiting();

    std::size_t maxWaitingBytes;
    std::size_t maxAnswerBytes;
    AttemptId current;
    std::string given;
    std::map<std::uint64_t, std::string> waiting;
    std::size_t waitingBytes = 0;
    std::optional<std::uint64_t> length;
    bool contradicted = false;
    bool givenInDoubt = false;
    Usage endUsage;
};

/// @brief Reads the JSON payload of one event of an engine's stream. @param reason BadUpstreamData when it makes no
/// sense
std::optional<Chunk> parseChunk(const std::string &payload, LastReason &reason);

} // namespace parsleyvane
