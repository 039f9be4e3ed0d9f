#include "sourcefile.h"
#include "suite.h"

#include "parsleyvane/config/submission.h"
#include "parsleyvane/net/blockingclient.h"
#include "rig/fleet.h"

#include <fstream>
#include <sys/wait.h>

namespace parsleyvane::rig {

namespace {

using Json = nlohmann::json;

constexpr int exitLostRace = 4;
constexpr int exitOutcomeUnknown = 5;

FleetPlan platformOnly()
{
    FleetPlan plan;
    plan.bin = programDirectory();
    plan.runDirectory = programDirectory() / "run-multi-ctl";
    plan.instances = 0;
    return plan;
}

} // namespace

/// Runs parsleyvanectl as operators do, against the stand-in platform with injected faults.
class CtlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CtlTest);
    CPPUNIT_TEST(exitCodesAreStable);
    CPPUNIT_TEST(lostRaceReportsWhoChangedWhat);
    CPPUNIT_TEST(submissionIsAppliedOnceWhenRepliesAreLost);
    CPPUNIT_TEST(staleReadsDoNotOverwriteANewerRevision);
    CPPUNIT_TEST(submissionDuringAnOutageChangesNothing);
    CPPUNIT_TEST(onlyOneOfTwoConcurrentSubmissionsIsAccepted);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->fleet = std::make_unique<Fleet>(platformOnly());
        this->fleet->startStandIns();
        this->platform = "--platform=" + this->fleet->platform().address;
        this->file = (this->fleet->plan().runDirectory / "next.json").string();
        this->generate("lumara.ini");
        CPPUNIT_ASSERT_EQUAL(0, this->submit("ana"));
    }
    void tearDown() override
    {
        this->fleet.reset();
    }

    void exitCodesAreStable()
    {
        CPPUNIT_ASSERT_EQUAL(0, this->run({"--help"}));
        CPPUNIT_ASSERT_EQUAL(0, this->run({"audit", this->platform, "--json"}));
        CPPUNIT_ASSERT_EQUAL(1, this->run({"validate", "--file=" + this->file + ".absent"}));
        CPPUNIT_ASSERT_EQUAL(2, this->run({"validate", "--colour=red"}));
        CPPUNIT_ASSERT_EQUAL(2, this->run({"rollout", "hurry", this->platform}));
        CPPUNIT_ASSERT_EQUAL(3, this->run({"rollout", "halt", this->platform, "--operator=ana", "--model=wattle"}));
        std::ofstream(this->file) << "{}";
        CPPUNIT_ASSERT_EQUAL(3, this->run({"validate", "--file=" + this->file}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->revision());
    }

    void lostRaceReportsWhoChangedWhat()
    {
        const auto withdraw = {std::string("rollout"),          std::string("withdraw"),      this->platform,
                               std::string("--operator=berta"), std::string("--model=karri"), std::string("--to=7")};
        CPPUNIT_ASSERT_EQUAL(0, this->run(withdraw));
        CPPUNIT_ASSERT_EQUAL(exitLostRace, this->submit("ana"));
        CPPUNIT_ASSERT(this->output.find("by berta") != std::string::npos);
        CPPUNIT_ASSERT(this->output.find("versions[karri@7].state") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->revision());
    }

    void submissionIsAppliedOnceWhenRepliesAreLost()
    {
        for (const int lost : {1, 2, 3}) {
            this->generate("txoko.ini");
            const std::uint64_t before = this->revision();
            this->fleet->fault(this->fleet->platform(), Json{{"loseReplies", lost}});
            CPPUNIT_ASSERT_EQUAL(0, this->submit("ana"));
            CPPUNIT_ASSERT_EQUAL(before + 1, this->revision());
        }
    }

    void staleReadsDoNotOverwriteANewerRevision()
    {
        this->generate("txoko.ini");
        CPPUNIT_ASSERT_EQUAL(0, this->submit("berta"));
        // Reads now return revision 1, the base of the submitted file.
        this->fleet->fault(this->fleet->platform(), Json{{"staleReads", true}});
        CPPUNIT_ASSERT_EQUAL(exitLostRace, this->submit("ana"));
        CPPUNIT_ASSERT(this->output.find("by berta") != std::string::npos);
        this->generate("txoko.ini");
        CPPUNIT_ASSERT_EQUAL(0, this->submit("ana"));
        this->fleet->fault(this->fleet->platform(), Json{{"staleReads", false}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, this->revision());
    }

    void submissionDuringAnOutageChangesNothing()
    {
        this->generate("txoko.ini");
        this->fleet->fault(this->fleet->platform(), Json{{"down", true}});
        CPPUNIT_ASSERT_EQUAL(exitOutcomeUnknown, this->submit("ana"));
        this->fleet->fault(this->fleet->platform(), Json{{"down", false}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->revision());
    }

    void onlyOneOfTwoConcurrentSubmissionsIsAccepted()
    {
        constexpr int rounds = 5;
        for (int round = 0; round < rounds; ++round) {
            this->generate("txoko.ini");
            const std::uint64_t before = this->revision();
            Process first(this->submitCommand("ana"), this->log());
            Process second(this->submitCommand("berta"), this->log());
            const int codes = exitCode(first) + exitCode(second);
            CPPUNIT_ASSERT_EQUAL(exitLostRace, codes);
            CPPUNIT_ASSERT_EQUAL(before + 1, this->revision());
        }
    }

private:
    static int exitCode(Process &process)
    {
        const auto status = process.wait();
        CPPUNIT_ASSERT(status && WIFEXITED(*status));
        return WEXITSTATUS(*status);
    }

    std::string log() const
    {
        return (this->fleet->plan().runDirectory / "ctl.log").string();
    }
    std::vector<std::string> submitCommand(const std::string &operatorName) const
    {
        return {(this->fleet->plan().bin / "parsleyvanectl").string(), "submit", this->platform, "--file=" + this->file,
                "--operator=" + operatorName};
    }
    int submit(const std::string &operatorName)
    {
        return this->run({"submit", this->platform, "--file=" + this->file, "--operator=" + operatorName});
    }
    int run(std::vector<std::string> arguments)
    {
        std::filesystem::remove(this->log());
        arguments.insert(arguments.begin(), (this->fleet->plan().bin / "parsleyvanectl").string());
        Process process(arguments, this->log());
        const int code = exitCode(process);
        this->output = test::readSourceFile(this->log());
        return code;
    }
    void generate(const std::string &answers)
    {
        const auto path = this->fleet->plan().runDirectory / answers;
        std::ofstream(path) << test::readSourceFile("answers/" + answers);
        CPPUNIT_ASSERT_EQUAL(
            0, this->run({"questionnaire", "--answers=" + path.string(), this->platform, "--out=" + this->file}));
    }
    /// The revision in force, read directly from the platform's table.
    std::uint64_t revision() const
    {
        LastReason reason;
        const auto request = makeRequest(boost::beast::http::verb::get, "/table/row?key=" + headKey);
        const auto response = blockingCall(this->fleet->platform().address, request, reason);
        CPPUNIT_ASSERT(response.has_value());
        return Json::parse(response->body()).at("value").at("revision").get<std::uint64_t>();
    }

    std::unique_ptr<Fleet> fleet;
    std::string platform;
    std::string file;
    std::string output;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);

} // namespace parsleyvane::rig
