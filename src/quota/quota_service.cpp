#include "quota/quota_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsetrail::quota {
namespace {

/// Accounts of tenants that nobody asked for in so long are dropped; their tokens are void by then.
constexpr Duration kIdleAccountLifetime = seconds(30);
/// Callers of one tenant come back spread over this share of the time they are told.
constexpr double kRetrySpread = 0.5;

/// Numbers of one life differ in their low bits only.
constexpr unsigned kNumberBits = 32;

}  // namespace

QuotaService::QuotaService(QuotaFleet& fleet, const QuotaKnobs& knobs, std::string ownAddress,
                           std::uint64_t life, std::function<Instant()> clock)
    : fleet_(fleet),
      knobs_(knobs),
      ownAddress_(std::move(ownAddress)),
      clock_(std::move(clock)),
      random_(life),
      lender_(knobs, clock_()),
      coordinator_(
          fleet, knobs, ownAddress_, life, clock_, random_,
          [this](const std::string& to, const QuotaMessage& message) { send(to, message); }),
      nextNumber_((random_.below(UINT32_MAX) + 1) << kNumberBits) {}

std::uint32_t QuotaService::partitionOf(const std::string& tenant) const {
  return static_cast<std::uint32_t>(XXH64(tenant.data(), tenant.size(), 0) % knobs_.partitions);
}

// A node may be its own coordinator. Its messages to itself are handled one after the other, never
// inside each other.
void QuotaService::send(const std::string& to, const QuotaMessage& message) {
  if (to != ownAddress_) {
    fleet_.send(to, message);
    return;
  }
  toSelf_.emplace_back(to, message);
  if (deliversToSelf_) {
    return;
  }
  deliversToSelf_ = true;
  while (!toSelf_.empty()) {
    const auto [sender, next] = std::move(toSelf_.front());
    toSelf_.pop_front();
    onMessage(sender, next);
  }
  deliversToSelf_ = false;
}

void QuotaService::dropVoid(Account& account, Instant now) {
  while (!account.spent.empty() && account.spent.front().until <= now) {
    account.spent.pop_front();
  }
}

bool QuotaService::trySpend(Account& account, ProgramStage stage, Instant now) {
  Tokens& tokens = account.tokens;
  const bool mayUse = stage == ProgramStage::Begun || tokens.isAmple;
  if (!mayUse || tokens.count == 0 || now >= tokens.until) {
    return false;
  }
  --tokens.count;
  dropVoid(account, now);
  account.spent.push_back({tokens.until, tokens.grantor});
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
  account.usedAt = now;
  const bool isUsable = account.waiters.empty() && now >= account.tokens.usableAt;
  if (isUsable && trySpend(account, stage, now)) {
    ++counters_.grantedAtOnce;
    callback(QuotaDecision{});
    return;
  }
  account.waiters.push_back({stage, now, std::move(callback)});
  ++waiting_;
  if (!account.asking) {
    askCoordinator(account);
  }
}

// Which grant the token belongs to is not known: it gets the time of the one that is void first,
// so it is never spent later than its own time allows.
void QuotaService::giveBack(const std::string& tenant) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) {
    return;
  }
  const Instant now = clock_();
  Account& account = found->second;
  dropVoid(account, now);
  if (account.spent.empty()) {
    return;
  }
  const auto soonestVoid = std::min_element(
      account.spent.begin(), account.spent.end(),
      [](const SpentToken& left, const SpentToken& right) { return left.until < right.until; });
  const SpentToken token = *soonestVoid;
  account.spent.erase(soonestVoid);
  Tokens& atHand = account.tokens;
  const bool areAtHand = atHand.count > 0 && now < atHand.until;
  if (!areAtHand) {
    atHand = {1, atHand.isAmple, token.until, token.grantor, now};
  } else if (atHand.grantor == token.grantor) {
    ++atHand.count;
    atHand.until = std::min(atHand.until, token.until);
  }
}

std::string QuotaService::coordinatorFor(std::uint32_t partition, const std::string& failed) const {
  const auto proven = proven_.find(partition);
  if (proven != proven_.end() && proven->second != failed) {
    return proven->second;
  }
  for (const std::string& candidate : fleet_.coordinatorsOf(partition)) {
    if (candidate != failed) {
      return candidate;
    }
  }
  return failed;
}

void QuotaService::askCoordinator(Account& account) {
  ask(account, coordinatorFor(partitionOf(account.tenant.name), {}), 1);
}

void QuotaService::ask(Account& account, const std::string& coordinator, std::uint32_t tries) {
  const Instant now = clock_();
  TokenRequest request;
  request.number = nextNumber_++;
  request.tenant = account.tenant.name;
  for (const Waiter& waiter : account.waiters) {
    ++(waiter.stage == ProgramStage::Begun ? request.forBegun : request.forBeginning);
  }
  // Tokens at hand are void or do not serve those who wait; this node will not spend them any more.
  request.returned = account.tokens.count;
  request.grantor = account.tokens.grantor;
  account.tokens = {};
  Asking asking;
  asking.number = request.number;
  asking.coordinator = coordinator;
  asking.sentAt = now;
  asking.waiters = account.waiters.size();
  asking.tries = tries;
  if (account.asking) {
    askingTenants_.erase(account.asking->number);
  }
  account.asking = asking;
  askingTenants_[asking.number] = account.tenant.name;
  if (!asking.coordinator.empty()) {
    ++counters_.tokenRequests;
    send(asking.coordinator, request);
  }
}

void QuotaService::onMessage(const std::string& from, const QuotaMessage& message) {
  if (const auto* const lend = std::get_if<LendRequest>(&message)) {
    onLendRequest(from, *lend);
  } else if (const auto* const lent = std::get_if<LendReply>(&message)) {
    coordinator_.onLendReply(from, *lent);
  } else if (const auto* const request = std::get_if<TokenRequest>(&message)) {
    coordinator_.onTokenRequest(from, partitionOf(request->tenant), *request);
  } else if (const auto* const end = std::get_if<LendEnd>(&message)) {
    onLendEnd(from, *end);
  } else if (const auto* const handed = std::get_if<HandOver>(&message)) {
    coordinator_.onHandOver(from, *handed);
  } else {
    onTokenReply(std::get<TokenReply>(message));
  }
}

void QuotaService::onLendRequest(const std::string& from, const LendRequest& request) {
  coordinator_.considerRival(from, request);
  const double share = fleet_.ownShare();
  if (share > 0 && lender_.lend(request.partition, from, request.round, clock_())) {
    send(from, LendReply{request.partition, request.round, share});
  }
}

void QuotaService::onLendEnd(const std::string& from, const LendEnd& end) {
  lender_.onEnd(end.partition, from, end.round, clock_());
  coordinator_.onRivalEnd(from, end.partition);
}

void QuotaService::onTokenReply(const TokenReply& reply) {
  const auto entry = askingTenants_.find(reply.number);
  if (entry == askingTenants_.end()) {
    return;  // Too late: it was asked again, and what this grants is void.
  }
  Account& account = accounts_.at(entry->second);
  lastAnswers_[partitionOf(account.tenant.name)] = {account.asking->coordinator, clock_(),
                                                    reply.decided};
  if (!reply.decided) {
    followOrPause(account, reply.coordinator);
    return;
  }
  askingTenants_.erase(entry);
  const Asking asked = *std::exchange(account.asking, std::nullopt);
  const std::uint32_t partition = partitionOf(account.tenant.name);
  proven_[partition] = asked.coordinator;
  std::string& known = lastDecided_[partition];
  if (known != asked.coordinator) {
    known = asked.coordinator;
    fleet_.onCoordinatorChanged(partition, asked.coordinator);
  }
  takeTokens(account, asked, reply);
  serveWaiters(account, asked, reply);
}

// A coordinator that is not the first choice keeps deciding while some nodes ask it. The others ask
// the first choices only, which give way to it and decide nothing, so they have to be told of it.
void QuotaService::followOrPause(Account& account, const std::string& coordinator) {
  const Asking& asking = *account.asking;
  const bool isNew = !coordinator.empty() && coordinator != asking.coordinator;
  if (isNew && asking.redirects < knobs_.mostRedirects) {
    const std::uint32_t redirects = asking.redirects + 1;
    const std::string firstChoice =
        asking.redirects == 0 ? asking.coordinator : asking.redirectedBy;
    ask(account, coordinator, 1);
    account.asking->redirects = redirects;
    account.asking->redirectedBy = firstChoice;
    return;
  }
  account.asking->isPaused = true;
}

void QuotaService::takeTokens(Account& account, const Asking& asked, const TokenReply& reply) {
  account.tokens = {reply.granted, reply.isAmple,
                    asked.sentAt + knobs_.tokenLifetime + reply.usableAfter, reply.grantor,
                    clock_() + reply.usableAfter};
}

void QuotaService::serveWaiters(Account& account, const Asking& asked, const TokenReply& reply) {
  const Instant now = clock_();
  // Programs that have begun go first: tokens may not be enough for all.
  std::deque<Waiter> decided;
  const std::size_t count = std::min(asked.waiters, account.waiters.size());
  for (std::size_t index = 0; index < count; ++index) {
    decided.push_back(std::move(account.waiters.front()));
    account.waiters.pop_front();
  }
  std::stable_partition(decided.begin(), decided.end(),
                        [](const Waiter& waiter) { return waiter.stage == ProgramStage::Begun; });
  const bool isVoid = now >= account.tokens.until;
  const std::uint32_t granted = account.tokens.count;
  const Instant usableAt = now + reply.usableAfter;
  std::vector<std::pair<Callback, QuotaDecision>> answers;
  for (Waiter& waiter : decided) {
    QuotaDecision decision = QuotaDecision{};
    // Tokens were granted for each waiter by itself when the reply says that they are ample; else
    // only for programs that have begun.
    if (!trySpend(account, waiter.stage, now)) {
      const bool isUnknown = isVoid && granted > 0;
      decision = {isUnknown ? QuotaVerdict::Unknown : QuotaVerdict::OverLimit,
                  spread(reply.retryAfter)};
      if (isUnknown) {
        decision.trace = traceOf(account, asked.coordinator, waiter.since);
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
  waiting_ -= answers.size();
  if (!account.waiters.empty()) {
    askCoordinator(account);
  }
  for (const auto& [callback, decision] : answers) {
    callback(decision);
  }
}

Duration QuotaService::spread(Duration retryAfter) {
  const double factor = 1.0 + kRetrySpread * random_.fraction();
  return std::chrono::duration_cast<Duration>(retryAfter * factor);
}

void QuotaService::onTick() {
  const Instant now = clock_();
  std::vector<std::string> due;
  for (const auto& [name, account] : accounts_) {
    if (account.asking || !account.scheduled.empty()) {
      due.push_back(name);
    }
  }
  for (const std::string& name : due) {
    Account& account = accounts_.at(name);
    releaseDue(account);
    if (account.asking) {
      checkAccount(account);
    }
  }
  std::erase_if(accounts_, [now](const auto& entry) {
    return entry.second.waiters.empty() && !entry.second.asking && entry.second.scheduled.empty() &&
           now - entry.second.usedAt > kIdleAccountLifetime;
  });
  coordinator_.onTick();
}

void QuotaService::releaseDue(Account& account) {
  const Instant now = clock_();
  while (!account.scheduled.empty() && account.scheduled.front().at <= now) {
    const Callback callback = std::move(account.scheduled.front().callback);
    account.scheduled.pop_front();
    --waiting_;
    callback(QuotaDecision{});
  }
}

void QuotaService::checkAccount(Account& account) {
  const Instant now = clock_();
  while (!account.waiters.empty() && now - account.waiters.front().since >= knobs_.waitLimit) {
    giveUpOldest(account);
  }
  if (account.waiters.empty()) {
    askingTenants_.erase(account.asking->number);
    account.asking.reset();
    return;
  }
  const Duration pause = account.asking->isPaused ? knobs_.undecidedPause : knobs_.replyTimeout;
  if (now - account.asking->sentAt < pause) {
    return;
  }
  // Without a coordinator the node's own share decides, as far as it is not lent.
  const double share = fleet_.ownShare();
  if (lender_.trySpendOwn(partitionOf(account.tenant.name), account.tenant, share, now)) {
    ++counters_.grantedFromOwnShare;
    finish(account, QuotaDecision{});
  }
  if (account.waiters.empty()) {
    askingTenants_.erase(account.asking->number);
    account.asking.reset();
    return;
  }
  const Asking asked = *account.asking;
  if (!asked.isPaused && asked.tries < knobs_.triesOfOneCoordinator) {
    ask(account, asked.coordinator, asked.tries + 1);
    return;
  }
  // It is silent, or has not borrowed enough.
  const std::uint32_t partition = partitionOf(account.tenant.name);
  if (const auto proven = proven_.find(partition);
      proven != proven_.end() && proven->second == asked.coordinator) {
    proven_.erase(proven);
  }
  const bool wasRedirected = asked.redirects > 0;
  ask(account, coordinatorFor(partition, wasRedirected ? asked.redirectedBy : asked.coordinator),
      1);
}

void QuotaService::giveUpOldest(Account& account) {
  ++counters_.unknown;
  const std::string coordinator = account.asking ? account.asking->coordinator : std::string();
  finish(account, {QuotaVerdict::Unknown, spread(knobs_.shortestRetryAfter),
                   traceOf(account, coordinator, account.waiters.front().since)});
}

QuotaTrace QuotaService::traceOf(const Account& account, const std::string& coordinator,
                                 Instant since) const {
  const Instant now = clock_();
  QuotaTrace trace;
  trace.partition = partitionOf(account.tenant.name);
  trace.coordinator = coordinator;
  trace.waited = now - since;
  if (const auto last = lastAnswers_.find(trace.partition); last != lastAnswers_.end()) {
    trace.lastAnswerBy = last->second.coordinator;
    trace.lastAnswerAge = now - last->second.at;
    trace.lastAnswerDecided = last->second.decided;
  }
  return trace;
}

void QuotaService::finish(Account& account, const QuotaDecision& decision) {
  const Callback callback = std::move(account.waiters.front().callback);
  account.waiters.pop_front();
  if (account.asking && account.asking->waiters > 0) {
    --account.asking->waiters;
  }
  --waiting_;
  callback(decision);
}

}  // namespace gorsetrail::quota
