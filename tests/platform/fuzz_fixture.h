/// \file Runs seeded damaged documents through the decoders of external data.
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
/// Documents per decoder and seed.
inline constexpr int kDocumentsPerSeed = 4000;
/// Limit on processor time per document, far above what the largest valid document needs.
inline constexpr double kMaximumDocumentSeconds = 1.0;

/// Decodes a document.
///
/// \return what the decoder did wrong, empty when nothing.
using Check = std::function<std::string(const std::string& document)>;
using Generator = std::function<std::string(DocumentMutator& mutator)>;

inline std::string printable(const std::string& bytes) {
  constexpr std::size_t kMaximumShownBytes = 600;
  std::string text;
  for (const char character : bytes.substr(0, kMaximumShownBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    char escaped[8];
    std::snprintf(escaped, sizeof escaped, byte < ' ' || byte > '~' ? "\\x%02x" : "%c", byte);
    text += escaped;
  }
  return text;
}

inline std::uint64_t environmentOr(const char* name, std::uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Base of test groups that fuzz decoders.
class FuzzFixture : public Utest {
 public:
  // Leak checks are off, because mutations allocate so often that the checks would dominate the
  // running time.
  void setup() override { MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads(); }
  void teardown() override { MemoryLeakWarningPlugin::restoreNewDeleteOverloads(); }

  /// \return the first fault in any document, empty when there is none.
  static std::string firstFault(const char* decoder, const Generator& generate,
                                const Check& check) {
    const std::uint64_t firstSeed = environmentOr("GORSETRAIL_FUZZ_SEED", kSeed);
    const auto seconds = environmentOr("GORSETRAIL_FUZZ_SECONDS", 0);
    const std::time_t end = std::time(nullptr) + static_cast<std::time_t>(seconds);
    std::uint64_t seed = firstSeed;
    double slowest = 0;
    do {
      RandomSource random(seed);
      DocumentMutator mutator(random);
      for (int number = 0; number < kDocumentsPerSeed; ++number) {
        const std::string document = generate(mutator);
        const std::clock_t start = std::clock();
        std::string fault = faultOf(document, check);
        const double took = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        slowest = std::max(slowest, took);
        fault = fault.empty() && took > kMaximumDocumentSeconds
                    ? "decoding took " + std::to_string(took) + " s"
                    : fault;
        if (!fault.empty()) {
          return std::string(decoder) + ", seed " + std::to_string(seed) + ", document " +
                 std::to_string(number) + ": " + fault + "\n" + printable(document);
        }
      }
      ++seed;
    } while (std::time(nullptr) < end);
    if (seconds > 0) {
      std::printf("%s: %llu documents, seeds %llu to %llu, slowest %.4f s\n", decoder,
                  static_cast<unsigned long long>((seed - firstSeed) * kDocumentsPerSeed),
                  static_cast<unsigned long long>(firstSeed),
                  static_cast<unsigned long long>(seed - 1), slowest);
    }
    return {};
  }
  static std::string faultOf(const std::string& document, const Check& check) {
    try {
      return check(document);
    } catch (const std::exception& error) {
      return std::string("the decoder threw: ") + error.what();
    }
  }
  static void checkAll(const char* decoder, const Generator& generate, const Check& check) {
    const std::string fault = firstFault(decoder, generate, check);
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
