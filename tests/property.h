/// \file Properties checked by RapidCheck within CppUTest.
#pragma once

#include <rapidcheck.h>

#include <utility>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace gorsetrail {

/// Checks a property. RapidCheck keeps settings and stacks of its own between checks, which
/// CppUTest would count as leaks of the test; the sanitizer's build still looks for real ones.
template <class Property>
bool holds(Property&& property) {
  MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
  const bool result = rc::check(std::forward<Property>(property));
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
  return result;
}

}  // namespace gorsetrail
