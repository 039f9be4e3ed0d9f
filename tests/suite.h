/**
 * @file
 * @brief Runs a program's registered CppUnit tests with a fixed RapidCheck seed, so that results are reproducible.
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

/// @brief Generates a seed over the full range, for a property with its own random generator. Call it only in a
/// property.
inline std::uint64_t seed()
{
    return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

/// @brief Runs all registered suites and returns the exit code of the test program.
inline int runAll()
{
    // Without a fixed seed RapidCheck would choose another one in each run. RC_PARAMS of the environment takes
    // precedence.
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
