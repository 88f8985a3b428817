#include "http/error_boundary.h"

#include <atomic>

#include "base/log.h"

namespace gorsetrail::http {
namespace {

std::atomic<std::uint64_t>& failureCount() {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

}  // namespace

std::uint64_t handlerFailures() { return failureCount(); }

void noteHandlerFailure(std::string_view role, std::string_view reason) {
  ++failureCount();
  logEvent(LogLevel::Error, "connection_handler_failed",
           {{"role", role},
            {"reason", reason},
            {"remedy", "report it as a bug: one connection was ended, and the process goes on"}});
}

}  // namespace gorsetrail::http
