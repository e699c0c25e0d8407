# Declares one static library for each layer, the executables, tests and benchmarks.

set(SRC ${PROJECT_SOURCE_DIR}/src)

# Adds the static library of a layer from all sources in its folder.
function(auburnhaven_layer NAME)
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${SRC}/${NAME}/*.cpp)
  add_library(auburnhaven_${NAME} STATIC ${SOURCES})
  target_include_directories(auburnhaven_${NAME} PUBLIC ${SRC})
  target_link_libraries(auburnhaven_${NAME} PUBLIC ${ARGN})
endfunction()

# Adds the CppUnit test program of a layer from all sources in its folder.
function(auburnhaven_tests NAME)
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${NAME}/*.cpp)
  if(NOT SOURCES)
    return()
  endif()
  add_executable(${NAME}_tests ${SOURCES} ${PROJECT_SOURCE_DIR}/tests/test_main.cpp)
  target_include_directories(${NAME}_tests PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${NAME}_tests PRIVATE ${ARGN} auburnhaven_fakes rapidcheck cppunit)
  # One test for each suite, so that they run side by side. Random tests have a fixed seed and a
  # bounded count here; longer runs set RC_PARAMS themselves.
  set(CASES 25)
  if(AUBURNHAVEN_SANITIZE)
    set(CASES 5)
  endif()
  foreach(SOURCE ${SOURCES})
    file(STRINGS ${SOURCE} LINES REGEX "^CPPUNIT_TEST_SUITE_REGISTRATION")
    foreach(LINE ${LINES})
      string(REGEX REPLACE "^CPPUNIT_TEST_SUITE_REGISTRATION\\((.*)\\).*$" "\\1" SUITE "${LINE}")
      add_test(NAME ${NAME}.${SUITE} COMMAND ${NAME}_tests ${SUITE})
      set_tests_properties(${NAME}.${SUITE} PROPERTIES ENVIRONMENT "RC_PARAMS=max_success=${CASES} seed=20261204")
    endforeach()
  endforeach()
endfunction()

# Adds one executable for each source in bench/ that carries the given prefix.
function(auburnhaven_benchmarks PREFIX)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/${PREFIX}_*.cpp)
  foreach(SOURCE ${SOURCES})
    get_filename_component(NAME ${SOURCE} NAME_WE)
    add_executable(bench_${NAME} ${SOURCE})
    target_include_directories(bench_${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/tests ${PROJECT_SOURCE_DIR}/bench)
    target_link_libraries(bench_${NAME} PRIVATE ${ARGN})
  endforeach()
endfunction()

file(GLOB GENERATED CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/generated/*.cc)
if(GENERATED)
  add_library(auburnhaven_generated STATIC ${GENERATED})
  target_include_directories(auburnhaven_generated SYSTEM PUBLIC ${PROJECT_SOURCE_DIR}/generated)
  target_link_libraries(auburnhaven_generated PUBLIC protobuf-lite Threads::Threads)
  target_compile_options(auburnhaven_generated PRIVATE -w)
else()
  add_library(auburnhaven_generated INTERFACE)
endif()

auburnhaven_layer(state xxhash crypto)
auburnhaven_layer(coordination auburnhaven_state TBB::tbb)
auburnhaven_layer(protocol auburnhaven_coordination auburnhaven_generated zstd)

add_library(auburnhaven_fakes INTERFACE)
target_include_directories(auburnhaven_fakes INTERFACE ${PROJECT_SOURCE_DIR}/tests)

enable_testing()
auburnhaven_tests(state auburnhaven_state)
auburnhaven_tests(coordination auburnhaven_coordination)
auburnhaven_tests(protocol auburnhaven_protocol)

if(NOT AUBURNHAVEN_CORE_ONLY)
  auburnhaven_benchmarks(group auburnhaven_coordination)
  auburnhaven_benchmarks(request auburnhaven_coordination)
  auburnhaven_benchmarks(fleet auburnhaven_protocol)

  auburnhaven_layer(transport auburnhaven_protocol nghttp2 boost_context glog gflags unwind)
  target_compile_definitions(auburnhaven_transport PUBLIC BOOST_ASIO_NO_DEPRECATED)
  # g++ 12 reports a maybe-uninitialized member inside Boost.Accumulators.
  set_source_files_properties(${SRC}/transport/metrics.cpp PROPERTIES COMPILE_OPTIONS -Wno-maybe-uninitialized)
  # Boost.Beast and Asio dominate the compile time of this layer.
  target_precompile_headers(auburnhaven_transport PRIVATE
    <boost/asio.hpp> <boost/asio/spawn.hpp> <boost/beast.hpp> <functional> <memory> <string> <vector>)

  file(GLOB PLATFORM_SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/platform/*.cpp)
  add_library(auburnhaven_platform STATIC ${PLATFORM_SOURCES})
  target_include_directories(auburnhaven_platform PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(auburnhaven_platform PUBLIC auburnhaven_transport)

  file(GLOB_RECURSE OPERATOR_SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/library/*.cpp)
  if(OPERATOR_SOURCES)
    add_library(auburnhaven_operator STATIC ${OPERATOR_SOURCES})
    target_include_directories(auburnhaven_operator PUBLIC ${PROJECT_SOURCE_DIR}/library)
    target_link_libraries(auburnhaven_operator PUBLIC auburnhaven_state)
    auburnhaven_tests(library auburnhaven_operator)
    file(GLOB EXAMPLES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/examples/*.cpp)
    foreach(SOURCE ${EXAMPLES})
      get_filename_component(NAME ${SOURCE} NAME_WE)
      add_executable(example_${NAME} ${SOURCE})
      target_link_libraries(example_${NAME} PRIVATE auburnhaven_operator)
    endforeach()
  endif()

  file(GLOB_RECURSE APP_SOURCES CONFIGURE_DEPENDS ${SRC}/app/*.cpp)
  list(FILTER APP_SOURCES EXCLUDE REGEX "/main\\.cpp$")
  add_library(auburnhaven_app STATIC ${APP_SOURCES})
  target_link_libraries(auburnhaven_app PUBLIC auburnhaven_transport auburnhaven_platform auburnhaven_operator)
  target_compile_definitions(auburnhaven_app PUBLIC AUBURNHAVEN_VERSION="${PROJECT_VERSION}")
  add_executable(auburnhaven ${SRC}/app/main.cpp)
  target_link_libraries(auburnhaven PRIVATE auburnhaven_app)

  file(GLOB_RECURSE STANDIN_SOURCES CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/standins/*.cpp)
  if(STANDIN_SOURCES)
    add_executable(auburnhaven-standins ${STANDIN_SOURCES})
    target_include_directories(auburnhaven-standins PRIVATE ${PROJECT_SOURCE_DIR}/standins)
    target_link_libraries(auburnhaven-standins PRIVATE auburnhaven_transport)
  endif()

  auburnhaven_tests(transport auburnhaven_transport)
  auburnhaven_tests(platform auburnhaven_platform)
  auburnhaven_tests(app auburnhaven_app)
  # The settings template of the deploy file is tested as it stands.
  target_compile_definitions(app_tests PRIVATE AUBURNHAVEN_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  auburnhaven_benchmarks(load auburnhaven_transport)
endif()
