add_executable(bench-control bench/control.cpp)
target_link_libraries(bench-control PRIVATE parsleyvane-net)
target_include_directories(bench-control PRIVATE tests)
add_test(NAME bench-control COMMAND bench-control)
set_tests_properties(bench-control PROPERTIES LABELS slow)
# Each experiment: prints `name value unit bound verdict` lines and fails past a bound.
add_executable(bench-quarantine bench/quarantine.cpp)
target_link_libraries(bench-quarantine PRIVATE parsleyvane-core)
# Wall-clock figures of one instance on loopback: reported, not gated.
add_executable(bench-path bench/pathcost.cpp)
target_link_libraries(bench-path PRIVATE parsleyvane-rig)
add_executable(bench-rollout bench/rollout.cpp)
target_link_libraries(bench-rollout PRIVATE parsleyvane-core)
