/**
 * @file
 * @brief Decides whether a response is well-formed HTTP/1.1, for every reader of responses.
 *
 * The parser of Beast checks the status line, names and values of fields, Content-Length and chunks byte by byte. The
 * functions here check what it lets through. docs/API.md states the whole rule.
 */
#pragma once

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyvane {

/**
 * @brief Reports the first defect of a response's head, such as "status 000"; nothing when there is none.
 * @param head the head as parsed @param isChunked whether the parser decodes the body as chunked
 */
std::optional<std::string> findHeadDefect(const boost::beast::http::response_header<> &head, bool isChunked);

/// @brief Whether the extensions of a chunk hold a control character. The parser does not check quoted strings.
bool hasControlCharacter(std::string_view chunkExtensions);

} // namespace parsleyvane
