#include "lab/emulator/workload.h"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>
#include <nlohmann/json.hpp>

#include "lab/config/json_config.h"
#include "lab/emulator/workload_schema.h"

namespace gorsetrail::emulator {
namespace {

using Json = nlohmann::json;

Distribution parseDistribution(const Json& json) {
  return {json.at("median"), json.at("sigma"), json.at("minimum"), json.at("maximum")};
}

enginemodel::EngineOptions parseEngine(const Json& json) {
  enginemodel::EngineOptions options;
  options.baseStep = microseconds(json.at("base_step_us").get<std::int64_t>());
  options.stepPerStream = microseconds(json.at("step_per_stream_us").get<std::int64_t>());
  options.nanosecondsPerPrefillToken = json.at("prefill_ns_per_token");
  options.prefillTokensPerStep = json.at("prefill_tokens_per_step");
  options.maximumRunning = json.at("maximum_running");
  options.blockTokens = json.at("block_tokens");
  options.cacheBlocks = json.at("cache_blocks");
  options.holdLimitPerMille = json.at("hold_limit_per_mille");
  options.holdsYield = json.at("holds_yield");
  options.maximumQueued = 1'000'000;
  options.reportTokens = false;
  return options;
}

ProgramClass parseClass(const Json& json) {
  ProgramClass result;
  result.name = json.at("name");
  result.share = json.at("share");
  result.priority = json.at("priority");
  result.systemTokens = json.at("system_tokens");
  result.readsDocument = json.at("reads_document");
  result.turns = parseDistribution(json.at("turns"));
  result.firstMessageTokens = parseDistribution(json.at("first_message_tokens"));
  result.turnMessageTokens = parseDistribution(json.at("turn_message_tokens"));
  result.answerTokens = parseDistribution(json.at("answer_tokens"));
  result.toolMilliseconds = parseDistribution(json.at("tool_ms"));
  result.subAgentProbability = json.at("sub_agent_probability");
  result.maximumSubAgents = json.at("maximum_sub_agents");
  result.abandonProbability = json.at("abandon_probability");
  result.patienceMilliseconds = parseDistribution(json.at("patience_ms"));
  return result;
}

Workload parseWorkload(const Json& json) {
  Workload workload;
  workload.name = json.at("name");
  workload.replicas = json.at("replicas");
  workload.nodes = json.at("nodes");
  workload.tenants = json.at("tenants");
  workload.latencyWeight = json.at("latency_weight");
  workload.capacityShare = json.at("capacity_share");
  workload.duration = seconds(json.at("duration_s").get<std::int64_t>());
  workload.warmUp = seconds(json.at("warm_up_s").get<std::int64_t>());
  workload.oneWayDelay = microseconds(json.at("one_way_delay_us").get<std::int64_t>());
  workload.reportInterval = milliseconds(json.at("report_interval_ms").get<std::int64_t>());
  workload.eventLossProbability = json.at("event_loss_probability");
  workload.maximumContextTokens = json.at("maximum_context_tokens");
  workload.engine = parseEngine(json.at("engine"));
  const Json& documents = json.at("documents");
  workload.documents = {documents.at("count"), documents.at("zipf_exponent"),
                        parseDistribution(documents.at("tokens"))};
  const Json& bursts = json.at("bursts");
  workload.bursts = {seconds(bursts.at("period_s").get<std::int64_t>()),
                     seconds(bursts.at("length_s").get<std::int64_t>()), bursts.at("factor")};
  for (const Json& item : json.at("classes")) {
    workload.classes.push_back(parseClass(item));
  }
  return workload;
}

}  // namespace

double Distribution::sample(RandomSource& random) const {
  if (median <= 0.0) {
    return 0.0;
  }
  boost::random::lognormal_distribution<double> logNormal(std::log(median), sigma);
  return std::clamp(logNormal(random.generator()), minimum, std::max(minimum, maximum));
}

std::uint32_t Distribution::sampleCount(RandomSource& random) const {
  return static_cast<std::uint32_t>(std::lround(sample(random)));
}

Duration Distribution::sampleMilliseconds(RandomSource& random) const {
  return microseconds(std::lround(sample(random) * 1000.0));
}

Result<Workload> readWorkload(const std::string& path) {
  const Result<Json> document = lab::readJsonFile(path, kWorkloadSchema);
  if (!succeeded(document)) {
    return errorOf(document);
  }
  return parseWorkload(valueOf(document));
}

}  // namespace gorsetrail::emulator
