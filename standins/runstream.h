/**
 * @file
 * @brief The event stream of one run of the model engine, with injected faults.
 */
#pragma once

#include "httpserver.h"

#include <cstdint>
#include <optional>
#include <string>

namespace parsleyvane::standins {

/// @brief Faults of a stream, fixed when it is created.
struct StreamFaults
{
    std::int64_t silentAfter = -1; ///< number of events before the stream goes silent; negative for never
    std::int64_t cutAfter = -1; ///< number of events before the stream is cut; negative for never
    bool cutLooksFinished = false;
    bool duplicate = false;
    bool reorder = false;
};

/// @brief Sends the events of one run to its client.
class RunStream
{
public:
    // constructors
    RunStream(Connection &connection, const StreamFaults &faults);

    // observers
    /// @brief Whether the client closed or reset the connection.
    bool peerClosed();

    // modifiers
    /// @brief Sends a single reply instead of a stream.
    boost::asio::awaitable<void> refuse(Reply reply);
    /// @brief Sends the response head.
    boost::asio::awaitable<void> begin();
    /// @brief Sends an event, subject to the faults. @return false when the stream is cut before this event
    boost::asio::awaitable<bool> emit(std::string event);
    /// @brief Ends the stream, subject to the faults; a silent one stays open until the client closes it.
    boost::asio::awaitable<void> end(bool cancelled);

private:
    bool isSilent() const;
    bool isCut() const;
    boost::asio::awaitable<void> sendCopies(std::string event);
    boost::asio::awaitable<void> sendWithheldEvent();

    Connection &connection;
    StreamFaults faults;
    bool begun = false;
    std::int64_t events = 0;
    std::optional<std::string> withheldEvent; ///< reordered event, sent after the one that follows it
};

} // namespace parsleyvane::standins
