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

/// @brief Ends a test that would wait for ever; no verdict depends on its length.
constexpr std::chrono::seconds safetyStop{30};

std::string documentOf(unsigned revision)
{
    Configuration configuration;
    configuration.revision = Revision(revision);
    configuration.change.id = "change-" + std::to_string(revision);
    return serialise(configuration);
}

/// @brief One row and one list, over HTTP.
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

/// @brief One instance's blackboard and control.
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

    bool takesWork(unsigned revision) const
    {
        const bool has
            = this->blackboard.configuration && this->blackboard.configuration->revision == Revision(revision);
        return has && !dispatchRefusal(this->blackboard, bootClockNow(), false);
    }
};

bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + safetyStop;
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
    CPPUNIT_TEST(fleetFollowsTheStoreAndOutlivesIt);
    CPPUNIT_TEST(loneInstanceOfAFleetBecomesStale);
    CPPUNIT_TEST(leavingUpstreamIsMarkedEverywhere);
    CPPUNIT_TEST(billsAndRoomReachPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleetFollowsTheStoreAndOutlivesIt()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node first(context, "instance-1", "zone-1", platform, {});
        Node second(context, "instance-2", "zone-2", platform, {first.plane.peersAddress()});
        CPPUNIT_ASSERT(runUntil(context, [&]() { return first.takesWork(1) && second.takesWork(1); }));
        platform.revision = 2;
        CPPUNIT_ASSERT(runUntil(context, [&]() { return first.takesWork(2) && second.takesWork(2); }));
        platform.down = true;
        // A third starts during the outage and takes what most of its seeds have.
        Node third(context, "instance-3", "zone-3", platform,
                   {first.plane.peersAddress(), second.plane.peersAddress()});
        CPPUNIT_ASSERT(runUntil(context, [&]() { return third.takesWork(2); }));
        const TimePoint start = bootClockNow();
        const auto outlived = [&]() {
            return bootClockNow() - start > configurationStalenessLimit + Milliseconds(1500);
        };
        CPPUNIT_ASSERT(runUntil(context, outlived));
        CPPUNIT_ASSERT(first.takesWork(2) && second.takesWork(2) && third.takesWork(2));
    }

    void loneInstanceOfAFleetBecomesStale()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node lone(context, "instance-1", "zone-1", platform, {"127.0.0.1:1", "127.0.0.1:2"});
        CPPUNIT_ASSERT(runUntil(context, [&]() { return lone.takesWork(1); }));
        platform.down = true;
        CPPUNIT_ASSERT(runUntil(context, [&]() { return !lone.takesWork(1); }));
        const auto refusal = dispatchRefusal(lone.blackboard, bootClockNow(), false);
        CPPUNIT_ASSERT(refusal->id == ErrorId::ConfigurationStale);
    }

    void leavingUpstreamIsMarkedEverywhere()
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

    void billsAndRoomReachPeers()
    {
        asio::io_context context;
        FakePlatform platform(context);
        platform.revision = 1;
        Node first(context, "instance-1", "zone-1", platform, {});
        Node second(context, "instance-2", "zone-2", platform, {first.plane.peersAddress()});
        std::string held;
        first.plane.handlers().holdBills = [&](const std::string &bills) {
            held = bills;
            return true;
        };
        first.plane.handlers().makeRoom = [](const UpstreamId &, const AccountId &, unsigned count) {
            return count;
        };
        CPPUNIT_ASSERT(runUntil(context, [&]() { return second.takesWork(1) && !second.blackboard.peers.empty(); }));
        bool taken = false;
        unsigned made = 0;
        second.plane.sendBills("[1]", [&](bool answer) { taken = answer; });
        second.plane.askRoom(UpstreamId("engine-1"), AccountId("a"), 2, [&](unsigned places) { made += places; });
        CPPUNIT_ASSERT(runUntil(context, [&]() { return taken && made > 0; }));
        CPPUNIT_ASSERT_EQUAL(std::string("[1]"), held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);

} // namespace parsleyvane
