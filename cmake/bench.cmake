# Each program of a policy prints `name value unit bound verdict` lines and fails past a bound. Virtual clocks, fixed seeds.
function(parsleyvane_policy_bench name)
    add_executable(${name} ${ARGN})
    target_link_libraries(${name} PRIVATE parsleyvane-core)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES LABELS slow)
endfunction()
parsleyvane_policy_bench(bench-priority bench/priority.cpp bench/priorityscenario.cpp)
parsleyvane_policy_bench(bench-cascade bench/cascade.cpp)
parsleyvane_policy_bench(bench-placement bench/placement.cpp)
parsleyvane_policy_bench(bench-quarantine bench/quarantine.cpp)
parsleyvane_policy_bench(bench-rollout bench/rollout.cpp)
parsleyvane_policy_bench(bench-hedging bench/hedging.cpp)
parsleyvane_policy_bench(bench-control bench/control.cpp)
# It measures digests as they go over the wire, and shares the fakes of the unit tests.
target_link_libraries(bench-control PRIVATE parsleyvane-net)
target_include_directories(bench-control PRIVATE tests)

# Wall-clock figures of one instance on loopback: reported, not gated.
add_executable(bench-path bench/pathcost.cpp)
target_link_libraries(bench-path PRIVATE parsleyvane-rig)
