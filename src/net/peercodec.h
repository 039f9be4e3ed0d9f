/**
 * @file
 * @brief Conversion of digests to and from Cap'n Proto messages, with limits on what a peer may send.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/membership/digest.h"
#include "peer.capnp.h"

#include <optional>

namespace parsleyvane {

/// @brief Limits on the contents of one message.
struct WireLimits
{
    static constexpr std::size_t textBytes = 2048;
    static constexpr std::size_t listEntries = 256;
    static constexpr std::size_t documentBytes = 4U << 20U;
    /// @brief Maximum message size, and traversal limit of a reader, in words of 8 bytes.
    static constexpr std::uint64_t messageWords = 1U << 20U;
};

/// @brief Writes the digest; longer lists are truncated to WireLimits::listEntries.
void writeDigest(const Digest &digest, wire::Digest::Builder builder);
/// @brief Reads a digest. @param reason BadPeerData when a limit is exceeded or the instance's id is empty
std::optional<Digest> readDigest(wire::Digest::Reader reader, LastReason &reason);
/// @brief Size in bytes of a message that contains only the digest.
std::size_t wireSize(const Digest &digest);

} // namespace parsleyvane
