#include "lab/standin/machine_list_stand_in.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace gorsetrail::standin {
namespace {

struct StateName {
  MachineState state;
  std::string_view name;
};
constexpr std::array kStateNames = {StateName{MachineState::Live, "live"},
                                    StateName{MachineState::Leaving, "leaving"},
                                    StateName{MachineState::Terminated, "terminated"}};

std::string_view nameOf(MachineState state) {
  for (const StateName& entry : kStateNames) {
    if (entry.state == state) {
      return entry.name;
    }
  }
  return "live";
}

std::optional<MachineState> stateNamed(const std::string& name) {
  for (const StateName& entry : kStateNames) {
    if (entry.name == name) {
      return entry.state;
    }
  }
  return std::nullopt;
}

std::optional<Machine> parseMachine(const std::string& text) {
  const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("node") ||
      !document["node"].is_number_unsigned() || !document.contains("incarnation") ||
      !document["incarnation"].is_number_unsigned() || !document.contains("zone") ||
      !document["zone"].is_string() || !document.contains("state") ||
      !document["state"].is_string()) {
    return std::nullopt;
  }
  const std::optional<MachineState> state = stateNamed(document["state"].get<std::string>());
  if (!state) {
    return std::nullopt;
  }
  return Machine{document["node"].get<std::uint32_t>(),
                 document["incarnation"].get<std::uint64_t>(), document["zone"].get<std::string>(),
                 *state};
}

}  // namespace

MachineListStandIn::MachineListStandIn(const std::vector<Machine>& initial, Duration lag,
                                       Scheduler& scheduler)
    : lag_(lag), scheduler_(scheduler) {
  for (const Machine& machine : initial) {
    shown_[{machine.node, machine.incarnation}] = machine;
  }
}

void MachineListStandIn::handle(const HttpRequest& request, HttpExchangePtr exchange) {
  if (request.is("PUT", "/v1/machines")) {
    exchange->respond(change(request));
  } else if (request.is("GET", "/v1/machines")) {
    exchange->respond(show());
  } else {
    exchange->respond(errorResponse(404, "no such resource", "use /v1/machines"));
  }
}

HttpResponse MachineListStandIn::change(const HttpRequest& request) {
  const std::optional<Machine> machine = parseMachine(request.body);
  if (!machine) {
    return errorResponse(400, "not a machine",
                         "send node, incarnation (numbers), zone, and state: live, leaving or "
                         "terminated");
  }
  pending_.push_back({scheduler_.now() + lag_, *machine});
  return jsonResponse(200, "{}");
}

void MachineListStandIn::applyVisibleChanges() {
  while (!pending_.empty() && pending_.front().visibleFrom <= scheduler_.now()) {
    const Machine& machine = pending_.front().machine;
    shown_[{machine.node, machine.incarnation}] = machine;
    pending_.pop_front();
  }
}

HttpResponse MachineListStandIn::show() {
  applyVisibleChanges();
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [life, machine] : shown_) {
    list.push_back({{"node", machine.node},
                    {"incarnation", machine.incarnation},
                    {"zone", machine.zone},
                    {"state", nameOf(machine.state)}});
  }
  return jsonResponse(200, nlohmann::json{{"machines", std::move(list)}}.dump());
}

}  // namespace gorsetrail::standin
