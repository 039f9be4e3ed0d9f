#include "parsleyvane/ingress/eventsplitter.h"

#include <charconv>

namespace parsleyvane {

namespace {

/// The number in the event's id field; empty when there is no such field or its value is not a number.
std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    for (std::size_t line = 0; line < event.size();) {
        std::size_t end = event.find('\n', line);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(field)) {
            continue;
        }
        text.remove_prefix(field.size());
        while (text.starts_with(' ')) {
            text.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(text.data(), text.data() + text.size(), id);
        if (error == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

/// Position after the blank line that ends the first event; npos when that event is incomplete.
std::size_t eventEnd(std::string_view text)
{
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

/// Whether the event has no lines but comments and blank ones.
bool isComment(std::string_view event)
{
    for (std::size_t line = 0; line < event.size();) {
        if (event[line] != ':' && event[line] != '\r' && event[line] != '\n') {
            return false;
        }
        const std::size_t end = event.find('\n', line);
        line = end == std::string_view::npos ? event.size() : end + 1;
    }
    return true;
}

} // namespace

void EventSplitter::feed(std::string_view bytes)
{
    if (this->begin > 0) {
        this->buffer.erase(0, this->begin);
        this->begin = 0;
    }
    this->buffer.append(bytes);
}

std::optional<RawEvent> EventSplitter::next()
{
    const std::string_view rest = std::string_view(this->buffer).substr(this->begin);
    const std::size_t end = eventEnd(rest);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    this->begin += end;
    const std::string_view event = rest.substr(0, end);
    return RawEvent{.bytes = event, .id = eventId(event)};
}

void RepeatFilter::onStreamBegin(std::optional<std::uint64_t> lastEvent)
{
    this->current = {.id = lastEvent};
    if (this->newest.id != lastEvent) {
        this->newest = this->current;
    }
}

bool RepeatFilter::isRepeated(const RawEvent &event)
{
    if (event.id) {
        this->current = {.id = event.id};
    } else if (!isComment(event.bytes)) {
        ++this->current.withoutId;
    } else {
        return false;
    }
    if (this->current <= this->newest) {
        return true;
    }
    this->newest = this->current;
    return false;
}

} // namespace parsleyvane
