#include "suite.h"

#include "parsleyvane/config/configuration.h"

namespace parsleyvane {

class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(roundTripsThroughJson);
    CPPUNIT_TEST(reportsTheMissingMember);
    CPPUNIT_TEST(refusesNumbersOutOfRange);
    CPPUNIT_TEST_SUITE_END();

public:
    void roundTripsThroughJson()
    {
        Configuration before;
        before.revision = Revision(7);
        before.change = {"c1", "ana", "2026-12-04T00:00:00Z", "first"};
        const ModelVersion wattle{ModelName("wattle"), VersionName("3")};
        before.versions.push_back({wattle, VersionState::Closed, 4, MicroCost(9)});
        before.upstreams.push_back({UpstreamId("e1"), "127.0.0.1:1", ZoneId("a"), Engine{{wattle}, 3, false}});
        before.upstreams.push_back({UpstreamId("s1"), "127.0.0.1:2", ZoneId("b"), PlainService{ServiceName("ledger")}});
        Account account{.id = AccountId("agents"), .organisation = "lumara", .keyHashes = {"aa"}, .allowed = {wattle}};
        account.tasks.push_back(
            {TaskName("triage"), ModelTask{{ModelName("wattle")}, 0.8, true, 9}, true, Milliseconds(5)});
        account.tasks.push_back(
            {TaskName("unlock"), ServiceTask{ServiceName("ledger"), "unlock"}, false, Milliseconds(6)});
        before.accounts.push_back(account);
        before.rollouts.push_back({ModelName("wattle"), VersionName("2"), VersionName("3"), "halted", 50});
        LastReason reason;
        const auto after = parseConfiguration(serialise(before), reason);
        CPPUNIT_ASSERT(after.has_value());
        CPPUNIT_ASSERT_EQUAL(serialise(before), serialise(*after));
        CPPUNIT_ASSERT(after->revision == before.revision);
    }

    void reportsTheMissingMember()
    {
        LastReason reason;
        CPPUNIT_ASSERT(!parseConfiguration(R"({"accounts":[]})", reason));
        CPPUNIT_ASSERT(reason.failure().id == ErrorId::InvalidConfiguration);
        CPPUNIT_ASSERT(reason.failure().detail.find("versions") != std::string::npos);
    }

    // Guards against converting a fraction or an exponent to an integer type that cannot hold it.
    void refusesNumbersOutOfRange()
    {
        const auto read = [](const std::string &number, const std::string &revision) {
            LastReason reason;
            const bool isRead = parseConfiguration(R"({"accounts":[],"versions":[],"upstreams":[{"id":"e1","address":)"
                                                   R"("127.0.0.1:1","zone":"a","kind":"engine","loads":[],"slots":)"
                                                       + number + R"(}],"revision":)" + revision + "}",
                                                   reason)
                                    .has_value();
            return isRead ? std::string() : reason.failure().detail;
        };
        for (const char *accepted : {"8", "8.0", "4294967295.0", "-0.5"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(accepted, std::string(), read(accepted, "1"));
        }
        for (const char *refused : {"1e300", "-1e300", "4294967296.0", "-1.0", "99999999999999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(refused, read(refused, "1").find("'slots' is out of range") != std::string::npos);
        }
        CPPUNIT_ASSERT(read("8", "1e20").find("'revision' is out of range") != std::string::npos);
        CPPUNIT_ASSERT(read("8", "1e19").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace parsleyvane
