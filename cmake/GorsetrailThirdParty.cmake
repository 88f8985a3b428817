# Third-party libraries, all from Debian packages listed in tools/packages.txt.

find_package(Threads REQUIRED)
find_package(OpenSSL 3 REQUIRED)
if(NOT GORSETRAIL_EDGE_ONLY)
  find_package(rapidcheck REQUIRED)
endif()
find_library(GFLAGS_LIBRARY gflags REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(PROMETHEUS_CORE_LIBRARY prometheus-cpp-core REQUIRED)

# easylogging++ is shipped as source; it is built once into its own target.
add_library(third_party_easylogging STATIC /usr/include/easylogging++.cc)
target_compile_options(third_party_easylogging PRIVATE -w)
target_compile_definitions(third_party_easylogging PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE)
# Log lines go to standard error: standard output is for results.
target_compile_definitions(third_party_easylogging PRIVATE ELPP_CUSTOM_COUT=std::cerr)
target_link_libraries(third_party_easylogging PUBLIC Threads::Threads)

# Asio and Beast are header-only; only I/O code links this target.
add_library(third_party_asio INTERFACE)
target_compile_definitions(third_party_asio INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ERROR_CODE_HEADER_ONLY)
target_link_libraries(third_party_asio INTERFACE Threads::Threads OpenSSL::SSL OpenSSL::Crypto)
