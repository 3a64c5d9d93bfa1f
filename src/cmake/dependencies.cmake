# Every outside library, in one place. All come from Debian packages.
find_package(Threads REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(CLI11 REQUIRED)
find_package(simdjson REQUIRED)
if(TREFOILMILL_ENTRY_ONLY)
  find_package(Boost 1.74 REQUIRED COMPONENTS log)
else()
  find_package(benchmark REQUIRED)
  find_package(Boost 1.74 REQUIRED COMPONENTS log unit_test_framework)
endif()

add_library(tm_libevent INTERFACE)
target_link_libraries(tm_libevent INTERFACE event_core event_extra)

add_library(tm_rapidcheck INTERFACE)
target_link_libraries(tm_rapidcheck INTERFACE rapidcheck)

add_library(tm_xxhash INTERFACE)
target_link_libraries(tm_xxhash INTERFACE xxhash)

add_library(tm_zstd INTERFACE)
target_link_libraries(tm_zstd INTERFACE zstd)
