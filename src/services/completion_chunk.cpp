#include "services/completion_chunk.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace gorsetrail::services {
namespace {

/// Deeper values are read but not looked at.
constexpr std::size_t kTrackedDepth = 6;

/// Keeps the path of keys down to the current value and picks the values it is asked for.
class ChunkReader : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit ChunkReader(CompletionChunk& chunk) : chunk_(chunk) {}

  // NOLINTBEGIN(readability-identifier-naming): the names are the library's.
  bool null() override { return true; }
  bool boolean(bool) override { return !isUsageField(); }
  bool number_integer(number_integer_t) override { return !isUsageField(); }
  bool number_unsigned(number_unsigned_t value) override {
    std::uint32_t* const field = usageField();
    if (field == nullptr) {
      return true;
    }
    *field = static_cast<std::uint32_t>(value);
    return value <= std::numeric_limits<std::uint32_t>::max();
  }
  bool number_float(number_float_t, const string_t&) override { return !isUsageField(); }
  bool string(string_t& value) override {
    if (isContent()) {
      chunk_.content = std::move(value);
    }
    return !isUsageField();
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override {
    noteUsage();
    ++depth_;
    return true;
  }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(std::size_t) override {
    if (depth_ < kTrackedDepth) {
      path_[depth_] = "[";
    }
    ++depth_;
    return true;
  }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool key(string_t& name) override {
    if (depth_ > 0 && depth_ <= kTrackedDepth) {
      path_[depth_ - 1] = name;
    }
    if (depth_ == 1 && name == "error") {
      chunk_.hasError = true;
    }
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  [[nodiscard]] bool isContent() const {
    return depth_ == 4 && path_[0] == "choices" && path_[2] == "delta" && path_[3] == "content";
  }
  void noteUsage() {
    if (depth_ == 1 && path_[0] == "usage") {
      chunk_.usage.emplace();
    }
  }
  [[nodiscard]] bool isUsageField() { return usageField() != nullptr; }
  std::uint32_t* usageField() {
    if (!chunk_.usage || path_[0] != "usage") {
      return nullptr;
    }
    if (depth_ == 2) {
      return path_[1] == "prompt_tokens"       ? &chunk_.usage->promptTokens
             : path_[1] == "completion_tokens" ? &chunk_.usage->completionTokens
                                               : nullptr;
    }
    const bool isCached =
        depth_ == 3 && path_[1] == "prompt_tokens_details" && path_[2] == "cached_tokens";
    return isCached ? &chunk_.usage->cachedTokens : nullptr;
  }

  CompletionChunk& chunk_;
  std::array<std::string, kTrackedDepth> path_;
  std::size_t depth_ = 0;
};

}  // namespace

bool readCompletionChunk(std::string_view json, CompletionChunk& chunk) {
  chunk.content.clear();
  chunk.usage.reset();
  chunk.hasError = false;
  if (!json.starts_with('{')) {
    return false;
  }
  ChunkReader reader(chunk);
  return nlohmann::json::sax_parse(json, &reader);
}

}  // namespace gorsetrail::services
