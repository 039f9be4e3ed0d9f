#include "parsleyvane/net/peernetwork.h"

#include "parsleyvane/net/endpoint.h"
#include "peerloop.h"

#include <boost/asio/post.hpp>
#include <future>
#include <sstream>
#include <thread>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

/// @brief Result of the thread's attempt to listen.
struct ListenResult
{
    unsigned port = 0;
    std::string error;
};

} // namespace

struct PeerNetwork::Shared : std::enable_shared_from_this<PeerNetwork::Shared>
{
    Shared(asio::any_io_executor executor, Service service)
        : executor(std::move(executor))
        , service(std::move(service))
    {
    }

    void serve(std::uint64_t number, const PeerCall &call)
    {
        if (this->stopped) {
            return;
        }
        auto answer = this->service(call);
        this->mailbox.put([number, answer = std::move(answer)](PeerLoop &loop) { loop.answer(number, answer); });
    }
    void runThread(const asio::ip::tcp::endpoint &endpoint, std::promise<ListenResult> listening);

    asio::any_io_executor executor;
    Service service;
    PeerMailbox mailbox;
    PeerCounters counters;
    std::thread thread;
    asio::ip::tcp::endpoint bound;
    bool stopped = false; ///< used on the executor's thread only
};

void PeerNetwork::Shared::runThread(const asio::ip::tcp::endpoint &endpoint, std::promise<ListenResult> listening)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    const std::weak_ptr<Shared> weak = this->weak_from_this();
    PeerLoop loop(io, this->mailbox, this->counters, [this, weak](std::uint64_t number, PeerCall call) {
        asio::post(this->executor, [weak, number, call = std::move(call)]() {
            if (const auto shared = weak.lock()) {
                shared->serve(number, call);
            }
        });
    });
    ListenResult result;
    const auto failed = kj::runCatchingExceptions([&]() { result.port = loop.listen(endpoint); });
    KJ_IF_MAYBE (exception, failed) {
        result.error = exception->getDescription().cStr();
    }
    listening.set_value(result);
    if (result.error.empty()) {
        static_cast<void>(kj::runCatchingExceptions([&]() { loop.run(); }));
    }
}

PeerNetwork::PeerNetwork(asio::any_io_executor executor, Service service)
    : shared(std::make_shared<Shared>(std::move(executor), std::move(service)))
{
}

PeerNetwork::~PeerNetwork()
{
    this->stop();
}

bool PeerNetwork::start(const std::string &listen, LastReason &reason)
{
    const auto endpoint = parseEndpoint(listen, reason);
    if (!endpoint) {
        return false;
    }
    std::promise<ListenResult> listening;
    auto listened = listening.get_future();
    Shared &state = *this->shared;
    state.thread
        = std::thread([&state, endpoint = *endpoint](
                          std::promise<ListenResult> promise) { state.runThread(endpoint, std::move(promise)); },
                      std::move(listening));
    const ListenResult result = listened.get();
    if (!result.error.empty()) {
        state.thread.join();
        reason.fail({.id = ErrorId::InvalidSetting, .step = Step::Exchange, .peer = listen, .detail = result.error});
        return false;
    }
    state.bound = asio::ip::tcp::endpoint(endpoint->address(), static_cast<unsigned short>(result.port));
    return true;
}

void PeerNetwork::call(const std::string &address, PeerCall call, Callback callback)
{
    const std::weak_ptr<Shared> weak = this->shared;
    Callback deliver
        = [weak, executor = this->shared->executor, callback = std::move(callback)](std::optional<PeerAnswer> answer) {
              asio::post(executor, [weak, callback, answer = std::move(answer)]() {
                  const auto shared = weak.lock();
                  if (shared && !shared->stopped) {
                      callback(answer);
                  }
              });
          };
    this->shared->mailbox.put([address, call = std::move(call), deliver = std::move(deliver)](PeerLoop &loop) {
        loop.call(address, call, deliver);
    });
}

void PeerNetwork::close(const std::string &address)
{
    this->shared->mailbox.put([address](PeerLoop &loop) { loop.close(address); });
}

void PeerNetwork::stop()
{
    this->shared->stopped = true;
    if (!this->shared->thread.joinable()) {
        return;
    }
    this->shared->mailbox.put([](PeerLoop &loop) { loop.quit(); });
    this->shared->thread.join();
}

PeerTraffic PeerNetwork::traffic() const
{
    const PeerCounters &counters = this->shared->counters;
    return {.callsSent = counters.callsSent,
            .callsReceived = counters.callsReceived,
            .callsFailed = counters.callsFailed,
            .bytesSent = counters.bytesSent,
            .bytesReceived = counters.bytesReceived};
}

std::string PeerNetwork::address() const
{
    std::ostringstream text;
    text << this->shared->bound;
    return text.str();
}

} // namespace parsleyvane
