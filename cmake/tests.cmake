# One program a feature: tests/unit-<feature>.cpp.
add_library(parsleyvane-test-main STATIC tests/main.cpp)
target_link_libraries(parsleyvane-test-main PUBLIC parsleyvane-core cppunit rapidcheck)
target_include_directories(parsleyvane-test-main PUBLIC tests)

file(GLOB UNIT_TESTS CONFIGURE_DEPENDS tests/unit-*.cpp)
foreach(source ${UNIT_TESTS})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE parsleyvane-test-main)
    # The tests of the ports need the ports.
    if(name MATCHES "^unit-net-")
        target_link_libraries(${name} PRIVATE parsleyvane-net)
    endif()
    add_test(NAME ${name} COMMAND ${name})
endforeach()
target_link_libraries(unit-standins PRIVATE standin-parts)
