#include "parsleyvane/net/responsesyntax.h"

#include <algorithm>

namespace parsleyvane {

namespace http = boost::beast::http;

namespace {

bool isValidStatus(unsigned status)
{
    constexpr unsigned firstCode = 100;
    constexpr unsigned lastCode = 599;
    // Requests never ask for an upgrade, so that no upstream may switch protocols.
    return status >= firstCode && status <= lastCode
        && status != static_cast<unsigned>(http::status::switching_protocols);
}

std::string statusText(unsigned status)
{
    constexpr std::size_t digits = 3;
    const std::string text = std::to_string(status);
    return std::string(digits - std::min(digits, text.size()), '0') + text;
}

} // namespace

std::optional<std::string> findHeadDefect(const http::response_header<> &head)
{
    if (!isValidStatus(head.result_int())) {
        return "status " + statusText(head.result_int());
    }
    return std::nullopt;
}

} // namespace parsleyvane
