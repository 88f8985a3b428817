#include <memory>
#include <string>

#include "bundle_samples.h"

#include <CppUTest/TestHarness.h>

using namespace gorsetrail;
using namespace gorsetrail::bundle;
using nlohmann::json;

namespace {

struct Site {
  TestOperator a = makeOperator("operator-a");
  TestOperator b = makeOperator("operator-b");

  [[nodiscard]] BundleHolder node() const {
    return BundleHolder("paino-lumo", {a.publicPart(), b.publicPart()});
  }
  /// A bundle that differs from others of its version by its weight.
  [[nodiscard]] std::string sealed(const TestOperator& signer, std::uint64_t version,
                                   std::uint64_t base, double weight = 0.5) const {
    json bundle = sampleBundle(version, base, {a, b});
    bundle["latency_weight"] = weight;
    return sealedBy({signer}, bundle);
  }
};

void checkRefused(const Result<BundleVersion>& result, ErrorKind kind) {
  CHECK_TEXT(!succeeded(result), "the offer must be refused");
  STRCMP_EQUAL(std::string(errorKindName(kind)).c_str(),
               std::string(errorKindName(errorOf(result).kind)).c_str());
  CHECK(!errorOf(result).remedy.empty());
}

std::uint64_t versionOf(const BundleHolder& node) {
  return node.inForce() ? node.inForce()->version.value() : 0;
}

}  // namespace

TEST_GROUP(Holder) { Site site; };

TEST(Holder, TakesVersionsInLogOrder) {
  BundleHolder node = site.node();
  CHECK(node.inForce() == nullptr);
  CHECK(node.envelope().empty());
  const std::string first = site.sealed(site.a, 1, 0);
  CHECK(std::get<BundleVersion>(node.offerFromLog(first)) == BundleVersion(1));
  CHECK(std::get<BundleVersion>(node.offerFromLog(site.sealed(site.b, 2, 1))) == BundleVersion(2));
  LONGS_EQUAL(0, node.refusedCount());
}

TEST(Holder, SecondRacerGetsAConflictThatNamesTheWinner) {
  BundleHolder node = site.node();
  node.offerFromLog(site.sealed(site.a, 1, 0));
  node.offerFromLog(site.sealed(site.a, 3, 1, 0.1));
  const Result<BundleVersion> second = node.offerFromLog(site.sealed(site.b, 2, 1, 0.9));
  checkRefused(second, ErrorKind::BundleConflict);
  STRCMP_CONTAINS("version 3 won", errorOf(second).reason.c_str());
  DOUBLES_EQUAL(0.1, node.inForce()->latencyWeight, 1e-9);
  LONGS_EQUAL(1, node.refusedCount());
}

TEST(Holder, NothingThatIsNotProperlySignedChangesAnything) {
  BundleHolder node = site.node();
  const TestOperator stranger = makeOperator("operator-a");
  checkRefused(node.offerFromLog(site.sealed(stranger, 1, 0)), ErrorKind::InvalidSignature);
  checkRefused(node.offerFromPeer(sealedBy({}, sampleBundle(1, 0, {site.a}))),
               ErrorKind::InvalidSignature);
  SignedBundle changed = valueOf(decodeEnvelope(site.sealed(site.a, 1, 0)));
  changed.bundleJson += " ";
  checkRefused(node.offerFromLog(encodeEnvelope(changed)), ErrorKind::InvalidSignature);
  checkRefused(node.offerFromLog("no envelope"), ErrorKind::InvalidBundle);
  LONGS_EQUAL(4, node.refusedCount());
  CHECK(node.inForce() == nullptr);
}

TEST(Holder, NeverGoesDownAVersion) {
  BundleHolder node = site.node();
  const std::string first = site.sealed(site.a, 1, 0);
  const std::string second = site.sealed(site.a, 2, 1);
  node.offerFromLog(first);
  node.offerFromLog(second);
  checkRefused(node.offerFromLog(second), ErrorKind::BundleTooOld);
  checkRefused(node.offerFromLog(first), ErrorKind::BundleConflict);
  checkRefused(node.offerFromPeer(first), ErrorKind::BundleTooOld);
  checkRefused(node.offerFromPeer(second), ErrorKind::BundleTooOld);
  LONGS_EQUAL(2, versionOf(node));
  LONGS_EQUAL(4, node.refusedCount());
}

TEST(Holder, RefusesAnotherSite) {
  BundleHolder node("brazos-bend", {site.a.publicPart()});
  checkRefused(node.offerFromLog(site.sealed(site.a, 1, 0)), ErrorKind::InvalidBundle);
  checkRefused(node.offerFromPeer(site.sealed(site.a, 1, 0)), ErrorKind::InvalidBundle);
}

TEST(Holder, OneOperatorCountsOnceHoweverOftenItSigns) {
  BundleHolder node = site.node();
  const json first = sampleBundle(1, 0, {site.a, site.b}, 2);
  checkRefused(node.offerFromLog(sealedBy({site.a}, first)), ErrorKind::InvalidSignature);
  checkRefused(node.offerFromLog(sealedBy({site.a, site.a}, first)), ErrorKind::InvalidSignature);
  CHECK(succeeded(node.offerFromLog(sealedBy({site.a, site.b}, first))));
  const json next = sampleBundle(2, 1, {site.a, site.b}, 1);
  checkRefused(node.offerFromLog(sealedBy({site.b, site.b}, next)), ErrorKind::InvalidSignature);
  CHECK(succeeded(node.offerFromLog(sealedBy({site.b, site.a}, next))));
}

TEST(Holder, OneKeyUnderTwoNamesCountsOnce) {
  TestOperator alias = site.a;
  alias.name = "alias";
  BundleHolder node("paino-lumo", {site.a.publicPart(), alias.publicPart(), site.b.publicPart()});
  const json first = sampleBundle(1, 0, {site.a, site.b}, 2);
  checkRefused(node.offerFromLog(sealedBy({site.a, alias}, first)), ErrorKind::InvalidSignature);
}

TEST(Holder, OperatorsOfTheBundleInForceDecideNotTheAnchors) {
  BundleHolder node = site.node();
  node.offerFromLog(sealedBy({site.a}, sampleBundle(1, 0, {site.a})));
  checkRefused(node.offerFromLog(site.sealed(site.b, 2, 1)), ErrorKind::InvalidSignature);
  CHECK(succeeded(node.offerFromLog(site.sealed(site.a, 2, 1))));
}

TEST(Holder, BaseDigestTiesAVersionToOneBase) {
  BundleHolder node = site.node();
  node.offerFromLog(site.sealed(site.a, 1, 0));
  json next = sampleBundle(2, 1, {site.a});
  next["base_digest"] = std::string(64, '0');
  checkRefused(node.offerFromLog(sealedBy({site.a}, next)), ErrorKind::BundleConflict);
  checkRefused(node.offerFromPeer(sealedBy({site.a}, next)), ErrorKind::BundleConflict);
  next["base_digest"] = node.logHead()->digest;
  CHECK(succeeded(node.offerFromLog(sealedBy({site.a}, next))));
}

TEST(Holder, LearnsFromPeersWhileTheLogIsDownAndGoesOnWithTheLog) {
  BundleHolder node = site.node();
  const std::string third = site.sealed(site.b, 3, 2);
  CHECK(succeeded(node.offerFromPeer(third)));
  LONGS_EQUAL(3, versionOf(node));
  CHECK(node.logHead() == nullptr);
  CHECK(std::get<BundleVersion>(node.offerFromLog(site.sealed(site.a, 1, 0))) == BundleVersion(3));
  CHECK(succeeded(node.offerFromLog(site.sealed(site.a, 2, 1))));
  CHECK(succeeded(node.offerFromLog(third)));
  CHECK(succeeded(node.offerFromLog(site.sealed(site.a, 4, 3))));
  LONGS_EQUAL(4, versionOf(node));
  LONGS_EQUAL(0, node.replacedByLogCount());
}

/// Log: 1, 3b (base 2, too early: refused), 2 (base 1). A node that learned 2 from a peer and then
/// reads 3b has its base, and would take the loser if peers' bundles counted in log order.
TEST(Holder, APeersBundleDoesNotLetALoserOfTheLogWin) {
  const std::string first = site.sealed(site.a, 1, 0);
  const std::string tooEarly = site.sealed(site.b, 3, 2, 0.9);
  const std::string second = site.sealed(site.a, 2, 1, 0.1);
  BundleHolder reader = site.node();
  for (const std::string& record : {first, tooEarly, second}) {
    reader.offerFromLog(record);
  }
  BundleHolder skipper = site.node();
  skipper.offerFromLog(first);
  skipper.offerFromPeer(reader.envelope());
  checkRefused(skipper.offerFromLog(tooEarly), ErrorKind::BundleConflict);
  skipper.offerFromLog(second);
  CHECK(skipper.envelope() == reader.envelope());
  LONGS_EQUAL(2, versionOf(skipper));
}

/// No node that keeps the rules sends a loser; should one do so, the log puts it right.
TEST(Holder, TheLogReplacesALoserOfTheSameVersion) {
  BundleHolder node = site.node();
  node.offerFromLog(site.sealed(site.a, 1, 0));
  node.offerFromPeer(site.sealed(site.b, 2, 1, 0.9));
  CHECK(succeeded(node.offerFromLog(site.sealed(site.a, 2, 1, 0.1))));
  DOUBLES_EQUAL(0.1, node.inForce()->latencyWeight, 1e-9);
  LONGS_EQUAL(1, node.replacedByLogCount());
  checkRefused(node.offerFromPeer(site.sealed(site.b, 2, 1, 0.9)), ErrorKind::BundleConflict);
}
