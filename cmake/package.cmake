# Helpers that give each package the same layout: include/, src/, tests/.

# Compiles the headers that most files of @p target share once.
function(sycamoremoor_precompile target)
    if(SYCAMOREMOOR_PRECOMPILE)
        target_precompile_headers(${target} PRIVATE <algorithm> <array> <chrono> <functional> <map> <memory> <optional> <set> <string>
                                  <unordered_map> <variant> <vector> ${ARGN})
    endif()
endfunction()

# Declares library sycamoremoor_<name> from src/**.cpp with public headers in include/.
# Further arguments are the libraries it uses.
function(sycamoremoor_library name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(sycamoremoor_${name} STATIC ${sources})
    target_include_directories(sycamoremoor_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(sycamoremoor_${name} PUBLIC ${ARGN})
    sycamoremoor_precompile(sycamoremoor_${name})
endfunction()

# Declares one test program <name>_tests from tests/*_test.cpp, run by ctest.
# Further arguments are the libraries it uses.
function(sycamoremoor_tests name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(NOT sources OR SYCAMOREMOOR_PROGRAMS_ONLY)
        return()
    endif()
    add_executable(${name}_tests ${sources})
    target_link_libraries(${name}_tests PRIVATE ${ARGN} rapidcheck GTest::gtest GTest::gtest_main)
    sycamoremoor_precompile(${name}_tests <gtest/gtest.h> <rapidcheck/gtest.h>)
    target_compile_definitions(${name}_tests PRIVATE SYCAMOREMOOR_GOLDEN_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/golden")
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20260601;SYCAMOREMOOR_BIN_DIR=${CMAKE_BINARY_DIR}/bin" TIMEOUT 300)
endfunction()
