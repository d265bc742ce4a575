# g++ 12 reports members of std::map as maybe uninitialized, and parts of strings as overlapping, where they are
# not.
set(HICKORYMOUNT_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror -Wno-maybe-uninitialized -Wno-restrict)

# hickorymount_module(NAME FOLDER SOURCES… LINKS …): one module as a static library.
# Headers are included from src/ or src/framework/.
function(hickorymount_module name)
    cmake_parse_arguments(PARSE_ARGV 1 module "" "" "SOURCES;LINKS")
    add_library(hickorymount_${name} STATIC ${module_SOURCES})
    target_include_directories(hickorymount_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/framework)
    target_compile_options(hickorymount_${name} PRIVATE ${HICKORYMOUNT_WARNINGS})
    target_link_libraries(hickorymount_${name} PUBLIC ${module_LINKS} fmt::fmt Threads::Threads)
endfunction()

# hickorymount_tests(NAME SOURCES… LINKS …): the module's tests, one ctest entry a test.
function(hickorymount_tests name)
    if(NOT HICKORYMOUNT_TESTS)
        return()
    endif()
    cmake_parse_arguments(PARSE_ARGV 1 tests "" "" "SOURCES;LINKS")
    add_executable(${name}_tests ${tests_SOURCES})
    # GoogleTest's macros for tables shadow a parameter.
    target_compile_options(${name}_tests PRIVATE ${HICKORYMOUNT_WARNINGS} -Wno-shadow)
    target_link_libraries(${name}_tests PRIVATE hickorymount_${name} ${tests_LINKS} GTest::gtest_main)
    gtest_discover_tests(${name}_tests NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 120)
endfunction()

# hickorymount_benchmark(NAME SOURCES… LINKS …)
function(hickorymount_benchmark name)
    if(NOT HICKORYMOUNT_BENCHMARKS)
        return()
    endif()
    cmake_parse_arguments(PARSE_ARGV 1 bench "" "" "SOURCES;LINKS")
    add_executable(${name}_benchmark ${bench_SOURCES})
    target_link_libraries(${name}_benchmark PRIVATE ${bench_LINKS} benchmark::benchmark_main)
endfunction()

# hickorymount_program(NAME SOURCES… LINKS …)
function(hickorymount_program name)
    cmake_parse_arguments(PARSE_ARGV 1 program "" "" "SOURCES;LINKS")
    add_executable(${name} ${program_SOURCES})
    target_compile_options(${name} PRIVATE ${HICKORYMOUNT_WARNINGS})
    target_link_libraries(${name} PRIVATE ${program_LINKS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
