/**
 * @file
 * @brief A TCP relay that loses traffic on demand.
 */
#pragma once

#include <memory>
#include <string>

namespace parsleyvane::rig {

/// @brief What a relay does with the bytes of both directions.
enum class RelayMode {
    Pass, ///< forwards everything
    Drop, ///< reads and forgets: both sides keep an open, silent connection
    DropReplies, ///< forwards requests and forgets what comes back
    Cut, ///< closes open connections and new ones at once
};

/**
 * @brief Listens on a port of its own and forwards to a target, on a thread of its own.
 *
 * A connection keeps the mode under which bytes of it were last lost: one that has dropped bytes stays silent after
 * the relay passes again, as a connection does that something in between has forgotten.
 */
class Relay
{
public:
    // constructors
    /// @param target IP address and port
    explicit Relay(const std::string &target);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // modifiers
    /// @brief Takes effect for open and new connections before the call returns.
    void setMode(RelayMode mode);

    // observers
    /// @brief Where to connect instead of the target.
    const std::string &address() const noexcept;

private:
    class Hub;
    std::unique_ptr<Hub> hub;
};

} // namespace parsleyvane::rig
