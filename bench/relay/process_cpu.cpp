#include "bench/relay/process_cpu.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace gorsetrail::bench {
namespace {

/// Fields of /proc/PID/stat between the command name and the user time (proc(5)).
constexpr int kFieldsBeforeUserTime = 11;

}  // namespace

std::optional<Duration> processorTimeOf(int processId) {
  std::ifstream file("/proc/" + std::to_string(processId) + "/stat");
  std::string line;
  if (!std::getline(file, line)) {
    return std::nullopt;
  }
  // The command name may hold blanks, but the last ')' ends it.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int index = 0; index < kFieldsBeforeUserTime; ++index) {
    fields >> skipped;
  }
  long long userTicks = 0;
  long long systemTicks = 0;
  fields >> userTicks >> systemTicks;
  const long long ticksPerSecond = sysconf(_SC_CLK_TCK);
  return microseconds((userTicks + systemTicks) * 1'000'000 / ticksPerSecond);
}

}  // namespace gorsetrail::bench
