#include "suite.h"

#include "parsleyvane/core/shutdown.h"

#include <string>
#include <vector>

namespace parsleyvane {

namespace {

class RecordedActions : public ShutdownActions
{
public:
    void refuseReadiness() override
    {
        this->steps.emplace_back("refuse readiness");
    }
    void refuseRequests() override
    {
        this->steps.emplace_back("refuse requests");
    }
    void flushBills() override
    {
        this->steps.emplace_back("flush");
    }
    void finishStop() override
    {
        this->steps.emplace_back("leave");
    }

    std::vector<std::string> steps;
};

} // namespace

class ShutdownTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownTest);
    CPPUNIT_TEST(stepsComeInOrder);
    CPPUNIT_TEST(aStepOutOfTurnChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void stepsComeInOrder()
    {
        RecordedActions actions;
        Shutdown shutdown(static_cast<ShutdownActions &>(actions));
        shutdown.start();
        shutdown.process_event(StopRequested());
        shutdown.process_event(LingerElapsed());
        shutdown.process_event(RequestsFinished());
        shutdown.process_event(BillsFlushed());
        const std::vector<std::string> expected = {"refuse readiness", "refuse requests", "flush", "leave"};
        CPPUNIT_ASSERT(actions.steps == expected);
    }

    void aStepOutOfTurnChangesNothing()
    {
        RecordedActions actions;
        Shutdown shutdown(static_cast<ShutdownActions &>(actions));
        shutdown.start();
        shutdown.process_event(RequestsFinished());
        shutdown.process_event(StopRequested());
        shutdown.process_event(StopRequested());
        shutdown.process_event(BillsFlushed());
        const std::vector<std::string> expected = {"refuse readiness"};
        CPPUNIT_ASSERT(actions.steps == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

} // namespace parsleyvane
