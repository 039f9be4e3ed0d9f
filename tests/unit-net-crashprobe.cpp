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
    CPPUNIT_TEST(aProcessThatBreaksItsConnectionUnansweredHasEnded);
    CPPUNIT_TEST(aProcessThatAnswersAnythingRuns);
    CPPUNIT_TEST(aSilentProcessIsNotTakenForEnded);
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

    void aProcessThatBreaksItsConnectionUnansweredHasEnded()
    {
        CPPUNIT_ASSERT(CrashProbeTest::endedAfter({"", true, false}));
    }

    void aProcessThatAnswersAnythingRuns()
    {
        CPPUNIT_ASSERT(!CrashProbeTest::endedAfter({"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n"}));
    }

    void aSilentProcessIsNotTakenForEnded()
    {
        CPPUNIT_ASSERT(!CrashProbeTest::endedAfter({"", true, true}));
    }

private:
    static bool endedAfter(const ScriptedResponse &act)
    {
        asio::io_context io;
        ScriptedUpstream upstream(io, "u");
        upstream.scriptedResponses = {act};
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
