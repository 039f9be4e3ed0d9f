#include "sampleconfiguration.h"
#include "sourcefile.h"
#include "suite.h"

#include "parsleyvane/config/interview.h"
#include "parsleyvane/config/questionnaire.h"
#include "parsleyvane/config/validate.h"
#include "parsleyvane/core/digest.h"

#include <sstream>

namespace parsleyvane {

namespace {

Answers readValidAnswers(const std::string &text)
{
    std::vector<SettingProblem> problems;
    const auto answers = readAnswers(text, "answers.ini", problems);
    CPPUNIT_ASSERT_MESSAGE(problems.empty() ? "" : describe(problems.front()), answers.has_value());
    return *answers;
}

Configuration configurationFromCommittedAnswers()
{
    const Configuration lumara = amend(Configuration{}, readValidAnswers(test::readSourceFile("answers/lumara.ini")));
    Configuration configuration = amend(lumara, readValidAnswers(test::readSourceFile("answers/txoko.ini")));
    configuration.sessionKeys.push_back({"key-1", std::string(64, '1')});
    return configuration;
}

std::string randomName(const std::string &prefix)
{
    return prefix + std::to_string(*rc::gen::inRange(0, 1000000));
}

std::vector<ModelVersion> randomVersions()
{
    return *rc::gen::container<std::vector<ModelVersion>>(rc::gen::map(
        rc::gen::inRange(0, 99), [](int n) { return test::version("model-" + std::to_string(n), "1.2"); }));
}

Account randomAccount(const std::string &organisation, int index)
{
    Account account{.id = AccountId("account-" + std::to_string(index)), .organisation = organisation};
    const int keys = *rc::gen::inRange(1, 6);
    for (int key = 0; key < keys; ++key) {
        account.keyHashes.push_back(sha256Hex(randomName("key")));
    }
    account.allowed = randomVersions();
    account.costWeight = *rc::gen::inRange(0, 1001) / 1000.0;
    account.limits = {*rc::gen::inRange(1, 10000) / 7.0, 1.0 + *rc::gen::inRange(0, 999), 5};
    account.priority = {*rc::gen::arbitrary<bool>(), 1.0 / *rc::gen::inRange(1, 30)};
    account.tasks.push_back({TaskName("serve-" + std::to_string(index)),
                             ServiceTask{ServiceName("s"), randomName("op")}, *rc::gen::arbitrary<bool>(),
                             Milliseconds(*rc::gen::inRange(1, 99999))});
    account.tasks.push_back(
        {TaskName("ask-" + std::to_string(index)),
         ModelTask{{ModelName(randomName("m")), ModelName("n")}, 0.25, *rc::gen::arbitrary<bool>(), 7}, true,
         Milliseconds(9)});
    return account;
}

VersionAnswers randomVersionAnswers(int index)
{
    VersionAnswers version{.id = test::version("wattle", std::to_string(index))};
    if (*rc::gen::arbitrary<bool>()) {
        version.state = VersionState::Closed;
        version.costPerMillionTokens = MicroCost(*rc::gen::inRange(0, 1000));
    }
    if (*rc::gen::arbitrary<bool>()) {
        version.weight = *rc::gen::inRange(0U, 1000U);
    }
    version.initialState = VersionState::Serving;
    version.initialWeight = *rc::gen::inRange(0U, 1000U);
    return version;
}

Answers randomAnswers()
{
    Answers answers{.organisation = randomName("org")};
    const int count = *rc::gen::inRange(0, 4);
    for (int index = 0; index < count; ++index) {
        answers.accounts.push_back(randomAccount(answers.organisation, index));
        answers.versions.push_back(randomVersionAnswers(index));
        answers.upstreams.push_back(
            {UpstreamId("e" + std::to_string(index)), "[::1]:99", ZoneId("a"),
             Engine{randomVersions(), *rc::gen::inRange(1U, 99U), *rc::gen::arbitrary<bool>()}});
    }
    answers.upstreams.push_back(
        {UpstreamId("s"), "10.0.0.1:65535", ZoneId("b"), PlainService{ServiceName(randomName("s"))}});
    return answers;
}

} // namespace

class QuestionnaireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuestionnaireTest);
    CPPUNIT_TEST(committedAnswersAreValid);
    CPPUNIT_TEST(amendingKeepsWithdrawals);
    CPPUNIT_TEST(reportsAllProblemsAtOnce);
    CPPUNIT_TEST(repeatsAQuestionUntilTheAnswerIsAllowed);
    CPPUNIT_TEST(theInterviewAcceptsTheSameAsTheAnswersFile);
    CPPUNIT_TEST(roundTripsThroughIni);
    CPPUNIT_TEST(amendingChangesOneOrganisationOnly);
    CPPUNIT_TEST(readsOrReportsArbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void committedAnswersAreValid()
    {
        const Configuration configuration = configurationFromCommittedAnswers();
        CPPUNIT_ASSERT(validate(configuration).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, configuration.accounts.size());
        const Account *households = configuration.findAccountByKeyHash(sha256Hex("demo-lumara-households"));
        CPPUNIT_ASSERT(households != nullptr);
        const Task *unlock = findTask(*households, TaskName("unlock-credit"));
        CPPUNIT_ASSERT(unlock != nullptr && !unlock->repeatable);
        CPPUNIT_ASSERT(std::get<ServiceTask>(unlock->work).service == ServiceName("lumara-ledger"));
        CPPUNIT_ASSERT(serialise(configuration).find("demo-") == std::string::npos);
    }

    void amendingKeepsWithdrawals()
    {
        Configuration base = configurationFromCommittedAnswers();
        base.versions[0].state = VersionState::Withdrawn;
        base.versions[0].weight = 0;
        const Configuration amended = amend(base, readValidAnswers(test::readSourceFile("answers/lumara.ini")));
        CPPUNIT_ASSERT(amended.versions[0].state == VersionState::Withdrawn);
        CPPUNIT_ASSERT_EQUAL(0U, amended.versions[0].weight);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, amended.accounts.size());
    }

    void reportsAllProblemsAtOnce()
    {
        const std::string text = "[organisation]\nname = a b\n[account x]\nallowed = wattle\npriority = maybe\n"
                                 "[task t]\naccounts = nobody\nmax-wait-ms = 0\n[engine e]\naddress = here\nzone = a\n"
                                 "colour = red\n[version wattle]\nweight = 1\n[lamp l]\non = yes\n";
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT(!readAnswers(text, "f.ini", problems, {{"absent.key", "1"}, {"e.slots", "0"}}));
        std::string all;
        for (const SettingProblem &problem : problems) {
            all += describe(problem) + "\n";
        }
        for (const char *part :
             {"name: found 'a b'", "allowed: found 'wattle'", "priority: found 'maybe'", "key-hashes: found (nothing",
              "accounts: found 'nobody'", "max-wait-ms: found '0'", "chain: found (nothing", "address: found 'here'",
              "colour: found (an unknown", "[version wattle]", "[lamp l]", "absent.key", "slots: found '0'"}) {
            CPPUNIT_ASSERT_MESSAGE(part + ("\n" + all), all.find(part) != std::string::npos);
        }
    }

    void repeatsAQuestionUntilTheAnswerIsAllowed()
    {
        std::istringstream input("acme\nweb\nk1\nwattle@3\n7\n0.7\n\n\n\n\n\n\n\n\n\n\n");
        std::ostringstream output;
        LastReason reason;
        const auto answers = interview(input, output, reason);
        CPPUNIT_ASSERT(answers && answers->accounts.size() == 1);
        CPPUNIT_ASSERT_EQUAL(0.7, answers->accounts[0].costWeight);
        CPPUNIT_ASSERT(output.str().find("allowed: a number from 0 to 1") != std::string::npos);
        std::istringstream truncated("acme\nweb\n");
        CPPUNIT_ASSERT(!interview(truncated, output, reason));
        CPPUNIT_ASSERT(reason.failure().id == ErrorId::InvalidSetting);
    }

    // Guards against an interview with other bounds or another default than the answers file.
    void theInterviewAcceptsTheSameAsTheAnswersFile()
    {
        const std::string account = "web\nk1\nwattle@3\n\n0.001\n\n100000\n\n\n";
        const std::string task = "ask\n\nwattle\n\n\n1048576\nweb\n\n\n";
        const std::string engine = "e1\n127.0.0.1:9001\na\nwattle@3\n\n\n";
        std::istringstream input("acme\n" + account + "\n" + task + "\n\n" + engine + "\n\n");
        std::ostringstream output;
        LastReason reason;
        const auto answers = interview(input, output, reason);
        CPPUNIT_ASSERT_MESSAGE(output.str(), answers && answers->accounts.size() == 1);
        const Account &web = answers->accounts.front();
        CPPUNIT_ASSERT_EQUAL(100000U, web.limits.inFlight);
        CPPUNIT_ASSERT_EQUAL(0.001, web.limits.requestsPerSecond);
        CPPUNIT_ASSERT_EQUAL(1U << 20U, std::get<ModelTask>(web.tasks.front().work).maxTokens);
        CPPUNIT_ASSERT(std::get<Engine>(answers->upstreams.front().kind).checksFence);
    }

    void roundTripsThroughIni()
    {
        test::property("answers read back the same", [] {
            const Answers before = randomAnswers();
            const Answers after = readValidAnswers(writeAnswers(before));
            RC_ASSERT(writeAnswers(before) == writeAnswers(after));
            RC_ASSERT(serialise(amend({}, before)) == serialise(amend({}, after)));
        });
    }

    void amendingChangesOneOrganisationOnly()
    {
        test::property("amending leaves the others alone and is idempotent", [] {
            const Configuration base = test::sampleConfiguration();
            const Answers answers = randomAnswers();
            const Configuration once = amend(base, answers);
            RC_ASSERT(serialise(once) == serialise(amend(once, answers)));
            RC_ASSERT(once.findAccount(AccountId("agents")) != nullptr);
            RC_ASSERT(once.accounts.size() == 1 + answers.accounts.size());
            for (const VersionAnswers &version : answers.versions) {
                const VersionEntry *known = base.findVersion(version.id);
                const VersionState kept = known != nullptr ? known->state : version.initialState;
                RC_ASSERT(once.findVersion(version.id)->state == version.state.value_or(kept));
            }
        });
    }

    void readsOrReportsArbitraryBytes()
    {
        const std::string good = test::readSourceFile("answers/txoko.ini");
        CPPUNIT_ASSERT(!good.empty());
        test::property("any bytes are read or reported", [&](const std::string &bytes, std::uint16_t offset) {
            std::string text = good;
            text.insert(offset % text.size(), bytes);
            std::vector<SettingProblem> problems;
            const bool accepted = readAnswers(text, "f.ini", problems).has_value();
            RC_ASSERT(accepted == problems.empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuestionnaireTest);

} // namespace parsleyvane
