#include "suite.h"

#include "rig/scenario.h"

namespace parsleyvane::rig {

namespace {

const ModelVersion oldWattle{ModelName("wattle"), VersionName("3")};
const ModelVersion newWattle{ModelName("wattle"), VersionName("4")};

/// @brief A copy of the configuration in which version `id` has this state and weight.
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

/// @brief A copy of the configuration in which new work goes to wattle@4 and wattle@3 has the state `oldState`.
Configuration withNewWattle(const Configuration &from, VersionState oldState)
{
    return withVersion(withVersion(from, newWattle, VersionState::Serving, 100), oldWattle, oldState, 0);
}

void assertNoViolations(Scenario &scenario)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), scenario.settledViolations());
}

/// @brief Returns a function that sends requests of a task to the instances in turn.
std::function<void(std::size_t)> requestSender(Scenario &scenario, const std::string &task)
{
    return [&scenario, task](std::size_t sent) {
        Ask request = scenario.ask(task, "[[tokens=20]] Question " + std::to_string(sent));
        request.responseTimeout = Milliseconds(8000);
        scenario.chat(sent % scenario.fleet.instanceCount(), request);
    };
}

/// @brief A conversation that sends each turn to the next instance.
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
        Ask request = this->scenario.ask("ask", this->name + " says " + std::to_string(++this->turns));
        request.session = this->token;
        request.conversation = this->name;
        Answer answer = this->scenario.chat(this->turns % this->scenario.fleet.instanceCount(), request);
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
    CPPUNIT_TEST(foreignAndForgedSessionTokensAreRefused);
    CPPUNIT_TEST(revokedVersionStopsRunningUnderLoad);
    CPPUNIT_TEST(withdrawnVersionStopsRunningUnderLoad);
    CPPUNIT_TEST(thawedInstanceDoesNotRunAWithdrawnVersion);
    CPPUNIT_TEST(sessionsKeepTheirVersionDuringARollout);
    CPPUNIT_TEST(sessionsKeepTheirVersionWhenEveryInstanceIsReplaced);
    CPPUNIT_TEST(sessionsKeepTheirVersionDuringAStoreOutage);
    CPPUNIT_TEST(sessionOfAWithdrawnVersionIsRefused);
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
        assertNoViolations(scenario);
    }

    void foreignAndForgedSessionTokensAreRefused()
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
        assertNoViolations(scenario);
    }

    void revokedVersionStopsRunningUnderLoad()
    {
        Scenario scenario({.name = "versions-permission", .tokenDelayUs = 5000});
        const Configuration before = scenario.configuration;
        Configuration next = withNewWattle(before, VersionState::Serving);
        std::erase(next.accounts.front().allowed, oldWattle);
        Acceptance accepted;
        {
            const Traffic traffic(requestSender(scenario, "ask"));
            std::this_thread::sleep_for(Milliseconds(500));
            accepted = scenario.accept(next);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
            std::this_thread::sleep_for(Milliseconds(1000));
        }
        // Runs until the bound after the acceptance may still follow the previous configuration.
        Records after = scenario.fleet.records();
        std::erase_if(after.runs, [&](const Run &run) { return run.at <= accepted.at + acceptanceBound.count(); });
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkAllowedVersions(after, next)));
        scenario.configuration = before;
        assertNoViolations(scenario);
    }

    void withdrawnVersionStopsRunningUnderLoad()
    {
        Scenario scenario({.name = "versions-withdrawn", .tokenDelayUs = 10000});
        std::vector<Withdrawal> withdrawals;
        {
            const Traffic traffic(requestSender(scenario, "triage"));
            std::this_thread::sleep_for(Milliseconds(500));
            const Acceptance accepted = scenario.accept(withNewWattle(scenario.configuration, VersionState::Withdrawn));
            withdrawals.push_back({oldWattle, accepted.at});
            std::this_thread::sleep_for(withdrawalBound + Milliseconds(1000));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkWithdrawals(scenario.fleet.records(), withdrawals)));
        assertNoViolations(scenario);
    }

    /// Requests are queued at the frozen instance, which still has the old configuration when it resumes.
    void thawedInstanceDoesNotRunAWithdrawnVersion()
    {
        Scenario scenario({.name = "versions-frozen", .tokenDelayUs = 10000});
        std::vector<Withdrawal> withdrawals;
        {
            const Traffic traffic(requestSender(scenario, "ask"));
            std::this_thread::sleep_for(Milliseconds(500));
            Process &frozen = *scenario.fleet.instance(0).process;
            frozen.freeze();
            const Acceptance accepted = scenario.accept(withNewWattle(scenario.configuration, VersionState::Withdrawn));
            withdrawals.push_back({oldWattle, accepted.at});
            std::this_thread::sleep_for(withdrawalBound + Milliseconds(1000));
            frozen.thaw();
            std::this_thread::sleep_for(Milliseconds(3000));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), textOf(checkWithdrawals(scenario.fleet.records(), withdrawals)));
        assertNoViolations(scenario);
    }

    void sessionsKeepTheirVersionDuringARollout()
    {
        Scenario scenario({.name = "sessions-rollout"});
        std::vector<Conversation> conversations;
        for (int number = 0; number < 4; ++number) {
            conversations.emplace_back(scenario, "s" + std::to_string(number));
            CPPUNIT_ASSERT(conversations.back().turn().succeeded());
        }
        const Acceptance accepted = scenario.accept(withNewWattle(scenario.configuration, VersionState::Closed));
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
        for (int round = 0; round < 3; ++round) {
            for (Conversation &conversation : conversations) {
                CPPUNIT_ASSERT_EQUAL(std::string("wattle@3"), conversation.turn().version);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("wattle@4"), Conversation(scenario, "late").turn().version);
        assertNoViolations(scenario);
    }

    void sessionsKeepTheirVersionWhenEveryInstanceIsReplaced()
    {
        Scenario scenario({.name = "sessions-replaced"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        scenario.accept(withNewWattle(scenario.configuration, VersionState::Closed));
        for (std::size_t index = 0; index < scenario.fleet.instanceCount(); ++index) {
            Member &instance = scenario.fleet.instance(index);
            instance.process->kill();
            scenario.fleet.restart(instance);
            CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.ready(instance); }));
            CPPUNIT_ASSERT_EQUAL(std::string("wattle@3"), conversation.turn().version);
        }
        assertNoViolations(scenario);
    }

    void sessionsKeepTheirVersionDuringAStoreOutage()
    {
        Scenario scenario({.name = "sessions-down"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", true}});
        for (int turn = 0; turn < 4; ++turn) {
            CPPUNIT_ASSERT_EQUAL(std::string("wattle@3"), conversation.turn().version);
        }
        scenario.fleet.fault(scenario.fleet.platform(), {{"down", false}});
        assertNoViolations(scenario);
    }

    void sessionOfAWithdrawnVersionIsRefused()
    {
        Scenario scenario({.name = "sessions-withdrawn"});
        Conversation conversation(scenario, "s");
        CPPUNIT_ASSERT(conversation.turn().succeeded());
        const Acceptance accepted = scenario.accept(withNewWattle(scenario.configuration, VersionState::Withdrawn));
        CPPUNIT_ASSERT(waitUntil([&] { return scenario.fleet.allInstancesReport(accepted.revision); }));
        assertRefused(conversation.turn(), ErrorId::SessionVersionWithdrawn);
        assertNoViolations(scenario);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionsTest);

} // namespace parsleyvane::rig
