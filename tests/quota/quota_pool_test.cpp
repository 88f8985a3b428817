// Guards the token buckets of a coordinator and their parts: leases, window counter, codec.
#include "quota/quota_pool.h"

#include "quota/sliding_count.h"
#include "quota/static_shares.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::quota;

namespace {

const Instant kStart(seconds(100));
constexpr std::uint64_t kIncarnation = 7;

TokenRequest requestOf(std::uint32_t started, std::uint32_t starting = 0) {
  TokenRequest request;
  request.requestId = 1;
  request.tenant = "t";
  request.tokensForStarted = started;
  request.tokensForStarting = starting;
  return request;
}

}  // namespace

TEST_GROUP(QuotaPool) {
  QuotaKnobs knobs;
  QuotaPool pool{knobs, kIncarnation};
  tenant::Quota quota{20, 10};

  /// Leases this share from `kStart` on; after the default span the buckets are full.
  void leaseShare(double share, Duration span = seconds(10)) {
    pool.addLease("node", share, kStart + span + seconds(100), kStart);
  }
  static Instant afterStart(Duration span) { return kStart + span; }
  std::uint32_t requestAll(Instant now) { return pool.grant(requestOf(1000), quota, now).granted; }
};

TEST(QuotaPool, isUndecidedWithoutLeasedShares) {
  const TokenReply reply = pool.grant(requestOf(1), quota, kStart);
  CHECK_FALSE(reply.decided);
  LONGS_EQUAL(0, reply.granted);
}

TEST(QuotaPool, isUndecidedInsteadOfRejectingBelowQuorum) {
  leaseShare(0.4);
  CHECK_TRUE(pool.grant(requestOf(1), quota, afterStart(seconds(10))).decided);
  const TokenReply reply = pool.grant(requestOf(1000), quota, afterStart(seconds(10)));
  CHECK_FALSE(reply.decided);
  LONGS_EQUAL(0, reply.granted);
}

TEST(QuotaPool, staysWithinTheLimitInAnyFiveSeconds) {
  leaseShare(1.0);
  std::uint32_t granted = 0;
  for (int step = 0; step < 50; ++step) {
    granted += requestAll(afterStart(seconds(10) + milliseconds(100) * step));
  }
  CHECK(granted <= (20 * 5 + 10) * 1.1 + 20 - 0.4 * 20);
  CHECK(granted >= 20 * 5 + 10);
}

TEST(QuotaPool, grantsInProportionToTheLeasedShare) {
  leaseShare(0.6);
  std::uint32_t granted = 0;
  for (int step = 0; step < 100; ++step) {
    granted += requestAll(afterStart(seconds(10) + milliseconds(100) * step));
  }
  CHECK(granted <= 0.6 * (20 * 10 + 10 + 40));
}

TEST(QuotaPool, grantsUnaccruedTokensWithADelay) {
  leaseShare(1.0);
  const Instant now = afterStart(seconds(10));
  Duration wait{};
  for (int count = 0; count < 45; ++count) {
    const TokenReply reply = pool.grant(requestOf(1), quota, now);
    wait = reply.granted > 0 ? reply.usableAfter : wait;
  }
  CHECK(wait > Duration::zero());
  CHECK(wait <= knobs.maxTokenDelay);
}

TEST(QuotaPool, returnedTokensAreAcceptedOnlyByTheirGrantor) {
  leaseShare(1.0);
  const Instant now = afterStart(seconds(10));
  requestAll(now);
  TokenRequest returning = requestOf(1);
  returning.returned = 5;
  returning.grantor = kIncarnation + 1;
  LONGS_EQUAL(0, pool.grant(returning, quota, now).granted);
  returning.grantor = kIncarnation;
  LONGS_EQUAL(1, pool.grant(returning, quota, now).granted);
}

TEST(QuotaPool, rejectionsSuggestARetryDelay) {
  leaseShare(1.0);
  const Instant now = afterStart(seconds(10));
  requestAll(now);
  const TokenReply reply = pool.grant(requestOf(10), quota, now);
  LONGS_EQUAL(0, reply.granted);
  CHECK(reply.retryAfter >= knobs.minRetryAfter);
  CHECK(reply.retryAfter <= knobs.maxRetryAfter);
}

TEST(QuotaPool, aNewCoordinatorStartsWithFewTokens) {
  leaseShare(1.0);
  CHECK(requestAll(kStart) <= knobs.initialTokens + 20 * 0.25);
}

TEST(QuotaPool, successorContinuesWithTheHandedOverAccounts) {
  leaseShare(1.0);
  const Instant now = afterStart(seconds(10));
  const std::uint32_t burst = requestAll(now);
  QuotaPool next(knobs, kIncarnation + 1);
  for (const HandOver& message : pool.exportAccounts(2, now)) {
    LONGS_EQUAL(2, message.partition);
    next.importAccounts(message, now);
    next.importAccounts(message, now);  // A duplicate is ignored.
  }
  next.addLease("node", 1.0, now + seconds(100), now);
  LONGS_EQUAL(0, next.grant(requestOf(1000), quota, now).granted);
  std::uint32_t granted = burst;
  for (int step = 1; step <= 50; ++step) {
    granted += next.grant(requestOf(1000), quota, now + milliseconds(100) * step).granted;
  }
  CHECK(granted <= (20 * 5 + 10) * 1.1 + 20 - 0.4 * 20);
  CHECK(granted >= burst + 20 * 4);  // The successor grants tokens at the tenant's rate.
}

TEST(QuotaPool, handsOverAnUnusedBucketInFull) {
  leaseShare(1.0);
  const Instant now = afterStart(seconds(10));
  pool.grant(requestOf(1), quota, now);
  QuotaPool next(knobs, kIncarnation + 1);
  for (const HandOver& message : pool.exportAccounts(0, now)) {
    next.importAccounts(message, now);
  }
  // With the first lease only, capacity is smaller than the handed-over level.
  next.addLease("first", 0.3, now + seconds(100), now);
  CHECK_FALSE(next.grant(requestOf(1), quota, now + milliseconds(5)).decided);
  next.addLease("others", 0.7, now + seconds(100), now + milliseconds(10));
  CHECK(next.grant(requestOf(1000), quota, now + milliseconds(10)).granted > 30);
}

TEST(QuotaPool, discardsAHandOverIfLeasesArriveTooLate) {
  leaseShare(1.0);
  const Instant now = afterStart(seconds(10));
  pool.grant(requestOf(1), quota, now);
  QuotaPool next(knobs, kIncarnation + 1);
  for (const HandOver& message : pool.exportAccounts(0, now)) {
    next.importAccounts(message, now);
  }
  next.addLease("node", 1.0, now + seconds(100), now + seconds(2));
  CHECK(next.grant(requestOf(1000), quota, now + seconds(2)).granted <= knobs.initialTokens + 5);
}

TEST(QuotaPool, resetsLevelsAfterLosingItsShares) {
  pool.addLease("node", 1.0, afterStart(seconds(10)), kStart);
  pool.grant(requestOf(1), quota, afterStart(seconds(9)));  // The bucket is full at this time.
  const Instant regained = afterStart(seconds(12));
  pool.addLease("node", 1.0, regained + seconds(10), regained);
  // Another coordinator may have granted a full bucket in the meantime.
  CHECK(pool.grant(requestOf(1000), quota, regained).granted <= knobs.initialTokens + 20 * 0.25);
}

TEST_GROUP(BorrowedShares) { BorrowedShares shares; };

TEST(BorrowedShares, sumsLeasesUntilTheyExpire) {
  shares.addLease("a", 0.25, kStart + seconds(2), kStart);
  shares.addLease("b", 0.25, kStart + seconds(1), kStart);
  DOUBLES_EQUAL(0.5, shares.share(kStart), 1e-9);
  DOUBLES_EQUAL(0.25, shares.share(kStart + seconds(1)), 1e-9);
  DOUBLES_EQUAL(0.0, shares.share(kStart + seconds(2)), 1e-9);
  DOUBLES_EQUAL(0.75, shares.shareSeconds(kStart + seconds(9)), 1e-9);
}

TEST(BorrowedShares, ignoresALeaseThatExpiredInTransit) {
  shares.addLease("a", 1.0, kStart, kStart + seconds(1));
  DOUBLES_EQUAL(0.0, shares.share(kStart + seconds(1)), 1e-9);
}

TEST(BorrowedShares, countsARenewedLeaseOnce) {
  shares.addLease("a", 0.5, kStart + seconds(1), kStart);
  shares.addLease("a", 0.5, kStart + seconds(2), kStart + milliseconds(500));
  DOUBLES_EQUAL(0.5, shares.share(kStart + milliseconds(1500)), 1e-9);
  DOUBLES_EQUAL(1.0, shares.shareSeconds(kStart + seconds(5)), 1e-9);
}

TEST_GROUP(SlidingCount) { SlidingCount count; };

TEST(SlidingCount, dropsOnlyCountsOutsideTheWindow) {
  count.add(3, kStart);
  count.add(4, kStart + milliseconds(2500));
  LONGS_EQUAL(7, count.sum(kStart + milliseconds(5000)));
  LONGS_EQUAL(4, count.sum(kStart + milliseconds(5100)));
  LONGS_EQUAL(4, count.sum(kStart + milliseconds(7500)));
  LONGS_EQUAL(0, count.sum(kStart + seconds(1000)));
}

TEST(SlidingCount, mergedCountsDoNotExpireEarly) {
  SlidingCount other;
  const Instant start(seconds(100));
  other.add(5, start);
  other.add(2, start + seconds(2));
  count.addCountsByAge(other.countsByAge(start + seconds(3)),
                       start + seconds(3) + milliseconds(70));
  LONGS_EQUAL(7, count.sum(start + milliseconds(5000)));
  LONGS_EQUAL(2, count.sum(start + milliseconds(5400)));
  LONGS_EQUAL(0, count.sum(start + milliseconds(7500)));
}

TEST_GROUP(StaticShares){};

TEST(StaticShares, grantsItsFractionOfTheLimit) {
  Instant now = kStart;
  StaticShares shares([] { return 0.1; }, [&now] { return now; });
  const tenant::Tenant tenant{"t", {}, {}, {100, 50}};
  std::size_t granted = 0;
  for (int step = 0; step < 1000; ++step) {
    shares.admit(tenant, ProgramStage::Started, [&granted](QuotaDecision decision) {
      granted += decision.verdict == QuotaVerdict::Granted ? 1 : 0;
    });
    now += milliseconds(10);
  }
  CHECK(granted >= 100);
  CHECK(granted <= 106);
}

TEST_GROUP(QuotaMessage){};

TEST(QuotaMessage, roundTripPreservesFields) {
  TokenRequest request{9, "tenant", 1, 2, 4, 5};
  const auto read = decodeQuotaMessage(encodeQuotaMessage(request));
  const auto& same = std::get<TokenRequest>(valueOf(read));
  STRCMP_EQUAL("tenant", same.tenant.c_str());
  LONGS_EQUAL(1, same.tokensForStarted);
  LONGS_EQUAL(2, same.tokensForStarting);
  LONGS_EQUAL(4, same.returned);
  LONGS_EQUAL(5, same.grantor);
  const TokenReply reply{9, true, 4, true, milliseconds(200), milliseconds(30), 5};
  const auto readReply = decodeQuotaMessage(encodeQuotaMessage(reply));
  const auto& sameReply = std::get<TokenReply>(valueOf(readReply));
  CHECK(sameReply.retryAfter == milliseconds(200));
  CHECK(sameReply.usableAfter == milliseconds(30));
  const auto end = decodeQuotaMessage(encodeQuotaMessage(LeaseRelease{2, 77}));
  LONGS_EQUAL(77, std::get<LeaseRelease>(valueOf(end)).round);
  const HandOver handOver{3, 8, 1, {{"a", -2.5, {1, 0, 7}}, {"b", 4, {}}}};
  const auto handed = decodeQuotaMessage(encodeQuotaMessage(handOver));
  const auto& sameHandOver = std::get<HandOver>(valueOf(handed));
  LONGS_EQUAL(3, sameHandOver.partition);
  LONGS_EQUAL(8, sameHandOver.grantor);
  LONGS_EQUAL(1, sameHandOver.part);
  LONGS_EQUAL(2, sameHandOver.accounts.size());
  STRCMP_EQUAL("a", sameHandOver.accounts[0].tenant.c_str());
  DOUBLES_EQUAL(-2.5, sameHandOver.accounts[0].level, 1e-9);
  CHECK((sameHandOver.accounts[0].granted == std::vector<std::uint16_t>{1, 0, 7}));
  LONGS_EQUAL(0, sameHandOver.accounts[1].granted.size());
}

TEST(QuotaMessage, rejectsMalformedMessagesAndInvalidShares) {
  CHECK_FALSE(succeeded(decodeQuotaMessage("")));
  CHECK_FALSE(succeeded(decodeQuotaMessage("no message at all, of some length")));
  CHECK_FALSE(succeeded(decodeQuotaMessage(encodeQuotaMessage(LeaseGrant{0, 1, 1.5}))));
  CHECK_FALSE(succeeded(decodeQuotaMessage(encodeQuotaMessage(LeaseGrant{0, 1, -0.1}))));
}
