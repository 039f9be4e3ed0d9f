/**
 * @file
 * @brief Hands tasks to the thread of kj's event loop without blocking the sender.
 */
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace parsleyvane {

class PeerLoop;

/// @brief Tasks for the loop; an eventfd wakes it.
class PeerMailbox
{
public:
    using Task = std::function<void(PeerLoop &)>;

    // constructors
    PeerMailbox();
    PeerMailbox(const PeerMailbox &) = delete;
    PeerMailbox &operator=(const PeerMailbox &) = delete;
    ~PeerMailbox();

    // modifiers
    /// @brief Adds a task; any thread.
    void put(Task task);
    /// @brief Takes all tasks; the loop's thread.
    std::vector<Task> takeAll();

    // observers
    /// @brief The descriptor that becomes readable when there are tasks.
    int descriptor() const noexcept;

private:
    std::mutex mutex;
    std::vector<Task> tasks;
    int eventFd;
};

} // namespace parsleyvane
