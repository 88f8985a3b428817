/// \file Holds, KV export and import, and inventory of an engine's prefix cache over HTTP.
#pragma once

#include <string_view>

#include "base/time.h"
#include "lab/enginemodel/engine_model.h"
#include "lab/standin/http_message.h"

namespace gorsetrail::standin {

/// Serves `/v1/holds`, `/v1/kv` and `/v1/cache/inventory` of one engine.
class EngineMemory {
 public:
  /// \param model outlives this.
  explicit EngineMemory(enginemodel::EngineModel& model) : model_(model) {}

  /// \return whether the path is one of this class.
  [[nodiscard]] static bool serves(std::string_view path);
  HttpResponse handle(const HttpRequest& request, Instant now);

 private:
  HttpResponse handleHolds(const HttpRequest& request, Instant now);
  HttpResponse placeHold(std::string_view name, const HttpRequest& request, Instant now);
  HttpResponse showHolds(Instant now);
  HttpResponse handleKv(const HttpRequest& request);
  [[nodiscard]] HttpResponse exportPrefix(std::string_view prefix) const;
  HttpResponse importPrefix(std::string_view prefix, const HttpRequest& request);
  [[nodiscard]] HttpResponse showInventory() const;

  enginemodel::EngineModel& model_;
};

}  // namespace gorsetrail::standin
