# The multi-process rig, the checkers, and the tests that start whole fleets: tests/multi-<feature>.cpp.
file(GLOB RIG_SOURCES CONFIGURE_DEPENDS tests/rig/*.cpp)
add_library(parsleyvane-rig STATIC ${RIG_SOURCES})
target_link_libraries(parsleyvane-rig PUBLIC parsleyvane-net)
target_include_directories(parsleyvane-rig PUBLIC tests)

# tests/unit-checkers.cpp becomes a target further down, with the other unit tests.
cmake_language(DEFER CALL target_link_libraries unit-checkers PRIVATE parsleyvane-rig)

file(GLOB MULTI_TESTS CONFIGURE_DEPENDS tests/multi-*.cpp)
foreach(source ${MULTI_TESTS})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE parsleyvane-rig parsleyvane-test-main)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES LABELS slow RESOURCE_LOCK fleet TIMEOUT 300)
endforeach()
