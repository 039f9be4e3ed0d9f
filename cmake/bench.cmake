# Each experiment: prints `name value unit bound verdict` lines and fails past a bound.
add_executable(bench-quarantine bench/quarantine.cpp)
target_link_libraries(bench-quarantine PRIVATE parsleyvane-core)
