/**
 * @file
 * @brief Runs the CppUnit tests registered in a program, and pins RapidCheck's seed so that a verdict never varies.
 */
#pragma once

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>

namespace parsleyvane::test {

/// @brief Runs a RapidCheck property inside a CppUnit test.
template<typename Property>
void property(const char *sentence, Property &&body)
{
    CPPUNIT_ASSERT_MESSAGE(sentence, rc::check(sentence, std::forward<Property>(body)));
}

/// @brief Draws a seed over the whole range, for a property that makes its own choices. Inside a property only.
inline std::uint64_t seed()
{
    return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

/// @brief Runs all registered suites; the exit code of a test program.
inline int runAll()
{
    // Without a pinned seed each run would draw another one.
    setenv("RC_PARAMS", "seed=4744 max_success=300", 0);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() ? 0 : 1;
}

} // namespace parsleyvane::test
