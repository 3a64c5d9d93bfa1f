# Helpers that give each folder the same shape: sources are all *.cc files,
# unit tests are *_test.cc beside them, benches are *_bench.cc.

function(tm_sources out)
  file(GLOB_RECURSE found CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  list(FILTER found EXCLUDE REGEX "(_test|_bench|_main|_fuzz)\\.cc$")
  set(${out} ${found} PARENT_SCOPE)
endfunction()

# tm_add_tests(LIBRARIES...): one Boost.Test program per *_test.cc. Those that
# KNOWN-RED.txt lists get the label known_red.
function(tm_add_tests)
  if(TREFOILMILL_ENTRY_ONLY)
    return()
  endif()
  file(READ ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt known_red)
  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cc)
  foreach(source ${tests})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name} PRIVATE ${ARGN} Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
    if(known_red MATCHES "test: ${name}\n")
      set_tests_properties(${name} PROPERTIES LABELS known_red)
    endif()
  endforeach()
endfunction()

# tm_use_corpus(TEST): the test replays kept inputs of decoders.
function(tm_use_corpus test)
  if(TREFOILMILL_ENTRY_ONLY)
    return()
  endif()
  target_include_directories(${test} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_definitions(${test} PRIVATE
    TREFOILMILL_CORPUS="${CMAKE_SOURCE_DIR}/testsuite/corpus")
endfunction()

# tm_add_benches(LIBRARIES...): one Google Benchmark program per *_bench.cc.
# Times taken under a sanitizer mean nothing.
function(tm_add_benches)
  if(TREFOILMILL_ENTRY_ONLY OR TREFOILMILL_SANITIZE)
    return()
  endif()
  file(GLOB_RECURSE benches CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_bench.cc)
  foreach(source ${benches})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE ${ARGN} benchmark::benchmark_main)
  endforeach()
endfunction()

# tm_add_library(name LIBRARIES...)
function(tm_add_library name)
  tm_sources(sources)
  add_library(${name} STATIC ${sources})
  set_target_properties(${name} PROPERTIES LINKER_LANGUAGE CXX)
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/include)
  target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# tm_add_program(name LIBRARIES...): the folder's sources plus main.cc.
function(tm_add_program name)
  tm_sources(sources)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
