/// \file Keeps an exception of one connection's handler from ending the process.
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace gorsetrail::http {

/// \return how many handlers of this process have ended with an exception.
[[nodiscard]] std::uint64_t handlerFailures();

/// Logs and counts the failure of a handler.
void noteHandlerFailure(std::string_view role, std::string_view reason);

/// Runs a handler of one connection. What peers send reaches only such handlers, so that an
/// exception in one concerns one connection, which the caller has to end. Timers of the process run
/// outside: their state belongs to all requests, and an exception there ends the process.
/// \param role what the handler serves, for the log: `server`, `client`, `datagram`.
/// \return whether it ended without an exception.
template <class Handler>
bool runInBoundary(std::string_view role, Handler&& handler) {
  try {
    std::forward<Handler>(handler)();
    return true;
  } catch (const std::exception& error) {
    noteHandlerFailure(role, error.what());
  } catch (...) {
    noteHandlerFailure(role, "unknown exception");
  }
  return false;
}

}  // namespace gorsetrail::http
