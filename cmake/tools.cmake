# Programs for developers: the demo and the soak.
parsleyvane_program(parsleyvane-demo tools/demo.cpp)
target_link_libraries(parsleyvane-demo PRIVATE parsleyvane-rig)
