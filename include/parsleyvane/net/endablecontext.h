/**
 * @file
 * @brief An I/O context whose pending operations end before the objects that they use.
 */
#pragma once

#include <boost/asio/io_context.hpp>

namespace parsleyvane {

/**
 * @brief An I/O context that can drop its handlers and coroutines before it is destroyed.
 *
 * An owner declares the context before the objects with timers and sockets, so it is destroyed after them. Coroutines
 * that still wait then would be destroyed after the objects that they reference.
 *
 * @code
 * ~Owner()
 * {
 *     this->io.endOperations();
 * }
 * @endcode
 */
class EndableContext : public boost::asio::io_context
{
public:
    using io_context::io_context;

    /// @brief Destroys all pending handlers and coroutines without running them. Run nothing on the context afterwards.
    void endOperations()
    {
        this->shutdown();
    }
};

} // namespace parsleyvane
