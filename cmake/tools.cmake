# Programs for developers: the demo and the soak.
parsleyvane_program(parsleyvane-demo tools/demo.cpp)
target_link_libraries(parsleyvane-demo PRIVATE parsleyvane-rig)
parsleyvane_program(parsleyvane-soak tools/soak.cpp)
target_link_libraries(parsleyvane-soak PRIVATE parsleyvane-rig)
