/**
 * @file
 * @brief Asks the platform's table which configuration is accepted, and reads its list of instances.
 */
#pragma once

#include "parsleyvane/config/configuration.h"
#include "parsleyvane/membership/membership.h"
#include "parsleyvane/net/controlplane.h"
#include "parsleyvane/net/httpclient.h"
#include "parsleyvane/net/peernetwork.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleyvane {

/// @brief A configuration together with its text.
struct LoadedConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    ConfigurationDocument document;
};

/// @brief What the store says.
struct ProbeResult
{
    bool unchanged = false; ///< the row has the version that was asked with
    bool absent = false; ///< there is no row
    std::uint64_t rowVersion = 0;
    std::string json; ///< of another version
    std::size_t bytes = 0;
};

/// @brief A row of the platform's list.
struct ListedMember
{
    std::string id;
    std::string role; ///< "entry", "engine" or "service"
    std::string address;
    ZoneId zone;
    bool leaving = false;
};

/// @brief The platform's list.
struct InstanceList
{
    std::vector<ListedMember> members;
    std::size_t bytes = 0;
};

/**
 * @brief Reads the row `config/head`.
 * @param rowVersion of the configuration in force; 0 when not known
 * @param reason StoreUnavailable, or BadUpstreamData when the store does not know such a call
 */
boost::asio::awaitable<std::optional<ProbeResult>> probeStore(boost::asio::ip::tcp::endpoint platform, StoreProbe probe,
                                                              std::uint64_t rowVersion, LastReason &reason);

/// @brief Reads the list of instances. @param reason StoreUnavailable or BadUpstreamData
boost::asio::awaitable<std::optional<InstanceList>> readInstanceList(boost::asio::ip::tcp::endpoint platform,
                                                                     LastReason &reason);

/// @brief Reads a document. @param reason InvalidConfiguration
std::optional<LoadedConfiguration> loadConfiguration(ConfigurationDocument document, LastReason &reason);

} // namespace parsleyvane
