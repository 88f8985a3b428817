/// \file Runs damaged documents, drawn by seed, through decoders of what others write.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <functional>
#include <string>

#include "document_mutator.h"
// CppUTest redefines `new`: it comes after the standard headers.
#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace gorsetrail::testing {

inline constexpr std::uint64_t kSeed = 20261203;
/// Documents for each decoder and seed; all decoders together take some seconds.
inline constexpr int kCasesOfSeed = 4000;
/// Of processor time, for one document: far above what the largest allowed one takes.
inline constexpr double kMostSeconds = 1.0;

/// \return what is wrong with how the document was read; empty when nothing is.
using Check = std::function<std::string(const std::string& document)>;
using Generator = std::function<std::string(DocumentMutator& mutator)>;

inline std::string printable(const std::string& bytes) {
  constexpr std::size_t kMostShown = 600;
  std::string text;
  for (const char character : bytes.substr(0, kMostShown)) {
    const auto byte = static_cast<unsigned char>(character);
    char escaped[8];
    std::snprintf(escaped, sizeof escaped, byte < ' ' || byte > '~' ? "\\x%02x" : "%c", byte);
    text += escaped;
  }
  return text;
}

inline std::uint64_t variableOr(const char* name, std::uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Base of groups of such tests.
class FuzzFixture : public Utest {
 public:
  // The mutations allocate much, and the leak check of each allocation would take most of the time.
  void setup() override { MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads(); }
  void teardown() override { MemoryLeakWarningPlugin::restoreNewDeleteOverloads(); }

  /// \return the first fault over all documents; empty when there is none.
  static std::string faultOver(const char* decoder, const Generator& generate, const Check& check) {
    const std::uint64_t firstSeed = variableOr("GORSETRAIL_FUZZ_SEED", kSeed);
    const auto seconds = variableOr("GORSETRAIL_FUZZ_SECONDS", 0);
    const std::time_t end = std::time(nullptr) + static_cast<std::time_t>(seconds);
    std::uint64_t seed = firstSeed;
    double slowest = 0;
    do {
      RandomSource random(seed);
      DocumentMutator mutator(random);
      for (int number = 0; number < kCasesOfSeed; ++number) {
        const std::string document = generate(mutator);
        const std::clock_t begun = std::clock();
        std::string fault = faultOf(document, check);
        const double took = static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
        slowest = std::max(slowest, took);
        fault =
            fault.empty() && took > kMostSeconds ? "it took " + std::to_string(took) + " s" : fault;
        if (!fault.empty()) {
          return std::string(decoder) + ", seed " + std::to_string(seed) + ", document " +
                 std::to_string(number) + ": " + fault + "\n" + printable(document);
        }
      }
      ++seed;
    } while (std::time(nullptr) < end);
    if (seconds > 0) {
      std::printf("%s: %llu documents, seeds %llu to %llu, slowest %.4f s\n", decoder,
                  static_cast<unsigned long long>((seed - firstSeed) * kCasesOfSeed),
                  static_cast<unsigned long long>(firstSeed),
                  static_cast<unsigned long long>(seed - 1), slowest);
    }
    return {};
  }
  static std::string faultOf(const std::string& document, const Check& check) {
    try {
      return check(document);
    } catch (const std::exception& error) {
      return std::string("it threw: ") + error.what();
    }
  }
  static void checkAll(const char* decoder, const Generator& generate, const Check& check) {
    const std::string fault = faultOver(decoder, generate, check);
    STRCMP_EQUAL("", fault.c_str());
  }
  static Generator mutationsOf(const nlohmann::json& document) {
    return [&document](DocumentMutator& mutator) { return mutator.mutateJson(document); };
  }
  static Generator bytesOf(const std::string& bytes) {
    return [&bytes](DocumentMutator& mutator) { return mutator.mutateBytes(bytes); };
  }
};

}  // namespace gorsetrail::testing
