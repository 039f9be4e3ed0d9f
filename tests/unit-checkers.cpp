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

Applied appliedOf(const std::string &key, const std::string &attempt, std::int64_t at)
{
    return {UpstreamId("ledger"),
            "unlock-credit",
            IdempotencyKey(key),
            AttemptId(attempt),
            RequestId("r-" + key),
            agents,
            at};
}

ClientObservation gotOf(const std::string &request, RunState told)
{
    ClientObservation got;
    got.account = agents;
    got.request = RequestId(request);
    got.instance = InstanceId("entry-1");
    got.version = wattle;
    got.reportedRunState = told;
    got.succeeded = told == RunState::Ran;
    got.sentAt = 100;
    got.answerReceivedAt = 200;
    return got;
}

/// @brief The numbers of the invariants that were broken.
std::vector<int> broken(const Violations &violations)
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
    CPPUNIT_TEST(allowedVersions);
    CPPUNIT_TEST(withdrawals);
    CPPUNIT_TEST(sessions);
    CPPUNIT_TEST(bills);
    CPPUNIT_TEST(answers);
    CPPUNIT_TEST(notRun);
    CPPUNIT_TEST(notRunThenSentAgain);
    CPPUNIT_TEST(runOnce);
    CPPUNIT_TEST(atMostOnce);
    CPPUNIT_TEST(departures);
    CPPUNIT_TEST(plannedStops);
    CPPUNIT_TEST(revisions);
    CPPUNIT_TEST(recordFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    void allowedVersions()
    {
        Configuration configuration;
        configuration.accounts.push_back({.id = agents, .allowed = {wattle}});
        CPPUNIT_ASSERT(broken(checkAllowedVersions({.runs = {runOf("r", wattle, 1)}}, configuration)) == none);
        CPPUNIT_ASSERT(broken(checkAllowedVersions({.runs = {runOf("r", karri, 1)}}, configuration)) == std::vector{1});
        CPPUNIT_ASSERT(broken(checkAllowedVersions({.runs = {runOf("r", wattle, 1)}}, {})) == std::vector{1});
    }

    void withdrawals()
    {
        const std::vector<Withdrawal> withdrawn{{wattle, 1000}};
        const Milliseconds bound(50);
        CPPUNIT_ASSERT(broken(checkWithdrawals({.runs = {runOf("r", wattle, 1050)}}, withdrawn, bound)) == none);
        CPPUNIT_ASSERT(broken(checkWithdrawals({.runs = {runOf("r", karri, 1051)}}, withdrawn, bound)) == none);
        CPPUNIT_ASSERT(broken(checkWithdrawals({.runs = {runOf("r", wattle, 1051)}}, withdrawn, bound))
                       == std::vector{2});
    }

    void sessions()
    {
        ClientObservation first = gotOf("r1", RunState::Ran);
        ClientObservation second = gotOf("r2", RunState::Ran);
        first.conversation = second.conversation = "s";
        CPPUNIT_ASSERT(broken(checkSessions({.runs = {runOf("r2", wattle, 1)}}, {first, second})) == none);
        CPPUNIT_ASSERT(broken(checkSessions({.runs = {runOf("r2", karri, 1)}}, {first, second})) == std::vector{3});
        second.version = karri;
        CPPUNIT_ASSERT(broken(checkSessions({}, {first, second})) == std::vector{3});
    }

    void bills()
    {
        const std::vector<ClientObservation> callers{gotOf("r", RunState::Ran), gotOf("refused", RunState::NotRun)};
        const Billed bill{RequestId("r")};
        CPPUNIT_ASSERT(broken(checkBills({.bills = {bill}}, callers)) == none);
        CPPUNIT_ASSERT(broken(checkBills({}, callers)) == std::vector{4});
        CPPUNIT_ASSERT(broken(checkBills({.bills = {bill, bill}}, callers)) == std::vector{4});
    }

    void answers()
    {
        ClientObservation got = gotOf("r", RunState::Ran);
        got.text = "wattle says yes";
        got.expected = "wattle says yes";
        CPPUNIT_ASSERT(broken(checkAnswers({got})) == none);
        got.text = "wattle says";
        CPPUNIT_ASSERT(broken(checkAnswers({got})) == std::vector{5});
    }

    void notRun()
    {
        const std::vector<ClientObservation> refused{gotOf("r-k", RunState::NotRun)};
        CPPUNIT_ASSERT(broken(checkNotRun({.runs = {runOf("other", wattle, 150)}}, refused)) == none);
        CPPUNIT_ASSERT(broken(checkNotRun({.runs = {runOf("r-k", wattle, 150)}}, refused)) == std::vector{6});
        CPPUNIT_ASSERT(broken(checkNotRun({.runs = {runOf("r-k", wattle, 900)}}, refused)) == std::vector{6});
        CPPUNIT_ASSERT(broken(checkNotRun({.applied = {appliedOf("k", "a", 150)}}, refused)) == std::vector{6});
        CPPUNIT_ASSERT(broken(checkNotRun({.runs = {runOf("r-k", wattle, 150)}}, {gotOf("r-k", RunState::Unknown)}))
                       == none);
    }

    void notRunThenSentAgain()
    {
        ClientObservation again = gotOf("r", RunState::Ran);
        again.sentAt = 300;
        const std::vector<ClientObservation> both{gotOf("r", RunState::NotRun), again};
        CPPUNIT_ASSERT(broken(checkNotRun({.runs = {runOf("r", wattle, 350)}}, both)) == none);
        CPPUNIT_ASSERT(broken(checkNotRun({.runs = {runOf("r", wattle, 150)}}, both)) == std::vector{6});
    }

    void runOnce()
    {
        CPPUNIT_ASSERT(broken(checkRunOnce({.runs = {runOf("r", wattle, 1), runOf("r", karri, 2)}})) == none);
        CPPUNIT_ASSERT(broken(checkRunOnce({.runs = {runOf("r", wattle, 1), runOf("r", wattle, 2)}}))
                       == std::vector{4});
    }

    void atMostOnce()
    {
        CPPUNIT_ASSERT(broken(checkAtMostOnce({.applied = {appliedOf("k1", "a", 1), appliedOf("k2", "b", 2)}}))
                       == none);
        CPPUNIT_ASSERT(broken(checkAtMostOnce({.applied = {appliedOf("k1", "a", 1), appliedOf("k1", "b", 2)}}))
                       == std::vector{7});
    }

    void departures()
    {
        const std::vector<Departure> leaving{{UpstreamId("engine-1"), 1000}};
        CPPUNIT_ASSERT(broken(checkDepartures({.runs = {runOf("r", wattle, 4000)}}, leaving)) == none);
        CPPUNIT_ASSERT(broken(checkDepartures({.runs = {runOf("r", wattle, 4001)}}, leaving)) == std::vector{8});
        CPPUNIT_ASSERT(broken(checkDepartures({.applied = {appliedOf("k", "a", 9000)}}, {{UpstreamId("ledger"), 1}}))
                       == std::vector{8});
    }

    void plannedStops()
    {
        ClientObservation got = gotOf("r", RunState::Unknown);
        const std::vector<PlannedStop> stops{{got.instance, 150}};
        CPPUNIT_ASSERT(broken(checkPlannedStops({got}, stops)) == none);
        got.cutOff = true;
        CPPUNIT_ASSERT(broken(checkPlannedStops({got}, stops)) == std::vector{9});
        got.sentAt = 150 + balancerLag.count() + 1;
        CPPUNIT_ASSERT(broken(checkPlannedStops({got}, stops)) == none);
    }

    void revisions()
    {
        const InstanceId one("entry-1");
        const std::vector<Acceptance> accepted{{Revision(2), 1000}};
        CPPUNIT_ASSERT(broken(checkRevisions({{one, Revision(1), 6000}, {one, Revision(2), 6001}}, accepted)) == none);
        CPPUNIT_ASSERT(broken(checkRevisions({{one, Revision(1), 6001}}, accepted)) == std::vector{10});
        CPPUNIT_ASSERT(broken(checkRevisions({{one, Revision(2), 1500}, {one, Revision(1), 1600}}, accepted))
                       == std::vector{10});
    }

    void recordFiles()
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
