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

/// Holds the bundle in force; it never goes down a version.
/// A bundle is accepted when its signatures satisfy the operators and threshold of the bundle in
/// force (of the settings' trust anchors when none is), and either its base is the version in
/// force (log order) or its version is higher (learned from a peer or after a gap).
class BundleHolder {
 public:
  /// \param trustAnchors operators trusted before any bundle is in force.
  BundleHolder(std::string site, std::vector<Operator> trustAnchors);

  /// Offers an envelope as it stands in the log, in log order.
  Result<BundleVersion> offerFromLog(std::string_view envelope);
  /// Offers an envelope that a peer sent.
  Result<BundleVersion> offerFromPeer(std::string_view envelope);

  /// \return the bundle in force; null before the first.
  [[nodiscard]] std::shared_ptr<const Bundle> inForce() const { return inForce_; }
  /// \return the envelope in force, for peers; empty before the first.
  [[nodiscard]] const std::string& envelope() const { return envelope_; }
  [[nodiscard]] std::uint64_t refusedCount() const { return refused_; }

 private:
  Result<BundleVersion> accept(std::string_view envelope, bool requireBase);

  std::string site_;
  std::vector<Operator> trustAnchors_;
  std::shared_ptr<const Bundle> inForce_;
  std::string envelope_;
  std::uint64_t refused_ = 0;
};

}  // namespace gorsetrail::bundle
