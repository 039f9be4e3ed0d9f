/**
 * @file
 * @brief Digests as Cap'n Proto messages, with bounds on what a peer may send.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/membership/digest.h"
#include "peer.capnp.h"

#include <optional>

namespace parsleyvane {

/// @brief Bounds of what one message may carry.
struct WireLimits
{
    static constexpr std::size_t textBytes = 2048;
    static constexpr std::size_t listEntries = 256;
    static constexpr std::size_t documentBytes = 4U << 20U;
    /// @brief Largest message in words of 8 bytes, and most that is read of one.
    static constexpr std::uint64_t messageWords = 1U << 20U;
};

/// @brief Writes the digest; lists beyond their bound are cut.
void writeDigest(const Digest &digest, wire::Digest::Builder builder);
/// @brief Reads a digest. @param reason BadPeerData when a bound is exceeded or a name is missing
std::optional<Digest> readDigest(wire::Digest::Reader reader, LastReason &reason);
/// @brief The bytes of the digest in a message of its own.
std::size_t wireSize(const Digest &digest);

} // namespace parsleyvane
