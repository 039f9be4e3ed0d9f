#include "peercodec.h"
#include "peerloop.h"

#include <kj/debug.h>

namespace parsleyvane {

namespace {

/// @brief Throws if a limit was exceeded; RPC reports the exception to the peer or fails the local call with it.
void requireBounds(bool withinBounds)
{
    if (!withinBounds) {
        kj::throwFatalException(KJ_EXCEPTION(FAILED, "out of bounds"));
    }
}

/// @brief Sends each kind of call as the matching RPC request.
struct CallSender
{
    wire::Peer::Client &peer;

    kj::Promise<kj::Own<PeerAnswer>> operator()(const ExchangeCall &call) const
    {
        auto request = this->peer.exchangeRequest();
        writeDigest(call.digest, request.initDigest());
        return request.send().then([](auto &&response) {
            LastReason reason;
            auto digest = readDigest(response.getDigest(), reason);
            requireBounds(digest.has_value());
            return kj::heap<PeerAnswer>(std::move(*digest));
        });
    }
    kj::Promise<kj::Own<PeerAnswer>> operator()(const FetchCall &call) const
    {
        auto request = this->peer.fetchConfigurationRequest();
        request.setRevision(call.revision.value());
        return request.send().then([](auto &&response) {
            const auto json = response.getJson();
            requireBounds(json.size() <= WireLimits::documentBytes);
            return kj::heap<PeerAnswer>(
                ConfigurationDocument{std::string(json.cStr(), json.size()), response.getRowVersion()});
        });
    }
    kj::Promise<kj::Own<PeerAnswer>> operator()(const HoldBillsCall &call) const
    {
        auto request = this->peer.holdBillsRequest();
        request.setJson(call.bills);
        return request.send().then([](auto &&) { return kj::heap<PeerAnswer>(BillsHeld{}); });
    }
    kj::Promise<kj::Own<PeerAnswer>> operator()(const FreeSlotsCall &call) const
    {
        auto request = this->peer.makeRoomRequest();
        request.setUpstream(call.upstream.str());
        request.setAccount(call.account.str());
        request.setCount(call.count);
        return request.send().then(
            [](auto &&response) { return kj::heap<PeerAnswer>(SlotsFreed{response.getMade()}); });
    }
};

std::string boundedText(capnp::Text::Reader text, std::size_t maxBytes)
{
    requireBounds(text.size() <= maxBytes);
    return {text.cStr(), text.size()};
}

/// @brief RPC server that forwards each call of a peer to the loop.
class PeerService final : public wire::Peer::Server
{
public:
    PeerService(PeerLoop &loop, std::uint64_t session)
        : loop(loop)
        , session(session)
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        LastReason reason;
        auto digest = readDigest(context.getParams().getDigest(), reason);
        requireBounds(digest.has_value());
        auto answer = this->loop.serve(this->session, ExchangeCall{std::move(*digest)});
        return answer.then([context](kj::Own<PeerAnswer> &&answer) mutable {
            writeDigest(std::get<Digest>(*answer), context.getResults().initDigest());
        });
    }
    kj::Promise<void> fetchConfiguration(FetchConfigurationContext context) override
    {
        auto answer = this->loop.serve(this->session, FetchCall{Revision(context.getParams().getRevision())});
        return answer.then([context](kj::Own<PeerAnswer> &&answer) mutable {
            const auto &document = std::get<ConfigurationDocument>(*answer);
            context.getResults().setJson(document.json);
            context.getResults().setRowVersion(document.rowVersion);
        });
    }
    kj::Promise<void> holdBills(HoldBillsContext context) override
    {
        HoldBillsCall call{boundedText(context.getParams().getJson(), WireLimits::documentBytes)};
        return this->loop.serve(this->session, std::move(call)).ignoreResult();
    }
    kj::Promise<void> makeRoom(MakeRoomContext context) override
    {
        const auto params = context.getParams();
        FreeSlotsCall call{UpstreamId(boundedText(params.getUpstream(), WireLimits::textBytes)),
                           AccountId(boundedText(params.getAccount(), WireLimits::textBytes)), params.getCount()};
        return this->loop.serve(this->session, std::move(call)).then([context](kj::Own<PeerAnswer> &&answer) mutable {
            context.getResults().setMade(std::get<SlotsFreed>(*answer).freed);
        });
    }

private:
    PeerLoop &loop;
    std::uint64_t session;
};

} // namespace

kj::Promise<kj::Own<PeerAnswer>> sendCall(wire::Peer::Client peer, const PeerCall &call)
{
    return std::visit(CallSender{peer}, call);
}

wire::Peer::Client makePeerService(PeerLoop &loop, std::uint64_t session)
{
    return kj::heap<PeerService>(loop, session);
}

} // namespace parsleyvane
