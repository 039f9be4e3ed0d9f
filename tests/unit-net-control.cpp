#include "suite.h"

#include "parsleyvane/core/clock.h"
#include "parsleyvane/net/controlplane.h"
#include "parsleyvane/net/httpclient.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace parsleyvane {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace {

/// @brief Limit on waiting, so that a failing test ends; no expectation depends on its length.
constexpr std::chrono::seconds waitLimit{30};

std::string documentOf(unsigned revision)
{
    Configuration configuration;
    configuration.revision = Revision(revision);
    configuration.change.id = "change-" + std::to_string(revision);
    return serialise(configuration);
}

/// @brief Serves the configuration row and the instance list over HTTP.
struct FakePlatform
{
    asio::ip::tcp::acceptor acceptor;
    unsigned revision = 0;
    bool down = false;
    Json members = Json::array();

    explicit FakePlatform(asio::io_context &context)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context, FakePlatform::run(this), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    HttpResponse answer(const HttpRequest &request) const
    {
        HttpResponse response(http::status::ok, 11);
        if (request.target() == "/instances") {
            response.body() = Json{{"members", this->members}}.dump();
        } else {
            const unsigned asked = Json::parse(request.body()).at("checks").at(0).at("version");
            Json row{{"key", "config/head"}, {"version", this->revision}};
            row["value"] = documentOf(this->revision);
            response.result(asked == this->revision ? http::status::ok : http::status::conflict);
            response.body() = Json{{"committed", asked == this->revision}, {"rows", Json::array({row})}}.dump();
        }
        response.prepare_payload();
        return response;
    }

    static asio::awaitable<void> run(FakePlatform *self)
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await self->acceptor.async_accept(asio::use_awaitable);
            if (!self->down) {
                asio::co_spawn(self->acceptor.get_executor(), FakePlatform::serve(self, std::move(socket)),
                               asio::detached);
            }
        }
    }

    static asio::awaitable<void> serve(FakePlatform *self, asio::ip::tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        HttpRequest request;
        boost::system::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        co_await http::async_read(socket, buffer, request, token);
        if (!error && !self->down) {
            const HttpResponse response = self->answer(request);
            co_await http::async_write(socket, response, token);
        }
    }
};

/// @brief Blackboard and control plane of one instance.
struct Node
{
    Blackboard blackboard;
    ControlPlane plane;

    Node(asio::io_context &context, const std::string &name, const std::string &zone, const FakePlatform &platform,
         std::vector<std::string> seeds)
        : plane(context.get_executor(), blackboard,
                ControlSettings{InstanceId(name), ZoneId(zone), "127.0.0.1:0", platform.address(), std::move(seeds)})
    {
        LastReason reason;
        CPPUNIT_ASSERT_MESSAGE(describe(reason.failure()), this->plane.start(reason));
    }

    bool acceptsRequests(unsigned revision) const
    {
        const bool hasRevision
            = this->blackboard.configuration && this->blackboard.configuration->revision == Revision(revision);
        return hasRevision && !dispatchRefusal(this->blackboard, bootClockNow(), false);
    }
};

bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (context.run_one_until(limit) == 0) {
            return false;
        }
    }
    return true;
}

} // namespace

class ControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlTest);
    CPPUNIT_TEST(fleetAdoptsStoreRevisionsAndKeepsServingDuringAnOutage);
    CPPUNIT_TEST(instanceWithoutStoreAndPeersBecomesStale);
    CPPUNIT_TEST(leavingUpstreamIsMarkedOnAllInstances);
    CPPUNIT_TEST(billsAndSlotRequestsReachPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleetAdoptsStoreRevisionsAndKeepsServingDuringAnOutage()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node first(context, "instance-1", "zone-1", platform, {});
        Node second(context, "instance-2", "zone-2", platform, {first.plane.peersAddress()});
        CPPUNIT_ASSERT(runUntil(context, [&]() { return first.acceptsRequests(1) && second.acceptsRequests(1); }));
        platform.revision = 2;
        CPPUNIT_ASSERT(runUntil(context, [&]() { return first.acceptsRequests(2) && second.acceptsRequests(2); }));
        platform.down = true;
        // A third instance starts during the outage and adopts the revision that the majority of its seeds has.
        Node third(context, "instance-3", "zone-3", platform,
                   {first.plane.peersAddress(), second.plane.peersAddress()});
        CPPUNIT_ASSERT(runUntil(context, [&]() { return third.acceptsRequests(2); }));
        const TimePoint start = bootClockNow();
        const auto staleWithoutPeers = [&]() {
            return bootClockNow() - start > configurationStalenessLimit + Milliseconds(1500);
        };
        CPPUNIT_ASSERT(runUntil(context, staleWithoutPeers));
        CPPUNIT_ASSERT(first.acceptsRequests(2) && second.acceptsRequests(2) && third.acceptsRequests(2));
    }

    void instanceWithoutStoreAndPeersBecomesStale()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node isolated(context, "instance-1", "zone-1", platform, {"127.0.0.1:1", "127.0.0.1:2"});
        CPPUNIT_ASSERT(runUntil(context, [&]() { return isolated.acceptsRequests(1); }));
        platform.down = true;
        CPPUNIT_ASSERT(runUntil(context, [&]() { return !isolated.acceptsRequests(1); }));
        const auto refusal = dispatchRefusal(isolated.blackboard, bootClockNow(), false);
        CPPUNIT_ASSERT(refusal->id == ErrorId::ConfigurationStale);
    }

    void leavingUpstreamIsMarkedOnAllInstances()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node first(context, "instance-1", "zone-1", platform, {});
        Node second(context, "instance-2", "zone-2", platform, {first.plane.peersAddress()});
        platform.members.push_back({{"id", "engine-1"},
                                    {"role", "engine"},
                                    {"address", "127.0.0.1:9"},
                                    {"zone", "zone-1"},
                                    {"leaving", true}});
        const auto marked = [](Node &node) {
            return node.blackboard.upstreams[UpstreamId("engine-1")].leaving;
        };
        CPPUNIT_ASSERT(runUntil(context, [&]() { return marked(first) && marked(second); }));
    }

    void billsAndSlotRequestsReachPeers()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node first(context, "instance-1", "zone-1", platform, {});
        Node second(context, "instance-2", "zone-2", platform, {first.plane.peersAddress()});
        std::string storedBills;
        first.plane.handlers().holdBills = [&](const std::string &bills) {
            storedBills = bills;
            return true;
        };
        first.plane.handlers().freeSlots = [](const UpstreamId &, const AccountId &, unsigned count) {
            return count;
        };
        CPPUNIT_ASSERT(
            runUntil(context, [&]() { return second.acceptsRequests(1) && !second.blackboard.peers.empty(); }));
        bool accepted = false;
        unsigned freed = 0;
        second.plane.sendBills("[1]", [&](bool answer) { accepted = answer; });
        second.plane.requestSlots(UpstreamId("engine-1"), AccountId("a"), 2, [&](unsigned slots) { freed += slots; });
        CPPUNIT_ASSERT(runUntil(context, [&]() { return accepted && freed > 0; }));
        CPPUNIT_ASSERT_EQUAL(std::string("[1]"), storedBills);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace parsleyvane
