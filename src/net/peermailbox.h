/**
 * @file
 * @brief Queue that passes tasks from other threads to the thread of kj's event loop.
 */
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace parsleyvane {

class PeerLoop;

/// @brief Thread-safe task queue; an eventfd wakes the loop.
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
    /// @brief Adds a task; may be called on any thread.
    void put(Task task);
    /// @brief Removes and returns all tasks; must be called on the loop's thread.
    std::vector<Task> takeAll();

    // observers
    /// @brief Descriptor that becomes readable when there are tasks.
    int descriptor() const noexcept;

private:
    std::mutex mutex;
    std::vector<Task> tasks;
    int eventFd;
};

} // namespace parsleyvane
