/// \file Seeded mutation of documents for fuzz tests.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/random.h"

namespace gorsetrail::testing {

/// Derives damaged documents from valid ones, as faulty writers and disk errors would.
class DocumentMutator {
 public:
  using Json = nlohmann::json;

  explicit DocumentMutator(RandomSource& random) : random_(random) {}

  /// \return the text of the document with up to three values changed, sometimes also with a
  /// repeated field or damaged bytes.
  std::string mutateJson(Json document) {
    for (std::uint64_t count = random_.below(4); count > 0; --count) {
      mutateValue(document);
    }
    std::string text = document.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (random_.below(8) == 0) {
      duplicateField(text);
    }
    return random_.below(4) == 0 ? mutateBytes(std::move(text)) : text;
  }

  /// \return the bytes with one to three bytes or byte ranges changed.
  std::string mutateBytes(std::string bytes) {
    for (std::uint64_t count = 1 + random_.below(3); count > 0; --count) {
      mutateRange(bytes);
    }
    return bytes;
  }

 private:
  template <class List>
  auto pick(const List& list) {
    return list[random_.below(std::size(list))];
  }

  std::string oddText() { return pick(kOddTexts); }

  static constexpr std::size_t kHugeBytes = 70000;
  static constexpr std::size_t kDepths[] = {31, 33, 2000};

  void mutateValue(Json& document) {
    Json* node = &document;
    // Descends at random, so that values of all depths are changed.
    while (node->is_structured() && !node->empty() && random_.below(5) != 0) {
      const auto step = static_cast<std::ptrdiff_t>(random_.below(node->size()));
      if (node->is_object() && random_.below(6) == 0) {
        node->erase(std::next(node->begin(), step));
        return;
      }
      node = &*std::next(node->begin(), step);
    }
    if (node->is_number_integer() && random_.below(3) == 0) {
      *node = node->get<double>();  // The same number, written with the fraction `.0`.
    } else if (node->is_object() && random_.below(3) != 0) {
      (*node)["added" + std::to_string(random_.below(3))] = oddValue();
    } else if (node->is_array() && !node->empty() && random_.below(2) == 0) {
      node->push_back(node->front());
    } else {
      *node = oddValue();
    }
  }

  Json oddValue() {
    switch (random_.below(8)) {
      case 0:
        return pick(std::vector<Json>{nullptr, true, false, Json::array(), Json::object()});
      case 1:
        return pick(std::vector<std::int64_t>{0, -0, -1, 1, 2, 4,
                                              std::numeric_limits<std::int64_t>::min(),
                                              std::numeric_limits<std::int64_t>::max()});
      case 2:
        return pick(std::vector<std::uint64_t>{UINT32_MAX, std::uint64_t{1} << 32U,
                                               (std::uint64_t{1} << 53U) + 1, UINT64_MAX,
                                               1767225600123, 1'000'001});
      case 3:
        return pick(std::vector<double>{0.5, -0.0, 12.0, 1e308, -1e308, 1e-308, 86'400'000.5,
                                        1767225600123.5});
      case 4: {
        Json nested;
        for (std::size_t depth = pick(kDepths); depth > 0; --depth) {
          nested = Json::array({std::move(nested)});
        }
        return nested;
      }
      case 5:
        return random_.below(4) == 0 ? Json(std::string(kHugeBytes, 'h')) : Json(oddText());
      case 6:
        return Json{{"service", oddText()}, {"weight", 1}, {"name", oddText()}};
      default:
        return oddText();
    }
  }

  /// Repeats the first field of an object with another value.
  void duplicateField(std::string& text) {
    const std::size_t open = text.find("{\"", random_.below(text.size() + 1));
    const std::size_t end = open == std::string::npos ? open : text.find('"', open + 2);
    if (end != std::string::npos) {
      const std::string name = text.substr(open + 1, end - open);
      text.insert(open + 1, name + ":" + pick(kOddValues) + ",");
    }
  }

  void mutateRange(std::string& bytes) {
    const std::size_t position = random_.below(bytes.size() + 1);
    const std::size_t length = std::min<std::size_t>(random_.below(9), bytes.size() - position);
    switch (random_.below(7)) {
      case 0:
        bytes.resize(position);
        return;
      case 1:
        bytes.erase(position, length);
        return;
      case 2:
        bytes.insert(position, bytes.substr(position, length));
        return;
      case 3:
        bytes.insert(position, pick(kOddBytes));
        return;
      case 4:
        bytes.insert(position, pick(kDepths), random_.below(2) == 0 ? '[' : '{');
        return;
      default:
        if (position < bytes.size()) {
          bytes[position] = static_cast<char>(static_cast<std::uint8_t>(bytes[position]) ^
                                              (1U << random_.below(8)));
        }
        return;
    }
  }

  static inline const std::vector<std::string> kOddTexts = {"",
                                                            "ready",
                                                            "draining",
                                                            "resting",
                                                            "m",
                                                            "10.0.0.1:80",
                                                            "10.0.0.1:0",
                                                            "10.0.0.1:99999",
                                                            "[::1]:80",
                                                            "a\r\nb",
                                                            std::string("\0", 1),
                                                            "\x7f",
                                                            "12",
                                                            "1e999",
                                                            "h\xc3\xa4lle",
                                                            "aGk=",
                                                            std::string(256, 'n')};
  static inline const std::vector<std::string> kOddValues = {"null", "1",     "-1", "1e999",
                                                             "[]",   "\"x\"", "{}", "NaN"};
  static inline const std::vector<std::string> kOddBytes = {"\xff",
                                                            "\xc0\xaf",
                                                            "\xed\xa0\x80",
                                                            std::string("\0", 1),
                                                            "\\u0000",
                                                            "\\ud800",
                                                            "\"",
                                                            ",",
                                                            "}",
                                                            "-",
                                                            ".5",
                                                            "e400",
                                                            "99999999999999999999",
                                                            "\r\n"};

  RandomSource& random_;
};

}  // namespace gorsetrail::testing
