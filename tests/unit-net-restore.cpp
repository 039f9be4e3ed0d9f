#include "suite.h"

#include "fakeplatform.h"

namespace parsleyvane {

using test::FakePlatform;
using test::FleetRig;

class RestoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestoreTest);
    CPPUNIT_TEST(aChangeUnderAVersionThatWasGivenOutAgainIsApplied);
    CPPUNIT_TEST(anOlderCopyDoesNotReopenACompletedRollout);
    CPPUNIT_TEST(anOrderThatIsWrittenAgainKeepsItsState);
    CPPUNIT_TEST(theOrderBeforeTheCurrentOneDoesNotReturnFromACopy);
    CPPUNIT_TEST(anUpstreamThatLeftIsNotUsedAgain);
    CPPUNIT_TEST(anUpstreamThatTheCopyLacksGetsTheGracePeriod);
    CPPUNIT_TEST(theReportIsWrittenAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void aChangeUnderAVersionThatWasGivenOutAgainIsApplied()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Orders, "config", "3");
        const FakePlatform::Copy copy = rig.platform.copy();
        auto &fleetView = rig.add("one").context.fleetView;
        rig.platform.put(StoreTable::Orders, "config", "4");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return fleetView.table && fleetView.table->revision() == Revision(4); }));
        rig.platform.restore(copy);
        rig.platform.put(StoreTable::Orders, "config", "5");
        rig.platform.put(StoreTable::Status, "other", "0 1");
        rig.io.run_for(stableWindow);
        CPPUNIT_ASSERT(fleetView.table->revision() == Revision(5));
    }

    void anOlderCopyDoesNotReopenACompletedRollout()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        VersionShift &shift = shiftOf(one, service);
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() == RolloutState::Running; }));
        const FakePlatform::Copy copy = rig.platform.copy();
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() == RolloutState::Completed; }));
        rig.platform.restore(copy);
        bool isReopened = false;
        CPPUNIT_ASSERT(rig.runUntil([&]() {
            isReopened = isReopened || shift.state() != RolloutState::Completed;
            return rig.platform.rows.at("status/s").value.starts_with("1 ");
        }));
        CPPUNIT_ASSERT(!isReopened);
    }

    void anOrderThatIsWrittenAgainKeepsItsState()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        VersionShift &shift = shiftOf(one, service);
        const FakePlatform::Copy copy = rig.platform.copy();
        rig.platform.put(StoreTable::Fleet, "x", "");
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() == RolloutState::Completed; }));
        rig.platform.restore(copy);
        bool isRestarted = false;
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        CPPUNIT_ASSERT(rig.runUntil([&]() {
            isRestarted = isRestarted || shift.state() != RolloutState::Completed;
            return rig.platform.rows.contains("status/s");
        }));
        CPPUNIT_ASSERT(!isRestarted);
        CPPUNIT_ASSERT_EQUAL(std::string("1 1"), rig.platform.rows.at("status/s").value);
    }

    void theOrderBeforeTheCurrentOneDoesNotReturnFromACopy()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        VersionShift &shift = shiftOf(one, service);
        rig.platform.put(StoreTable::Orders, "rollout", "v2");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() == RolloutState::Completed; }));
        const FakePlatform::Copy copy = rig.platform.copy();
        rig.platform.put(StoreTable::Orders, "rollout", "v3");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return shift.state() == RolloutState::Running; }));
        rig.platform.restore(copy);
        rig.io.run_for(stableWindow);
        CPPUNIT_ASSERT(shift.order()->to == VersionName("v3"));
    }

    void anUpstreamThatLeftIsNotUsedAgain()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Upstreams, "leaving", "v1");
        rig.platform.put(StoreTable::Upstreams, "gone", "v1");
        rig.platform.put(StoreTable::Upstreams, "stays", "v1");
        auto &upstreams = rig.add("one").context.fleetView.upstreams;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return upstreams.size() == 3; }));
        const FakePlatform::Copy copy = rig.platform.copy();
        rig.platform.put(StoreTable::Upstreams, "leaving", "draining");
        rig.platform.put(StoreTable::Upstreams, "gone", "draining");
        rig.platform.remove(StoreTable::Upstreams, "gone");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return usable(upstreams) == std::vector{UpstreamId("stays")}; }));
        CPPUNIT_ASSERT(rig.runUntil([&]() { return upstreams.size() == 2; }));
        rig.platform.restore(copy);
        bool isUsedAgain = false;
        const auto end = std::chrono::steady_clock::now() + stableWindow;
        rig.runUntil([&]() {
            isUsedAgain = isUsedAgain || usable(upstreams) != std::vector{UpstreamId("stays")};
            return std::chrono::steady_clock::now() > end;
        });
        CPPUNIT_ASSERT(!isUsedAgain);
    }

    void anUpstreamThatTheCopyLacksGetsTheGracePeriod()
    {
        FleetRig rig;
        rig.platform.put(StoreTable::Upstreams, "old", "v1");
        const FakePlatform::Copy copy = rig.platform.copy();
        auto &context = rig.add("one").context;
        rig.platform.put(StoreTable::Upstreams, "new", "v1");
        auto &upstreams = context.fleetView.upstreams;
        CPPUNIT_ASSERT(rig.runUntil([&]() { return usable(upstreams).size() == 2; }));
        rig.platform.restore(copy);
        rig.platform.put(StoreTable::Orders, "config", "3");
        CPPUNIT_ASSERT(rig.runUntil([&]() { return context.fleetView.table != nullptr; }));
        rig.io.run_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, usable(upstreams).size());
        rig.io.run_for(stableWindow);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable(upstreams).size());
    }

    void theReportIsWrittenAgain()
    {
        FleetRig rig;
        auto &one = rig.add("one").context;
        const FakePlatform::Copy copy = rig.platform.copy();
        one.fleetView.crashes.onLost({Fingerprint("p")}, "a@1", bootClockNow());
        one.evidenceChanged();
        CPPUNIT_ASSERT(rig.runUntil([&]() { return rig.platform.rows.contains("fleet/one"); }));
        rig.io.run_for(std::chrono::milliseconds(100));
        rig.platform.restore(copy);
        rig.io.run_for(stableWindow);
        CPPUNIT_ASSERT(rig.platform.rows.contains("fleet/one"));
    }

private:
    static std::vector<UpstreamId> usable(const UpstreamList &upstreams)
    {
        std::vector<UpstreamId> ids;
        upstreams.forEachUsable(service, [&](const RegisteredUpstream &upstream) { ids.push_back(upstream.entry.id); });
        return ids;
    }

    static inline const ServiceName service{"s"};
    static constexpr Milliseconds stableWindow{3000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoreTest);

} // namespace parsleyvane
