/**
 * @file
 * @brief Decides whether a message is well-formed HTTP/1.1, for every reader of messages.
 *
 * The parser of Beast checks the start line, names and values of fields, Content-Length and chunks byte by byte. The
 * functions here check what it lets through. docs/API.md states the whole rule.
 */
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/**
 * @brief Reports the first defect of a response's head, such as "status 000"; nothing when there is none.
 * @param head the head as parsed @param lines its bytes @param isChunked whether the parser decodes the body as chunked
 */
std::optional<std::string> findHeadDefect(const boost::beast::http::response_header<> &head, std::string_view lines,
                                          bool isChunked);

/// @brief Reports the first defect of a request's head, as for a response's.
std::optional<std::string> findHeadDefect(const boost::beast::http::request_header<> &head, std::string_view lines,
                                          bool isChunked);

/// @brief Whether any Connection field has the option: "close", or the name of a field that concerns this connection
/// only (RFC 9110, section 7.6.1).
bool hasConnectionOption(const boost::beast::http::fields &fields, boost::beast::string_view option);

/// @brief Reports a defect of the last chunk and the trailer section, as findHeadDefect().
std::optional<std::string> findTrailerDefect(std::string_view lines);

/**
 * @brief A buffer that keeps a copy of what is consumed while it is recording.
 *
 * A parser consumes lines as it parses them, and joins folded ones.
 */
class RecordingBuffer : public boost::beast::flat_buffer
{
public:
    // constructors
    explicit RecordingBuffer(std::size_t maxBytes)
        : boost::beast::flat_buffer(maxBytes)
    {
    }

    // modifiers
    /// @brief Starts a new recording.
    void startRecording();
    /// @brief Starts a new recording with this byte, one of the readable ones.
    void startRecording(const char *first);
    /// @brief Ends the recording. @return the bytes consumed since it was started; empty when there is none
    std::string stopRecording();
    /// @brief Removes bytes from the beginning of the readable ones.
    void consume(std::size_t count);

private:
    bool isRecording = false;
    std::size_t skippedBytes = 0; ///< readable bytes before the recording
    std::string recorded;
};

/// @brief A parser's handler for the headers of chunks.
using ChunkHandler
    = std::function<void(std::uint64_t size, boost::beast::string_view extensions, boost::system::error_code &error)>;

/**
 * @brief A handler that rejects control characters in a chunk's extensions, whose quoted strings the parser does not
 * check, and records the last chunk with the trailer section.
 * @param buffer that the parser reads from; must outlive the handler
 */
ChunkHandler chunkChecker(RecordingBuffer &buffer);

} // namespace parsleyvane
