#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "wire/codec.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;

namespace {

std::vector<std::uint8_t> bytesOf(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_GROUP(Corpus){};

/// Fuzzing regressions: `valid-*` must decode, so that the format stays compatible; `refused-*`
/// must fail with `InvalidFrame`.
TEST(Corpus, EveryFrameDecodesOrFailsAsNamed) {
  std::size_t frames = 0;
  for (const auto& entry : std::filesystem::directory_iterator("tests/wire/corpus")) {
    const std::string name = entry.path().filename().string();
    const bool isValid = name.starts_with("valid-");
    CHECK_TRUE_TEXT(isValid || name.starts_with("refused-"), name.c_str());
    const Result<wire::PeerFrame> decoded = wire::decodeFrame(bytesOf(entry.path()));
    CHECK_TRUE_TEXT(succeeded(decoded) == isValid, name.c_str());
    ++frames;
  }
  CHECK(frames >= 22);
}
