#include "parsleyvane/forward/decisionlog.h"

#include "parsleyvane/core/clock.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace parsleyvane {

namespace {

constexpr std::int64_t msPerSecond = 1000;

void appendValue(std::string &out, const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        out.append(value);
        return;
    }
    out.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out.push_back('\\');
        }
        out.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
    out.push_back('"');
}

} // namespace

DecisionLog::DecisionLog(boost::asio::io_context &context, LogLimits limits)
    : limits(limits)
    , timer(context)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

bool DecisionLog::admit(TimePoint now)
{
    const std::int64_t current = now.time_since_epoch().count() / msPerSecond;
    if (current != this->second) {
        this->second = current;
        this->linesInSecond = 0;
    }
    return ++this->linesInSecond <= this->limits.linesPerSecond && this->buffer.size() < this->limits.bufferBytes;
}

void DecisionLog::line(std::string_view event, std::initializer_list<LogField> fields)
{
    const TimePoint now = bootClockNow();
    if (!this->admit(now)) {
        ++this->droppedLines;
        return;
    }
    this->buffer.append("at=").append(std::to_string(now.time_since_epoch().count()));
    this->buffer.append(" event=").append(event);
    for (const LogField &field : fields) {
        this->buffer.append(" ").append(field.key).append("=");
        appendValue(this->buffer, field.value);
    }
    if (this->droppedLines != this->droppedTold) {
        this->buffer.append(" dropped=").append(std::to_string(this->droppedLines - this->droppedTold));
        this->droppedTold = this->droppedLines;
    }
    this->buffer.push_back('\n');
    this->scheduleFlush();
}

void DecisionLog::scheduleFlush()
{
    if (this->scheduled) {
        return;
    }
    this->scheduled = true;
    this->timer.expires_after(this->limits.flushInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        this->scheduled = false;
        if (!error) {
            this->flush();
        }
    });
}

void DecisionLog::flush()
{
    const auto written = ::write(STDOUT_FILENO, this->buffer.data(), this->buffer.size());
    if (written > 0) {
        this->buffer.erase(0, static_cast<std::size_t>(written));
    }
    const bool mayRecover = written >= 0 || errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (!mayRecover) {
        this->buffer.clear();
    }
    if (!this->buffer.empty()) {
        this->scheduleFlush();
    }
}

} // namespace parsleyvane
