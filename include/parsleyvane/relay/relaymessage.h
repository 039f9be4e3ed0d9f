/**
 * @file
 * @brief What an instance asks the reader of its zone, and what the reader answers.
 */
#pragma once

#include "parsleyvane/core/failure.h"
#include "parsleyvane/core/ids.h"
#include "parsleyvane/ingress/loadview.h"
#include "parsleyvane/relay/rowmirror.h"
#include "parsleyvane/store/storewatch.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace parsleyvane {

/// @brief A question of one instance to the reader of its zone, which is answered as soon as there is news.
struct RelayPoll
{
    InstanceId from;
    std::uint64_t era = 0; ///< of the store, as known to the instance
    Milliseconds confirmed{0}; ///< the newest time on the store's clock from which the instance has confirmation
    std::map<StoreTable, std::uint64_t> versions; ///< up to which it knows each table; 0 stands for nothing
    std::string report; ///< its evidence, if it has changed since the reader's latest answer
    std::optional<LoadReport> load; ///< of the upstreams; nothing from an instance that does not share it
    std::size_t invalidLoads = 0; ///< entries of the load that were left out as they were unreadable or implausible

    friend bool operator==(const RelayPoll &, const RelayPoll &) = default;
};

/// @brief What a reader knows. Rows are passed on as the store gave them.
struct RelayOffer
{
    std::uint64_t era = 0; ///< of the store, for all versions
    Milliseconds confirmed{0}; ///< when the store confirmed the operator's table, on the store's clock
    bool isLeaving = false; ///< the reader stops
    bool wantsEvidence = false; ///< there is evidence against a new version: evidence for it counts too
    std::size_t members = 0; ///< of the zone, as known to the reader
    std::map<StoreTable, RelayedTable> tables; ///< those whose latest read was answered
    std::optional<LoadTable> load; ///< of the upstreams; nothing from a reader that does not share it
    std::size_t invalidLoads = 0; ///< as in RelayPoll

    friend bool operator==(const RelayOffer &, const RelayOffer &) = default;
};

/// @brief Formats the message as JSON. Complexity: linear.
std::string serialise(const RelayPoll &poll);
std::string serialise(const RelayOffer &offer);
/// @brief Parses the output of serialise(). @param reason BadPeerData when the text is malformed
std::optional<RelayPoll> parseRelayPoll(const std::string &text, LastReason &reason);
std::optional<RelayOffer> parseRelayOffer(const std::string &text, LastReason &reason);

} // namespace parsleyvane
