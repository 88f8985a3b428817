# Helpers that give every folder the same shape of target.

add_compile_options(-Wall -Wextra -Wpedantic -Werror -Wno-error=maybe-uninitialized -Wno-error=restrict)
if(GORSETRAIL_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer -O1)
  add_link_options(-fsanitize=address,undefined)
endif()

# gorsetrail_library(NAME [deps...]): a static library `gorsetrail_NAME` of all
# .cpp files of the current folder (generated code in `generated/` is headers only).
function(gorsetrail_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  if(sources)
    add_library(gorsetrail_${name} STATIC ${sources})
    target_link_libraries(gorsetrail_${name} PUBLIC ${ARGN})
    target_include_directories(gorsetrail_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
  else()
    add_library(gorsetrail_${name} INTERFACE)
    target_link_libraries(gorsetrail_${name} INTERFACE ${ARGN})
    target_include_directories(gorsetrail_${name} INTERFACE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
  endif()
endfunction()

# gorsetrail_test(NAME [deps...]): the CppUTest program `test_NAME` of all
# *_test.cpp files of the current folder.
function(gorsetrail_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${name} ${sources} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
  target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(test_${name} PRIVATE ${ARGN} CppUTest CppUTestExt)
  add_test(NAME ${name} COMMAND test_${name} -v WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
endfunction()
