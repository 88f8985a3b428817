/// \file Body of a message, shared by all that hold or send it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace gorsetrail::http {

/// Immutable text. Copies share it, so that a request that is sent again, or kept for a record,
/// takes the memory of its body once.
class Body {
 public:
  Body() = default;
  // Implicit, so that a string is assigned to a body as to another string.
  Body(std::string text) : text_(std::make_shared<const std::string>(std::move(text))) {}
  Body(const char* text) : Body(std::string(text)) {}

  [[nodiscard]] const std::string& text() const {
    static const std::string kEmpty;
    return text_ ? *text_ : kEmpty;
  }
  operator const std::string&() const { return text(); }
  operator std::string_view() const { return text(); }
  [[nodiscard]] std::string::const_iterator begin() const { return text().begin(); }
  [[nodiscard]] std::string::const_iterator end() const { return text().end(); }
  [[nodiscard]] std::size_t size() const { return text().size(); }
  [[nodiscard]] bool empty() const { return text().empty(); }
  // Named as in `std::string`, so that a body is used as one.
  [[nodiscard]] const char* c_str() const {  // NOLINT(readability-identifier-naming)
    return text().c_str();
  }
  /// Gives the text up; it is freed with its last copy.
  void reset() { text_.reset(); }

 private:
  std::shared_ptr<const std::string> text_;
};

inline bool operator==(const Body& body, std::string_view text) {
  return std::string_view(body.text()) == text;
}

}  // namespace gorsetrail::http
