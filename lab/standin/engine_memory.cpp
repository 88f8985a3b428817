#include "lab/standin/engine_memory.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace gorsetrail::standin {
namespace {

using enginemodel::HoldOutcome;
using scheduling::PrefixHash;
using scheduling::prefixHashToHex;

constexpr std::string_view kHoldsPath = "/v1/holds";
constexpr std::string_view kHoldPath = "/v1/holds/";
constexpr std::string_view kKvPath = "/v1/kv/";
constexpr std::string_view kInventoryPath = "/v1/cache/inventory";
/// Longest time a hold may ask for.
constexpr std::uint64_t kMaximumHoldMilliseconds = 3'600'000;

std::optional<PrefixHash> prefixFromHex(std::string_view text) {
  std::uint64_t value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, 16);
  if (text.empty() || error != std::errc() || end != last) {
    return std::nullopt;
  }
  return PrefixHash(value);
}

HttpResponse responseTo(HoldOutcome outcome) {
  switch (outcome) {
    case HoldOutcome::Held:
      return jsonResponse(200, R"({"held":true})");
    case HoldOutcome::PrefixNotCached:
      return errorResponse(404, "prefix is not cached", "hold a prefix of the inventory");
    case HoldOutcome::StaleEpoch:
      return errorResponse(409, "a hold of that name has a higher epoch", "let the hold go");
    case HoldOutcome::LimitExceeded:
      return errorResponse(507, "held memory would pass its limit", "delete another hold first");
  }
  return errorResponse(500, "unknown outcome", "report it");
}

/// \return the hold that a body asks for; nothing when it is malformed.
std::optional<enginemodel::Hold> parseHold(std::string_view name, const std::string& body,
                                           Instant now) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("prefix") || !document["prefix"].is_string() ||
      !document.contains("program") || !document["program"].is_string() ||
      !document.contains("epoch") || !document["epoch"].is_number_unsigned() ||
      !document.contains("deadline_ms") || !document["deadline_ms"].is_number_unsigned()) {
    return std::nullopt;
  }
  const std::optional<PrefixHash> prefix = prefixFromHex(document["prefix"].get<std::string>());
  const auto time = document["deadline_ms"].get<std::uint64_t>();
  if (!prefix || time > kMaximumHoldMilliseconds) {
    return std::nullopt;
  }
  return enginemodel::Hold{std::string(name), document["program"].get<std::string>(),
                           Epoch(document["epoch"].get<std::uint64_t>()), *prefix,
                           now + milliseconds(time)};
}

std::optional<std::vector<PrefixHash>> parseChain(const std::string& body) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("chain") || !document["chain"].is_array()) {
    return std::nullopt;
  }
  std::vector<PrefixHash> chain;
  for (const nlohmann::json& entry : document["chain"]) {
    const auto prefix = entry.is_string() ? prefixFromHex(entry.get<std::string>()) : std::nullopt;
    if (!prefix) {
      return std::nullopt;
    }
    chain.push_back(*prefix);
  }
  return chain;
}

HttpResponse notFound() {
  return errorResponse(404, "no such resource", "see docs/STANDINS.md for the engine's paths");
}

}  // namespace

bool EngineMemory::serves(std::string_view path) {
  return path == kHoldsPath || path.starts_with(kHoldPath) || path.starts_with(kKvPath) ||
         path == kInventoryPath;
}

HttpResponse EngineMemory::handle(const HttpRequest& request, Instant now) {
  if (request.path.starts_with(kHoldsPath)) {
    return handleHolds(request, now);
  }
  if (request.path.starts_with(kKvPath)) {
    return handleKv(request);
  }
  return request.method == "GET" ? showInventory() : notFound();
}

HttpResponse EngineMemory::handleHolds(const HttpRequest& request, Instant now) {
  if (request.is("GET", kHoldsPath)) {
    return showHolds(now);
  }
  if (const std::string_view name = request.restOf("PUT", kHoldPath); !name.empty()) {
    return placeHold(name, request, now);
  }
  const std::string_view name = request.restOf("DELETE", kHoldPath);
  if (name.empty()) {
    return notFound();
  }
  return model_.removeHold(name, now) ? jsonResponse(200, R"({"held":false})")
                                      : errorResponse(404, "no such hold", "nothing to do");
}

HttpResponse EngineMemory::placeHold(std::string_view name, const HttpRequest& request,
                                     Instant now) {
  const std::optional<enginemodel::Hold> hold = parseHold(name, request.body, now);
  if (!hold) {
    return errorResponse(400, "not a hold",
                         "send prefix (hexadecimal), program, epoch and deadline_ms (from now, at "
                         "most one hour)");
  }
  return responseTo(model_.placeHold(*hold, now));
}

HttpResponse EngineMemory::showHolds(Instant now) {
  nlohmann::json list = nlohmann::json::array();
  for (const enginemodel::Hold& hold : model_.holds(now)) {
    const auto left = std::chrono::duration_cast<milliseconds>(hold.deadline - now).count();
    list.push_back({{"name", hold.name},
                    {"program", hold.program},
                    {"epoch", hold.epoch.value()},
                    {"prefix", prefixHashToHex(hold.prefix)},
                    {"deadline_ms", left}});
  }
  return jsonResponse(200, nlohmann::json{{"holds", std::move(list)}}.dump());
}

HttpResponse EngineMemory::handleKv(const HttpRequest& request) {
  if (const std::string_view prefix = request.restOf("GET", kKvPath); !prefix.empty()) {
    return exportPrefix(prefix);
  }
  if (const std::string_view prefix = request.restOf("PUT", kKvPath); !prefix.empty()) {
    return importPrefix(prefix, request);
  }
  return notFound();
}

HttpResponse EngineMemory::exportPrefix(std::string_view prefix) const {
  const std::optional<PrefixHash> hash = prefixFromHex(prefix);
  const auto chain = hash ? model_.exportPrefix(*hash) : std::vector<PrefixHash>{};
  if (chain.empty()) {
    return errorResponse(404, "prefix is not cached", "export a prefix of the inventory");
  }
  nlohmann::json list = nlohmann::json::array();
  for (const PrefixHash entry : chain) {
    list.push_back(prefixHashToHex(entry));
  }
  const nlohmann::json body = {{"prefix", std::string(prefix)},
                               {"tokens", chain.size() * model_.options().blockTokens},
                               {"chain", std::move(list)}};
  return jsonResponse(200, body.dump());
}

HttpResponse EngineMemory::importPrefix(std::string_view prefix, const HttpRequest& request) {
  const auto chain = parseChain(request.body);
  if (!chain || chain->empty() || prefixFromHex(prefix) != chain->back()) {
    return errorResponse(400, "not an exported prefix",
                         "send the body of GET /v1/kv/PREFIX; its chain ends with PREFIX");
  }
  const std::size_t stored = model_.importPrefix(*chain);
  return jsonResponse(200, nlohmann::json{{"stored_blocks", stored}}.dump());
}

HttpResponse EngineMemory::showInventory() const {
  nlohmann::json list = nlohmann::json::array();
  for (const enginemodel::CachedPrefix& entry : model_.inventory()) {
    list.push_back({{"prefix", prefixHashToHex(entry.prefix)}, {"tokens", entry.tokens}});
  }
  const nlohmann::json body = {{"seq", model_.cache().lastSequence()},
                               {"prefixes", std::move(list)}};
  return jsonResponse(200, body.dump());
}

}  // namespace gorsetrail::standin
