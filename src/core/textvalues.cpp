#include "parsleyvane/config/textvalues.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <string>

namespace parsleyvane {

namespace {

constexpr unsigned maxPort = 65535;
constexpr std::size_t maxIdentifierBytes = 48;

bool isIdentifierCharacter(char character) noexcept
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.' || character == '-'
        || character == '_';
}

bool isIpAddress(std::string_view host)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        return inet_pton(AF_INET6, std::string(host.substr(1, host.size() - 2)).c_str(), bytes.data()) == 1;
    }
    return inet_pton(AF_INET, std::string(host).c_str(), bytes.data()) == 1;
}

} // namespace

bool isAddressWithPort(std::string_view text) noexcept
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return false;
    }
    return readNumber<unsigned>(text.substr(colon + 1), 1, maxPort) && isIpAddress(text.substr(0, colon));
}

bool isIdentifier(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maxIdentifierBytes
        && std::all_of(text.begin(), text.end(), isIdentifierCharacter);
}

bool isHex(std::string_view text) noexcept
{
    return text.size() % 2 == 0 && std::all_of(text.begin(), text.end(), [](char digit) {
               return std::isxdigit(static_cast<unsigned char>(digit)) != 0;
           });
}

std::optional<bool> readBoolean(std::string_view text) noexcept
{
    if (text == "true" || text == "yes" || text == "on") {
        return true;
    }
    if (text == "false" || text == "no" || text == "off") {
        return false;
    }
    return std::nullopt;
}

} // namespace parsleyvane
