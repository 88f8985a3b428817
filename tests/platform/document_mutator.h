/// \file Damages documents by seed, the way other writers and broken disks do.
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

/// Makes damaged documents out of whole ones.
class DocumentMutator {
 public:
  using Json = nlohmann::json;

  explicit DocumentMutator(RandomSource& random) : random_(random) {}

  /// \return the text of a document with up to three of its values changed, and at times damaged
  /// bytes besides.
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

  /// \return the bytes with one to three of them, or pieces, changed.
  std::string mutateBytes(std::string bytes) {
    for (std::uint64_t count = 1 + random_.below(3); count > 0; --count) {
      mutatePiece(bytes);
    }
    return bytes;
  }

 private:
  template <class List>
  auto pick(const List& list) {
    return list[random_.below(std::size(list))];
  }

  std::string odd() { return pick(kOddTexts); }

  static constexpr std::size_t kHugeBytes = 70000;
  static constexpr std::size_t kDepths[] = {31, 33, 2000};

  void mutateValue(Json& document) {
    Json* place = &document;
    // Walks down at random; a place near the root is chosen as often as one near the leaves.
    while (place->is_structured() && !place->empty() && random_.below(5) != 0) {
      const auto step = static_cast<std::ptrdiff_t>(random_.below(place->size()));
      if (place->is_object() && random_.below(6) == 0) {
        place->erase(std::next(place->begin(), step));
        return;
      }
      place = &*std::next(place->begin(), step);
    }
    if (place->is_number_integer() && random_.below(3) == 0) {
      *place = place->get<double>();  // The same number, written with a fraction of zero.
    } else if (place->is_object() && random_.below(3) != 0) {
      (*place)["added" + std::to_string(random_.below(3))] = oddValue();
    } else if (place->is_array() && !place->empty() && random_.below(2) == 0) {
      place->push_back(place->front());
    } else {
      *place = oddValue();
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
        return random_.below(4) == 0 ? Json(std::string(kHugeBytes, 'h')) : Json(odd());
      case 6:
        return Json{{"service", odd()}, {"weight", 1}, {"name", odd()}};
      default:
        return odd();
    }
  }

  /// Writes the first field of an object once more, with another value.
  void duplicateField(std::string& text) {
    const std::size_t open = text.find("{\"", random_.below(text.size() + 1));
    const std::size_t end = open == std::string::npos ? open : text.find('"', open + 2);
    if (end != std::string::npos) {
      const std::string name = text.substr(open + 1, end - open);
      text.insert(open + 1, name + ":" + pick(kOddValues) + ",");
    }
  }

  void mutatePiece(std::string& bytes) {
    const std::size_t at = random_.below(bytes.size() + 1);
    const std::size_t length = std::min<std::size_t>(random_.below(9), bytes.size() - at);
    switch (random_.below(7)) {
      case 0:
        bytes.resize(at);
        return;
      case 1:
        bytes.erase(at, length);
        return;
      case 2:
        bytes.insert(at, bytes.substr(at, length));
        return;
      case 3:
        bytes.insert(at, pick(kOddBytes));
        return;
      case 4:
        bytes.insert(at, pick(kDepths), random_.below(2) == 0 ? '[' : '{');
        return;
      default:
        if (at < bytes.size()) {
          bytes[at] =
              static_cast<char>(static_cast<std::uint8_t>(bytes[at]) ^ (1U << random_.below(8)));
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
