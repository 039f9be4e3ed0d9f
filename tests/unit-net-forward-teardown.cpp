#include "suite.h"

#include "instancerig.h"

#include <algorithm>

namespace parsleyvane::test {

namespace {

/// Answers in flight are aborted this long before the grace time ends, and the process has to end within it.
constexpr Milliseconds stopMargin{450};

} // namespace

/// Run under the address sanitizer, these show what outlives an instance.
class TeardownTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TeardownTest);
    CPPUNIT_TEST(aStoppedInstanceLeavesNothingRunningAfterItsDestruction);
    CPPUNIT_TEST(anInstanceThatCannotListenLeavesNothingRunning);
    CPPUNIT_TEST_SUITE_END();

public:
    void aStoppedInstanceLeavesNothingRunningAfterItsDestruction()
    {
        constexpr unsigned streamCount = 20;
        constexpr unsigned storeTables = 4;
        InstanceRig rig;
        rig.start();
        std::vector<std::shared_ptr<Client>> streams;
        for (unsigned stream = 0; stream < streamCount; ++stream) {
            streams.push_back(rig.send(clientRequest("/stream/")));
        }
        const auto waiting = rig.send(clientRequest("/silent/"));
        const auto failed = rig.send(clientRequest("/broken/"));
        const auto incomplete = rig.send("POST /silent/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
        const auto idle = rig.send("");
        CPPUNIT_ASSERT(rig.runUntil([&]() {
            return failed->ended && rig.waitingReads == storeTables && rig.waitingWrites == 1
                && rig.upstream("silent").requests.size() == 1
                && std::all_of(streams.begin(), streams.end(),
                               [](const auto &stream) { return stream->answer.find("id: 1") != std::string::npos; });
        }));
        rig.stop();
        CPPUNIT_ASSERT(!rig.instance);
        CPPUNIT_ASSERT(rig.destructionTime.value() < stopMargin);
        CPPUNIT_ASSERT(rig.haveAllEnded());
        for (const auto &stream : streams) {
            CPPUNIT_ASSERT(!stream->answer.ends_with("0\r\n\r\n"));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), waiting->answer);
        CPPUNIT_ASSERT_EQUAL(std::string(), incomplete->answer);
        CPPUNIT_ASSERT(rig.runUntil([&]() {
            return rig.upstream("stream").closedByClient == streamCount && rig.upstream("silent").closedByClient == 1;
        }));
    }

    void anInstanceThatCannotListenLeavesNothingRunning()
    {
        InstanceRig rig;
        const asio::ip::tcp::acceptor occupant(rig.io, rig.callers);
        LastReason reason;
        CPPUNIT_ASSERT(!rig.instance->start(reason));
        rig.instance.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeardownTest);

} // namespace parsleyvane::test
