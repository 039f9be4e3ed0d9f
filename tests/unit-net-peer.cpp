#include "suite.h"

#include "parsleyvane/net/endpoint.h"
#include "parsleyvane/net/peernetwork.h"

#include <boost/asio.hpp>

namespace parsleyvane {

namespace asio = boost::asio;

namespace {

/// @brief Limit on waiting, so that a failing test ends; no expectation depends on its length.
constexpr std::chrono::seconds waitLimit{20};

Digest digestOf(const std::string &instance)
{
    Digest digest{.instance = InstanceId(instance), .zone = ZoneId("zone-1"), .address = "127.0.0.1:1"};
    digest.revision = Revision(7);
    digest.changeId = "change";
    digest.confirmedAge = Milliseconds(12);
    return digest;
}

/// @brief A calling and an answering peer network on one executor.
struct PeerPair
{
    asio::io_context context;
    PeerNetwork server{context.get_executor(), [](const PeerCall &call) {
                           return PeerPair::answer(call);
                       }};
    PeerNetwork client{context.get_executor(), [](const PeerCall &) {
                           return std::nullopt;
                       }};

    PeerPair()
    {
        LastReason reason;
        CPPUNIT_ASSERT(this->server.start("127.0.0.1:0", reason));
        CPPUNIT_ASSERT(this->client.start("127.0.0.1:0", reason));
    }

    static std::optional<PeerAnswer> answer(const PeerCall &call)
    {
        if (const auto *exchange = std::get_if<ExchangeCall>(&call)) {
            return exchange->digest;
        }
        if (const auto *request = std::get_if<FreeSlotsCall>(&call)) {
            return SlotsFreed{request->count};
        }
        if (std::get_if<HoldBillsCall>(&call)) {
            return BillsHeld{};
        }
        return std::nullopt;
    }

    std::optional<PeerAnswer> call(PeerCall call)
    {
        return this->callAt(this->server.address(), std::move(call));
    }

    std::optional<PeerAnswer> callAt(const std::string &address, PeerCall call)
    {
        std::optional<PeerAnswer> result;
        bool done = false;
        this->client.call(address, std::move(call), [&](std::optional<PeerAnswer> answer) {
            result = std::move(answer);
            done = true;
        });
        this->context.restart();
        auto work = asio::make_work_guard(this->context);
        const auto limit = std::chrono::steady_clock::now() + waitLimit;
        while (!done && this->context.run_one_until(limit) > 0) { }
        CPPUNIT_ASSERT_MESSAGE("the callback was not called", done);
        return result;
    }

    /// @brief Sends raw bytes to the server, then waits until the server closes the connection unless
    /// `closeImmediately` is set.
    void sendRaw(const std::string &bytes, bool closeImmediately)
    {
        LastReason reason;
        asio::io_context own;
        asio::ip::tcp::socket socket(own);
        socket.connect(*parseEndpoint(this->server.address(), reason));
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        if (closeImmediately) {
            return;
        }
        std::array<char, 256> answer{};
        while (!ignored) {
            socket.read_some(asio::buffer(answer), ignored);
        }
    }
};

} // namespace

class PeerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTest);
    CPPUNIT_TEST(echoedCallsEqualWhatWasSent);
    CPPUNIT_TEST(refusedCallLeavesTheConnectionUsable);
    CPPUNIT_TEST(callToClosedPortFailsAndAnotherPeerStillAnswers);
    CPPUNIT_TEST(callToUnresponsivePeerTimesOut);
    CPPUNIT_TEST(digestOutOfBoundsIsRejected);
    CPPUNIT_TEST(malformedBytesDoNotStopTheService);
    CPPUNIT_TEST_SUITE_END();

public:
    void echoedCallsEqualWhatWasSent()
    {
        PeerPair pair;
        Digest digest = digestOf("instance-1");
        digest.evidence = Evidence{.quarantined = {"f1", "f2"},
                                   .versions = {{{ModelName("wattle"), VersionName("3.1")}, 5, 2, 1}},
                                   .leavingUpstreams = {UpstreamId("engine-4")},
                                   .pendingBills = 17};
        CPPUNIT_ASSERT(std::get<Digest>(*pair.call(ExchangeCall{digest})) == digest);
        CPPUNIT_ASSERT(pair.call(HoldBillsCall{"[]"}));
        const auto answer = pair.call(FreeSlotsCall{UpstreamId("engine-1"), AccountId("txoko-members"), 3});
        CPPUNIT_ASSERT_EQUAL(3U, std::get<SlotsFreed>(*answer).freed);
    }

    void refusedCallLeavesTheConnectionUsable()
    {
        PeerPair pair;
        CPPUNIT_ASSERT(!pair.call(FetchCall{Revision(1)}));
        CPPUNIT_ASSERT(pair.call(HoldBillsCall{"[]"}));
    }

    void callToClosedPortFailsAndAnotherPeerStillAnswers()
    {
        PeerPair pair;
        CPPUNIT_ASSERT(!pair.callAt("127.0.0.1:1", HoldBillsCall{"[]"}));
        CPPUNIT_ASSERT(!pair.callAt("no address", HoldBillsCall{"[]"}));
        CPPUNIT_ASSERT(pair.call(HoldBillsCall{"[]"}));
    }

    void callToUnresponsivePeerTimesOut()
    {
        PeerPair pair;
        asio::io_context own;
        asio::ip::tcp::acceptor silent(own, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const std::string address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
        CPPUNIT_ASSERT(!pair.callAt(address, HoldBillsCall{"[]"}));
        CPPUNIT_ASSERT(pair.client.traffic().callsFailed == 1);
    }

    void digestOutOfBoundsIsRejected()
    {
        PeerPair pair;
        constexpr std::size_t tooLong = 100000;
        Digest digest = digestOf(std::string(tooLong, 'x'));
        CPPUNIT_ASSERT(!pair.call(ExchangeCall{digest}));
        CPPUNIT_ASSERT(!pair.call(ExchangeCall{digestOf("")}));
        CPPUNIT_ASSERT(pair.call(ExchangeCall{digestOf("instance-1")}));
    }

    void malformedBytesDoNotStopTheService()
    {
        PeerPair pair;
        // A segment table that announces 16 GiB, one that announces 2^32 segments, and a truncated one.
        pair.sendRaw(std::string("\0\0\0\0\xff\xff\xff\x7f", 8), false);
        pair.sendRaw(std::string("\xff\xff\xff\xff\0\0\0\0", 8), false);
        pair.sendRaw(std::string("\0\0\0\0\x10\0", 6), true);
        test::property("random bytes from a peer end at most its connection", [&]() {
            const auto words = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
            std::string bytes(words.begin(), words.end());
            if (*rc::gen::arbitrary<bool>()) {
                bytes.resize(bytes.size() / 8 * 8);
                const char count = static_cast<char>(bytes.size() / 8);
                bytes = std::string("\0\0\0\0", 4) + count + std::string("\0\0\0", 3) + bytes;
            }
            pair.sendRaw(bytes, true);
        });
        CPPUNIT_ASSERT(pair.call(HoldBillsCall{"[]"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTest);

} // namespace parsleyvane
