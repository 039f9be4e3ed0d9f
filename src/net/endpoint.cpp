#include "parsleyvane/net/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace parsleyvane {

namespace {

std::nullopt_t invalidEndpoint(const std::string &text, LastReason &reason)
{
    return reason.fail(
        {.id = ErrorId::InvalidSetting, .step = Step::Configure, .detail = "'" + text + "' is not IP:PORT"});
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text, LastReason &reason)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return invalidEndpoint(text, reason);
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *textEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, textEnd, port);
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(host, addressError);
    if (addressError || error != std::errc() || end != textEnd) {
        return invalidEndpoint(text, reason);
    }
    return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace parsleyvane
