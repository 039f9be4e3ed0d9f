/**
 * @file
 * @brief Polling of the load reports of engines.
 */
#pragma once

#include "parsleyvane/net/routercontext.h"

namespace parsleyvane {

/**
 * @brief Polls `GET /load` of each configured engine and writes the reports to the blackboard.
 *
 * Each instance polls each engine once per interval; the requests to the engines are spread over the interval.
 */
class LoadPoller
{
public:
    // constructors
    explicit LoadPoller(RouterContext &context);

    // modifiers
    /// @brief Starts polling.
    void start();

private:
    boost::asio::awaitable<void> pollLoop();
    boost::asio::awaitable<void> poll(UpstreamId id);

    RouterContext &context;
};

} // namespace parsleyvane
