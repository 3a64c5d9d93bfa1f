# Language level, warnings and the compiler cache.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
# At -O3 g++ 12 warns of overlapping copies in its own string.
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -DNDEBUG")
# libstdc++ 12's own stable_sort trips over the deprecation warning under clang.
# Designated initializers leave out the members that keep their defaults.
add_compile_options(-Wall -Wextra -Werror -Wno-deprecated-declarations
                    -Wno-missing-field-initializers)

set(TREFOILMILL_SANITIZE "" CACHE STRING
    "Sanitizers: address (with undefined behaviour), thread, or none if empty")
set_property(CACHE TREFOILMILL_SANITIZE PROPERTY STRINGS "" address thread)
set(sanitizers_of_address address,undefined,float-cast-overflow)
set(sanitizers_of_thread thread)
if(TREFOILMILL_SANITIZE)
  set(sanitizers ${sanitizers_of_${TREFOILMILL_SANITIZE}})
  if(NOT sanitizers)
    message(FATAL_ERROR "TREFOILMILL_SANITIZE is address, thread or empty")
  endif()
  # A finding ends the process, so that the test which meets it fails. At -O2
  # traces lose frames. Sanitized code makes g++ 12 see uninitialized values in
  # its own variant; the ordinary build keeps that warning.
  add_compile_options(-fsanitize=${sanitizers} -fno-sanitize-recover=all
                      -fno-omit-frame-pointer -O1 -D_GLIBCXX_ASSERTIONS
                      $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
  add_link_options(-fsanitize=${sanitizers})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
