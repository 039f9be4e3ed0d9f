/**
 * @file
 * @brief The stream of one run of the model engine, with its faults.
 */
#pragma once

#include "httpserver.h"

#include <cstdint>
#include <optional>
#include <string>

namespace parsleyvane::standins {

/// @brief Faults that apply to a stream for its whole life.
struct StreamFaults
{
    std::int64_t silentAfter = -1; ///< events; negative for never
    std::int64_t cutAfter = -1; ///< events; negative for never
    bool cutLooksFinished = false;
    bool duplicate = false;
    bool reorder = false;
};

/// @brief Sends the events of one run to its caller.
class RunStream
{
public:
    // constructors
    RunStream(Connection &connection, const StreamFaults &faults);

    // observers
    /// @brief Whether the caller closed the connection.
    bool peerClosed();

    // modifiers
    /// @brief Sends a reply in place of a stream.
    boost::asio::awaitable<void> refuse(Reply reply);
    /// @brief Sends the head.
    boost::asio::awaitable<void> begin();
    /// @brief Sends an event, or does to it what the faults say. @return false when the stream is cut here
    boost::asio::awaitable<bool> emit(std::string event);
    /// @brief Ends the stream as the faults say; a silent one stays open until the caller closes.
    boost::asio::awaitable<void> end(bool cancelled);

private:
    bool isSilent() const;
    bool isCut() const;
    boost::asio::awaitable<void> sendCopies(std::string event);
    boost::asio::awaitable<void> sendHeld();

    Connection &connection;
    StreamFaults faults;
    bool begun = false;
    std::int64_t events = 0;
    std::optional<std::string> held; ///< an event that its neighbour overtakes
};

} // namespace parsleyvane::standins
