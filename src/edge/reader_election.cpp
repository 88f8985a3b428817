#include "edge/reader_election.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace gorsetrail::edge {

// Consecutive seeds yield similar first random numbers; hashing them with the address spreads the
// claims of the nodes.
ReaderElection::ReaderElection(std::string ownAddress, double capacity, ReaderElectionKnobs knobs,
                               std::uint64_t seed)
    : ownAddress_(std::move(ownAddress)),
      capacity_(capacity),
      knobs_(knobs),
      random_(XXH64(ownAddress_.data(), ownAddress_.size(), seed)),
      noAnswerTimeout_(knobs.noAnswerTimeout) {}

bool ReaderElection::isSuspect(const std::string& address, Instant now) const {
  const auto found = suspectUntil_.find(address);
  return found != suspectUntil_.end() && now < found->second;
}

Duration ReaderElection::claimDelay() {
  const double weakness = knobs_.halfDelayCapacity / (knobs_.halfDelayCapacity + capacity_);
  const double delay = weakness * static_cast<double>(knobs_.lowCapacityDelay.count()) +
                       random_.fraction() * static_cast<double>(knobs_.claimSpread.count());
  return Duration(static_cast<Duration::rep>(delay));
}

void ReaderElection::onListed(const std::string& address, Instant now) {
  needsListing_ = false;
  isReader_ = address == ownAddress_;
  if (reader_ != address) {
    noAnswerSince_.reset();
  }
  reader_ = address;
  reviewAt_ = now + knobs_.reviewPeriod;
  if (!reader_.empty() && !isSuspect(reader_, now)) {
    claimAt_.reset();
    isRelistedBeforeClaim_ = false;
    return;
  }
  if (!claimAt_) {
    claimAt_ = now + claimDelay();
    isRelistedBeforeClaim_ = false;
  } else {
    isRelistedBeforeClaim_ = now >= *claimAt_;
  }
}

void ReaderElection::onClaimed(Instant now) {
  isReader_ = true;
  needsListing_ = false;
  reader_ = ownAddress_;
  claimAt_.reset();
  isRelistedBeforeClaim_ = false;
  reviewAt_ = now + knobs_.reviewPeriod;
}

void ReaderElection::onUnreachable(const std::string& address, Instant now) {
  suspectUntil_[address] = now + knobs_.suspicionTime;
}

void ReaderElection::onAnswered(const std::string& address) {
  if (address == reader_) {
    noAnswerSince_.reset();
    noAnswerTimeout_ = knobs_.noAnswerTimeout;
  }
}

// A reader that lost the store after its claim can neither list the topics nor withdraw the claim.
// A node that can list the claims reaches the store and may take over.
void ReaderElection::onNoAnswer(const std::string& address, Instant now) {
  if (address != reader_ || isReader_) {
    return;
  }
  if (!noAnswerSince_) {
    noAnswerSince_ = now;
  }
  if (now - *noAnswerSince_ < noAnswerTimeout_) {
    return;
  }
  noAnswerSince_.reset();
  noAnswerTimeout_ = std::min(noAnswerTimeout_ * 2, knobs_.maximumNoAnswerTimeout);
  onUnreachable(address, now);
  onNoReader(now);
}

void ReaderElection::onNoReader(Instant /*now*/) {
  if (!isReader_ && !claimAt_) {
    needsListing_ = true;
  }
}

std::string ReaderElection::reader(Instant now) const {
  return isSuspect(reader_, now) ? std::string() : reader_;
}

ReaderElection::Step ReaderElection::next(Instant now) const {
  if (needsListing_ || (isReader_ && now >= reviewAt_)) {
    return Step::List;
  }
  if (!claimAt_ || now < *claimAt_) {
    return Step::None;
  }
  return isRelistedBeforeClaim_ ? Step::Claim : Step::List;
}

}  // namespace gorsetrail::edge
