/// \file Keeps log lines out of the tests' output.
#pragma once

#include "base/log.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace gorsetrail {

/// The logging library fills tables of its own for the life of the process when it is first used;
/// CppUTest would count them as a leak of whichever test comes first. Only they are exempted.
inline void quietLogging() {
  MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
  configureLogging(LogLevel::Error);
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

}  // namespace gorsetrail
