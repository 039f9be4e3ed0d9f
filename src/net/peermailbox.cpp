#include "peermailbox.h"

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace parsleyvane {

PeerMailbox::PeerMailbox()
    : eventFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

PeerMailbox::~PeerMailbox()
{
    ::close(this->eventFd);
}

void PeerMailbox::put(Task task)
{
    {
        const std::lock_guard lock(this->mutex);
        this->tasks.push_back(std::move(task));
    }
    const std::uint64_t one = 1;
    // A write fails only if the counter is full; the descriptor is readable then, so the loop wakes up anyway.
    static_cast<void>(!::write(this->eventFd, &one, sizeof(one)));
}

std::vector<PeerMailbox::Task> PeerMailbox::takeAll()
{
    std::uint64_t count = 0;
    static_cast<void>(!::read(this->eventFd, &count, sizeof(count)));
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->tasks, {});
}

int PeerMailbox::descriptor() const noexcept
{
    return this->eventFd;
}

} // namespace parsleyvane
