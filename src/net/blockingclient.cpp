#include "parsleyvane/net/blockingclient.h"

#include "parsleyvane/net/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

using PieceHandler = std::function<bool(const std::string &)>;

asio::awaitable<void> streamCall(HttpCall &call, const HttpRequest &request, const PieceHandler &onPiece,
                                 std::optional<HttpResponse> &response, LastReason &reason)
{
    if (!co_await call.connect(reason) || !co_await call.send(request, reason)) {
        co_return;
    }
    const auto status = co_await call.readHead(reason);
    if (!status) {
        co_return;
    }
    HttpResponse head;
    head.base() = call.head();
    while (true) {
        const auto piece = co_await call.readSome(reason);
        if (!piece) {
            co_return;
        }
        if (piece->empty() || !onPiece(*piece)) {
            response = std::move(head);
            co_return;
        }
    }
}

} // namespace

std::optional<HttpResponse> blockingCall(const std::string &address, const HttpRequest &request, LastReason &reason,
                                         CallLimits limits)
{
    std::string body;
    const auto collect = [&](const std::string &piece) {
        body.append(piece);
        return true;
    };
    auto response = blockingStream(address, request, collect, reason, limits);
    if (response) {
        response->body() = std::move(body);
    }
    return response;
}

std::optional<HttpResponse> blockingStream(const std::string &address, const HttpRequest &request,
                                           const PieceHandler &onPiece, LastReason &reason, CallLimits limits)
{
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint) {
        return std::nullopt;
    }
    asio::io_context context(1);
    HttpCall call(context.get_executor(), address, *endpoint, limits);
    std::optional<HttpResponse> response;
    // Closing also cancels the call's watchdog, so that run() returns.
    asio::co_spawn(context, streamCall(call, request, onPiece, response, reason),
                   [&call](const std::exception_ptr &) { call.close(); });
    context.run();
    return response;
}

} // namespace parsleyvane
