#include "base/text_check.h"

#include <algorithm>
#include <array>

namespace gorsetrail {
namespace {

bool isControl(char character) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(character);
  return byte < ' ' || byte == kDelete;
}

/// Overlong encodings and surrogates are invalid.
/// \return the length of the first UTF-8 character in bytes; 0 when it is invalid.
std::size_t characterBytes(std::string_view text) {
  struct Form {
    unsigned char firstLead, lastLead;
    unsigned char firstSecond, lastSecond;
    std::size_t bytes;
  };
  static constexpr std::array kForms = {
      Form{0x00, 0x7f, 0x00, 0x00, 1}, Form{0xc2, 0xdf, 0x80, 0xbf, 2},
      Form{0xe0, 0xe0, 0xa0, 0xbf, 3}, Form{0xe1, 0xec, 0x80, 0xbf, 3},
      Form{0xed, 0xed, 0x80, 0x9f, 3}, Form{0xee, 0xef, 0x80, 0xbf, 3},
      Form{0xf0, 0xf0, 0x90, 0xbf, 4}, Form{0xf1, 0xf3, 0x80, 0xbf, 4},
      Form{0xf4, 0xf4, 0x80, 0x8f, 4}};
  const auto isWithin = [&text](std::size_t at, unsigned char first, unsigned char last) {
    const auto byte = static_cast<unsigned char>(text[at]);
    return byte >= first && byte <= last;
  };
  for (const Form& form : kForms) {
    if (!isWithin(0, form.firstLead, form.lastLead)) {
      continue;
    }
    if (text.size() < form.bytes) {
      return 0;
    }
    bool isValid = form.bytes == 1 || isWithin(1, form.firstSecond, form.lastSecond);
    for (std::size_t at = 2; at < form.bytes; ++at) {
      isValid = isValid && isWithin(at, 0x80, 0xbf);
    }
    return isValid ? form.bytes : 0;
  }
  return 0;
}

bool isUtf8(std::string_view text) {
  while (!text.empty()) {
    const std::size_t bytes = characterBytes(text);
    if (bytes == 0) {
      return false;
    }
    text.remove_prefix(bytes);
  }
  return true;
}

}  // namespace

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumNameBytes &&
         std::none_of(text.begin(), text.end(), isControl) && isUtf8(text);
}

}  // namespace gorsetrail
