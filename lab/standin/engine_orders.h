/// \file Fenced orders of an engine: what it has loaded, and in which role it serves.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"
#include "lab/standin/http_message.h"

namespace gorsetrail::standin {

/// Takes orders; one whose fence is lower than the highest seen is refused, so that of two racing
/// operators the later fence wins whatever the order of arrival.
class EngineOrders {
 public:
  /// \param loadTime how long loading a model or adapter takes.
  EngineOrders(std::string model, std::set<std::string> adapters, Duration loadTime)
      : model_(std::move(model)), adapters_(std::move(adapters)), loadTime_(loadTime) {}

  /// Answers `POST /v1/orders`.
  HttpResponse take(const std::string& body, Instant now);
  /// Answers `GET /v1/orders`.
  [[nodiscard]] HttpResponse show(Instant now) const;

  [[nodiscard]] const std::string& model() const { return model_; }
  [[nodiscard]] bool hasAdapter(const std::string& adapter) const {
    return adapter.empty() || adapters_.contains(adapter);
  }
  /// \return whether a load is under way; new work is refused meanwhile.
  [[nodiscard]] bool loading(Instant now) const { return now < loadedAt_; }

 private:
  void apply(const std::string& order, const std::string& value, Instant now);

  std::string model_;
  std::set<std::string> adapters_;
  Duration loadTime_;
  std::string version_;
  std::string role_ = "serve";
  std::uint64_t highestFence_ = 0;
  Instant loadedAt_{};
};

}  // namespace gorsetrail::standin
