#include "lab/standin/engine_orders.h"

#include <array>
#include <nlohmann/json.hpp>

namespace gorsetrail::standin {
namespace {

/// The key that carries an order's value.
struct OrderShape {
  std::string_view order;
  const char* key;
};
constexpr std::array kOrders = {
    OrderShape{"load_model", "model"}, OrderShape{"load_adapter", "adapter"},
    OrderShape{"set_version", "version"}, OrderShape{"set_role", "role"}};

HttpResponse malformed(std::string_view reason) {
  return errorResponse(400, reason,
                       "send fence (a number), order (load_model, load_adapter, set_version or "
                       "set_role) and its model, adapter, version or role (a text)");
}

const char* keyOf(const std::string& order) {
  for (const OrderShape& shape : kOrders) {
    if (shape.order == order) {
      return shape.key;
    }
  }
  return nullptr;
}

}  // namespace

HttpResponse EngineOrders::take(const std::string& body, Instant now) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("fence") || !document.contains("order") ||
      !document["fence"].is_number_unsigned() || !document["order"].is_string()) {
    return malformed("not an order");
  }
  const auto order = document["order"].get<std::string>();
  const char* key = keyOf(order);
  if (key == nullptr || !document.contains(key) || !document[key].is_string()) {
    return malformed("unknown order, or one without its value");
  }
  const auto fence = document["fence"].get<std::uint64_t>();
  if (fence < highestFence_) {
    return errorResponse(409, "fence is lower than " + std::to_string(highestFence_),
                         "read GET /v1/orders and take a higher fence");
  }
  highestFence_ = fence;
  apply(order, document[key].get<std::string>(), now);
  return show(now);
}

void EngineOrders::apply(const std::string& order, const std::string& value, Instant now) {
  if (order == "set_version") {
    version_ = value;
  } else if (order == "set_role") {
    role_ = value;
  } else if (order == "load_model" && value != model_) {
    model_ = value;
    loadedAt_ = now + loadTime_;
  } else if (order == "load_adapter" && adapters_.insert(value).second) {
    loadedAt_ = now + loadTime_;
  }
}

HttpResponse EngineOrders::show(Instant now) const {
  const nlohmann::json body = {{"highest_fence", highestFence_},
                               {"model", model_},
                               {"adapters", adapters_},
                               {"version", version_},
                               {"role", role_},
                               {"loading", loading(now)}};
  return jsonResponse(200, body.dump());
}

}  // namespace gorsetrail::standin
