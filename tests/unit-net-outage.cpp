#include "suite.h"

#include "fakeplatform.h"

namespace parsleyvane {

using test::FleetRig;

class OutageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutageTest);
    CPPUNIT_TEST(anUpstreamThatLeavesAfterASilentOutageIsKnownWithinTheStableWindow);
    CPPUNIT_TEST(aReportThatCouldNotBeWrittenIsWrittenAfterTheOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void anUpstreamThatLeavesAfterASilentOutageIsKnownWithinTheStableWindow()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        rig.platform.put(StoreTable::Upstreams, "u", "v1");
        auto &fleetView = rig.add("one").context.fleetView;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table && fleetView.upstreamsKnown; }));
        rig.platform.isSilent = true;
        rig.io.run_for(std::chrono::milliseconds(2500));
        rig.platform.isSilent = false;
        rig.platform.put(StoreTable::Upstreams, "u", "v2");
        rig.io.run_for(stableWindow);
        CPPUNIT_ASSERT(fleetView.upstreams.find(UpstreamId("u"))->entry.version == VersionName("v2"));
    }

    void aReportThatCouldNotBeWrittenIsWrittenAfterTheOutage()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        auto &two = rig.add("two").context;
        rig.io.run_for(std::chrono::milliseconds(100));
        rig.platform.isUnreachable = true;
        for (const char *site : {"a@1", "b@1", "c@1"}) {
            one.fleetView.crashes.onLost({Fingerprint("p")}, site, bootClockNow());
        }
        one.evidenceChanged();
        rig.io.run_for(std::chrono::milliseconds(200));
        rig.platform.isUnreachable = false;
        rig.io.run_for(stableWindow);
        CPPUNIT_ASSERT(two.fleetView.crashes.blockedOf({Fingerprint("p")}));
    }

private:
    static constexpr Milliseconds stableWindow{3000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageTest);

} // namespace parsleyvane
