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
      backoff_(knobs.initialBackoff) {}

void TopicReaders::pollLoop() {
  if (!isCallPending_ && clock_() >= backoffUntil_) {
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
  const bool isAtRest = !isCallPending_ && !reader().empty();
  timers_.runAfter(isAtRest ? knobs_.idlePeriod : knobs_.activePeriod, [this] { pollLoop(); });
}

void TopicReaders::list() {
  isCallPending_ = true;
  store_.listLatest({claims_, {}, knobs_.callTimeout, Duration::zero()},
                    [this](const logstore::StoreResult<logstore::NewestReply>& result) {
                      isCallPending_ = false;
                      const auto* const page = std::get_if<logstore::NewestReply>(&result);
                      if (page == nullptr) {
                        onFailure();
                        return;
                      }
                      backoff_ = knobs_.initialBackoff;
                      // An unreadable claim is ignored; the next claim replaces it.
                      std::string address;
                      for (const logstore::KeyedItem& item : page->items) {
                        const auto claim = decodeMemberRecord(item.value);
                        if (item.key == zone_ && succeeded(claim)) {
                          address = valueOf(claim).relayAddress;
                        }
                      }
                      election_.onListed(address, clock_());
                      reportReader();
                    });
}

void TopicReaders::claim() {
  isCallPending_ = true;
  logstore::AppendRequest request{
      claims_,
      {logstore::encodeKeyedRecord(zone_, encodeMemberRecord(ownRecord_()))},
      knobs_.callTimeout};
  store_.append(std::move(request),
                [this](const logstore::StoreResult<logstore::AppendReply>& result) {
                  isCallPending_ = false;
                  if (std::holds_alternative<logstore::StoreError>(result)) {
                    onFailure();
                    return;
                  }
                  backoff_ = knobs_.initialBackoff;
                  election_.onClaimed(clock_());
                  reportReader();
                });
}

void TopicReaders::onFailure() {
  const auto half = static_cast<std::uint64_t>(backoff_.count() / 2);
  backoffUntil_ =
      clock_() + backoff_ / 2 + Duration(static_cast<Duration::rep>(random_.below(half + 1)));
  backoff_ = std::min(backoff_ * 2, knobs_.maximumBackoff);
}

void TopicReaders::reportReader() {
  const std::string reader = election_.reader(clock_());
  if (!reader.empty() && reader != reportedReader_) {
    reportedReader_ = reader;
    onReader_(reader);
  }
}

}  // namespace gorsetrail::edge
