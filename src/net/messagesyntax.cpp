#include "parsleyvane/net/messagesyntax.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/url/authority_view.hpp>
#include <utility>

namespace parsleyvane {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http11 = 11;

bool isValidStatus(unsigned status)
{
    constexpr unsigned firstCode = 100;
    constexpr unsigned lastCode = 599;
    // Requests never ask for an upgrade, so that no upstream may switch protocols.
    return status >= firstCode && status <= lastCode
        && status != static_cast<unsigned>(http::status::switching_protocols);
}

std::string statusText(unsigned status)
{
    constexpr std::size_t digits = 3;
    const std::string text = std::to_string(status);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

/// Whether the fields name the transfer coding chunked and no other; empty list elements count for nothing.
bool namesChunkedOnly(const http::fields &fields)
{
    std::size_t codings = 0;
    for (const auto &field : fields) {
        if (field.name() != http::field::transfer_encoding) {
            continue;
        }
        const http::opt_token_list list(field.value());
        if (!http::validate_list(list)) {
            return false;
        }
        for (const beast::string_view coding : list) {
            if (!beast::iequals(coding, "chunked")) {
                return false;
            }
            ++codings;
        }
    }
    return codings == 1;
}

bool hasFoldedLine(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos || lines.find("\n\t") != std::string_view::npos;
}

bool hasControlCharacter(beast::string_view chunkExtensions)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7F;
    return std::any_of(chunkExtensions.begin(), chunkExtensions.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < firstPrintable && character != '\t') || byte == deleteCharacter;
    });
}

/// The rule on fields that requests and responses have in common. A transfer coding that the parser does not decode
/// leaves the body's end unknown (RFC 9112, sections 5.2, 6.1 and 6.3).
std::optional<std::string> findFieldDefect(const http::fields &fields, unsigned version, std::string_view lines,
                                           bool isChunked)
{
    if (hasFoldedLine(lines)) {
        return "folded field line";
    }
    if (fields.count(http::field::transfer_encoding) == 0) {
        return std::nullopt;
    }
    if (version < http11) {
        return "transfer coding in HTTP/1.0";
    }
    if (!isChunked || !namesChunkedOnly(fields)) {
        return "unsupported transfer coding";
    }
    return std::nullopt;
}

/// A host and a port, both of which may be empty (RFC 9110, section 7.2).
bool isValidHost(beast::string_view value)
{
    const auto authority = boost::urls::parse_authority({value.data(), value.size()});
    return authority && !authority->has_userinfo();
}

} // namespace

std::optional<std::string> findHeadDefect(const http::response_header<> &head, std::string_view lines, bool isChunked)
{
    if (!isValidStatus(head.result_int())) {
        return "status " + statusText(head.result_int());
    }
    return findFieldDefect(head, head.version(), lines, isChunked);
}

std::optional<std::string> findHeadDefect(const http::request_header<> &head, std::string_view lines, bool isChunked)
{
    if (head.method() == http::verb::connect) {
        // What follows is no request but the content of a tunnel (RFC 9110, section 9.3.6).
        return "method CONNECT";
    }
    const std::size_t hosts = head.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && head.version() >= http11)) {
        return hosts > 1 ? "more than one Host" : "no Host";
    }
    if (!isValidHost(head[http::field::host])) {
        return "malformed Host";
    }
    if (hasConnectionOption(head, "Host")) {
        // Without it, no upstream could accept the request.
        return "Connection names Host";
    }
    return findFieldDefect(head, head.version(), lines, isChunked);
}

bool hasConnectionOption(const http::fields &fields, beast::string_view option)
{
    const auto [first, last] = fields.equal_range(http::field::connection);
    return std::any_of(first, last, [&](const auto &field) { return http::token_list(field.value()).exists(option); });
}

std::optional<std::string> findTrailerDefect(std::string_view lines)
{
    return hasFoldedLine(lines) ? std::optional<std::string>("folded trailer line") : std::nullopt;
}

void RecordingBuffer::startRecording()
{
    this->isRecording = true;
    this->skippedBytes = 0;
    this->recorded.clear();
}

void RecordingBuffer::startRecording(const char *first)
{
    this->startRecording();
    this->skippedBytes = static_cast<std::size_t>(first - static_cast<const char *>(this->data().data()));
}

std::string RecordingBuffer::stopRecording()
{
    this->isRecording = false;
    return std::exchange(this->recorded, {});
}

void RecordingBuffer::consume(std::size_t count)
{
    if (this->isRecording) {
        const std::size_t consumed = std::min(count, this->size());
        const std::size_t skipped = std::min(consumed, this->skippedBytes);
        this->recorded.append(static_cast<const char *>(this->data().data()) + skipped, consumed - skipped);
        this->skippedBytes -= skipped;
    }
    this->beast::flat_buffer::consume(count);
}

ChunkHandler chunkChecker(RecordingBuffer &buffer)
{
    return [&buffer](std::uint64_t size, beast::string_view extensions, boost::system::error_code &error) {
        if (hasControlCharacter(extensions)) {
            error = http::error::bad_chunk_extension;
        }
        if (size == 0) {
            buffer.startRecording(extensions.data());
        }
    };
}

} // namespace parsleyvane
