/**
 * @file
 * @brief A TCP relay that can drop traffic or close connections.
 */
#pragma once

#include <memory>
#include <string>

namespace parsleyvane::rig {

/// @brief What a relay does with the bytes of both directions.
enum class RelayMode {
    Pass, ///< forwards all bytes
    Drop, ///< discards all bytes; the connection stays open on both sides
    DropReplies, ///< forwards requests and discards replies
    Cut, ///< closes open connections, and new ones immediately
};

/**
 * @brief Listens on its own port and forwards connections to a target, on its own thread.
 *
 * A connection that has dropped bytes in one direction drops the bytes of both directions from then on, also after the
 * mode is Pass again, like a connection whose state was lost by a middlebox.
 */
class Relay
{
public:
    // constructors
    /// @param target IP address and port of the server to forward to
    explicit Relay(const std::string &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // modifiers
    /// @brief Sets the mode of open and new connections; in effect when the call returns.
    void setMode(RelayMode mode);

    // observers
    /// @brief The address to connect to in place of the target.
    const std::string &address() const noexcept;

private:
    class Hub;
    std::unique_ptr<Hub> hub;
};

} // namespace parsleyvane::rig
