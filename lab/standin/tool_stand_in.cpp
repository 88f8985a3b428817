#include "lab/standin/tool_stand_in.h"

#include <nlohmann/json.hpp>

#include "base/ids.h"

namespace gorsetrail::standin {
namespace {

constexpr std::uint64_t kPerMille = 1000;

}  // namespace

void ToolStandIn::handle(const HttpRequest& request, HttpExchangePtr exchange) {
  const std::string_view name = request.restOf("POST", "/v1/tools/");
  if (name.empty()) {
    exchange->respond(errorResponse(404, "no such resource", "use POST /v1/tools/NAME"));
    return;
  }
  if (random_.below(kPerMille) < times_.hangPerMille) {
    hold(std::move(exchange));
    return;
  }
  const auto spread = static_cast<std::uint64_t>((times_.maximum - times_.minimum).count());
  const Duration delay = times_.minimum + Duration(random_.below(spread + 1));
  const std::string result = std::string(name) + " " + contentDigestOf(request.body).toHex();
  const nlohmann::json body = {{"result", result}};
  scheduler_.after(delay,
                   [exchange, text = body.dump()] { exchange->respond(jsonResponse(200, text)); });
}

void ToolStandIn::hold(HttpExchangePtr exchange) {
  std::erase_if(held_, [](const HttpExchangePtr& held) { return held->closed(); });
  held_.push_back(std::move(exchange));
}

}  // namespace gorsetrail::standin
