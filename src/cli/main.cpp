/// \file `gorsetrail`: the operators' command.

#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "cli/http_exchange.h"
#include "cli/run.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  gorsetrail::cli::NetworkExchange http;
  const auto pause = [](gorsetrail::Duration span) { std::this_thread::sleep_for(span); };
  try {
    return static_cast<int>(gorsetrail::cli::run(arguments, http, pause, std::cout, std::cerr));
  } catch (const std::exception& failure) {
    std::cerr << "internal: " << failure.what() << "; report it with the command line\n";
    return static_cast<int>(gorsetrail::cli::ExitCode::Refused);
  }
}
