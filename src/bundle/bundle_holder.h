/// \file Decides which bundle is in force at a node: no I/O, no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/result.h"
#include "bundle/bundle.h"

namespace gorsetrail::bundle {

/// Parses and checks a bundle's JSON text against schema and cross-checks.
/// \return the bundle, or every error at once (path, reason, remedy), never an empty list.
std::variant<Bundle, std::vector<Error>> parseBundle(std::string_view json);

/// A signature of one operator over the bundle's exact bytes.
struct OperatorSignature {
  std::string operatorName;
  std::string signature;  ///< Ed25519, 64 bytes, base64.
};

/// What is published: the bundle's bytes and the signatures over them.
struct SignedBundle {
  std::string bundleJson;
  std::vector<OperatorSignature> signatures;
};

/// Envelope as JSON text `{"bundle": base64, "signatures": [{"operator","signature"}]}`.
std::string encodeEnvelope(const SignedBundle& bundle);
Result<SignedBundle> decodeEnvelope(std::string_view text);

/// A bundle that was accepted, with what proves it.
struct AcceptedBundle {
  Bundle bundle;
  std::string envelope;  ///< Byte for byte as published.
  std::string digest;    ///< `bundleDigest` of the bundle's bytes.
};

/// Holds the bundle in force; it never goes down a version.
///
/// Two bundles are kept apart. The *log head* is what replaying the log from its start has led to:
/// it is judged against nothing but the log, so it is the same at every node that has read as
/// far. The bundle *in force* is the higher of the log head and what peers sent. A bundle learned
/// from a peer must not decide which record of the log wins: a node that skipped versions would
/// else accept a record whose base it happens to have, though in log order that record came too
/// early and lost (docs/design/0003-bundle-in-force.md).
///
/// Signatures must satisfy the operators and threshold of the log head (records of the log) or of
/// the bundle in force (peers); before the first bundle, of the trust anchors: as many of them as
/// the offered bundle itself asks for, but not more than there are anchors, and at least one.
class BundleHolder {
 public:
  /// \param trustAnchors operators trusted before any bundle is in force.
  BundleHolder(std::string site, std::vector<Operator> trustAnchors);

  /// Offers a record of the log. Records are offered from the first of the stream on, in log
  /// order and without gaps; a record that is no envelope is offered too (and refused).
  /// \return the version in force afterwards (unchanged when a peer had sent a higher one), or why
  /// the record changes nothing: `BundleConflict` names the version that took the place.
  Result<BundleVersion> offerFromLog(std::string_view envelope);
  /// Offers an envelope that a peer of this site has in force. Never offer one from elsewhere: only
  /// the log tells the loser of a race from its winner, so a node passes on just what it accepted.
  /// \return the version now in force, or why nothing changes.
  Result<BundleVersion> offerFromPeer(std::string_view envelope);

  /// \return the bundle in force; null before the first.
  [[nodiscard]] std::shared_ptr<const Bundle> inForce() const;
  /// \return the envelope in force, for peers; empty before the first.
  [[nodiscard]] const std::string& envelope() const;
  /// \return what the log, as far as it was offered, has led to; null before its first bundle.
  [[nodiscard]] std::shared_ptr<const AcceptedBundle> logHead() const { return logHead_; }
  /// \return the number of offers that changed nothing.
  [[nodiscard]] std::uint64_t refusedCount() const { return refused_; }
  /// \return how often the log replaced a peer's bundle by another of the same version; anything
  /// but 0 means that a peer passed on what it had not accepted.
  [[nodiscard]] std::uint64_t replacedByLogCount() const { return replacedByLog_; }

 private:
  using AcceptedPointer = std::shared_ptr<const AcceptedBundle>;

  Result<AcceptedPointer> examine(std::string_view envelope, const AcceptedBundle* current) const;
  Result<AcceptedPointer> judgeLogRecord(std::string_view envelope) const;
  Result<AcceptedPointer> judgePeerOffer(std::string_view envelope) const;
  void advanceLogHead(AcceptedPointer accepted);

  std::string site_;
  std::vector<Operator> trustAnchors_;
  AcceptedPointer logHead_;
  AcceptedPointer inForce_;
  std::uint64_t refused_ = 0;
  std::uint64_t replacedByLog_ = 0;
};

}  // namespace gorsetrail::bundle
