#include "suite.h"

#include "rig/scenario.h"

namespace parsleyvane::rig {

namespace {

const ModelVersion oldWattle{ModelName("wattle"), VersionName("3")};
const ModelVersion newWattle{ModelName("wattle"), VersionName("4")};

/// @brief The configuration with one version in another state and with another weight.
Configuration withVersion(Configuration configuration, const ModelVersion &id, VersionState state, unsigned weight)
{
    for (VersionEntry &entry : configuration.versions) {
        if (entry.id == id) {
            entry.state = state;
            entry.weight = weight;
        }
    }
    return configuration;
}

/// @brief New work goes to wattle@4, and wattle@3 takes `oldState`.
Configuration moved(const Configuration &from, VersionState oldState)
{
    return withVersion(withVersion(from, newWattle, VersionState::Serving, 100), oldWattle, oldState, 0);
}

void assertHolds(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

/// @brief Sends one request of a task to the next instance.
std::function<void(std::size_t)> asking(Scenario &scenario, const std::string &task)
{
    return [&scenario, task](std::size_t sent) {
        Ask ask = scenario.ask(task, "[[tokens=20]] Question " + std::to_string(sent));
        ask.responseTimeout = Milliseconds(8000);
        scenario.chat(sent % scenario.fleet.instanceCount(), ask);
    };
}

/// @brief A conversation: each turn goes to the next instance.
class Conversation
{
public:
    // constructors
    Conversation(Scenario &scenario, std::string name)
        : scenario(scenario)
        , name(std::move(name))
    {
    }

    // modifiers
    Answer turn()
    {
        Ask ask = this->scenario.ask("ask", this->name + " says " + std::to_string(++this->turns));
        ask.session = this->token;
        ask.conversation = this->name;
        Answer answer = this->scenario.chat(this->turns % this->scenario.fleet.instanceCount(), ask);
        if (!answer.session.empty()) {
            this->token = answer.session;
        }
        return answer;
    }

    // observers
    const std::string &sessionToken() const noexcept
    {
        return this->token;
    }

private:
    Scenario &scenario;
    std::string name;
    std::string token = "new";
    std::size_t turns = 0;
};

void assertRefused(const Answer &answer, ErrorId id)
{
    CPPUNIT_ASSERT(answer.error.has_value());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(id), answer.error->id);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.error->run);
}

} // namespace

class VersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionsTest);
    CPPUNIT_TEST(onlyAllowedVersionsRun);
    CPPUNIT_TEST(tokensOfOthersAreRefused);
    CPPUNIT_TEST(permissionTakenAwayUnderLoad);
    CPPUNIT_TEST(withdrawnUnderLoad);
    CPPUNIT_TEST(withdrawnWhileAnInstanceIsFrozen);
    CPPUNIT_TEST(sessionsStayDuringRollout);
    CPPUNIT_TEST(sessionsStayWhenEveryInstanceIsReplaced);
    CPPUNIT_TEST(sessionsStayWithTheStoreDown);
    CPPUNIT_TEST(sessionOfAWithdrawnVersion);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyAllowedVersionsRun()
    {
        Scenario scenario({.name = "versions-allowed"});
        Ask other = scenario.ask("ask", "May I?", "txoko");
        CPPUNIT_ASSERT(scenario.chat(0, other).succeeded());
        for (const char *model : {"wattle", "wattle@3", "banksia@9", "karri"}) {
            other.model = model;
            const Answer answer = scenario.chat(1, other);
            CPPUNIT_ASSERT_MESSAGE(model, answer.error.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.error->run);
        }
        for (int number = 0; number < 20; ++number) {
            scenario.chat(
                2, scenario.ask("triage", "[[hard]] " + std::to_string(number), number % 2 ? "txoko" : "lumara"));
        }
        assertHolds(scenario);
    }

    void tokensOfOthersAreRefused()
    {
        Scenario scenario({.name = "versions-tokens"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        Ask stolen = scenario.ask("ask", "It is me.", "txoko");
        stolen.session = conversation.sessionToken();
        assertRefused(scenario.chat(1, stolen), ErrorId::SessionInvalid);
        Ask forged = scenario.ask("ask", "It is me.");
        forged.session = conversation.sessionToken();
        forged.session.back() = forged.session.back() == '0' ? '1' : '0';
        assertRefused(scenario.chat(1, forged), ErrorId::SessionInvalid);
        assertHolds(scenario);
    }

    void permissionTakenAwayUnderLoad()
    {
        Scenario scenario({.name = "versions-permission", .tokenDelayUs = 5000});
        const Configuration before = scenario.configuration;
        Configuration next = moved(before, VersionState::Serving);
        std::erase(next.accounts.front().allowed, oldWattle);
        Acceptance accepted;
        {
            const Traffic traffic(asking(scenario, "ask"));
            std::this_thread::sleep_for(Milliseconds(500));
            accepted = scenario.accept(next);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
            std::this_thread::sleep_for(Milliseconds(1000));
        }
        // What ran before the acceptance and its bound is judged by the configuration of that time.
        Records after = scenario.fleet.records();
        std::erase_if(after.runs, [&](const Run &run) { return run.at <= accepted.at + acceptanceBound.count(); });
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkAllowedVersions(after, next)));
        scenario.configuration = before;
        assertHolds(scenario);
    }

    void withdrawnUnderLoad()
    {
        Scenario scenario({.name = "versions-withdrawn", .tokenDelayUs = 10000});
        std::vector<Withdrawal> withdrawals;
        {
            const Traffic traffic(asking(scenario, "triage"));
            std::this_thread::sleep_for(Milliseconds(500));
            const Acceptance accepted = scenario.accept(moved(scenario.configuration, VersionState::Withdrawn));
            withdrawals.push_back({oldWattle, accepted.at});
            std::this_thread::sleep_for(withdrawalBound + Milliseconds(1000));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkWithdrawals(scenario.fleet.records(), withdrawals)));
        assertHolds(scenario);
    }

    /// Requests wait at the frozen instance, which wakes up with the old configuration in its memory.
    void withdrawnWhileAnInstanceIsFrozen()
    {
        Scenario scenario({.name = "versions-frozen", .tokenDelayUs = 10000});
        std::vector<Withdrawal> withdrawals;
        {
            const Traffic traffic(asking(scenario, "ask"));
            std::this_thread::sleep_for(Milliseconds(500));
            Process &frozen = *scenario.fleet.instance(0).process;
            frozen.freeze();
            const Acceptance accepted = scenario.accept(moved(scenario.configuration, VersionState::Withdrawn));
            withdrawals.push_back({oldWattle, accepted.at});
            std::this_thread::sleep_for(withdrawalBound + Milliseconds(1000));
            frozen.thaw();
            std::this_thread::sleep_for(Milliseconds(3000));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkWithdrawals(scenario.fleet.records(), withdrawals)));
        assertHolds(scenario);
    }

    void sessionsStayDuringRollout()
    {
        Scenario scenario({.name = "sessions-rollout"});
        std::vector<Conversation> conversations;
        for (int number = 0; number < 4; ++number) {
            conversations.emplace_back(scenario, "s" + std::to_string(number));
            CPPUNIT_ASSERT(conversations.back().turn().succeeded());
        }
        const Acceptance accepted = scenario.accept(moved(scenario.configuration, VersionState::Closed));
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
        for (int round = 0; round < 3; ++round) {
            for (Conversation &conversation : conversations) {
                CPPUNIT_ASSERT_EQUAL(std::string("wattle@3"), conversation.turn().version);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("wattle@4"), Conversation(scenario, "late").turn().version);
        assertHolds(scenario);
    }

    void sessionsStayWhenEveryInstanceIsReplaced()
    {
        Scenario scenario({.name = "sessions-replaced"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        scenario.accept(moved(scenario.configuration, VersionState::Closed));
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            Member &instance = scenario.fleet.instance(index);
            instance.process->kill();
            scenario.fleet.restart(instance);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(instance); }));
            CPPUNIT_ASSERT_EQUAL(std::string("wattle@3"), conversation.turn().version);
        }
        assertHolds(scenario);
    }

    void sessionsStayWithTheStoreDown()
    {
        Scenario scenario({.name = "sessions-down"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        for (int turn = 0; turn < 4; ++turn) {
            CPPUNIT_ASSERT_EQUAL(std::string("wattle@3"), conversation.turn().version);
        }
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        assertHolds(scenario);
    }

    void sessionOfAWithdrawnVersion()
    {
        Scenario scenario({.name = "sessions-withdrawn"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        const Acceptance accepted = scenario.accept(moved(scenario.configuration, VersionState::Withdrawn));
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
        assertRefused(conversation.turn(), ErrorId::SessionVersionWithdrawn);
        assertHolds(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionsTest);

} // namespace parsleyvane::rig
