#include "target.h"

#include <algorithm>
#include <charconv>

namespace parsleyvane::standins {

namespace {

std::string decode(std::string_view text)
{
    constexpr std::size_t escapeLength = 3;
    constexpr int hexadecimal = 16;
    std::string decoded;
    while (!text.empty()) {
        unsigned code = 0;
        const bool escaped = text.front() == '%' && text.size() >= escapeLength;
        if (escaped
            && std::from_chars(text.data() + 1, text.data() + escapeLength, code, hexadecimal).ptr
                == text.data() + escapeLength) {
            decoded.push_back(static_cast<char>(code));
            text.remove_prefix(escapeLength);
            continue;
        }
        decoded.push_back(text.front() == '+' ? ' ' : text.front());
        text.remove_prefix(1);
    }
    return decoded;
}

} // namespace

Target parseTarget(std::string_view text)
{
    const std::size_t mark = text.find('?');
    Target target{.path = decode(text.substr(0, mark))};
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : text.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string_view value = pair.substr(std::min(equals + 1, pair.size()));
        target.query[decode(pair.substr(0, equals))] = decode(value);
    }
    return target;
}

std::optional<std::string> afterPrefix(const std::string &text, std::string_view prefix)
{
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    return text.substr(prefix.size());
}

} // namespace parsleyvane::standins
