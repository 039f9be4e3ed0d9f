#include "parsleyvane/net/crashprobe.h"

namespace parsleyvane {

namespace {

/// A running upstream reports its load within a few ms; the timeout bounds the delay that a paused one causes.
constexpr Milliseconds probeResponseTimeout{500};

} // namespace

boost::asio::awaitable<bool> hasProcessExited(HttpCall &probe)
{
    LastReason reason;
    if (!co_await probe.connect(reason)) {
        // A paused process or a lost packet also delays the connection.
        co_return !probe.isExpired();
    }
    probe.setProgressLimit(probeResponseTimeout);
    const HttpRequest request = makeRequest(boost::beast::http::verb::get, "/load");
    const bool answered = co_await probe.send(request, reason) && co_await probe.readHead(reason);
    if (!answered) {
        logMalformedResponse(probe.name(), reason.failure());
    }
    co_return !answered && reason.failure().id == ErrorId::UpstreamLost;
}

} // namespace parsleyvane
