#include "bundle/bundle_holder.h"

#include <algorithm>
#include <utility>

#include "bundle/bundle_digest.h"
#include "bundle/signature_check.h"

namespace gorsetrail::bundle {
namespace {

std::string versionText(BundleVersion version) { return std::to_string(version.value()); }

Error notEnoughSignatures(std::size_t found, std::size_t needed) {
  return Error{ErrorKind::InvalidSignature, "/signatures",
               std::to_string(found) + " valid signatures of operators, " + std::to_string(needed) +
                   " needed",
               "have it signed by operators of the bundle in force (`gorsetrail bundle sign`)"};
}

Error otherSite(const std::string& offered, const std::string& own) {
  return Error{ErrorKind::InvalidBundle, "/site",
               "the bundle is for site \"" + offered + "\", this is \"" + own + "\"",
               "publish it to the log of its own site"};
}

Error tooOld(BundleVersion offered, BundleVersion inForce) {
  return Error{ErrorKind::BundleTooOld, "/version",
               "version " + versionText(offered) + " is offered, version " + versionText(inForce) +
                   " is in force",
               "make a new version from version " + versionText(inForce)};
}

Error lostTo(const Bundle& winner, const Bundle& loser) {
  return Error{ErrorKind::BundleConflict, "/base",
               "version " + versionText(loser.version) + " is based on version " +
                   versionText(loser.base) + ", but version " + versionText(winner.version) +
                   " won and is the newest",
               "make a new version from version " + versionText(winner.version)};
}

Error otherBase(const Bundle& current) {
  return Error{
      ErrorKind::BundleConflict, "/base_digest",
      "it was made from another bundle of version " + versionText(current.version) +
          " than the one that won",
      "make a new version from the version " + versionText(current.version) + " that is in force"};
}

Error summaryOf(std::vector<Error> errors) {
  Error first = std::move(errors.front());
  if (errors.size() > 1) {
    first.reason += " (and " + std::to_string(errors.size() - 1) + " more errors)";
  }
  return first;
}

bool namesAnotherBase(const AcceptedBundle& offered, const AcceptedBundle& current) {
  return offered.bundle.base == current.bundle.version && !offered.bundle.baseDigest.empty() &&
         offered.bundle.baseDigest != current.digest;
}

}  // namespace

BundleHolder::BundleHolder(std::string site, std::vector<Operator> trustAnchors)
    : site_(std::move(site)), trustAnchors_(std::move(trustAnchors)) {}

Result<BundleVersion> BundleHolder::offerFromLog(std::string_view envelope) {
  Result<AcceptedPointer> accepted = judgeLogRecord(envelope);
  if (!succeeded(accepted)) {
    ++refused_;
    return errorOf(accepted);
  }
  advanceLogHead(std::move(valueOf(accepted)));
  return inForce_->bundle.version;
}

Result<BundleVersion> BundleHolder::offerFromPeer(std::string_view envelope) {
  Result<AcceptedPointer> accepted = judgePeerOffer(envelope);
  if (!succeeded(accepted)) {
    ++refused_;
    return errorOf(accepted);
  }
  inForce_ = std::move(valueOf(accepted));
  return inForce_->bundle.version;
}

std::shared_ptr<const Bundle> BundleHolder::inForce() const {
  return inForce_ ? std::shared_ptr<const Bundle>(inForce_, &inForce_->bundle) : nullptr;
}

const std::string& BundleHolder::envelope() const {
  static const std::string kNone;
  return inForce_ ? inForce_->envelope : kNone;
}

Result<BundleHolder::AcceptedPointer> BundleHolder::examine(std::string_view envelope,
                                                            const AcceptedBundle* current) const {
  Result<SignedBundle> decoded = decodeEnvelope(envelope);
  if (!succeeded(decoded)) {
    return errorOf(decoded);
  }
  const SignedBundle& offered = valueOf(decoded);
  const std::vector<Operator>& operators =
      current == nullptr ? trustAnchors_ : current->bundle.operators;
  const std::size_t signers = validSigners(offered, operators).size();
  const std::size_t minimum = current == nullptr ? 1 : current->bundle.signaturesNeeded;
  // Signatures go first, so that the parser sees only what an operator wrote.
  if (signers < minimum) {
    return notEnoughSignatures(signers, minimum);
  }
  std::variant<Bundle, std::vector<Error>> parsed = parseBundle(offered.bundleJson);
  if (auto* errors = std::get_if<std::vector<Error>>(&parsed)) {
    return summaryOf(std::move(*errors));
  }
  Bundle& bundle = std::get<Bundle>(parsed);
  if (bundle.site != site_) {
    return otherSite(bundle.site, site_);
  }
  const std::size_t ownThreshold =
      std::min<std::size_t>(bundle.signaturesNeeded, countKeys(trustAnchors_));
  if (current == nullptr && signers < ownThreshold) {
    return notEnoughSignatures(signers, ownThreshold);
  }
  return std::make_shared<const AcceptedBundle>(
      AcceptedBundle{std::move(bundle), std::string(envelope), bundleDigest(offered.bundleJson)});
}

Result<BundleHolder::AcceptedPointer> BundleHolder::judgeLogRecord(
    std::string_view envelope) const {
  Result<AcceptedPointer> examined = examine(envelope, logHead_.get());
  if (!succeeded(examined)) {
    return examined;
  }
  const AcceptedBundle& offered = *valueOf(examined);
  const BundleVersion headVersion = logHead_ ? logHead_->bundle.version : BundleVersion(0);
  if (logHead_ && offered.digest == logHead_->digest) {
    return tooOld(offered.bundle.version, headVersion);
  }
  if (offered.bundle.base != headVersion) {
    static const Bundle kNothing;
    return lostTo(logHead_ ? logHead_->bundle : kNothing, offered.bundle);
  }
  if (logHead_ && namesAnotherBase(offered, *logHead_)) {
    return otherBase(logHead_->bundle);
  }
  return examined;
}

Result<BundleHolder::AcceptedPointer> BundleHolder::judgePeerOffer(
    std::string_view envelope) const {
  Result<AcceptedPointer> examined = examine(envelope, inForce_.get());
  if (!succeeded(examined) || !inForce_) {
    return examined;
  }
  const AcceptedBundle& offered = *valueOf(examined);
  if (offered.bundle.version == inForce_->bundle.version && offered.digest != inForce_->digest) {
    return lostTo(inForce_->bundle, offered.bundle);
  }
  if (offered.bundle.version <= inForce_->bundle.version) {
    return tooOld(offered.bundle.version, inForce_->bundle.version);
  }
  if (namesAnotherBase(offered, *inForce_)) {
    return otherBase(inForce_->bundle);
  }
  return examined;
}

void BundleHolder::advanceLogHead(AcceptedPointer accepted) {
  logHead_ = std::move(accepted);
  const bool isBehind = inForce_ && logHead_->bundle.version < inForce_->bundle.version;
  if (isBehind) {
    return;  // A peer's bundle is ahead; the log will lead there.
  }
  const bool isSameVersion = inForce_ && logHead_->bundle.version == inForce_->bundle.version;
  if (isSameVersion && logHead_->digest != inForce_->digest) {
    ++replacedByLog_;  // Log order decides a race, whatever a peer claimed.
  }
  inForce_ = logHead_;
}

}  // namespace gorsetrail::bundle
