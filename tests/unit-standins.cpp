#include "suite.h"

#include "answer.h"
#include "faults.h"
#include "lagging.h"
#include "prefixcache.h"
#include "table.h"
#include "target.h"

namespace parsleyvane::standins {

class StandinsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StandinsTest);
    CPPUNIT_TEST(answerDependsOnPromptAndVersionOnly);
    CPPUNIT_TEST(answerHasTheRequestedNumberOfTokens);
    CPPUNIT_TEST(commitIncrementsVersionsAndDeleteResetsThem);
    CPPUNIT_TEST(failedCheckReturnsTheCurrentRow);
    CPPUNIT_TEST(staleReadReturnsThePreviousValue);
    CPPUNIT_TEST(unknownFaultChangesNothing);
    CPPUNIT_TEST(laggingValueIsVisibleAfterTheLag);
    CPPUNIT_TEST(cacheEvictsTheLeastRecentlyUsedEntry);
    CPPUNIT_TEST(targetIsDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerDependsOnPromptAndVersionOnly()
    {
        const AnswerSource source{.prompt = "hello", .model = "wattle", .version = "1", .maxTokens = 400};
        AnswerSource other = source;
        other.version = "2";
        CPPUNIT_ASSERT(answerTokens(source) == answerTokens(source));
        CPPUNIT_ASSERT(answerTokens(source) != answerTokens(other));
        CPPUNIT_ASSERT_EQUAL(std::string("wattle "), answerTokens(source).front());
        other.bad = true;
        CPPUNIT_ASSERT_EQUAL(std::string("BAD wattle "), answerTokens(other).front());
    }

    void answerHasTheRequestedNumberOfTokens()
    {
        const AnswerSource marked{.prompt = "x [[tokens=7]]", .model = "m", .version = "1", .maxTokens = 400};
        const AnswerSource plain{.prompt = "x", .model = "m", .version = "1", .maxTokens = 400};
        const AnswerSource small{.prompt = "x", .model = "m", .version = "1", .maxTokens = 1};
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, answerTokens(marked).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, answerTokens(plain).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, answerTokens(small).size());
    }

    void commitIncrementsVersionsAndDeleteResetsThem()
    {
        Table table;
        const Transaction put{.checks = {{"k", 0}}, .puts = {{"k", "v"}}};
        CPPUNIT_ASSERT(table.conflicts(put).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, table.commit(put).at("k"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, table.commit(put).at("k"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.commit({.deletes = {"k"}}).at("k"));
        CPPUNIT_ASSERT(table.scan("").empty());
        CPPUNIT_ASSERT(table.conflicts(put).empty());
    }

    void failedCheckReturnsTheCurrentRow()
    {
        Table table;
        table.commit({.puts = {{"k", "v"}}});
        const auto rows = table.conflicts({.checks = {{"k", 0}, {"absent", 3}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"k","value":"v","version":1})"), rowJson(rows[0]).dump());
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"absent","version":0})"), rowJson(rows[1]).dump());
    }

    void staleReadReturnsThePreviousValue()
    {
        Table table;
        table.commit({.puts = {{"k", 1}}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.read("k", ReadState::BeforeLastWrite).version);
        table.commit({.puts = {{"k", 2}}});
        CPPUNIT_ASSERT(table.read("k", ReadState::BeforeLastWrite).value == Json(1));
        CPPUNIT_ASSERT(table.read("k").value == Json(2));
    }

    void unknownFaultChangesNothing()
    {
        bool down = false;
        std::int64_t delay = 0;
        const std::map<std::string, FaultField> fields{{"down", &down}, {"delayMs", &delay}};
        CPPUNIT_ASSERT(!applyFaults({{"down", true}, {"slow", 1}}, fields));
        CPPUNIT_ASSERT(!down);
        CPPUNIT_ASSERT(applyFaults({{"down", true}, {"delayMs", 5}}, fields));
        CPPUNIT_ASSERT(down);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, delay);
    }

    void laggingValueIsVisibleAfterTheLag()
    {
        Lagging<int> value(1, 1000);
        value.set(100, 2);
        CPPUNIT_ASSERT_EQUAL(2, value.get(100, 0));
        CPPUNIT_ASSERT_EQUAL(1, value.get(149, 50));
        CPPUNIT_ASSERT_EQUAL(2, value.get(150, 50));
    }

    void cacheEvictsTheLeastRecentlyUsedEntry()
    {
        PrefixCache cache(2);
        cache.use("one prompt");
        cache.use("two");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, cache.use("one prompt").cachedTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cache.use("three").changes.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, cache.use("two").cachedTokens);
    }

    void targetIsDecoded()
    {
        const Target target = parseTarget("/table/scan?prefix=bill%2Fa%20b&x");
        CPPUNIT_ASSERT_EQUAL(std::string("/table/scan"), target.path);
        CPPUNIT_ASSERT_EQUAL(std::string("bill/a b"), target.query.at("prefix"));
        CPPUNIT_ASSERT_EQUAL(std::string(), target.query.at("x"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinsTest);

} // namespace parsleyvane::standins
