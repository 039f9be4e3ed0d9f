#include "sampleconfiguration.h"
#include "suite.h"

#include "parsleyvane/config/diff.h"
#include "parsleyvane/config/validate.h"

#include <algorithm>
#include <limits>

namespace parsleyvane {

namespace {

using ApplyFault = void (*)(Configuration &);

/// One invalid change of the sample, and the path that must be reported. No two of them change the same member.
struct Fault
{
    const char *place;
    ApplyFault apply;
};

ModelTask &modelTask(Configuration &configuration)
{
    return std::get<ModelTask>(configuration.accounts[0].tasks[0].work);
}

const std::vector<Fault> faults = {
    {"accounts[1].id",
     [](Configuration &c) {
         c.accounts.push_back(c.accounts[0]);
     }},
    {"accounts[0].keyHashes[1]",
     [](Configuration &c) {
         c.accounts[0].keyHashes.emplace_back("ab");
     }},
    {"accounts[0].allowed[3]",
     [](Configuration &c) {
         c.accounts[0].allowed.push_back(test::version("oak", "1"));
     }},
    {"accounts[0].tasks[0].chain[2]",
     [](Configuration &c) {
         modelTask(c).chain.emplace_back("oak");
     }},
    {"accounts[0].tasks[0].qualityTarget",
     [](Configuration &c) {
         modelTask(c).qualityTarget = 1.5;
     }},
    {"accounts[0].tasks[0].maxTokens",
     [](Configuration &c) {
         modelTask(c).maxTokens = 0;
     }},
    {"accounts[0].tasks[0].repeatable",
     [](Configuration &c) {
         c.accounts[0].tasks[0].repeatable = false;
     }},
    {"accounts[0].tasks[1].maxWaitMs",
     [](Configuration &c) {
         c.accounts[0].tasks[1].maxWait = Milliseconds(0);
     }},
    {"accounts[0].tasks[1].service",
     [](Configuration &c) {
         std::get<ServiceTask>(c.accounts[0].tasks[1].work).service = ServiceName("bank");
     }},
    {"accounts[0].limits.requestsPerSecond",
     [](Configuration &c) {
         c.accounts[0].limits.requestsPerSecond = -1;
     }},
    {"accounts[0].limits.burst",
     [](Configuration &c) {
         c.accounts[0].limits.burst = 0;
     }},
    {"accounts[0].limits.inFlight",
     [](Configuration &c) {
         c.accounts[0].limits.inFlight = 0;
     }},
    {"accounts[0].priority.share",
     [](Configuration &c) {
         c.accounts[0].priority.share = -0.1;
     }},
    {"accounts[0].costWeight",
     [](Configuration &c) {
         c.accounts[0].costWeight = std::numeric_limits<double>::quiet_NaN();
     }},
    {"versions",
     [](Configuration &c) {
         c.versions[0].weight = 0;
     }},
    {"versions[2].costPerMillionTokens",
     [](Configuration &c) {
         c.versions[2].costPerMillionTokens = MicroCost(-1);
     }},
    {"versions[3]",
     [](Configuration &c) {
         c.versions.push_back(c.versions[1]);
     }},
    {"upstreams[0].address",
     [](Configuration &c) {
         c.upstreams[0].address = "localhost:1";
     }},
    {"upstreams[0].loads[2]",
     [](Configuration &c) {
         std::get<Engine>(c.upstreams[0].kind).loads.push_back(test::version("oak", "1"));
     }},
    {"upstreams[1].zone",
     [](Configuration &c) {
         c.upstreams[1].zone = ZoneId();
     }},
    {"upstreams[2].id",
     [](Configuration &c) {
         c.upstreams[2].id = c.upstreams[1].id;
     }},
    {"sessionKeys[0].secret",
     [](Configuration &c) {
         c.sessionKeys[0].secret.pop_back();
     }},
    {"rollouts[0].to",
     [](Configuration &c) {
         c.rollouts.push_back({ModelName("wattle"), VersionName("3"), VersionName("9"), "running", 1});
     }},
};

bool hasProblem(const std::vector<ConfigurationProblem> &problems, const std::string &place)
{
    return std::any_of(problems.begin(), problems.end(), [&](const ConfigurationProblem &problem) {
        return problem.place == place && problem.id == ErrorId::InvalidConfiguration && !problem.message.empty();
    });
}

} // namespace

class ValidateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ValidateTest);
    CPPUNIT_TEST(acceptsTheSample);
    CPPUNIT_TEST(reportsEachSingleFault);
    CPPUNIT_TEST(reportsAllFaultsTogether);
    CPPUNIT_TEST(allowsWithdrawingTheOnlyServingVersion);
    CPPUNIT_TEST(requiresASessionKey);
    CPPUNIT_TEST(diffReportsMemberPathsAndHidesSecrets);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsTheSample()
    {
        CPPUNIT_ASSERT(validate(test::sampleConfiguration()).empty());
    }

    void reportsEachSingleFault()
    {
        for (const Fault &fault : faults) {
            Configuration broken = test::sampleConfiguration();
            fault.apply(broken);
            CPPUNIT_ASSERT_MESSAGE(fault.place, hasProblem(validate(broken), fault.place));
        }
    }

    void reportsAllFaultsTogether()
    {
        test::property("all faults are reported at once", [](const std::vector<std::size_t> &picks) {
            std::vector<const Fault *> chosen;
            for (const std::size_t pick : picks) {
                const Fault *fault = &faults[pick % faults.size()];
                if (std::find(chosen.begin(), chosen.end(), fault) == chosen.end()) {
                    chosen.push_back(fault);
                }
            }
            // faults[0] copies the account, so it must be applied before the others change the account.
            std::sort(chosen.begin(), chosen.end());
            Configuration broken = test::sampleConfiguration();
            for (const Fault *fault : chosen) {
                fault->apply(broken);
            }
            const auto problems = validate(broken);
            for (const Fault *fault : chosen) {
                RC_ASSERT(hasProblem(problems, fault->place));
            }
            RC_ASSERT(problems.empty() == chosen.empty());
        });
    }

    void allowsWithdrawingTheOnlyServingVersion()
    {
        Configuration withdrawn = test::sampleConfiguration();
        withdrawn.versions[2].state = VersionState::Withdrawn;
        CPPUNIT_ASSERT(validate(withdrawn).empty());
        withdrawn.versions[2].state = VersionState::Warming;
        CPPUNIT_ASSERT(hasProblem(validate(withdrawn), "versions"));
    }

    void requiresASessionKey()
    {
        Configuration keyless = test::sampleConfiguration();
        keyless.sessionKeys.clear();
        CPPUNIT_ASSERT(hasProblem(validate(keyless), "sessionKeys"));
    }

    void diffReportsMemberPathsAndHidesSecrets()
    {
        const Configuration before = test::sampleConfiguration();
        Configuration after = before;
        std::swap(after.upstreams[0], after.upstreams[1]);
        CPPUNIT_ASSERT(diff(before, after).empty());
        after.accounts[0].tasks[0].maxWait = Milliseconds(5);
        after.sessionKeys[0].secret = std::string(64, '2');
        after.upstreams.pop_back();
        const auto changes = diff(before, after);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
        const ConfigurationChange wait{"accounts[agents].tasks[triage].maxWaitMs", "30000", "5"};
        CPPUNIT_ASSERT(changes[0] == wait);
        CPPUNIT_ASSERT_EQUAL(std::string("sessionKeys[key-1].secret"), changes[1].place);
        CPPUNIT_ASSERT(changes[1].after.find("2222") == std::string::npos);
        CPPUNIT_ASSERT(changes[2].place == "upstreams[s1]" && changes[2].after.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValidateTest);

} // namespace parsleyvane
