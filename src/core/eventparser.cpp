#include "parsleyvane/stream/eventparser.h"

namespace parsleyvane {

EventParser::EventParser(std::size_t maxLineBytes)
    : maxLineBytes(maxLineBytes)
{
}

std::optional<std::vector<std::string>> EventParser::feed(std::string_view bytes, LastReason &reason)
{
    std::vector<std::string> payloads;
    this->unparsedBytes.append(bytes);
    std::size_t begin = 0;
    std::size_t end = this->unparsedBytes.find('\n');
    for (; end != std::string::npos && end - begin <= this->maxLineBytes; end = this->unparsedBytes.find('\n', begin)) {
        this->parseLine(std::string_view(this->unparsedBytes).substr(begin, end - begin), payloads);
        begin = end + 1;
    }
    this->unparsedBytes.erase(0, begin);
    // A complete line is left only when it is too long.
    if (end != std::string::npos || this->unparsedBytes.size() > this->maxLineBytes) {
        return reason.fail({.id = ErrorId::BadUpstreamData,
                            .step = Step::Answer,
                            .runState = RunState::Unknown,
                            .detail = "a line of the event stream exceeds the size limit"});
    }
    return payloads;
}

void EventParser::parseLine(std::string_view line, std::vector<std::string> &payloads) const
{
    constexpr std::string_view field = "data:";
    if (!line.starts_with(field)) {
        return;
    }
    line.remove_prefix(field.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    payloads.emplace_back(line);
}

} // namespace parsleyvane
