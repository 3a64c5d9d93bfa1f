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

option(TREFOILMILL_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)
if(TREFOILMILL_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
