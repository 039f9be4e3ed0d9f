# Small programs that take the place of the outside systems, for tests and the demo only; never installed.
add_library(standin-parts STATIC standins/answer.cpp standins/faults.cpp standins/generation.cpp standins/prefixcache.cpp
            standins/recorder.cpp standins/table.cpp standins/target.cpp)
target_link_libraries(standin-parts PUBLIC parsleyvane-core)
target_include_directories(standin-parts PUBLIC standins)

add_library(standin-server STATIC standins/httpserver.cpp)
target_link_libraries(standin-server PUBLIC standin-parts parsleyvane-net PkgConfig::ABSL)

foreach(name platform engine service)
    add_executable(standin-${name} standins/${name}.cpp)
    target_link_libraries(standin-${name} PRIVATE standin-server)
endforeach()
target_sources(standin-engine PRIVATE standins/runstream.cpp)
