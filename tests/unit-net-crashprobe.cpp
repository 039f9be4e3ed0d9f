#include "suite.h"

#include "scriptedupstream.h"

#include "parsleyvane/net/crashprobe.h"
#include "parsleyvane/net/endpoint.h"

namespace parsleyvane {

using namespace test;

class CrashProbeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashProbeTest);
    CPPUNIT_TEST(aProcessThatRefusesConnectionsHasEnded);
    CPPUNIT_TEST(aProcessThatClosesItsConnectionWithoutAnAnswerHasEnded);
    CPPUNIT_TEST(aProcessThatSendsAnyAnswerIsRunning);
    CPPUNIT_TEST(aSilentProcessHasNotEnded);
    CPPUNIT_TEST(aProcessThatAcceptsNoConnectionInTimeHasNotEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    void aProcessThatRefusesConnectionsHasEnded()
    {
        asio::io_context io;
        asio::ip::tcp::acceptor acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const auto endpoint = acceptor.local_endpoint();
        acceptor.close();
        CPPUNIT_ASSERT(CrashProbeTest::ended(io, endpoint));
    }

    void aProcessThatClosesItsConnectionWithoutAnAnswerHasEnded()
    {
        CPPUNIT_ASSERT(CrashProbeTest::endedAfter({"", true, false}));
    }

    void aProcessThatSendsAnyAnswerIsRunning()
    {
        CPPUNIT_ASSERT(!CrashProbeTest::endedAfter({"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n"}));
    }

    void aSilentProcessHasNotEnded()
    {
        CPPUNIT_ASSERT(!CrashProbeTest::endedAfter({"", true, true}));
    }

    // Guards against taking a paused process, or a lost packet, for an exit.
    void aProcessThatAcceptsNoConnectionInTimeHasNotEnded()
    {
        asio::io_context io;
        asio::ip::tcp::acceptor acceptor(io, asio::ip::tcp::v4());
        acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen(0);
        const auto endpoint = acceptor.local_endpoint();
        // The kernel ignores further connections once the listener's queue is full.
        constexpr std::size_t connections = 4;
        std::vector<asio::ip::tcp::socket> waiting;
        for (std::size_t i = 0; i < connections; ++i) {
            waiting.emplace_back(io).async_connect(endpoint, [](const boost::system::error_code &) {});
        }
        CPPUNIT_ASSERT(!CrashProbeTest::ended(io, endpoint));
    }

private:
    static bool endedAfter(const ScriptedResponse &response)
    {
        asio::io_context io;
        ScriptedUpstream upstream(io, "u");
        upstream.scriptedResponses = {response};
        LastReason reason;
        return CrashProbeTest::ended(io, *parseEndpoint(upstream.address(), reason));
    }

    static bool ended(asio::io_context &io, const asio::ip::tcp::endpoint &endpoint)
    {
        HttpCall probe(io.get_executor(), "u", endpoint);
        std::optional<bool> found;
        asio::co_spawn(io, hasProcessExited(probe), [&](const std::exception_ptr &, bool value) { found = value; });
        while (!found) {
            io.run_one();
        }
        return *found;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashProbeTest);

} // namespace parsleyvane
