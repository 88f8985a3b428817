#include "edge/topic_readers.h"

#include <algorithm>
#include <utility>

namespace gorsetrail::edge {

TopicReaders::TopicReaders(logstore::LogStore& store, services::TimerService& timers,
                           logstore::ClockFunction clock, logstore::PartitionAddress claims,
                           ReaderNode self, OwnRecord ownRecord, OnReader onReader,
                           TopicReadersKnobs knobs, std::uint64_t seed)
    : store_(store),
      timers_(timers),
      clock_(std::move(clock)),
      claims_(std::move(claims)),
      zone_(std::move(self.zone)),
      ownRecord_(std::move(ownRecord)),
      onReader_(std::move(onReader)),
      knobs_(knobs),
      random_(seed),
      election_(std::move(self.address), self.capacity, {}, seed),
      pause_(knobs.firstPause) {}

void TopicReaders::turn() {
  if (!isUnderWay_ && clock_() >= pausedUntil_) {
    switch (election_.next(clock_())) {
      case ReaderElection::Step::List:
        list();
        break;
      case ReaderElection::Step::Claim:
        claim();
        break;
      case ReaderElection::Step::None:
        break;
    }
  }
  const bool isAtRest = !isUnderWay_ && !reader().empty();
  timers_.runAfter(isAtRest ? knobs_.restingPeriod : knobs_.period, [this] { turn(); });
}

void TopicReaders::list() {
  isUnderWay_ = true;
  store_.newest({claims_, {}, knobs_.patience, Duration::zero()},
                [this](const logstore::StoreResult<logstore::NewestReply>& result) {
                  isUnderWay_ = false;
                  const auto* const page = std::get_if<logstore::NewestReply>(&result);
                  if (page == nullptr) {
                    onFailure();
                    return;
                  }
                  pause_ = knobs_.firstPause;
                  // A claim that cannot be read is none: the next one takes its place.
                  std::string address;
                  for (const logstore::KeyedItem& item : page->items) {
                    const auto claim = decodeMemberRecord(item.value);
                    if (item.key == zone_ && succeeded(claim)) {
                      address = valueOf(claim).relayAddress;
                    }
                  }
                  election_.onListed(address, clock_());
                  tellReader();
                });
}

void TopicReaders::claim() {
  isUnderWay_ = true;
  logstore::AppendRequest request{
      claims_,
      {logstore::encodeKeyedRecord(zone_, encodeMemberRecord(ownRecord_()))},
      knobs_.patience};
  store_.append(std::move(request),
                [this](const logstore::StoreResult<logstore::AppendReply>& result) {
                  isUnderWay_ = false;
                  if (std::holds_alternative<logstore::StoreError>(result)) {
                    onFailure();
                    return;
                  }
                  pause_ = knobs_.firstPause;
                  election_.onClaimed(clock_());
                  tellReader();
                });
}

void TopicReaders::onFailure() {
  const auto half = static_cast<std::uint64_t>(pause_.count() / 2);
  pausedUntil_ =
      clock_() + pause_ / 2 + Duration(static_cast<Duration::rep>(random_.below(half + 1)));
  pause_ = std::min(pause_ * 2, knobs_.longestPause);
}

void TopicReaders::tellReader() {
  const std::string reader = election_.reader(clock_());
  if (!reader.empty() && reader != toldReader_) {
    toldReader_ = reader;
    onReader_(reader);
  }
}

}  // namespace gorsetrail::edge
