#include "suite.h"

#include "parsleyvane/session/token.h"

namespace parsleyvane {

namespace {

Configuration twoAccounts()
{
    Configuration configuration;
    configuration.sessionKeys = {{"k2", "second-secret"}, {"k1", "first-secret"}};
    const ModelVersion wattle{ModelName("wattle"), VersionName("3.1")};
    configuration.versions.push_back({.id = wattle, .state = VersionState::Serving, .weight = 1});
    configuration.accounts.push_back({.id = AccountId("lumara-agents"), .allowed = {wattle}});
    configuration.accounts.push_back({.id = AccountId("txoko-members"), .allowed = {wattle}});
    return configuration;
}

Session agentsSession(const Configuration &configuration)
{
    return {"s-1", AccountId("lumara-agents"), configuration.versions.front().id};
}

} // namespace

class SessionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionTest);
    CPPUNIT_TEST(tokenIsAcceptedByAnyInstance);
    CPPUNIT_TEST(tokenOfAnOlderKeyStaysValid);
    CPPUNIT_TEST(tokenOfAnotherAccountIsRefused);
    CPPUNIT_TEST(tokenWithOneChangedCharacterIsRefused);
    CPPUNIT_TEST(sessionOfAWithdrawnVersionIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void tokenIsAcceptedByAnyInstance()
    {
        const Configuration configuration = twoAccounts();
        const Session session = agentsSession(configuration);
        LastReason reason;
        const auto token = issueToken(configuration, session, reason);
        CPPUNIT_ASSERT(token.has_value());
        const auto read = checkToken(configuration, session.account, *token, reason);
        CPPUNIT_ASSERT(read == session);
    }

    void tokenOfAnOlderKeyStaysValid()
    {
        Configuration before = twoAccounts();
        before.sessionKeys.erase(before.sessionKeys.begin());
        const Session session = agentsSession(before);
        LastReason reason;
        const auto token = issueToken(before, session, reason);
        CPPUNIT_ASSERT(checkToken(twoAccounts(), session.account, *token, reason) == session);
    }

    void tokenOfAnotherAccountIsRefused()
    {
        const Configuration configuration = twoAccounts();
        LastReason reason;
        const auto token = issueToken(configuration, agentsSession(configuration), reason);
        CPPUNIT_ASSERT(!checkToken(configuration, AccountId("txoko-members"), *token, reason));
        CPPUNIT_ASSERT(reason.failure().id == ErrorId::SessionInvalid);
    }

    void tokenWithOneChangedCharacterIsRefused()
    {
        const Configuration configuration = twoAccounts();
        LastReason ignored;
        const std::string token = *issueToken(configuration, agentsSession(configuration), ignored);
        test::property("a token with one changed character is refused", [&]() {
            std::string forged = token;
            const auto index = *rc::gen::inRange<std::size_t>(0, forged.size());
            const char other = *rc::gen::inRange('0', 'z');
            RC_PRE(other != forged[index]);
            forged[index] = other;
            LastReason reason;
            RC_ASSERT(!checkToken(configuration, AccountId("lumara-agents"), forged, reason));
        });
    }

    void sessionOfAWithdrawnVersionIsRefused()
    {
        Configuration configuration = twoAccounts();
        const Session session = agentsSession(configuration);
        CPPUNIT_ASSERT(!sessionRefusal(configuration, session));
        configuration.versions.front().state = VersionState::Closed;
        CPPUNIT_ASSERT(!sessionRefusal(configuration, session));
        configuration.versions.front().state = VersionState::Withdrawn;
        CPPUNIT_ASSERT(sessionRefusal(configuration, session)->id == ErrorId::SessionVersionWithdrawn);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

} // namespace parsleyvane
