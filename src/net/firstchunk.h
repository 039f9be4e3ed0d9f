/**
 * @file
 * @brief Waits for the bytes that the parser needs to begin a chunked body.
 */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

namespace parsleyvane {

/**
 * @brief Reads until the buffer holds as many bytes as the shortest chunked body, or the read fails.
 *
 * When a body begins with its last chunk, Beast parses that chunk again as soon as more bytes arrive, and asserts that
 * it has all of it: "0" CR LF followed by a CR alone ends the process. No chunked body is shorter, so that the wait
 * ends.
 */
template<typename Stream, typename Buffer>
boost::asio::awaitable<void> awaitFirstChunk(Stream &stream, Buffer &buffer, boost::system::error_code &error)
{
    constexpr std::size_t shortestBody = std::string_view("0\r\n\r\n").size();
    constexpr std::size_t readBytes = 4096;
    while (!error && buffer.size() < shortestBody) {
        const auto space = buffer.prepare(readBytes);
        const std::size_t count
            = co_await stream.async_read_some(space, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        buffer.commit(count);
    }
}

} // namespace parsleyvane
