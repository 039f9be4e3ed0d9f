#include "sourcefile.h"
#include "suite.h"

#include "parsleyvane/config/ini.h"
#include "parsleyvane/config/settings.h"

#include <algorithm>

namespace parsleyvane {

namespace {

const std::string validFile = R"([instance]
id = lumara-1 ; a comment
zone = a
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = [::1]:8082
[platform]
address = 127.0.0.1:7000
[peers]
seeds = 127.0.0.1:8092, 127.0.0.1:8102
[limits]
silence-ms = 1500
)";

bool hasProblem(const std::vector<SettingProblem> &problems, const std::string &section, const std::string &key,
                const std::string &found)
{
    return std::any_of(problems.begin(), problems.end(), [&](const SettingProblem &problem) {
        return problem.section == section && problem.key == key && problem.found.find(found) != std::string::npos
            && !problem.allowed.empty();
    });
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readsEveryKindOfSetting);
    CPPUNIT_TEST(exampleFileMatchesTheDefaults);
    CPPUNIT_TEST(hedgingIsOffUnlessAShareIsSet);
    CPPUNIT_TEST(reportsAllProblemsAtOnce);
    CPPUNIT_TEST(reportsUnreadableLines);
    CPPUNIT_TEST(reportsAtMostTwentyUnreadableLines);
    CPPUNIT_TEST(checksOverridesLikeFileValues);
    CPPUNIT_TEST(admissionControlIsOffByDefault);
    CPPUNIT_TEST(replicasAreByLengthUnlessTheFileSaysByDemand);
    CPPUNIT_TEST(theSmallestModelIsFirstUnlessTheFileSaysLearned);
    CPPUNIT_TEST(readsOrReportsArbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsEveryKindOfSetting()
    {
        std::vector<SettingProblem> problems;
        const auto settings = readSettings(validFile, "f.ini", problems);
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT(settings->id == InstanceId("lumara-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8082"), settings->listen.peers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->seeds.size());
        CPPUNIT_ASSERT(settings->limits.progressTimeout == Milliseconds(1500));
        CPPUNIT_ASSERT(settings->limits.requestTimeout == Milliseconds(10000));
        CPPUNIT_ASSERT(!settings->load.shared);
        CPPUNIT_ASSERT(readSettings(validFile, "f.ini", problems, {{"load.shared", "yes"}})->load.shared);
    }

    void exampleFileMatchesTheDefaults()
    {
        std::vector<SettingProblem> problems;
        const auto settings = readSettings(test::readSourceFile("docs/examples/parsleyvaned.ini"), "f.ini", problems);
        CPPUNIT_ASSERT(settings.has_value());
        const LimitSettings defaults;
        CPPUNIT_ASSERT_EQUAL(defaults.bodyBytes, settings->limits.bodyBytes);
        CPPUNIT_ASSERT(defaults.billHold == settings->limits.billHold);
    }

    /// Guards against hedges without the setting, and a share that would double the load.
    void hedgingIsOffUnlessAShareIsSet()
    {
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT_EQUAL(0.0, readSettings(validFile, "f.ini", problems)->hedging.maxShare);
        const auto settings = readSettings(validFile, "f.ini", problems, {{"hedging.max-share", "0.05"}});
        CPPUNIT_ASSERT_EQUAL(0.05, settings->hedging.maxShare);
        for (const char *invalid : {"0.51", "-0.1", "nan", "yes"}) {
            CPPUNIT_ASSERT(!readSettings(validFile, "f.ini", problems, {{"hedging.max-share", invalid}}));
        }
    }

    void reportsAllProblemsAtOnce()
    {
        const std::string text = "[instance]\nid = a b\nid = c\ncolour = red\n[listen]\ncallers = localhost:80\n"
                                 "operators = 127.0.0.1:65536\npeers = 127.0.0.1:0\n[limits]\nconnections = 0\n"
                                 "silence-ms = 1.5\n[unknown]\nx = 1\n";
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT(!readSettings(text, "f.ini", problems));
        CPPUNIT_ASSERT(hasProblem(problems, "instance", "id", "'a b'"));
        CPPUNIT_ASSERT(hasProblem(problems, "instance", "id", "second value"));
        CPPUNIT_ASSERT(hasProblem(problems, "instance", "zone", "required"));
        CPPUNIT_ASSERT(hasProblem(problems, "instance", "colour", "unknown"));
        CPPUNIT_ASSERT(hasProblem(problems, "listen", "callers", "'localhost:80'"));
        CPPUNIT_ASSERT(hasProblem(problems, "listen", "operators", "65536"));
        CPPUNIT_ASSERT(hasProblem(problems, "listen", "peers", "'127.0.0.1:0'"));
        CPPUNIT_ASSERT(hasProblem(problems, "limits", "connections", "'0'"));
        CPPUNIT_ASSERT(hasProblem(problems, "limits", "silence-ms", "'1.5'"));
        CPPUNIT_ASSERT(hasProblem(problems, "platform", "address", "required"));
        CPPUNIT_ASSERT(hasProblem(problems, "unknown", "x", "unknown"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, problems.size());
    }

    void replicasAreByLengthUnlessTheFileSaysByDemand()
    {
        const auto read = [](const std::string &more, std::vector<SettingProblem> &problems) {
            return readSettings(validFile + more, "f.ini", problems);
        };
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT(read("", problems)->load.replicas == ReplicaRule::ByLength);
        CPPUNIT_ASSERT(read("[load]\nreplicas = by-length\n", problems)->load.replicas == ReplicaRule::ByLength);
        CPPUNIT_ASSERT(read("[load]\nreplicas = by-demand\n", problems)->load.replicas == ReplicaRule::ByDemand);
        CPPUNIT_ASSERT(!read("[load]\nreplicas = many\n", problems));
        CPPUNIT_ASSERT(hasProblem(problems, "load", "replicas", "'many'"));
    }

    // Guards against a cascade that changes where the settings do not ask for it.
    void theSmallestModelIsFirstUnlessTheFileSaysLearned()
    {
        const auto read = [](const std::string &more, std::vector<SettingProblem> &problems) {
            return readSettings(validFile + more, "f.ini", problems);
        };
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT(read("", problems)->load.firstModel == FirstModelRule::Smallest);
        CPPUNIT_ASSERT(read("[load]\nfirst-model = smallest\n", problems)->load.firstModel == FirstModelRule::Smallest);
        CPPUNIT_ASSERT(read("[load]\nfirst-model = learned\n", problems)->load.firstModel == FirstModelRule::Learned);
        CPPUNIT_ASSERT(!read("[load]\nfirst-model = large\n", problems));
        CPPUNIT_ASSERT(hasProblem(problems, "load", "first-model", "'large'"));
    }

    void reportsUnreadableLines()
    {
        std::vector<SettingProblem> problems;
        const std::string text = validFile + "no value here\n[half\nid = " + std::string(300, 'x') + "\n";
        CPPUNIT_ASSERT(!readSettings(text, "f.ini", problems));
        CPPUNIT_ASSERT(hasProblem(problems, "", "line 14", "no value here"));
        CPPUNIT_ASSERT(hasProblem(problems, "", "line 15", "[half"));
        CPPUNIT_ASSERT(hasProblem(problems, "", "line 16", "id = xxx"));
    }

    // Guards against one report too many, and against losing the lines after the last one reported.
    void reportsAtMostTwentyUnreadableLines()
    {
        constexpr std::size_t maxReports = 20;
        std::string text = "[s]\n";
        for (std::size_t line = 1; line <= maxReports + 2; ++line) {
            text += "no value here\n";
            std::vector<SettingProblem> problems;
            const auto entries = readIni(text + "key = value\n", "f.ini", problems);
            CPPUNIT_ASSERT_EQUAL(std::min(line, maxReports), problems.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entries.size());
        }
    }

    void checksOverridesLikeFileValues()
    {
        std::vector<SettingProblem> problems;
        const auto settings = readSettings(validFile, "f.ini", problems, {{"instance.zone", "b"}});
        CPPUNIT_ASSERT(settings && settings->zone == ZoneId("b"));
        CPPUNIT_ASSERT(!readSettings(validFile, "f.ini", problems, {{"limits.silence-ms", "soon"}, {"nonsense", "1"}}));
        CPPUNIT_ASSERT(hasProblem(problems, "limits", "silence-ms", "'soon'"));
        CPPUNIT_ASSERT(hasProblem(problems, "", "nonsense", "unknown"));
        CPPUNIT_ASSERT_EQUAL(std::string("command line"), problems.front().file);
    }

    /// Guards against admission control that is on where nobody asked for it.
    void admissionControlIsOffByDefault()
    {
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT(!readSettings(validFile, "f.ini", problems)->load.controlsAdmission);
        CPPUNIT_ASSERT(readSettings(validFile, "f.ini", problems, {{"load.admission", "yes"}})->load.controlsAdmission);
        CPPUNIT_ASSERT(!readSettings(validFile, "f.ini", problems, {{"load.admission", "maybe"}}));
        CPPUNIT_ASSERT(hasProblem(problems, "load", "admission", "'maybe'"));
    }

    void readsOrReportsArbitraryBytes()
    {
        test::property("any bytes are read or reported", [](const std::string &bytes, std::uint16_t offset) {
            std::string text = validFile;
            text.insert(offset % text.size(), bytes);
            std::vector<SettingProblem> problems;
            const bool accepted = readSettings(text, "f.ini", problems).has_value();
            RC_ASSERT(accepted == problems.empty());
            std::vector<SettingProblem> bytesAloneProblems;
            RC_ASSERT(!readSettings(bytes, "f.ini", bytesAloneProblems));
            RC_ASSERT(!bytesAloneProblems.empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace parsleyvane
