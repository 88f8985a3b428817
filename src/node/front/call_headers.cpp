#include "node/front/call_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace gorsetrail::node {
namespace {

constexpr std::string_view kOwnPrefix = "gorsetrail-";
constexpr std::array kKnownHeaders = {kTenantHeader,     kProgramHeader, kParentHeader,
                                      kZoneHeader,       kTimeoutHeader, kRepeatableHeader,
                                      kIdempotencyHeader};

char lowered(char character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

bool sameHeader(std::string_view first, std::string_view second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](char left, char right) { return lowered(left) == lowered(right); });
}

bool isOwnHeader(std::string_view name) {
  return name.size() >= kOwnPrefix.size() &&
         sameHeader(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
}

bool isProgramCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return (byte < 0x80 && std::isalnum(byte) != 0) || character == '.' || character == '_' ||
         character == '-';
}

bool isPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character > ' ' && character < 0x7f; });
}

Error invalid(std::string_view field, std::string reason, std::string remedy) {
  return {ErrorKind::InvalidField, std::string(field), std::move(reason), std::move(remedy)};
}

/// Headers of ours by name; each at most once.
class OwnHeaders {
 public:
  explicit OwnHeaders(const std::vector<http::Header>& headers) : headers_(headers) {}

  [[nodiscard]] std::optional<Error> check() const {
    for (const http::Header& header : headers_) {
      const bool known = std::any_of(kKnownHeaders.begin(), kKnownHeaders.end(),
                                     [&](auto name) { return sameHeader(name, header.name); });
      if (isOwnHeader(header.name) && !known) {
        return Error{ErrorKind::UnknownField, header.name, "this header is not known",
                     "correct its spelling or leave it out"};
      }
    }
    for (const std::string_view name : kKnownHeaders) {
      const auto count = std::count_if(headers_.begin(), headers_.end(), [&](const auto& header) {
        return sameHeader(header.name, name);
      });
      if (count > 1) {
        return invalid(name, "it came " + std::to_string(count) + " times", "send it once");
      }
    }
    return std::nullopt;
  }

  /// \return the value; nothing when the header is absent.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const {
    for (const http::Header& header : headers_) {
      if (sameHeader(header.name, name)) {
        return header.value;
      }
    }
    return std::nullopt;
  }

 private:
  const std::vector<http::Header>& headers_;
};

bool isProgramName(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumNameBytes &&
         std::all_of(text.begin(), text.end(), isProgramCharacter);
}

Result<std::string> requiredHeader(const OwnHeaders& headers, std::string_view name) {
  const auto value = headers.find(name);
  if (!value) {
    return Error{ErrorKind::MissingField, std::string(name), "this header is missing",
                 "name the " + std::string(name == kTenantHeader ? "tenant" : "program") +
                     " in this header"};
  }
  return std::string(*value);
}

/// Splits `root/branch/branch` and puts the program's own name behind it.
Result<Success> applyParent(std::string_view parent, CallHeaders& parsed) {
  std::string program = std::move(parsed.key.name);
  std::size_t levels = 0;
  std::string_view rest = parent;
  while (true) {
    const std::string_view level = rest.substr(0, rest.find('/'));
    if (!isProgramName(level) || ++levels > kMaximumBranchLevels) {
      return invalid(kParentHeader, "it is not 1 to 8 names with `/` between them",
                     "send the parent program's path, such as order-17/proof");
    }
    if (levels == 1) {
      parsed.key.name = std::string(level);
    } else {
      parsed.branchPath += std::string(level) + "/";
    }
    if (level.size() == rest.size()) {
      break;
    }
    rest.remove_prefix(level.size() + 1);
  }
  parsed.branchPath += program;
  return Success{};
}

Result<bool> parseRepeatable(std::string_view value) {
  if (value == "true" || value == "false") {
    return value == "true";
  }
  return invalid(kRepeatableHeader, "it is neither true nor false", "send true or false");
}

Result<Duration> parseTimeLimit(std::string_view value) {
  std::uint64_t count = 0;
  const char* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, count);
  const auto longest = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(kMaximumTimeLimit).count());
  if (parsed.ec != std::errc{} || parsed.ptr != end || count == 0 || count > longest) {
    return invalid(kTimeoutHeader, "it is not a number of milliseconds from 1 to a day",
                   "send a whole number of milliseconds, at most " + std::to_string(longest));
  }
  return Duration(milliseconds(count));
}

Result<Success> parseProgramKey(const OwnHeaders& headers, const std::string& defaultZone,
                                CallHeaders& parsed) {
  auto tenant = requiredHeader(headers, kTenantHeader);
  if (!succeeded(tenant)) {
    return errorOf(tenant);
  }
  auto program = requiredHeader(headers, kProgramHeader);
  if (!succeeded(program)) {
    return errorOf(program);
  }
  const std::string zone(headers.find(kZoneHeader).value_or(defaultZone));
  for (const Result<Success>& checked :
       {checkBundleName(kTenantHeader, valueOf(tenant)),
        checkProgramName(kProgramHeader, valueOf(program)), checkBundleName(kZoneHeader, zone)}) {
    if (!succeeded(checked)) {
      return errorOf(checked);
    }
  }
  parsed.key = {zone, std::move(valueOf(tenant)), std::move(valueOf(program))};
  const auto parent = headers.find(kParentHeader);
  return parent ? applyParent(*parent, parsed) : Success{};
}

Result<Success> parseRequestFacts(const OwnHeaders& headers, CallHeaders& parsed) {
  if (const auto key = headers.find(kIdempotencyHeader)) {
    if (key->empty() || key->size() > kMaximumNameBytes || !isPrintable(*key)) {
      return invalid(kIdempotencyHeader, "it is not 1 to 128 printable characters without blanks",
                     "send a request id of your own making, such as a UUID");
    }
    parsed.idempotencyKey = std::string(*key);
  }
  if (const auto repeatable = headers.find(kRepeatableHeader)) {
    const auto value = parseRepeatable(*repeatable);
    if (!succeeded(value)) {
      return errorOf(value);
    }
    parsed.repeatable = valueOf(value);
  }
  if (const auto timeLimit = headers.find(kTimeoutHeader)) {
    const auto value = parseTimeLimit(*timeLimit);
    if (!succeeded(value)) {
      return errorOf(value);
    }
    parsed.timeLimit = valueOf(value);
  }
  return Success{};
}

}  // namespace

bool isBundleName(std::string_view text) {
  const auto allowed = [](char character) {
    return isProgramCharacter(character) || character == ':' || character == '/';
  };
  return !text.empty() && text.size() <= kMaximumNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

Result<Success> checkProgramName(std::string_view field, std::string_view text) {
  if (isProgramName(text)) {
    return Success{};
  }
  return invalid(field, "it is not 1 to 128 of the characters A-Z a-z 0-9 . _ -",
                 "send a name of these characters");
}

Result<Success> checkBundleName(std::string_view field, std::string_view text) {
  if (isBundleName(text)) {
    return Success{};
  }
  return invalid(field, "it is not 1 to 128 of the characters A-Z a-z 0-9 . _ : / -",
                 "send a name as the bundle in force has it");
}

Result<CallHeaders> parseCallHeaders(const std::vector<http::Header>& headers,
                                     const std::string& defaultZone) {
  const OwnHeaders own(headers);
  if (auto error = own.check()) {
    return *std::move(error);
  }
  CallHeaders parsed;
  if (const auto key = parseProgramKey(own, defaultZone, parsed); !succeeded(key)) {
    return errorOf(key);
  }
  if (const auto facts = parseRequestFacts(own, parsed); !succeeded(facts)) {
    return errorOf(facts);
  }
  return parsed;
}

}  // namespace gorsetrail::node
