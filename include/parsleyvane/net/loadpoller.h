/**
 * @file
 * @brief Asks engines for their load reports.
 */
#pragma once

#include "parsleyvane/net/routercontext.h"

namespace parsleyvane {

/**
 * @brief Polls `GET /load` of each configured engine and writes the blackboard.
 *
 * Each instance asks each engine once an interval, spread over it.
 */
class LoadPoller
{
public:
    // constructors
    explicit LoadPoller(RouterContext &context);

    // modifiers
    /// @brief Starts to poll.
    void start();

private:
    boost::asio::awaitable<void> pollLoop();
    boost::asio::awaitable<void> poll(UpstreamId id);

    RouterContext &context;
};

} // namespace parsleyvane
