#include "edge/reader_election.h"

#include <xxhash.h>

#include <utility>

namespace gorsetrail::edge {

// Close seeds give close first numbers: hashed with the address, nodes do not claim together.
ReaderElection::ReaderElection(std::string ownAddress, double capacity, ReaderElectionKnobs knobs,
                               std::uint64_t seed)
    : ownAddress_(std::move(ownAddress)),
      capacity_(capacity),
      knobs_(knobs),
      random_(XXH64(ownAddress_.data(), ownAddress_.size(), seed)) {}

bool ReaderElection::isSuspect(const std::string& address, Instant now) const {
  const auto found = suspectUntil_.find(address);
  return found != suspectUntil_.end() && now < found->second;
}

Duration ReaderElection::claimDelay() {
  const double weakness = knobs_.middleCapacity / (knobs_.middleCapacity + capacity_);
  const double delay = weakness * static_cast<double>(knobs_.weakNodeDelay.count()) +
                       random_.fraction() * static_cast<double>(knobs_.spread.count());
  return Duration(static_cast<Duration::rep>(delay));
}

void ReaderElection::onListed(const std::string& address, Instant now) {
  isSearching_ = false;
  isReader_ = address == ownAddress_;
  reader_ = address;
  reviewAt_ = now + knobs_.reviewPeriod;
  if (!reader_.empty() && !isSuspect(reader_, now)) {
    claimAt_.reset();
    isListedForClaim_ = false;
    return;
  }
  if (!claimAt_) {
    claimAt_ = now + claimDelay();
    isListedForClaim_ = false;
  } else {
    isListedForClaim_ = now >= *claimAt_;
  }
}

void ReaderElection::onClaimed(Instant now) {
  isReader_ = true;
  isSearching_ = false;
  reader_ = ownAddress_;
  claimAt_.reset();
  isListedForClaim_ = false;
  reviewAt_ = now + knobs_.reviewPeriod;
}

void ReaderElection::onUnreachable(const std::string& address, Instant now) {
  suspectUntil_[address] = now + knobs_.suspicionTime;
}

void ReaderElection::onNoReader(Instant /*now*/) {
  if (!isReader_ && !claimAt_) {
    isSearching_ = true;
  }
}

std::string ReaderElection::reader(Instant now) const {
  return isSuspect(reader_, now) ? std::string() : reader_;
}

ReaderElection::Step ReaderElection::next(Instant now) const {
  if (isSearching_ || (isReader_ && now >= reviewAt_)) {
    return Step::List;
  }
  if (!claimAt_ || now < *claimAt_) {
    return Step::None;
  }
  return isListedForClaim_ ? Step::Claim : Step::List;
}

}  // namespace gorsetrail::edge
