#include "sampleconfiguration.h"
#include "sourcefile.h"
#include "suite.h"

#include "parsleyvane/config/check.h"
#include "parsleyvane/config/questionnaire.h"

#include <algorithm>
#include <chrono>

namespace parsleyvane {

namespace {

/// One replacement in a valid file, and a finding that it must cause.
struct BrokenFile
{
    std::string original;
    std::string found;
    std::string replacement;
    const char *finding;
};

std::string sampleText()
{
    return serialise(test::sampleConfiguration());
}

std::string lumaraText()
{
    return test::readSourceFile("answers/lumara.ini");
}

std::string settingsText()
{
    return test::readSourceFile("docs/examples/parsleyvaned.ini");
}

std::string ingressText()
{
    return settingsText() + "[bounds]\nrepeat-ratio = 0.1\n[hedging]\nmax-share = 0.05\n";
}

std::string replaced(std::string text, const std::string &found, const std::string &replacement)
{
    const std::size_t at = text.find(found);
    CPPUNIT_ASSERT_MESSAGE(found + " is not in " + text, at != std::string::npos);
    return text.replace(at, found.size(), replacement);
}

std::vector<std::string> findingsOf(const std::string &text, const std::optional<Configuration> &against = {})
{
    LastReason reason;
    const auto findings = checkFile({"F", text}, against, reason);
    if (!findings) {
        return {"unreadable " + reason.failure().detail};
    }
    std::vector<std::string> lines;
    for (const CheckFinding &finding : *findings) {
        lines.push_back(describe(finding));
    }
    return lines;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

std::vector<BrokenFile> brokenFiles()
{
    const std::string sample = sampleText();
    return {
        {sample, "\"id\":\"e1\",", "", "error F: upstreams[0] id: is missing"},
        {sample, "\"id\":\"e1\"", "\"id\":[[5]]",
         "error F: upstreams[0] id: cannot be read: type must be string, but is array"},
        {sample, "\"name\":\"triage\",", "", "error F: accounts[agents].tasks[0] name: is missing"},
        {sample, "\"maxTokens\":256", "\"maxTokens\":\"256\"",
         "error F: accounts[agents].tasks[triage] maxTokens: cannot be read: type must be number, but is string"},
        {sample, "\"upstreams\":", "\"servers\":", "error F: upstreams: is missing"},
        {sample, "\"slots\":8", "\"slots\":-1", "error F: upstreams[e1] slots: is read as 4294967295"},
        {sample, "\"slots\":8", "\"places\":8",
         "warning F: upstreams[e1] places: is not a member of this entry and is ignored"},
        {sample, "\"slots\":8", "\"slots\":8,\"slots\":9",
         "error F: upstreams[e1] slots: is given twice; only the last value is read"},
        {sample, "\"slots\":8", "\"version\":\"8\"",
         "warning F: upstreams[e1] version: is not a member of this entry and is ignored"},
        {sample, "[\"" + std::string(64, 'a') + "\"]", "[\"" + std::string(64, 'A') + "\"]",
         "warning F: accounts[agents] keyHashes[0]: is never used: it has capital digits"},
        {sample, "\"chain\":[\"wattle\",\"karri\"]", "\"chain\":[\"wattle\"]",
         "warning F: versions[karri@7]: is never used: no account that allows it has a task with its model"},
        {sample, "\"slots\":8", "\"sl\\nots\":8",
         "warning F: upstreams[e1] sl?ots: is not a member of this entry and is ignored"},
        {sample, "{", "\xef\xbb\xbf{\"places\":1,", "warning F: places: is not a member of this entry and is ignored"},
        {sample, "\"qualityTarget\":0.9", "\"qualityTarget\":9",
         "error F: accounts[agents].tasks[triage] qualityTarget: is not from 0 to 1"},
        {sample, "[\"" + std::string(64, 'a') + "\"]", "[]",
         "error F: accounts[agents] keyHashes: is empty, so no client can use the account"},
        {sample, "\"state\":\"serving\",\"version\":\"7\",\"weight\":1",
         "\"state\":\"serving\",\"version\":\"7\",\"weight\":0",
         "warning F: versions[karri@7] weight: is 0, so it gets no new requests although it is serving"},
        {sample, "\"bought\":false,\"share\":0.2", "\"bought\":true,\"share\":0",
         "warning F: accounts[agents] priority.share: is 0, but the account bought priority"},
        {sample, "\"bought\":false,\"share\":0.2", "\"bought\":true,\"share\":1.1",
         "warning F: accounts: the priority shares of the accounts that bought priority add up to more than 1"},
        {sample, "\"chain\":[\"wattle\",\"karri\"]", "\"chain\":[\"karri\",\"wattle\"]",
         "warning F: accounts[agents].tasks[triage] chain[1]: costs less than the model before it, but the cheapest "
         "must be first"},
        {sample, "\"slots\":8", "\"slots\":", "unreadable F: [json.exception.parse_error.101] parse error at"},
        {sample, "\"rollouts\":[]",
         "\"rollouts\":[{\"model\":\"wattle\",\"from\":\"3\",\"to\":\"4\",\"state\":\"running\"}]",
         "warning F: rollouts[wattle] to: is not serving, but the roll-out is running"},
        {lumaraText(), "allowed = wattle@3, banksia@2, karri@7", "allowed = wattle@3, banksia@2",
         "warning F: versions[karri@7]: is never used: no account allows it"},
        {lumaraText(), "service = lumara-ledger\noperation", "chain = wattle\noperation",
         "error F: task unlock-credit operation"},
        {lumaraText(), "service = lumara-ledger\noperation = unlock-credit", "chain = wattle",
         "warning F: upstreams[lumara-ledger]: is never used: no task uses the service 'lumara-ledger'"},
        {lumaraText(), "slots = 8", "slots = many", "error F: engine engine-1 slots: found 'many'"},
        {settingsText(), "127.0.0.1:8081", "127.0.0.1:8080",
         "warning F: listen operators: '127.0.0.1:8080' is the address of another listener"},
        {settingsText(), "127.0.0.1:8092", "127.0.0.1:8082",
         "warning F: peers seeds: '127.0.0.1:8082' is the instance"},
        {settingsText(), "[limits]", "[zones]\nb = north\n[limits]", "warning F: instance zone: is not one of [zones]"},
        {ingressText(), "[peers]", "[peers]", "warning F: hedging: is never used: only front = ingress reads it"},
        {replaced(ingressText(), "0.05", "0.2"), "zone = a", "zone = a\nfront = ingress",
         "warning F: hedging max-share: is greater than bounds.repeat-ratio, which limits hedges, too"},
    };
}

/// The text with up to four runs of bytes changed, removed, repeated or replaced by a token of the formats.
std::string damaged(std::string text)
{
    const std::vector<std::string> tokens
        = {"{", "}", "[", "]", ",", "null", "-1", "1e999", "1e18", "\"\"", "\n[", "=", "\xff", std::string(200, '[')};
    const int damages = *rc::gen::inRange(1, 5);
    for (int damage = 0; damage < damages && !text.empty(); ++damage) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 20);
        const std::string run = text.substr(at, length);
        text.replace(
            at, *rc::gen::element<std::size_t>(0, length),
            *rc::gen::oneOf(rc::gen::elementOf(tokens), rc::gen::just(run), rc::gen::arbitrary<std::string>()));
    }
    return text;
}

} // namespace

class CheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CheckTest);
    CPPUNIT_TEST(validFilesHaveNoFindings);
    CPPUNIT_TEST(brokenFilesAreExplained);
    CPPUNIT_TEST(differencesAreOrderedByHarm);
    CPPUNIT_TEST(answersAreComparedWithWhatTheyAmend);
    CPPUNIT_TEST(modelsWithoutCostAreNotCompared);
    CPPUNIT_TEST(comparedFilesThatAreUnreadableAreNamed);
    CPPUNIT_TEST(longEntriesAreCheckedInLinearTime);
    CPPUNIT_TEST(manyRepeatedMembersAreNotAllListed);
    CPPUNIT_TEST(filesOfNoKindAreUnreadable);
    CPPUNIT_TEST(damagedFilesGiveFindingsOrAReason);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against false alarms, which would make the exit code useless in scripts.
    void validFilesHaveNoFindings()
    {
        for (const std::string &text :
             {sampleText(), lumaraText(), test::readSourceFile("answers/txoko.ini"), settingsText()}) {
            CPPUNIT_ASSERT_EQUAL(std::string(), joined(findingsOf(text)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), joined(findingsOf(sampleText(), test::sampleConfiguration())));
    }

    /// Guards against a mistake that passes silently, or whose message names another entry or field.
    void brokenFilesAreExplained()
    {
        for (const BrokenFile &file : brokenFiles()) {
            const auto lines = findingsOf(replaced(file.original, file.found, file.replacement));
            const bool isExplained = std::any_of(
                lines.begin(), lines.end(), [&](const std::string &line) { return line.starts_with(file.finding); });
            CPPUNIT_ASSERT_MESSAGE(std::string(file.finding) + "\nfound:\n" + joined(lines), isExplained);
        }
    }

    /// Guards against a removal that is overlooked below a long list of additions.
    void differencesAreOrderedByHarm()
    {
        const Configuration before = test::sampleConfiguration();
        Configuration after = before;
        after.accounts[0].limits.burst = 200;
        after.accounts[0].limits.inFlight = 32;
        after.accounts[0].keyHashes.emplace_back(64, 'b');
        after.versions[2].state = VersionState::Closed;
        after.upstreams[0].address = "127.0.0.1:9";
        after.upstreams[1].id = UpstreamId("e9");
        std::string harms;
        for (const std::string &line : findingsOf(serialise(after), before)) {
            for (const std::string harm : {"removed", "narrowed", "replaced", "widened", "added"}) {
                harms += line.find(": " + harm) != std::string::npos ? harm.substr(0, 1) : "";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("rnnrwwa"), harms);
    }

    /// Guards against answers whose differences include what other organisations configured.
    void answersAreComparedWithWhatTheyAmend()
    {
        LastReason reason;
        const auto active = readComparedVersion({"lumara.ini", lumaraText()}, reason);
        CPPUNIT_ASSERT(active);
        CPPUNIT_ASSERT_EQUAL(std::string(), joined(findingsOf(lumaraText(), active)));
        const auto lines = findingsOf(replaced(lumaraText(), "in-flight = 64", "in-flight = 8"), active);
        CPPUNIT_ASSERT_EQUAL(std::string("warning F: accounts[lumara-agents] limits.inFlight: narrowed: 64 -> 8\n"),
                             joined(lines));
        CPPUNIT_ASSERT(!readComparedVersion({"parsleyvaned.ini", settingsText()}, reason));
    }

    /// Guards against a version without a cost that hides the costs of the others: of its model, or along the chain.
    void modelsWithoutCostAreNotCompared()
    {
        Configuration configuration = test::sampleConfiguration();
        const ModelVersion jarrah = test::version("jarrah", "1");
        configuration.versions[0].costPerMillionTokens = MicroCost(20);
        configuration.versions[1] = {test::version("wattle", "4"), VersionState::Serving, 1, MicroCost(0)};
        configuration.versions.push_back({jarrah, VersionState::Serving, 1, MicroCost(0)});
        configuration.accounts[0].allowed.push_back(jarrah);
        std::get<Engine>(configuration.upstreams[0].kind).loads.push_back(jarrah);
        std::get<ModelTask>(configuration.accounts[0].tasks[0].work).chain
            = {ModelName("wattle"), ModelName("jarrah"), ModelName("karri")};
        CPPUNIT_ASSERT_EQUAL(std::string("warning F: accounts[agents].tasks[triage] chain[2]: costs less than the "
                                         "model before it, but the cheapest must be first\n"),
                             joined(findingsOf(serialise(configuration))));
    }

    /// Guards against a stack overflow in the version to compare with, and an error that does not tell which of the
    /// two files it is about.
    void comparedFilesThatAreUnreadableAreNamed()
    {
        constexpr std::size_t depth = 1000000;
        const std::string deep = replaced(
            sampleText(),
            "\"change\":", "\"change\":" + std::string(depth, '[') + std::string(depth, ']') + ",\"replaced\":");
        for (const std::string &text : {std::string("{"), std::string("{}"), deep}) {
            LastReason reason;
            CPPUNIT_ASSERT(!readComparedVersion({"active.json", text}, reason));
            CPPUNIT_ASSERT(reason.failure().detail.starts_with("active.json: "));
        }
    }

    /// Guards against a search for the unreadable item that copies the whole list for each item, or the whole object
    /// for each member: 20,000 keys took more than 45 s, and 4,000 members 15 s.
    void longEntriesAreCheckedInLinearTime()
    {
        std::string keys;
        constexpr int keyCount = 20000;
        for (int i = 0; i < keyCount; ++i) {
            keys += "\"" + std::string(64, 'a') + "\",";
        }
        const std::string text = replaced(sampleText(), "[\"" + std::string(64, 'a') + "\"]", "[" + keys + "5]");
        const auto begin = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(std::string("error F: accounts[agents] keyHashes[20000]: cannot be read: type must be "
                                         "string, but is number\n"),
                             joined(findingsOf(text)));
        std::string members;
        for (int i = 0; i < keyCount; ++i) {
            members += "\"x" + std::to_string(i) + "\":1,";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("error F: upstreams[0] id: cannot be read: type must be string, but is "
                                         "number\n"),
                             joined(findingsOf(replaced(sampleText(), "\"id\":\"e1\"", members + "\"id\":5"))));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::seconds(20));
    }

    /// Guards against a list of places that exhausts the memory.
    void manyRepeatedMembersAreNotAllListed()
    {
        constexpr std::size_t repeats = 1000;
        constexpr std::size_t listed = 100;
        std::string members = "\"a\":1";
        for (std::size_t i = 0; i < repeats; ++i) {
            members += ",\"a\":1";
        }
        CPPUNIT_ASSERT_EQUAL(listed, findRepeatedMembers({"F", "{" + members + "}"}).size());
    }

    /// Guards against "no findings" for a file that was not understood, and against a stack overflow.
    void filesOfNoKindAreUnreadable()
    {
        const std::string deep(100000, '[');
        for (const std::string &text :
             {std::string(), std::string("[colours]\nred = 1\n"), std::string("{\"accounts\":"),
              "{\"accounts\":" + deep + std::string(100000, ']') + "}"}) {
            CPPUNIT_ASSERT(joined(findingsOf(text)).starts_with("unreadable F: "));
        }
    }

    /// Guards against files that end the process, and against a document that is rejected without a finding.
    void damagedFilesGiveFindingsOrAReason()
    {
        const std::vector<std::string> originals = {sampleText(), lumaraText(), settingsText(), ingressText()};
        test::property("a damaged file gives findings or a reason", [&] {
            const std::string text = damaged(*rc::gen::elementOf(originals));
            LastReason reason;
            const auto findings = checkFile({"F", text}, test::sampleConfiguration(), reason);
            RC_ASSERT(findings || !reason.failure().detail.empty());
            LastReason parseReason;
            const bool isRejected = text.starts_with('{') && !parseConfiguration(text, parseReason);
            RC_ASSERT(!isRejected || !findings || !findings->empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

} // namespace parsleyvane
