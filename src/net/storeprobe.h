/**
 * @file
 * @brief Reads the accepted configuration from the platform's table, and the platform's list of instances.
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

/// @brief A parsed configuration and the document it was read from.
struct LoadedConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    ConfigurationDocument document;
};

/// @brief Result of a probe of the store.
struct ProbeResult
{
    bool unchanged = false; ///< the row still has the version given in the request
    bool absent = false; ///< the row does not exist
    std::uint64_t rowVersion = 0;
    std::string json; ///< the row's document; empty if unchanged or absent
    std::size_t bytes = 0; ///< size of the response body
};

/// @brief A row of the platform's instance list.
struct ListedMember
{
    std::string id;
    std::string role; ///< "entry", "engine" or "service"
    std::string address;
    ZoneId zone;
    bool leaving = false;
};

/// @brief The platform's list of instances and upstreams.
struct InstanceList
{
    std::vector<ListedMember> members;
    std::size_t bytes = 0;
};

/**
 * @brief Reads the row `config/head`.
 * @param rowVersion of the configuration in force; 0 if unknown
 * @param reason StoreUnavailable, or BadUpstreamData when the store does not support the request
 */
boost::asio::awaitable<std::optional<ProbeResult>> probeStore(boost::asio::ip::tcp::endpoint platform, StoreProbe probe,
                                                              std::uint64_t rowVersion, LastReason &reason);

/// @brief Reads the list of instances. @param reason StoreUnavailable or BadUpstreamData
boost::asio::awaitable<std::optional<InstanceList>> readInstanceList(boost::asio::ip::tcp::endpoint platform,
                                                                     LastReason &reason);

/// @brief Parses a configuration document. @param reason InvalidConfiguration
std::optional<LoadedConfiguration> loadConfiguration(ConfigurationDocument document, LastReason &reason);

} // namespace parsleyvane
