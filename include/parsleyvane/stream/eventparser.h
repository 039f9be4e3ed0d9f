/**
 * @file
 * @brief Extracts the payloads from a stream of server-sent events.
 */
#pragma once

#include "parsleyvane/core/failure.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/**
 * @brief Parses the `data:` lines of server-sent events (WHATWG HTML, section 9.2). Supports one line per event only.
 *
 * @code
 * EventParser parser;
 * const auto payloads = parser.feed(bytes, reason);
 * @endcode
 */
class EventParser
{
public:
    // constructors
    explicit EventParser(std::size_t maxLineBytes = 1U << 20U);

    // modifiers
    /**
     * @brief Parses the next bytes, which may end anywhere in a line. Complexity: linear.
     * @return the payloads of the lines completed by these bytes
     * @param reason BadUpstreamData when a line exceeds the size limit
     */
    std::optional<std::vector<std::string>> feed(std::string_view bytes, LastReason &reason);

private:
    void parseLine(std::string_view line, std::vector<std::string> &payloads) const;

    std::size_t maxLineBytes;
    std::string unparsedBytes;
};

} // namespace parsleyvane
