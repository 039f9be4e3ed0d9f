/**
 * @file
 * @brief Splits a stream of server-sent events into their payloads.
 */
#pragma once

#include "parsleyvane/core/failure.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyvane {

/**
 * @brief Reads the `data:` lines of server-sent events (WHATWG HTML, section 9.2), one line an event.
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
     * @brief Takes the next bytes, cut anywhere. Complexity: linear.
     * @return the payloads of the events now complete
     * @param reason BadUpstreamData when a line is over its bound
     */
    std::optional<std::vector<std::string>> feed(std::string_view bytes, LastReason &reason);

private:
    void takeLine(std::string_view line, std::vector<std::string> &payloads) const;

    std::size_t maxLineBytes;
    std::string rest;
};

} // namespace parsleyvane
