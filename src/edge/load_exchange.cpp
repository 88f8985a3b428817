#include "edge/load_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "edge/generated/load_digest_generated.h"

namespace gorsetrail::edge {
namespace {

constexpr std::uint32_t kMaximumInFlight = UINT16_MAX;
/// Failure counts are sent in fixed point, in sixteenths.
constexpr double kFixedPointScale = 16.0;
/// Decayed failure counts below this are not sent.
constexpr double kMinimumFailureCount = 0.2;

/// Ratios are sent in 256ths, so that a deviation of one percent is visible.
constexpr double kRatioScale = 256.0;

std::uint16_t toFixedPoint(double count, double scale = kFixedPointScale) {
  return static_cast<std::uint16_t>(std::clamp(count * scale, 0.0, double{UINT16_MAX}));
}

void readReports(const fbs::LoadDigest& read, routing::LoadReports& reports) {
  if (read.services() != nullptr) {
    for (const fbs::ServiceReport* const report : *read.services()) {
      reports.services.push_back({report->service(), report->completed() / kFixedPointScale,
                                  report->rejected() / kFixedPointScale,
                                  report->inflation() / kRatioScale});
    }
  }
  if (read.tenants() != nullptr) {
    for (const fbs::TenantLoad* const load : *read.tenants()) {
      reports.tenants.push_back({load->service(), load->tenant(), load->in_flight()});
    }
  }
  if (read.speeds() != nullptr) {
    for (const fbs::ReplicaSpeed* const speed : *read.speeds()) {
      reports.speeds.push_back({speed->replica(), speed->time_factor() / kRatioScale,
                                speed->samples() / kFixedPointScale});
    }
  }
}

/// \return the vector's offset; 0 for an empty one, which is then absent from the digest.
template <typename Struct>
flatbuffers::Offset<flatbuffers::Vector<const Struct*>> writeStructs(
    flatbuffers::FlatBufferBuilder& builder, const std::vector<Struct>& structs) {
  return structs.empty() ? 0 : builder.CreateVectorOfStructs(structs);
}

}  // namespace

std::string encodeLoadDigest(const routing::LoadDigest& digest) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<fbs::ReplicaLoad> loads;
  loads.reserve(digest.loads.size());
  for (const routing::ReplicaLoad& load : digest.loads) {
    loads.emplace_back(load.replica, load.inFlight);
  }
  std::vector<fbs::ReplicaTrouble> troubles;
  for (const routing::ReplicaTrouble& trouble : digest.troubles) {
    troubles.emplace_back(trouble.replica, toFixedPoint(trouble.failed),
                          toFixedPoint(trouble.ended));
  }
  std::vector<fbs::ServiceReport> services;
  for (const routing::ServiceReport& report : digest.reports.services) {
    services.emplace_back(report.service, toFixedPoint(report.completedPerSecond),
                          toFixedPoint(report.rejectedPerSecond),
                          toFixedPoint(report.inflation, kRatioScale));
  }
  std::vector<fbs::TenantLoad> tenants;
  for (const routing::TenantLoad& load : digest.reports.tenants) {
    tenants.emplace_back(load.service, load.tenant, load.inFlight);
  }
  std::vector<fbs::ReplicaSpeed> speeds;
  for (const routing::ReplicaSpeedReport& speed : digest.reports.speeds) {
    speeds.emplace_back(speed.replica, toFixedPoint(speed.timeFactor, kRatioScale),
                        toFixedPoint(speed.samples));
  }
  const auto list = builder.CreateVectorOfStructs(loads);
  const auto troubleList = writeStructs(builder, troubles);
  const auto serviceList = writeStructs(builder, services);
  const auto tenantList = writeStructs(builder, tenants);
  const auto speedList = writeStructs(builder, speeds);
  fbs::FinishLoadDigestBuffer(
      builder, fbs::CreateLoadDigest(builder, digest.node, digest.digestSequence, list, troubleList,
                                     digest.region, serviceList, tenantList, speedList));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<routing::LoadDigest> decodeLoadDigest(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (!fbs::VerifyLoadDigestBuffer(verifier)) {
    return Error{ErrorKind::InvalidFrame, "load digest", "the bytes are not a valid load digest",
                 "run the same version on every node"};
  }
  const fbs::LoadDigest* const read = fbs::GetLoadDigest(begin);
  routing::LoadDigest digest;
  digest.node = read->node();
  digest.digestSequence = read->beat();
  digest.region = read->region();
  if (read->loads() != nullptr) {
    for (const fbs::ReplicaLoad* const load : *read->loads()) {
      digest.loads.push_back({load->replica(), load->in_flight()});
    }
  }
  if (read->troubles() != nullptr) {
    for (const fbs::ReplicaTrouble* const trouble : *read->troubles()) {
      digest.troubles.push_back({trouble->replica(), trouble->failed() / kFixedPointScale,
                                 trouble->ended() / kFixedPointScale});
    }
  }
  readReports(*read, digest.reports);
  return digest;
}

LoadExchange::LoadExchange(boost::asio::io_context& context, LoadExchangeKnobs knobs,
                           std::uint64_t seed, routing::RegionHash region, DigestObserver onDigest)
    : socket_(context, [this](const DatagramSocket::Endpoint& /*sender*/,
                              std::string_view bytes) { onDatagram(bytes); }),
      knobs_(knobs),
      random_(seed),
      region_(region),
      onDigest_(std::move(onDigest)) {}

Result<Success> LoadExchange::listen(const std::string& address) {
  node_ = XXH64(address.data(), address.size(), 0);
  return socket_.listen(address);
}

void LoadExchange::onDatagram(std::string_view bytes) {
  auto digest = decodeLoadDigest(bytes);
  if (succeeded(digest)) {
    onDigest_(std::move(valueOf(digest)));
  } else {
    ++unreadableDigests_;
  }
}

routing::LoadDigest LoadExchange::digestOf(const std::vector<routing::ReplicaPtr>& replicas,
                                           Instant now) {
  routing::LoadDigest digest;
  digest.node = node_;
  digest.region = region_;
  for (const routing::ReplicaPtr& replica : replicas) {
    const routing::ReplicaEntry& entry = replica->entry;
    const routing::ReplicaHash hash = routing::replicaHashOf(entry.id, entry.startedAt);
    if (replica->inFlight > 0) {
      const auto count = static_cast<std::uint16_t>(std::min(replica->inFlight, kMaximumInFlight));
      digest.loads.push_back({hash, count});
    }
    const double failed = replica->outcomes.failed(now);
    if (failed >= kMinimumFailureCount) {
      digest.troubles.push_back({hash, failed, replica->outcomes.ended(now)});
    }
  }
  return digest;
}

void LoadExchange::send(const std::vector<routing::ReplicaPtr>& replicas, const LoadPeers& peers,
                        routing::LoadReports reports, Instant now) {
  routing::LoadDigest digest = digestOf(replicas, now);
  digest.reports = std::move(reports);
  std::string loads = encodeLoadDigest(digest);
  if (loads == lastLoads_ && ++unchangedSends_ < knobs_.sendsPerUnchangedDigest) {
    return;
  }
  unchangedSends_ = 0;
  lastLoads_ = std::move(loads);
  digest.digestSequence = ++digestSequence_;
  const std::string datagram = encodeLoadDigest(digest);
  sendToRandomPeers(peers.sameRegion, knobs_.maximumPeers, datagram);
  sendToRandomPeers(peers.otherRegions, knobs_.maximumOtherRegionPeers, datagram);
}

void LoadExchange::sendToRandomPeers(std::vector<std::string> peers, std::size_t limit,
                                     const std::string& datagram) {
  const std::size_t count = std::min(peers.size(), limit);
  for (std::size_t index = 0; index < count; ++index) {
    // Random selection without replacement (partial Fisher-Yates shuffle).
    std::swap(peers[index], peers[index + random_.below(peers.size() - index)]);
    socket_.send(peers[index], datagram);
  }
}

}  // namespace gorsetrail::edge
