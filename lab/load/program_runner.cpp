#include "lab/load/program_runner.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/load/http_exchange.h"
#include "lab/standin/answer_text.h"

namespace gorsetrail::load {
namespace {

using boost::asio::awaitable;
using nlohmann::json;

constexpr std::uint64_t kPerMille = 1000;
constexpr std::uint32_t kSubAgentTurns = 2;
/// A looping program makes so many calls at most, should no budget stop it.
constexpr std::uint32_t kLoopingTurns = 2000;
constexpr std::string_view kBudgetExceeded = "budget_exceeded";

const TenantLoad& tenantFor(const SiteLoad& site, std::uint32_t number, bool looping) {
  for (const TenantLoad& tenant : site.tenants) {
    if (looping && tenant.name == site.workload.loopingTenant) {
      return tenant;
    }
  }
  return site.tenants[looping ? 0 : number % site.tenants.size()];
}

json message(const char* role, std::string content) {
  return {{"role", role}, {"content", std::move(content)}};
}

/// The start that all programs of one work share, as manuscripts and forms do.
std::string sharedPrefix(const std::string& work, std::uint32_t bytes) {
  std::string text = "You assist with " + work + ".";
  while (text.size() < bytes) {
    text += " Follow rule " + std::to_string(text.size()) + " of " + work + ".";
  }
  text.resize(std::max<std::size_t>(bytes, 1));
  return text;
}

std::string withMessage(const std::string& messages, json added) {
  json list = json::parse(messages);
  list.push_back(std::move(added));
  return list.dump();
}

}  // namespace

ProgramRunner::ProgramRunner(SiteRun& run, const std::string& runName, std::uint32_t number,
                             bool looping)
    : run_(run), looping_(looping), caller_(run, number % run.site.nodes.size()) {
  const NodeAddress& node = run.site.nodes[number % run.site.nodes.size()];
  identity_.site = run.site.name;
  identity_.key = {node.zone, tenantFor(run.site, number, looping).name,
                   runName + "-" + std::to_string(number)};
}

bool ProgramRunner::chance(std::uint32_t perMille) {
  return run_.random.below(kPerMille) < perMille;
}

std::uint32_t ProgramRunner::within(const Range& range) {
  const std::uint64_t span = std::uint64_t{range.maximum} - range.minimum + 1;
  return range.minimum + static_cast<std::uint32_t>(run_.random.below(span));
}

std::string ProgramRunner::text(std::uint32_t bytes) {
  std::string words;
  while (words.size() < bytes) {
    words += "item " + std::to_string(run_.random.below(100'000)) + " ";
  }
  words.resize(std::max(1U, bytes));
  return words;
}

ProgramRunner::Branch ProgramRunner::makeBranch(const std::string& name) {
  const SiteLoad& site = run_.site;
  Branch branch;
  branch.name = name;
  branch.work = site.engineWorks[run_.random.below(site.engineWorks.size())];
  json messages = json::array();
  messages.push_back(message("system", sharedPrefix(branch.work, site.workload.sharedPrefixBytes)));
  messages.push_back(message("user", identity_.key.name + " " + name + " " +
                                         text(within(site.workload.firstPromptBytes))));
  branch.messages = messages.dump();
  return branch;
}

Call ProgramRunner::nextCall(Branch& branch) {
  Call call;
  ++branch.calls;
  call.started.program = identity_;
  call.started.branch = branch.name;
  call.started.sequence = branch.calls;
  call.started.key = identity_.site + "." + identity_.key.name + "." + branch.name + "." +
                     std::to_string(branch.calls);
  call.programName = branch.name.empty() ? identity_.key.name : branch.name;
  call.parent = branch.name.empty() ? "" : identity_.key.name;
  return call;
}

awaitable<bool> ProgramRunner::finishCall(const Call& call, CallResult result) {
  stoppedByBudget_ = stoppedByBudget_ || result.refusedKind == kBudgetExceeded;
  if (!result.answer) {
    co_return false;
  }
  lastAnswer_ = currentTime();
  if (chance(run_.site.workload.repeatPerMille)) {
    co_await caller_.repeat(call);
  }
  co_return true;
}

/// One call to an engine with the branch's whole history.
awaitable<bool> ProgramRunner::turn(Branch& branch) {
  Call call = nextCall(branch);
  call.work = branch.work;
  call.messages = branch.messages;
  call.started.messagesDigest = standin::messagesDigest(branch.messages);
  call.stream = chance(run_.site.workload.streamPerMille);
  CallResult result = co_await caller_.make(call);
  const std::string answer = result.answer ? result.answer->content : "";
  if (!co_await finishCall(call, std::move(result))) {
    co_return false;
  }
  branch.messages = withMessage(branch.messages, message("assistant", answer));
  branch.messages =
      withMessage(branch.messages, message("user", text(within(run_.site.workload.turnBytes))));
  co_return true;
}

/// A filing, payment or press release: it must not run twice. It stands beside the history.
awaitable<bool> ProgramRunner::requestApplication(Branch& branch) {
  const auto& works = run_.site.applicationWorks;
  Call call = nextCall(branch);
  call.work = works[run_.random.below(works.size())];
  call.messages = json::array({message("user", "file " + call.started.key)}).dump();
  call.started.messagesDigest = standin::messagesDigest(call.messages);
  call.started.application = true;
  CallResult result = co_await caller_.make(call);
  co_return co_await finishCall(call, std::move(result));
}

awaitable<bool> ProgramRunner::runSubAgent(std::string name) {
  Branch branch = makeBranch(name);
  for (std::uint32_t count = 0; count < kSubAgentTurns; ++count) {
    if (!co_await turn(branch)) {
      co_return false;
    }
  }
  co_return true;
}

awaitable<void> ProgramRunner::useTool() {
  http::Request request;
  request.method = "POST";
  request.address = run_.site.tools;
  request.target = "/v1/tools/check";
  request.body = "{}";
  request.timeLimit = run_.site.workload.toolTimeLimit;
  const HttpOutcome outcome = co_await exchange(run_.client, std::move(request));
  if (std::holds_alternative<http::Failure>(outcome)) {
    ++run_.figures.errors["tool_failed"];
  }
}

/// A turn of the root with what goes on beside and after it.
awaitable<bool> ProgramRunner::turnWithCompany(Branch& root, std::uint32_t turnNumber) {
  using boost::asio::experimental::awaitable_operators::operator&&;
  const Workload& workload = run_.site.workload;
  bool going = true;
  if (chance(workload.branchPerMille)) {
    const auto [own, subAgent] =
        co_await (turn(root) && runSubAgent("helper-" + std::to_string(turnNumber)));
    going = own && subAgent;
  } else {
    going = co_await turn(root);
  }
  if (going && !run_.site.applicationWorks.empty() && chance(workload.applicationPerMille)) {
    going = co_await requestApplication(root);
  }
  if (going && !run_.site.tools.empty() && chance(workload.toolPerMille)) {
    co_await useTool();
  }
  co_return going;
}

awaitable<void> ProgramRunner::run() {
  ++run_.figures.programsStarted;
  const Instant start = currentTime();
  lastAnswer_ = start;
  Branch root = makeBranch("");
  const std::uint32_t turns = looping_ ? kLoopingTurns : within(run_.site.workload.turns);
  bool going = true;
  for (std::uint32_t number = 0; going && number < turns; ++number) {
    going = looping_ ? co_await turn(root) : co_await turnWithCompany(root, number);
  }
  run_.checker.on(ProgramEnded{identity_, looping_, stoppedByBudget_});
  co_await caller_.showHistory(identity_);
  const bool closed = co_await caller_.close(identity_);
  if (going && closed) {
    ++run_.figures.programsCompleted;
    run_.figures.programLatencies.push_back(lastAnswer_ - start);
  }
}

}  // namespace gorsetrail::load
