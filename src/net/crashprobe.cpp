#include "parsleyvane/net/crashprobe.h"

namespace parsleyvane {

namespace {

/// A running upstream tells its load within some ms; one that is paused must not hold up the caller.
constexpr Milliseconds answerLimit{500};

} // namespace

boost::asio::awaitable<bool> hasProcessExited(HttpCall &probe)
{
    LastReason reason;
    if (!co_await probe.connect(reason)) {
        co_return true;
    }
    probe.setProgressLimit(answerLimit);
    const HttpRequest question = makeRequest(boost::beast::http::verb::get, "/load");
    const bool answered = co_await probe.send(question, reason) && co_await probe.readHead(reason);
    co_return !answered && reason.failure().id == ErrorId::UpstreamLost;
}

} // namespace parsleyvane
