#include "suite.h"

#include "parsleyvane/membership/membership.h"
#include "parsleyvane/membership/rendezvous.h"

#include <set>

namespace parsleyvane {

namespace {

constexpr TimePoint begin{Milliseconds(1000000)};

Digest digestOf(const std::string &name, std::uint64_t incarnation, const std::string &zone = "zone-1",
                const std::string &address = {})
{
    Digest digest{.instance = InstanceId(name), .zone = ZoneId(zone), .address = address};
    digest.address = address.empty() ? name + ":1" : address;
    digest.incarnation = Incarnation(incarnation);
    return digest;
}

Membership makeMembership(MembershipLimits limits = {})
{
    return Membership(InstanceId("self"), ZoneId("zone-1"), "self:1", Incarnation(1), limits);
}

/// @brief Addresses called within this time, in order.
std::vector<std::string> callsWithin(Membership &membership, TimePoint from, Milliseconds duration)
{
    std::vector<std::string> calls;
    for (TimePoint now = from; now < from + duration; now += Milliseconds(10)) {
        const auto called = membership.tick(now).call;
        calls.insert(calls.end(), called.begin(), called.end());
    }
    return calls;
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(laterIncarnationReplacesAnEarlierOne);
    CPPUNIT_TEST(highestIncarnationWinsInAnyOrder);
    CPPUNIT_TEST(smallFleetIsAFullMesh);
    CPPUNIT_TEST(callsPerRoundAreBoundedInALargeFleet);
    CPPUNIT_TEST(everyMemberIsCalledEventually);
    CPPUNIT_TEST(memberIsSuspectedAfterFailedCalls);
    CPPUNIT_TEST(silentMemberIsRemovedOnlyWhenUnlisted);
    CPPUNIT_TEST(leavingMemberIsNotInTheElectorate);
    CPPUNIT_TEST(instancesOfAZoneAgreeOnItsReaders);
    CPPUNIT_TEST(unmatchedSeedsExpireAfterTheFirstList);
    CPPUNIT_TEST_SUITE_END();

public:
    void laterIncarnationReplacesAnEarlierOne()
    {
        Membership membership = makeMembership();
        CPPUNIT_ASSERT(membership.onDigest(digestOf("a", 5), begin));
        CPPUNIT_ASSERT(!membership.onDigest(digestOf("a", 4), begin));
        // Another instance now uses the address.
        CPPUNIT_ASSERT(membership.onDigest(digestOf("b", 6, "zone-1", "a:1"), begin));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.members().size());
        CPPUNIT_ASSERT(!membership.onDigest(digestOf("a", 5), begin));
        CPPUNIT_ASSERT(!membership.onDigest(digestOf("self", 9), begin));
    }

    void highestIncarnationWinsInAnyOrder()
    {
        test::property("the highest incarnation is kept for any order of digests", []() {
            const auto order = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 9)));
            Membership membership = makeMembership();
            for (const std::uint64_t incarnation : order) {
                membership.onDigest(digestOf("a", incarnation), begin);
            }
            const std::uint64_t highest = *std::max_element(order.begin(), order.end());
            RC_ASSERT(membership.members().at(InstanceId("a")).incarnation == Incarnation(highest));
        });
    }

    void smallFleetIsAFullMesh()
    {
        Membership membership = makeMembership();
        for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
            membership.onDigest(digestOf(name, 1, name), begin);
        }
        const auto calls = callsWithin(membership, begin, MembershipLimits().roundLength);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), std::set<std::string>(calls.begin(), calls.end()).size());
        CPPUNIT_ASSERT(!membership.electorate().sampled);
    }

    void callsPerRoundAreBoundedInALargeFleet()
    {
        test::property("the number of calls in a round does not grow with the fleet", []() {
            const MembershipLimits limits;
            const auto count = *rc::gen::inRange<std::size_t>(limits.meshSize + 1, 1000);
            const auto zones = *rc::gen::inRange<std::size_t>(1, 26);
            Membership membership = makeMembership();
            for (std::size_t index = 0; index < count; ++index) {
                membership.onDigest(digestOf("i" + std::to_string(index), 1, "zone-" + std::to_string(index % zones)),
                                    begin);
            }
            const auto calls = callsWithin(membership, begin, limits.roundLength);
            RC_ASSERT(calls.size() <= limits.zonePartners + limits.otherPartners);
            RC_ASSERT(calls.size() >= limits.otherPartners);
        });
    }

    void everyMemberIsCalledEventually()
    {
        Membership membership = makeMembership();
        std::set<std::string> expected;
        for (unsigned index = 0; index < 40; ++index) {
            const std::string name = "i" + std::to_string(index);
            membership.onDigest(digestOf(name, 1, "zone-" + std::to_string(index % 4)), begin);
            expected.insert(name + ":1");
        }
        const auto calls = callsWithin(membership, begin, Milliseconds(300000));
        CPPUNIT_ASSERT(std::set<std::string>(calls.begin(), calls.end()) == expected);
    }

    void memberIsSuspectedAfterFailedCalls()
    {
        Membership membership = makeMembership();
        membership.onDigest(digestOf("a", 1), begin);
        membership.onCallFailed("a:1");
        CPPUNIT_ASSERT(!membership.members().at(InstanceId("a")).suspected);
        membership.onCallFailed("a:1");
        CPPUNIT_ASSERT(membership.members().at(InstanceId("a")).suspected);
        membership.onDigest(digestOf("a", 1), begin);
        CPPUNIT_ASSERT(!membership.members().at(InstanceId("a")).suspected);
    }

    void silentMemberIsRemovedOnlyWhenUnlisted()
    {
        Membership membership = makeMembership();
        membership.onDigest(digestOf("a", 1), begin);
        membership.onDigest(digestOf("b", 1), begin);
        const TimePoint later = begin + MembershipLimits().removeAfter + Milliseconds(10000);
        static_cast<void>(membership.tick(later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.electorate().peers.size());
        const auto actions = membership.onList({{InstanceId("a"), ZoneId("zone-1"), "a:1", false}}, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.members().size());
        CPPUNIT_ASSERT(actions.close == std::vector<std::string>{"b:1"});
    }

    void leavingMemberIsNotInTheElectorate()
    {
        Membership membership = makeMembership();
        Digest digest = digestOf("a", 1);
        digest.leaving = true;
        membership.onDigest(digest, begin);
        CPPUNIT_ASSERT(membership.electorate().peers.empty());
        membership.onDigest(digestOf("a", 1), begin);
        CPPUNIT_ASSERT_MESSAGE("a delayed digest of the same incarnation does not revoke the departure",
                               membership.electorate().peers.empty());
        membership.onDigest(digestOf("a", 2), begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.electorate().peers.size());
    }

    void instancesOfAZoneAgreeOnItsReaders()
    {
        test::property("the instances of a zone agree on its readers and their number", []() {
            const auto count = *rc::gen::inRange<std::size_t>(1, 100);
            std::size_t readers = 0;
            for (std::size_t index = 0; index < count; ++index) {
                const std::string own = "i" + std::to_string(index);
                Membership membership(InstanceId(own), ZoneId("zone-1"), own + ":1", Incarnation(1));
                for (std::size_t other = 0; other < count; ++other) {
                    membership.onDigest(digestOf("i" + std::to_string(other), 1), begin);
                }
                readers += membership.isReader() ? 1 : 0;
            }
            const MembershipLimits limits;
            RC_ASSERT(readers
                      == std::min(count, std::max(limits.minReadersPerZone, count / limits.instancesPerReader)));
        });
    }

    void unmatchedSeedsExpireAfterTheFirstList()
    {
        Membership membership = makeMembership();
        membership.setSeeds({"self:1", "a:1", "b:1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), membership.electorate().unmatchedSeeds);
        membership.onDigest(digestOf("a", 1), begin);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.electorate().unmatchedSeeds);
        static_cast<void>(membership.onList({}, begin));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), membership.electorate().unmatchedSeeds);
        static_cast<void>(membership.tick(begin + MembershipLimits().seedGracePeriod + Milliseconds(10000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), membership.electorate().unmatchedSeeds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace parsleyvane
