#include "suite.h"

#include "instancerig.h"

#include <algorithm>

namespace parsleyvane::test {

namespace {

constexpr Milliseconds grace{4200};
constexpr Milliseconds timeout{600};
constexpr Milliseconds interval{30};
constexpr int statusBegin = 9;

/// @brief Requests of one client on a kept connection.
struct KeptClient
{
    unsigned answered = 0; ///< with the upstream's whole answer
    unsigned refused = 0; ///< with the promise that they have not run
    unsigned unexpected = 0; ///< with anything else
    bool ended = false;
};

std::string keptRequest()
{
    return "POST /slow/ HTTP/1.1\r\nHost: h\r\n" + requestIdHeader() + "Content-Length: 2\r\n\r\nhi";
}

/// @brief Sends requests one after the other until the connection closes.
asio::awaitable<void> runKeptClient(asio::ip::tcp::endpoint endpoint, std::shared_ptr<KeptClient> client,
                                    Milliseconds pause)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    boost::system::error_code error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    std::string bytes;
    while (!error) {
        const std::string request = keptRequest();
        co_await asio::async_write(socket, asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
        const std::size_t head = co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n",
                                                                 asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
        const std::size_t field = bytes.find("Content-Length: ");
        const std::size_t length = std::stoul(bytes.substr(field + std::string("Content-Length: ").size()));
        if (bytes.size() < head + length) {
            co_await asio::async_read(socket, asio::dynamic_buffer(bytes),
                                      asio::transfer_exactly(head + length - bytes.size()),
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        const bool isWhole = !error && bytes.substr(head, length) == "ok";
        const std::string status = bytes.substr(statusBegin, 3);
        client->answered += status == "200" && isWhole ? 1 : 0;
        client->refused += status == "503" ? 1 : 0;
        client->unexpected += status != "503" && !(status == "200" && isWhole) ? 1 : 0;
        bytes.erase(0, head + length);
        asio::steady_timer timer(socket.get_executor(), pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
    client->ended = true;
}

} // namespace

/// A planned stop under load: what is passed on is answered, and what would outlast the stop is refused before.
class PlannedStopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(requestsThatArriveLateInTheGraceAreAnsweredOrRefused);
    CPPUNIT_TEST(requestsOnKeptConnectionsAreAnsweredOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsThatArriveLateInTheGraceAreAnsweredOrRefused()
    {
        InstanceRig rig(grace, timeout);
        rig.start();
        std::vector<std::shared_ptr<Client>> clients;
        const auto begin = std::chrono::steady_clock::now();
        rig.requestStop();
        auto next = begin;
        const bool hasStopped = rig.runUntil([&]() {
            if (std::chrono::steady_clock::now() >= next) {
                next += interval;
                clients.push_back(rig.send(clientRequest("/slow/")));
            }
            return rig.hasStopped.load();
        });
        CPPUNIT_ASSERT(hasStopped);
        rig.awaitEnd();
        std::size_t answered = 0;
        std::size_t refused = 0;
        for (const auto &client : clients) {
            answered += client->answer.starts_with("HTTP/1.1 200") && client->answer.ends_with("\r\n\r\nok") ? 1 : 0;
            refused += client->answer.starts_with("HTTP/1.1 503") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(rig.upstream("slow").requests.size(), answered);
        CPPUNIT_ASSERT(refused > 0);
        // A connection that was not accepted any more got nothing; all others an answer.
        const auto unanswered
            = std::count_if(clients.begin(), clients.end(), [](const auto &client) { return client->answer.empty(); });
        CPPUNIT_ASSERT_EQUAL(clients.size(), answered + refused + static_cast<std::size_t>(unanswered));
    }

    void requestsOnKeptConnectionsAreAnsweredOrRefused()
    {
        constexpr unsigned clientCount = 60;
        InstanceRig rig(grace, timeout);
        rig.start();
        std::vector<std::shared_ptr<KeptClient>> clients;
        for (unsigned number = 0; number < clientCount; ++number) {
            clients.push_back(std::make_shared<KeptClient>());
            asio::co_spawn(rig.io, runKeptClient(rig.callers, clients.back(), Milliseconds(number)), asio::detached);
        }
        rig.runUntil([&]() { return rig.upstream("slow").requests.size() > clientCount; });
        rig.requestStop();
        CPPUNIT_ASSERT(rig.runUntil([&]() { return rig.hasStopped.load(); }));
        rig.awaitEnd();
        const auto haveEnded = [&]() {
            return std::all_of(clients.begin(), clients.end(), [](const auto &client) { return client->ended; });
        };
        CPPUNIT_ASSERT(rig.runUntil(haveEnded));
        std::size_t answered = 0;
        unsigned unexpected = 0;
        for (const auto &client : clients) {
            answered += client->answered;
            unexpected += client->unexpected;
        }
        CPPUNIT_ASSERT_EQUAL(0U, unexpected);
        CPPUNIT_ASSERT_EQUAL(rig.upstream("slow").requests.size(), answered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

} // namespace parsleyvane::test
