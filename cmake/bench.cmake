add_executable(bench-control bench/control.cpp)
target_link_libraries(bench-control PRIVATE parsleyvane-net)
target_include_directories(bench-control PRIVATE tests)
add_test(NAME bench-control COMMAND bench-control)
set_tests_properties(bench-control PROPERTIES LABELS slow)

# The policies of the decision library on a virtual clock.
function(parsleyvane_policy_bench name)
    add_executable(${name} ${ARGN})
    target_link_libraries(${name} PRIVATE parsleyvane-core)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES LABELS slow)
endfunction()
parsleyvane_policy_bench(bench-priority bench/priority.cpp bench/priorityscenario.cpp)
