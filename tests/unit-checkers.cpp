#include "suite.h"

#include "rig/checkers.h"

#include <fstream>

namespace parsleyvane::rig {

namespace {

const ModelVersion wattle{ModelName("wattle"), VersionName("3.1")};
const ModelVersion karri{ModelName("karri"), VersionName("2.0")};
const AccountId agents("lumara-agents");

Run runOf(const std::string &request, const ModelVersion &version, std::int64_t at)
{
    return {UpstreamId("engine-1"), AttemptId(request + "-a"), RequestId(request), agents, version, at};
}

AppliedOperation appliedOf(const std::string &key, const std::string &attempt, std::int64_t at)
{
    return {UpstreamId("ledger"),
            "unlock-credit",
            IdempotencyKey(key),
            AttemptId(attempt),
            RequestId("r-" + key),
            agents,
            at};
}

ClientObservation observationOf(const std::string &request, RunState runState)
{
    ClientObservation observation;
    observation.account = agents;
    observation.request = RequestId(request);
    observation.instance = InstanceId("entry-1");
    observation.version = wattle;
    observation.reportedRunState = runState;
    observation.succeeded = runState == RunState::Ran;
    observation.sentAt = 100;
    observation.answerReceivedAt = 200;
    return observation;
}

/// @brief The numbers of the violated invariants.
std::vector<int> violatedInvariants(const Violations &violations)
{
    std::vector<int> numbers;
    for (const Violation &violation : violations) {
        numbers.push_back(violation.invariant);
    }
    return numbers;
}

const std::vector<int> none;

} // namespace

class CheckersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CheckersTest);
    CPPUNIT_TEST(reportsRunsOfVersionsThatTheAccountMayNotUse);
    CPPUNIT_TEST(reportsRunsAfterTheWithdrawalBound);
    CPPUNIT_TEST(reportsConversationsThatChangeTheirVersion);
    CPPUNIT_TEST(reportsMissingAndDuplicateBills);
    CPPUNIT_TEST(reportsAnswersThatDifferFromTheEngines);
    CPPUNIT_TEST(reportsRunsOfRequestsReportedAsNotRun);
    CPPUNIT_TEST(allowsARunAfterANotRunRequestIsSentAgain);
    CPPUNIT_TEST(reportsRequestsThatRanTwiceOnOneVersion);
    CPPUNIT_TEST(reportsOperationsAppliedTwiceUnderOneKey);
    CPPUNIT_TEST(reportsWorkStartedAfterTheDrainBound);
    CPPUNIT_TEST(reportsRequestsCutOffByAPlannedStop);
    CPPUNIT_TEST(reportsRevisionsThatDecreaseOrArriveLate);
    CPPUNIT_TEST(readsRecordFilesAndSkipsTruncatedLines);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsRunsOfVersionsThatTheAccountMayNotUse()
    {
        Configuration configuration;
        configuration.accounts.push_back({.id = agents, .allowed = {wattle}});
        CPPUNIT_ASSERT(violatedInvariants(checkAllowedVersions({.runs = {runOf("r", wattle, 1)}}, configuration))
                       == none);
        CPPUNIT_ASSERT(violatedInvariants(checkAllowedVersions({.runs = {runOf("r", karri, 1)}}, configuration))
                       == std::vector{1});
        CPPUNIT_ASSERT(violatedInvariants(checkAllowedVersions({.runs = {runOf("r", wattle, 1)}}, {}))
                       == std::vector{1});
    }

    void reportsRunsAfterTheWithdrawalBound()
    {
        const std::vector<Withdrawal> withdrawn{{wattle, 1000}};
        const Milliseconds bound(50);
        CPPUNIT_ASSERT(violatedInvariants(checkWithdrawals({.runs = {runOf("r", wattle, 1050)}}, withdrawn, bound))
                       == none);
        CPPUNIT_ASSERT(violatedInvariants(checkWithdrawals({.runs = {runOf("r", karri, 1051)}}, withdrawn, bound))
                       == none);
        CPPUNIT_ASSERT(violatedInvariants(checkWithdrawals({.runs = {runOf("r", wattle, 1051)}}, withdrawn, bound))
                       == std::vector{2});
    }

    void reportsConversationsThatChangeTheirVersion()
    {
        ClientObservation first = observationOf("r1", RunState::Ran);
        ClientObservation second = observationOf("r2", RunState::Ran);
        first.conversation = second.conversation = "s";
        CPPUNIT_ASSERT(violatedInvariants(checkSessions({.runs = {runOf("r2", wattle, 1)}}, {first, second})) == none);
        CPPUNIT_ASSERT(violatedInvariants(checkSessions({.runs = {runOf("r2", karri, 1)}}, {first, second}))
                       == std::vector{3});
        second.version = karri;
        CPPUNIT_ASSERT(violatedInvariants(checkSessions({}, {first, second})) == std::vector{3});
    }

    void reportsMissingAndDuplicateBills()
    {
        const std::vector<ClientObservation> callers{observationOf("r", RunState::Ran),
                                                     observationOf("refused", RunState::NotRun)};
        const BillWrite bill{RequestId("r")};
        CPPUNIT_ASSERT(violatedInvariants(checkBills({.bills = {bill}}, callers)) == none);
        CPPUNIT_ASSERT(violatedInvariants(checkBills({}, callers)) == std::vector{4});
        CPPUNIT_ASSERT(violatedInvariants(checkBills({.bills = {bill, bill}}, callers)) == std::vector{4});
    }

    void reportsAnswersThatDifferFromTheEngines()
    {
        ClientObservation observation = observationOf("r", RunState::Ran);
        observation.text = "wattle says yes";
        observation.expected = "wattle says yes";
        CPPUNIT_ASSERT(violatedInvariants(checkAnswers({observation})) == none);
        observation.text = "wattle says";
        CPPUNIT_ASSERT(violatedInvariants(checkAnswers({observation})) == std::vector{5});
    }

    void reportsRunsOfRequestsReportedAsNotRun()
    {
        const std::vector<ClientObservation> refused{observationOf("r-k", RunState::NotRun)};
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.runs = {runOf("other", wattle, 150)}}, refused)) == none);
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.runs = {runOf("r-k", wattle, 150)}}, refused))
                       == std::vector{6});
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.runs = {runOf("r-k", wattle, 900)}}, refused))
                       == std::vector{6});
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.applied = {appliedOf("k", "a", 150)}}, refused))
                       == std::vector{6});
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.runs = {runOf("r-k", wattle, 150)}},
                                                      {observationOf("r-k", RunState::Unknown)}))
                       == none);
    }

    void allowsARunAfterANotRunRequestIsSentAgain()
    {
        ClientObservation again = observationOf("r", RunState::Ran);
        again.sentAt = 300;
        const std::vector<ClientObservation> both{observationOf("r", RunState::NotRun), again};
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.runs = {runOf("r", wattle, 350)}}, both)) == none);
        CPPUNIT_ASSERT(violatedInvariants(checkNotRun({.runs = {runOf("r", wattle, 150)}}, both)) == std::vector{6});
    }

    void reportsRequestsThatRanTwiceOnOneVersion()
    {
        CPPUNIT_ASSERT(violatedInvariants(checkRunOnce({.runs = {runOf("r", wattle, 1), runOf("r", karri, 2)}}))
                       == none);
        CPPUNIT_ASSERT(violatedInvariants(checkRunOnce({.runs = {runOf("r", wattle, 1), runOf("r", wattle, 2)}}))
                       == std::vector{4});
    }

    void reportsOperationsAppliedTwiceUnderOneKey()
    {
        CPPUNIT_ASSERT(
            violatedInvariants(checkAtMostOnce({.applied = {appliedOf("k1", "a", 1), appliedOf("k2", "b", 2)}}))
            == none);
        CPPUNIT_ASSERT(
            violatedInvariants(checkAtMostOnce({.applied = {appliedOf("k1", "a", 1), appliedOf("k1", "b", 2)}}))
            == std::vector{7});
    }

    void reportsWorkStartedAfterTheDrainBound()
    {
        const std::vector<Departure> leaving{{UpstreamId("engine-1"), 1000}};
        CPPUNIT_ASSERT(violatedInvariants(checkDepartures({.runs = {runOf("r", wattle, 4000)}}, leaving)) == none);
        CPPUNIT_ASSERT(violatedInvariants(checkDepartures({.runs = {runOf("r", wattle, 4001)}}, leaving))
                       == std::vector{8});
        CPPUNIT_ASSERT(
            violatedInvariants(checkDepartures({.applied = {appliedOf("k", "a", 9000)}}, {{UpstreamId("ledger"), 1}}))
            == std::vector{8});
    }

    void reportsRequestsCutOffByAPlannedStop()
    {
        ClientObservation observation = observationOf("r", RunState::Unknown);
        const std::vector<PlannedStop> stops{{observation.instance, 150}};
        CPPUNIT_ASSERT(violatedInvariants(checkPlannedStops({observation}, stops)) == none);
        observation.cutOff = true;
        CPPUNIT_ASSERT(violatedInvariants(checkPlannedStops({observation}, stops)) == std::vector{9});
        observation.sentAt = 150 + balancerLag.count() + 1;
        CPPUNIT_ASSERT(violatedInvariants(checkPlannedStops({observation}, stops)) == none);
    }

    void reportsRevisionsThatDecreaseOrArriveLate()
    {
        const InstanceId one("entry-1");
        const std::vector<Acceptance> accepted{{Revision(2), 1000}};
        CPPUNIT_ASSERT(
            violatedInvariants(checkRevisions({{one, Revision(1), 6000}, {one, Revision(2), 6001}}, accepted)) == none);
        CPPUNIT_ASSERT(violatedInvariants(checkRevisions({{one, Revision(1), 6001}}, accepted)) == std::vector{10});
        CPPUNIT_ASSERT(
            violatedInvariants(checkRevisions({{one, Revision(2), 1500}, {one, Revision(1), 1600}}, accepted))
            == std::vector{10});
    }

    void readsRecordFilesAndSkipsTruncatedLines()
    {
        const auto file = std::filesystem::temp_directory_path() / "parsleyvane-unit-checkers.jsonl";
        std::ofstream(file)
            << R"({"type":"run","attempt":"a","request":"r","account":"c","model":"m","version":"v","at":7})"
            << "\n"
            << R"({"type":"applied","operation":"o","key":"k","attempt":"a","at":8})"
            << "\n"
            << R"({"type":"run","account":"rig-reference"})"
            << "\n"
            << R"({"type":"put","key":"bill/r","version":1})"
            << "\n"
            << R"({"type":"put","key":"runonce/c/k","version":1})"
            << "\n{\"type\":\"ru";
        Records records;
        readRecords(file, UpstreamId("u"), records);
        std::filesystem::remove(file);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.runs.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, records.runs.front().at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.bills.size());
        CPPUNIT_ASSERT_EQUAL(RequestId("r"), records.bills.front().request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records.applied.size());
        CPPUNIT_ASSERT_EQUAL(IdempotencyKey("k"), records.applied.front().key);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckersTest);

} // namespace parsleyvane::rig
