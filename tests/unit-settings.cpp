#include "sourcefile.h"
#include "suite.h"

#include "parsleyvane/config/settings.h"

#include <algorithm>

namespace parsleyvane {

namespace {

const std::string goodFile = R"([instance]
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

bool names(const std::vector<SettingProblem> &problems, const std::string &section, const std::string &key,
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
    CPPUNIT_TEST(readsEveryKind);
    CPPUNIT_TEST(theExampleHoldsTheDefaults);
    CPPUNIT_TEST(reportsAllProblemsAtOnce);
    CPPUNIT_TEST(reportsUnreadableLines);
    CPPUNIT_TEST(checksOverridesAlike);
    CPPUNIT_TEST(takesEveryByteString);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsEveryKind()
    {
        std::vector<SettingProblem> problems;
        const auto settings = readSettings(goodFile, "f.ini", problems);
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT(settings->id == InstanceId("lumara-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8082"), settings->listen.peers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->seeds.size());
        CPPUNIT_ASSERT(settings->limits.progressTimeout == Milliseconds(1500));
        CPPUNIT_ASSERT(settings->limits.requestTimeout == Milliseconds(10000));
    }

    void theExampleHoldsTheDefaults()
    {
        std::vector<SettingProblem> problems;
        const auto settings = readSettings(test::readSourceFile("docs/examples/parsleyvaned.ini"), "f.ini", problems);
        CPPUNIT_ASSERT(settings.has_value());
        const LimitSettings defaults;
        CPPUNIT_ASSERT_EQUAL(defaults.bodyBytes, settings->limits.bodyBytes);
        CPPUNIT_ASSERT(defaults.billHold == settings->limits.billHold);
    }

    void reportsAllProblemsAtOnce()
    {
        const std::string text = "[instance]\nid = a b\nid = c\ncolour = red\n[listen]\ncallers = localhost:80\n"
                                 "operators = 127.0.0.1:65536\npeers = 127.0.0.1:0\n[limits]\nconnections = 0\n"
                                 "silence-ms = 1.5\n[unknown]\nx = 1\n";
        std::vector<SettingProblem> problems;
        CPPUNIT_ASSERT(!readSettings(text, "f.ini", problems));
        CPPUNIT_ASSERT(names(problems, "instance", "id", "'a b'"));
        CPPUNIT_ASSERT(names(problems, "instance", "id", "second value"));
        CPPUNIT_ASSERT(names(problems, "instance", "zone", "required"));
        CPPUNIT_ASSERT(names(problems, "instance", "colour", "unknown"));
        CPPUNIT_ASSERT(names(problems, "listen", "callers", "'localhost:80'"));
        CPPUNIT_ASSERT(names(problems, "listen", "operators", "65536"));
        CPPUNIT_ASSERT(names(problems, "listen", "peers", "'127.0.0.1:0'"));
        CPPUNIT_ASSERT(names(problems, "limits", "connections", "'0'"));
        CPPUNIT_ASSERT(names(problems, "limits", "silence-ms", "'1.5'"));
        CPPUNIT_ASSERT(names(problems, "platform", "address", "required"));
        CPPUNIT_ASSERT(names(problems, "unknown", "x", "unknown"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, problems.size());
    }

    void reportsUnreadableLines()
    {
        std::vector<SettingProblem> problems;
        const std::string text = goodFile + "no value here\n[half\nid = " + std::string(300, 'x') + "\n";
        CPPUNIT_ASSERT(!readSettings(text, "f.ini", problems));
        CPPUNIT_ASSERT(names(problems, "", "line 14", "no value here"));
        CPPUNIT_ASSERT(names(problems, "", "line 15", "[half"));
        CPPUNIT_ASSERT(names(problems, "", "line 16", "id = xxx"));
    }

    void checksOverridesAlike()
    {
        std::vector<SettingProblem> problems;
        const auto settings = readSettings(goodFile, "f.ini", problems, {{"instance.zone", "b"}});
        CPPUNIT_ASSERT(settings && settings->zone == ZoneId("b"));
        CPPUNIT_ASSERT(!readSettings(goodFile, "f.ini", problems, {{"limits.silence-ms", "soon"}, {"nonsense", "1"}}));
        CPPUNIT_ASSERT(names(problems, "limits", "silence-ms", "'soon'"));
        CPPUNIT_ASSERT(names(problems, "", "nonsense", "unknown"));
        CPPUNIT_ASSERT_EQUAL(std::string("command line"), problems.front().file);
    }

    void takesEveryByteString()
    {
        test::property("any bytes are read or reported", [](const std::string &bytes, std::uint16_t cut) {
            std::string text = goodFile;
            text.insert(cut % text.size(), bytes);
            std::vector<SettingProblem> problems;
            const bool accepted = readSettings(text, "f.ini", problems).has_value();
            RC_ASSERT(accepted == problems.empty());
            std::vector<SettingProblem> bare;
            RC_ASSERT(!readSettings(bytes, "f.ini", bare));
            RC_ASSERT(!bare.empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace parsleyvane
