#include "peerloop.h"

#include "parsleyvane/net/endpoint.h"
#include "peercodec.h"

#include <algorithm>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = WireLimits::messageWords;
    return options;
}

wire::Peer::Client bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &rpcSystem)
{
    constexpr std::size_t scratchWords = 4;
    capnp::word scratch[scratchWords] = {};
    capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, scratchWords));
    auto vatId = message.getRoot<capnp::rpc::twoparty::VatId>();
    vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpcSystem.bootstrap(vatId).castAs<wire::Peer>();
}

void disableNagle(kj::AsyncIoStream &stream)
{
    const int on = 1;
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

PeerConnection::PeerConnection(kj::Own<kj::AsyncIoStream> stream, PeerCounters &counters)
    : stream(kj::mv(stream), counters)
    , network(this->stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
    , rpcSystem(capnp::makeRpcClient(this->network))
    , peer(bootstrap(this->rpcSystem))
{
}

kj::Own<PeerConnection> PeerConnection::addRef()
{
    return kj::addRef(*this);
}

PeerSession::PeerSession(kj::Own<kj::AsyncIoStream> stream, PeerCounters &counters, wire::Peer::Client service)
    : stream(kj::mv(stream), counters)
    , network(this->stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
    , rpcSystem(capnp::makeRpcServer(this->network, kj::mv(service)))
{
    this->rpcSystem.setFlowLimit(WireLimits::messageWords);
}

PeerLoop::PeerLoop(kj::AsyncIoContext &io, PeerMailbox &mailbox, PeerCounters &counters, CallForwarder forwardCall)
    : io(io)
    , timer(io.provider->getTimer())
    , mailbox(mailbox)
    , counters(counters)
    , forwardCall(std::move(forwardCall))
    , observer(io.unixEventPort, mailbox.descriptor(), kj::UnixEventPort::FdObserver::OBSERVE_READ)
    , done(kj::newPromiseAndFulfiller<void>())
    , tasks(*this)
{
}

unsigned PeerLoop::listen(const asio::ip::tcp::endpoint &endpoint)
{
    auto address = this->io.provider->getNetwork().getSockaddr(endpoint.data(), static_cast<kj::uint>(endpoint.size()));
    this->listener = address->listen();
    return this->listener->getPort();
}

void PeerLoop::run()
{
    this->tasks.add(this->readMailbox());
    this->tasks.add(this->acceptNext());
    this->tasks.add(this->sweep());
    this->done.promise.wait(this->io.waitScope);
}

void PeerLoop::quit()
{
    this->done.fulfiller->fulfill();
}

void PeerLoop::taskFailed(kj::Exception &&exception)
{
    // Tasks handle their own failures; an exception that arrives here comes from a closed peer connection.
    static_cast<void>(exception);
}

kj::Promise<void> PeerLoop::readMailbox()
{
    for (const PeerMailbox::Task &task : this->mailbox.takeAll()) {
        task(*this);
    }
    return this->observer.whenBecomesReadable().then([this]() { return this->readMailbox(); });
}

kj::Promise<void> PeerLoop::acceptNext()
{
    return this->listener->accept().then(
        [this](kj::Own<kj::AsyncIoStream> &&stream) {
            this->addSession(kj::mv(stream));
            return this->acceptNext();
        },
        [this](kj::Exception &&) {
            return this->timer.afterDelay(PeerLimits::acceptRetryDelay).then([this]() { return this->acceptNext(); });
        });
}

void PeerLoop::addSession(kj::Own<kj::AsyncIoStream> stream)
{
    if (this->sessions.size() >= PeerLimits::maxSessions) {
        return;
    }
    disableNagle(*stream);
    const std::uint64_t number = ++this->lastNumber;
    const auto place
        = this->sessions.try_emplace(number, kj::mv(stream), this->counters, makePeerService(*this, number)).first;
    PeerSession &session = place->second;
    session.lastUsedAt = this->timer.now();
    // Pass callables to kj as temporaries: it stores an lvalue by reference.
    this->tasks.add(
        session.network.onDisconnect().then([this, number]() { return this->removeSession(number); },
                                            [this, number](kj::Exception &&) { return this->removeSession(number); }));
}

kj::Promise<void> PeerLoop::removeSession(std::uint64_t number)
{
    return kj::evalLater([this, number]() { this->sessions.erase(number); });
}

kj::Promise<void> PeerLoop::sweep()
{
    return this->timer.afterDelay(PeerLimits::sweepInterval).then([this]() {
        const kj::TimePoint now = this->timer.now();
        std::erase_if(this->sessions, [&](auto &row) { return now - row.second.lastUsedAt > PeerLimits::idleTimeout; });
        std::erase_if(this->links, [&](auto &row) { return now - row.second.lastUsedAt > PeerLimits::idleTimeout; });
        return this->sweep();
    });
}

kj::Promise<kj::Own<PeerConnection>> PeerLoop::connection(const std::string &address)
{
    PeerLink &link = this->links[address];
    const kj::TimePoint now = this->timer.now();
    link.lastUsedAt = now;
    KJ_IF_MAYBE (open, link.connection) {
        return (*open)->addRef();
    }
    KJ_IF_MAYBE (opening, link.connecting) {
        return opening->addBranch();
    }
    KJ_REQUIRE(now >= link.nextConnectAt, "reconnect backoff has not elapsed");
    LastReason reason;
    const auto endpoint = parseEndpoint(address, reason);
    KJ_REQUIRE(endpoint.has_value(), "not an IP:PORT address");
    auto target
        = this->io.provider->getNetwork().getSockaddr(endpoint->data(), static_cast<kj::uint>(endpoint->size()));
    auto connected = target->connect().attach(kj::mv(target)).then([this, address](kj::Own<kj::AsyncIoStream> &&made) {
        disableNagle(*made);
        auto connection = kj::refcounted<PeerConnection>(kj::mv(made), this->counters);
        PeerLink &link = this->links[address];
        link.connection = connection->addRef();
        return connection;
    });
    auto forked = connected.fork();
    auto branch = forked.addBranch();
    link.connecting = kj::mv(forked);
    return branch;
}

void PeerLoop::call(const std::string &address, PeerCall call, const PeerNetwork::Callback &callback)
{
    ++this->counters.callsSent;
    auto answer = kj::evalNow([&]() {
        return this->connection(address).then([call = std::move(call)](kj::Own<PeerConnection> &&connection) {
            auto sent = sendCall(connection->peer, call);
            return sent.attach(kj::mv(connection));
        });
    });
    auto limited = this->timer.timeoutAfter(PeerLimits::callTimeout, kj::mv(answer));
    auto finished = limited.then(
        [this, address, callback](kj::Own<PeerAnswer> &&answer) {
            PeerLink &link = this->links[address];
            link.failures = 0;
            link.connecting = nullptr;
            callback(std::move(*answer));
        },
        [this, address, callback](kj::Exception &&exception) {
            this->onCallFailed(address, exception);
            callback(std::nullopt);
        });
    this->tasks.add(kj::mv(finished));
}

void PeerLoop::onCallFailed(const std::string &address, const kj::Exception &exception)
{
    ++this->counters.callsFailed;
    PeerLink &link = this->links[address];
    const kj::TimePoint now = this->timer.now();
    // A refusal by the peer does not indicate a broken connection, so it causes no reconnect.
    const bool connected = link.connection != nullptr;
    if ((connected && exception.getType() == kj::Exception::Type::FAILED) || now < link.nextConnectAt) {
        return;
    }
    link.connection = nullptr;
    link.connecting = nullptr;
    link.nextConnectAt = now + PeerLimits::reconnectBackoff * (1U << std::min(link.failures, PeerLimits::maxDoublings));
    ++link.failures;
}

void PeerLoop::close(const std::string &address)
{
    this->links.erase(address);
}

kj::Promise<kj::Own<PeerAnswer>> PeerLoop::serve(std::uint64_t session, PeerCall call)
{
    ++this->counters.callsReceived;
    const auto place = this->sessions.find(session);
    if (place != this->sessions.end()) {
        place->second.lastUsedAt = this->timer.now();
    }
    KJ_REQUIRE(this->pendingAnswers->size() < PeerLimits::maxPendingAnswers, "too many pending calls");
    const std::uint64_t number = ++this->lastNumber;
    auto pair = kj::newPromiseAndFulfiller<kj::Own<PeerAnswer>>();
    this->pendingAnswers->emplace(number, kj::mv(pair.fulfiller));
    this->forwardCall(number, std::move(call));
    auto cleanUp = kj::defer([answers = std::weak_ptr(this->pendingAnswers), number]() {
        if (const auto remaining = answers.lock()) {
            remaining->erase(number);
        }
    });
    return this->timer.timeoutAfter(PeerLimits::answerTimeout, kj::mv(pair.promise)).attach(kj::mv(cleanUp));
}

void PeerLoop::answer(std::uint64_t number, std::optional<PeerAnswer> answer)
{
    const auto place = this->pendingAnswers->find(number);
    if (place == this->pendingAnswers->end()) {
        return;
    }
    if (answer) {
        place->second->fulfill(kj::heap<PeerAnswer>(std::move(*answer)));
        return;
    }
    place->second->reject(KJ_EXCEPTION(FAILED, "refused"));
}

} // namespace parsleyvane
