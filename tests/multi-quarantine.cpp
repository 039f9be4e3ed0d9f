#include "suite.h"

#include "rig/scenario.h"

namespace parsleyvane::rig {

namespace {

constexpr unsigned engineCount = 4;
constexpr unsigned resends = 8;
constexpr unsigned maxEnginesLost = 2;

unsigned enginesLost(Scenario &scenario)
{
    unsigned lost = 0;
    for (unsigned i = 0; i < engineCount; ++i) {
        lost += scenario.fleet.engine(i).process->running() ? 0 : 1;
    }
    return lost;
}

} // namespace

class QuarantineFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineFleetTest);
    CPPUNIT_TEST(poisonRequestSentToAllInstancesCrashesAtMostTwoEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    void poisonRequestSentToAllInstancesCrashesAtMostTwoEngines()
    {
        Scenario scenario({.name = "quarantine", .instances = 3, .engines = engineCount});
        for (unsigned i = 0; i < resends; ++i) {
            const Answer answer = scenario.chat(i % 3, scenario.ask("ask", "[[poison]] Tag this photo"));
            CPPUNIT_ASSERT(!answer.succeeded());
        }
        const Answer last = scenario.chat(0, scenario.ask("ask", "[[poison]] Tag this photo"));
        CPPUNIT_ASSERT_EQUAL(307, last.error->id);
        CPPUNIT_ASSERT_GREATEREQUAL(enginesLost(scenario), maxEnginesLost);
        const Answer unrelated = scenario.chat(1, scenario.ask("ask", "[[tokens=4]] Is tent 7 free?"));
        CPPUNIT_ASSERT(unrelated.succeeded());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineFleetTest);

} // namespace parsleyvane::rig
