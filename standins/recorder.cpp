#include "recorder.h"

#include <cerrno>
#include <ctime>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace parsleyvane::standins {

namespace {

constexpr std::size_t keptEvents = 100'000;

} // namespace

std::int64_t bootMilliseconds()
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t nanosecondsPerMillisecond = 1'000'000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return now.tv_sec * millisecondsPerSecond + now.tv_nsec / nanosecondsPerMillisecond;
}

std::string dumpJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Recorder::Recorder(const std::string &path)
{
    constexpr mode_t ownerWritesAllRead = 0644;
    if (path.empty()) {
        return;
    }
    this->file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, ownerWritesAllRead);
    if (this->file < 0) {
        throw std::system_error(errno, std::generic_category(), path);
    }
}

Recorder::~Recorder()
{
    if (this->file >= 0) {
        ::close(this->file);
    }
}

void Recorder::add(Json event)
{
    event["at"] = bootMilliseconds();
    std::string line = dumpJson(event);
    if (this->file >= 0) {
        const std::string ended = line + "\n";
        // A failed write, such as on a full disk, loses a record; the checkers then report it as missing.
        [[maybe_unused]] const ssize_t written = ::write(this->file, ended.data(), ended.size());
    }
    if (this->events.size() == keptEvents) {
        this->events.pop_front();
    }
    this->events.push_back(std::move(line));
}

std::string Recorder::json() const
{
    std::string text = R"({"events":[)";
    for (const std::string &event : this->events) {
        text += event;
        text += ',';
    }
    if (text.back() == ',') {
        text.pop_back();
    }
    return text + "]}";
}

} // namespace parsleyvane::standins
