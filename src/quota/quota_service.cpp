#include "quota/quota_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsetrail::quota {
namespace {

/// Accounts unused for this long are dropped; their tokens have expired by then.
constexpr Duration kIdleAccountLifetime = seconds(30);
/// Maximum jitter as a fraction of the retry delay, so that callers do not retry in step.
constexpr double kRetryJitter = 0.5;

/// Request ids of one incarnation differ in these low bits only.
constexpr unsigned kRequestIdBits = 32;

}  // namespace

QuotaService::QuotaService(QuotaFleetView& fleet, const QuotaKnobs& knobs, std::string ownAddress,
                           std::uint64_t incarnation, std::function<Instant()> clock)
    : fleet_(fleet),
      knobs_(knobs),
      ownAddress_(std::move(ownAddress)),
      clock_(std::move(clock)),
      random_(incarnation),
      lender_(knobs, clock_()),
      coordinator_(
          fleet, knobs, ownAddress_, incarnation, clock_, random_,
          [this](const std::string& to, const QuotaMessage& message) { send(to, message); }),
      nextRequestId_((random_.below(UINT32_MAX) + 1) << kRequestIdBits) {}

std::uint32_t QuotaService::partitionOf(const std::string& tenant) const {
  return static_cast<std::uint32_t>(XXH64(tenant.data(), tenant.size(), 0) % knobs_.partitions);
}

// Messages from this node to itself are queued and handled one after the other, to avoid recursion.
void QuotaService::send(const std::string& to, const QuotaMessage& message) {
  if (to != ownAddress_) {
    fleet_.send(to, message);
    return;
  }
  selfMessages_.emplace_back(to, message);
  if (isDeliveringToSelf_) {
    return;
  }
  isDeliveringToSelf_ = true;
  while (!selfMessages_.empty()) {
    const auto [sender, next] = std::move(selfMessages_.front());
    selfMessages_.pop_front();
    onMessage(sender, next);
  }
  isDeliveringToSelf_ = false;
}

void QuotaService::dropExpired(Account& account, Instant now) {
  while (!account.spent.empty() && account.spent.front().expiresAt <= now) {
    account.spent.pop_front();
  }
}

bool QuotaService::trySpend(Account& account, ProgramStage stage, Instant now) {
  Tokens& tokens = account.tokens;
  const bool mayUse = stage == ProgramStage::Started || tokens.mayStartPrograms;
  if (!mayUse || tokens.count == 0 || now >= tokens.expiresAt) {
    return false;
  }
  --tokens.count;
  dropExpired(account, now);
  account.spent.push_back({tokens.expiresAt, tokens.grantor});
  return true;
}

void QuotaService::admit(const tenant::Tenant& tenant, ProgramStage stage, Callback callback) {
  if (!tenant.quota.isLimited()) {
    callback(QuotaDecision{});
    return;
  }
  const Instant now = clock_();
  Account& account = accounts_[tenant.name];
  if (account.tenant.name.empty() || account.tenant.quota != tenant.quota) {
    account.tenant = tenant;
  }
  account.lastUsedAt = now;
  const bool isUsable = account.waiters.empty() && now >= account.tokens.usableAt;
  if (isUsable && trySpend(account, stage, now)) {
    ++counters_.grantedAtOnce;
    callback(QuotaDecision{});
    return;
  }
  account.waiters.push_back({stage, now, std::move(callback)});
  ++waitingCount_;
  if (!account.pendingRequest) {
    requestTokens(account);
  }
}

// The grant of the returned token is unknown. It gets the earliest expiry of all spent tokens, so
// it is never used after its own expiry.
void QuotaService::returnToken(const std::string& tenant) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) {
    return;
  }
  const Instant now = clock_();
  Account& account = found->second;
  dropExpired(account, now);
  if (account.spent.empty()) {
    return;
  }
  const auto firstToExpire = std::min_element(account.spent.begin(), account.spent.end(),
                                              [](const SpentToken& left, const SpentToken& right) {
                                                return left.expiresAt < right.expiresAt;
                                              });
  const SpentToken token = *firstToExpire;
  account.spent.erase(firstToExpire);
  Tokens& available = account.tokens;
  const bool isAvailable = available.count > 0 && now < available.expiresAt;
  if (!isAvailable) {
    available = {1, available.mayStartPrograms, token.expiresAt, token.grantor, now};
  } else if (available.grantor == token.grantor) {
    ++available.count;
    available.expiresAt = std::min(available.expiresAt, token.expiresAt);
  }
}

std::string QuotaService::chooseCoordinator(std::uint32_t partition,
                                            const std::string& excluded) const {
  const auto preferred = preferredCoordinators_.find(partition);
  if (preferred != preferredCoordinators_.end() && preferred->second != excluded) {
    return preferred->second;
  }
  for (const std::string& candidate : fleet_.candidateCoordinators(partition)) {
    if (candidate != excluded) {
      return candidate;
    }
  }
  return excluded;
}

void QuotaService::requestTokens(Account& account) {
  sendTokenRequest(account, chooseCoordinator(partitionOf(account.tenant.name), {}), 1);
}

void QuotaService::sendTokenRequest(Account& account, const std::string& coordinator,
                                    std::uint32_t attempts) {
  const Instant now = clock_();
  TokenRequest request;
  request.requestId = nextRequestId_++;
  request.tenant = account.tenant.name;
  for (const Waiter& waiter : account.waiters) {
    ++(waiter.stage == ProgramStage::Started ? request.tokensForStarted
                                             : request.tokensForStarting);
  }
  // The remaining tokens have expired or do not serve the waiters; this node no longer uses them.
  request.returned = account.tokens.count;
  request.grantor = account.tokens.grantor;
  account.tokens = {};
  PendingRequest pendingRequest;
  pendingRequest.requestId = request.requestId;
  pendingRequest.coordinator = coordinator;
  pendingRequest.sentAt = now;
  pendingRequest.waiters = account.waiters.size();
  pendingRequest.attempts = attempts;
  if (account.pendingRequest) {
    tenantByRequestId_.erase(account.pendingRequest->requestId);
  }
  account.pendingRequest = pendingRequest;
  tenantByRequestId_[pendingRequest.requestId] = account.tenant.name;
  if (!pendingRequest.coordinator.empty()) {
    ++counters_.tokenRequests;
    send(pendingRequest.coordinator, request);
  }
}

void QuotaService::onMessage(const std::string& from, const QuotaMessage& message) {
  if (const auto* const leaseRequest = std::get_if<LeaseRequest>(&message)) {
    onLeaseRequest(from, *leaseRequest);
  } else if (const auto* const leaseGrant = std::get_if<LeaseGrant>(&message)) {
    coordinator_.onLeaseGrant(from, *leaseGrant);
  } else if (const auto* const request = std::get_if<TokenRequest>(&message)) {
    coordinator_.onTokenRequest(from, partitionOf(request->tenant), *request);
  } else if (const auto* const release = std::get_if<LeaseRelease>(&message)) {
    onLeaseRelease(from, *release);
  } else if (const auto* const handed = std::get_if<HandOver>(&message)) {
    coordinator_.onHandOver(from, *handed);
  } else {
    onTokenReply(std::get<TokenReply>(message));
  }
}

void QuotaService::onLeaseRequest(const std::string& from, const LeaseRequest& request) {
  coordinator_.onCompetingLeaseRequest(from, request);
  const double share = fleet_.ownShare();
  if (share > 0 && lender_.tryLease(request.partition, from, request.round, clock_())) {
    send(from, LeaseGrant{request.partition, request.round, share});
  }
}

void QuotaService::onLeaseRelease(const std::string& from, const LeaseRelease& release) {
  lender_.onRelease(release.partition, from, release.round, clock_());
  coordinator_.onCompetitorRelease(from, release.partition);
}

void QuotaService::onTokenReply(const TokenReply& reply) {
  const auto entry = tenantByRequestId_.find(reply.requestId);
  if (entry == tenantByRequestId_.end()) {
    return;  // Late reply to a request that was repeated or abandoned; its tokens are not used.
  }
  Account& account = accounts_.at(entry->second);
  lastAnswers_[partitionOf(account.tenant.name)] = {account.pendingRequest->coordinator, clock_(),
                                                    reply.decided};
  if (!reply.decided) {
    redirectOrPause(account, reply.coordinator);
    return;
  }
  tenantByRequestId_.erase(entry);
  const PendingRequest pending = *std::exchange(account.pendingRequest, std::nullopt);
  const std::uint32_t partition = partitionOf(account.tenant.name);
  preferredCoordinators_[partition] = pending.coordinator;
  std::string& known = lastDecidingCoordinators_[partition];
  if (known != pending.coordinator) {
    known = pending.coordinator;
    fleet_.onCoordinatorChanged(partition, pending.coordinator);
  }
  storeTokens(account, pending, reply);
  serveWaiters(account, pending, reply);
}

// A coordinator that is not the first candidate keeps deciding while some nodes ask it. The first
// candidate then yields to it and decides nothing, so its callers are redirected.
void QuotaService::redirectOrPause(Account& account, const std::string& coordinator) {
  const PendingRequest& pendingRequest = *account.pendingRequest;
  const bool isNew = !coordinator.empty() && coordinator != pendingRequest.coordinator;
  if (isNew && pendingRequest.redirects < knobs_.maxRedirects) {
    const std::uint32_t redirects = pendingRequest.redirects + 1;
    const std::string firstChoice =
        pendingRequest.redirects == 0 ? pendingRequest.coordinator : pendingRequest.redirectedBy;
    sendTokenRequest(account, coordinator, 1);
    account.pendingRequest->redirects = redirects;
    account.pendingRequest->redirectedBy = firstChoice;
    return;
  }
  account.pendingRequest->isPaused = true;
}

void QuotaService::storeTokens(Account& account, const PendingRequest& pending,
                               const TokenReply& reply) {
  account.tokens = {reply.granted, reply.mayStartPrograms,
                    pending.sentAt + knobs_.tokenLifetime + reply.usableAfter, reply.grantor,
                    clock_() + reply.usableAfter};
}

void QuotaService::serveWaiters(Account& account, const PendingRequest& pending,
                                const TokenReply& reply) {
  const Instant now = clock_();
  // Running programs are served first, since the tokens may not suffice for all.
  std::deque<Waiter> decided;
  const std::size_t count = std::min(pending.waiters, account.waiters.size());
  for (std::size_t index = 0; index < count; ++index) {
    decided.push_back(std::move(account.waiters.front()));
    account.waiters.pop_front();
  }
  std::stable_partition(decided.begin(), decided.end(),
                        [](const Waiter& waiter) { return waiter.stage == ProgramStage::Started; });
  const bool isExpired = now >= account.tokens.expiresAt;
  const std::uint32_t granted = account.tokens.count;
  const Instant usableAt = now + reply.usableAfter;
  std::vector<std::pair<Callback, QuotaDecision>> answers;
  for (Waiter& waiter : decided) {
    QuotaDecision decision = QuotaDecision{};
    // If `mayStartPrograms` is set, the reply covers every waiter; otherwise only running programs.
    if (!trySpend(account, waiter.stage, now)) {
      const bool isUnknown = isExpired && granted > 0;
      decision = {isUnknown ? QuotaVerdict::Unknown : QuotaVerdict::OverLimit,
                  addJitter(reply.retryAfter)};
      if (isUnknown) {
        decision.trace = traceOf(account, pending.coordinator, waiter.waitingSince);
      }
    }
    const bool isGranted = decision.verdict == QuotaVerdict::Granted;
    ++(isGranted ? counters_.grantedAfterAsking
                 : (decision.verdict == QuotaVerdict::OverLimit ? counters_.overLimit
                                                                : counters_.unknown));
    if (isGranted && usableAt > now) {
      account.scheduled.push_back({usableAt, std::move(waiter.callback)});
    } else {
      answers.emplace_back(std::move(waiter.callback), decision);
    }
  }
  waitingCount_ -= answers.size();
  if (!account.waiters.empty()) {
    requestTokens(account);
  }
  for (const auto& [callback, decision] : answers) {
    callback(decision);
  }
}

Duration QuotaService::addJitter(Duration retryAfter) {
  const double factor = 1.0 + kRetryJitter * random_.fraction();
  return std::chrono::duration_cast<Duration>(retryAfter * factor);
}

void QuotaService::onTick() {
  const Instant now = clock_();
  std::vector<std::string> due;
  for (const auto& [name, account] : accounts_) {
    if (account.pendingRequest || !account.scheduled.empty()) {
      due.push_back(name);
    }
  }
  for (const std::string& name : due) {
    Account& account = accounts_.at(name);
    completeScheduled(account);
    if (account.pendingRequest) {
      expireAndRetry(account);
    }
  }
  std::erase_if(accounts_, [now](const auto& entry) {
    return entry.second.waiters.empty() && !entry.second.pendingRequest &&
           entry.second.scheduled.empty() && now - entry.second.lastUsedAt > kIdleAccountLifetime;
  });
  coordinator_.onTick();
}

void QuotaService::completeScheduled(Account& account) {
  const Instant now = clock_();
  while (!account.scheduled.empty() && account.scheduled.front().at <= now) {
    const Callback callback = std::move(account.scheduled.front().callback);
    account.scheduled.pop_front();
    --waitingCount_;
    callback(QuotaDecision{});
  }
}

void QuotaService::expireAndRetry(Account& account) {
  const Instant now = clock_();
  while (!account.waiters.empty() && now - account.waiters.front().waitingSince >= knobs_.maxWait) {
    rejectOldestWaiter(account);
  }
  if (account.waiters.empty()) {
    tenantByRequestId_.erase(account.pendingRequest->requestId);
    account.pendingRequest.reset();
    return;
  }
  const Duration pause =
      account.pendingRequest->isPaused ? knobs_.undecidedRetryDelay : knobs_.replyTimeout;
  if (now - account.pendingRequest->sentAt < pause) {
    return;
  }
  // Without a coordinator the node's own share is used, unless it is leased out.
  const double share = fleet_.ownShare();
  if (lender_.trySpendLocalToken(partitionOf(account.tenant.name), account.tenant, share, now)) {
    ++counters_.grantedFromOwnShare;
    completeOldestWaiter(account, QuotaDecision{});
  }
  if (account.waiters.empty()) {
    tenantByRequestId_.erase(account.pendingRequest->requestId);
    account.pendingRequest.reset();
    return;
  }
  const PendingRequest pending = *account.pendingRequest;
  if (!pending.isPaused && pending.attempts < knobs_.maxAttemptsPerCoordinator) {
    sendTokenRequest(account, pending.coordinator, pending.attempts + 1);
    return;
  }
  // The coordinator did not reply or does not hold a sufficient share.
  const std::uint32_t partition = partitionOf(account.tenant.name);
  if (const auto preferred = preferredCoordinators_.find(partition);
      preferred != preferredCoordinators_.end() && preferred->second == pending.coordinator) {
    preferredCoordinators_.erase(preferred);
  }
  const bool wasRedirected = pending.redirects > 0;
  sendTokenRequest(
      account,
      chooseCoordinator(partition, wasRedirected ? pending.redirectedBy : pending.coordinator), 1);
}

void QuotaService::rejectOldestWaiter(Account& account) {
  ++counters_.unknown;
  const std::string coordinator =
      account.pendingRequest ? account.pendingRequest->coordinator : std::string();
  completeOldestWaiter(account,
                       {QuotaVerdict::Unknown, addJitter(knobs_.minRetryAfter),
                        traceOf(account, coordinator, account.waiters.front().waitingSince)});
}

QuotaTrace QuotaService::traceOf(const Account& account, const std::string& coordinator,
                                 Instant waitingSince) const {
  const Instant now = clock_();
  QuotaTrace trace;
  trace.partition = partitionOf(account.tenant.name);
  trace.coordinator = coordinator;
  trace.waited = now - waitingSince;
  if (const auto last = lastAnswers_.find(trace.partition); last != lastAnswers_.end()) {
    trace.lastReplyFrom = last->second.coordinator;
    trace.lastReplyAge = now - last->second.at;
    trace.lastReplyDecided = last->second.decided;
  }
  return trace;
}

void QuotaService::completeOldestWaiter(Account& account, const QuotaDecision& decision) {
  const Callback callback = std::move(account.waiters.front().callback);
  account.waiters.pop_front();
  if (account.pendingRequest && account.pendingRequest->waiters > 0) {
    --account.pendingRequest->waiters;
  }
  --waitingCount_;
  callback(decision);
}

}  // namespace gorsetrail::quota
