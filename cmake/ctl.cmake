# The operators' command-line client.
file(GLOB CTL_SOURCES CONFIGURE_DEPENDS daemons/ctl/*.cpp)
parsleyvane_program(parsleyvanectl ${CTL_SOURCES})
target_link_libraries(parsleyvanectl PRIVATE parsleyvane-platform)
