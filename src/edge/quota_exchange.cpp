#include "edge/quota_exchange.h"

#include <utility>

namespace gorsetrail::edge {
namespace {

/// Timer period while no request waits for tokens: a third of `QuotaKnobs::leaseRenewalInterval`.
constexpr Duration kTickPeriod = milliseconds(50);
/// Timer period while requests wait for tokens: a fifth of `QuotaKnobs::replyTimeout`.
constexpr Duration kWaitingTickPeriod = milliseconds(10);
/// Lifetime of cached coordinators; selecting them among all members for each request would be too
/// expensive. They change only when a node starts or ends, which probes show a second later.
constexpr Duration kCoordinatorsCacheTime = milliseconds(50);
/// Topic name of quota partitions in the rendezvous hash.
constexpr char kQuotaTopic[] = "quota";

}  // namespace

QuotaExchange::QuotaExchange(boost::asio::io_context& context, services::TimerService& timers,
                             std::function<Instant()> clock, QuotaSources sources,
                             std::uint64_t incarnation)
    : timers_(timers),
      clock_(std::move(clock)),
      sources_(std::move(sources)),
      incarnation_(incarnation),
      socket_(context, [this](const DatagramSocket::Endpoint& sender, std::string_view bytes) {
        auto message = quota::decodeQuotaMessage(bytes);
        if (succeeded(message)) {
          const std::string from =
              sender.address().to_string() + ":" + std::to_string(sender.port());
          service_->onMessage(from, valueOf(message));
        }
      }) {}

Result<Success> QuotaExchange::listen(const std::string& ip, std::uint16_t port) {
  portSuffix_ = ":" + std::to_string(port);
  service_ = std::make_unique<quota::QuotaService>(*this, quota::QuotaKnobs{}, ip + portSuffix_,
                                                   incarnation_, clock_);
  auto listening = socket_.listen(ip + portSuffix_);
  if (succeeded(listening)) {
    tickLoop();
  }
  return listening;
}

void QuotaExchange::tickLoop() {
  service_->onTick();
  timers_.runAfter(kTickPeriod, [this] { tickLoop(); });
}

void QuotaExchange::waitingLoop() {
  isWaitingLoopRunning_ = service_->hasWaitingRequests();
  if (isWaitingLoopRunning_) {
    timers_.runAfter(kWaitingTickPeriod, [this] {
      service_->onTick();
      waitingLoop();
    });
  }
}

void QuotaExchange::admit(const tenant::Tenant& tenant, quota::ProgramStage stage,
                          Callback callback) {
  if (!service_) {
    // Without internal ports this is the only node, so the limit is not shared.
    callback({quota::QuotaVerdict::Granted, Duration::zero()});
    return;
  }
  service_->admit(tenant, stage, std::move(callback));
  if (!isWaitingLoopRunning_) {
    waitingLoop();
  }
}

void QuotaExchange::returnToken(const std::string& tenant) {
  if (service_) {
    service_->returnToken(tenant);
  }
}

void QuotaExchange::endCoordination() {
  if (service_) {
    service_->endCoordination();
  }
}

quota::QuotaCounters QuotaExchange::counters() const {
  return service_ ? service_->counters() : quota::QuotaCounters{};
}

std::string QuotaExchange::quotaAddressOf(const std::string& relayAddress) const {
  return relayAddress.substr(0, relayAddress.rfind(':')) + portSuffix_;
}

std::vector<std::string> QuotaExchange::candidateCoordinators(std::uint32_t partition) const {
  const Instant now = clock_();
  Coordinators& known = coordinators_[partition];
  if (known.chosenAt != Instant{} && now - known.chosenAt < kCoordinatorsCacheTime) {
    return known.addresses;
  }
  known.chosenAt = now;
  known.addresses.clear();
  for (const std::string& relay :
       selector_.selectNodes({kQuotaTopic, partition}, {}, sources_.candidates(), now)) {
    known.addresses.push_back(quotaAddressOf(relay));
  }
  return known.addresses;
}

std::vector<std::string> QuotaExchange::members() const {
  std::vector<std::string> addresses;
  for (const std::string& relay : sources_.members()) {
    addresses.push_back(quotaAddressOf(relay));
  }
  return addresses;
}

double QuotaExchange::ownShare() const {
  const std::size_t count = sources_.memberCount();
  return count == 0 ? 0.0 : 1.0 / static_cast<double>(count);
}

std::shared_ptr<const tenant::TenantDirectory> QuotaExchange::tenants() const {
  return sources_.tenants();
}

void QuotaExchange::onCoordinatorChanged(std::uint32_t partition, const std::string& address) {
  sources_.onCoordinatorChanged(partition, address);
}

void QuotaExchange::send(const std::string& to, const quota::QuotaMessage& message) {
  socket_.send(to, quota::encodeQuotaMessage(message));
}

}  // namespace gorsetrail::edge
