#include "services/machine_list_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "services/platform_answer.h"

namespace gorsetrail::services {
namespace {

using Json = nlohmann::json;

constexpr unsigned kStatusOk = 200;
const std::string kService = "machines";

std::optional<MachineState> readState(const Json& json) {
  if (json == "live") {
    return MachineState::Live;
  }
  if (json == "leaving") {
    return MachineState::Leaving;
  }
  return json == "terminated" ? std::optional(MachineState::Terminated) : std::nullopt;
}

std::optional<Machine> readMachine(const Json& json) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  const Json node = json.value("node", Json());
  const Json incarnation = json.value("incarnation", Json());
  const Json zone = json.value("zone", Json());
  const std::optional<MachineState> state = readState(json.value("state", Json()));
  if (!node.is_number_unsigned() || node.get<std::uint64_t>() > UINT32_MAX ||
      !incarnation.is_number_unsigned() || !zone.is_string() || !state) {
    return std::nullopt;
  }
  return Machine{NodeId(node.get<std::uint32_t>()), Incarnation(incarnation.get<std::uint64_t>()),
                 zone.get<std::string>(), *state};
}

/// One line that cannot be read spoils the list: half a list could hide a machine that ended.
Result<std::vector<Machine>> readList(const http::Response& response) {
  const Json json = Json::parse(response.body, nullptr, false);
  const Json lines = json.is_object() ? json.value("machines", Json()) : Json();
  if (response.status != kStatusOk || !lines.is_array()) {
    return unusableAnswer(kService, "the list of machines cannot be read");
  }
  std::vector<Machine> machines;
  for (const Json& line : lines) {
    const std::optional<Machine> machine = readMachine(line);
    if (!machine) {
      return unusableAnswer(kService, "a machine of the list cannot be read");
    }
    machines.push_back(*machine);
  }
  return machines;
}

}  // namespace

MachineListClient::MachineListClient(http::HttpClient& client, std::string address,
                                     Duration timeLimit)
    : client_(client), address_(std::move(address)), timeLimit_(timeLimit) {}

void MachineListClient::fetch(const OnList& onList) {
  http::Request request{.method = "GET",
                        .address = address_,
                        .target = "/v1/machines",
                        .headers = {},
                        .body = {},
                        .timeLimit = timeLimit_};
  ask(client_, kService, std::move(request), [onList](const Result<http::Response>& answer) {
    onList(succeeded(answer) ? readList(valueOf(answer))
                             : Result<std::vector<Machine>>(errorOf(answer)));
  });
}

MachineListPoller::MachineListPoller(MachineListClient& list, TimerService& timers, Pace pace,
                                     std::uint64_t seed, const OnMachines& onMachines)
    : loop_(timers, pace, seed,
            [&list, onMachines, isRunning = isRunning_](const PacedLoop::Report& report) {
              list.fetch(
                  [onMachines, isRunning, report](const Result<std::vector<Machine>>& machines) {
                    if (succeeded(machines) && *isRunning) {
                      onMachines(valueOf(machines));
                    }
                    report(succeeded(machines) ? RoundVerdict::Idle : RoundVerdict::Failed);
                  });
            }) {}

MachineListPoller::~MachineListPoller() { stop(); }

void MachineListPoller::start() {
  *isRunning_ = true;
  loop_.start();
}

void MachineListPoller::stop() {
  *isRunning_ = false;
  loop_.stop();
}

}  // namespace gorsetrail::services
