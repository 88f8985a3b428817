/// \file In-process network of membership services in virtual time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "membership/membership_service.h"

namespace gorsetrail::membership {

/// Delivers messages after a fixed delay; nodes can be stopped, restarted or partitioned.
class MembershipNetwork {
 public:
  explicit MembershipNetwork(std::size_t nodeCount, std::uint64_t seed = 1) : seed_(seed) {
    for (std::uint32_t number = 1; number <= nodeCount; ++number) {
      members_.push_back({NodeId(number), number % 2 == 0 ? "even" : "odd", "", ""});
    }
    nodes_.resize(nodeCount);
    for (std::uint32_t number = 1; number <= nodeCount; ++number) {
      start(number, 1);
    }
  }

  struct Node {
    MembershipServicePtr service;
    bool running = true;
    std::vector<MemberUpdate> changes;
    std::vector<BackendNotice> notices;
    std::vector<NewerBundleSeen> newerBundles;
    std::uint64_t messagesSent = 0;
  };

  void start(std::uint32_t number, std::uint64_t incarnation) {
    Node& node = at(number);
    node = Node{};
    node.service =
        makeMembershipService(NodeId(number), Incarnation(incarnation), members_, MembershipKnobs{},
                              seed_ * 1000 + number * 7 + incarnation);
  }
  Node& at(std::uint32_t number) { return nodes_[number - 1]; }
  MembershipService& service(std::uint32_t number) { return *at(number).service; }
  std::size_t size() const { return nodes_.size(); }
  Instant now() const { return now_; }

  /// \return whether a message between two nodes is lost.
  std::function<bool(std::uint32_t, std::uint32_t)> isLost = [](std::uint32_t, std::uint32_t) {
    return false;
  };

  /// Called for each message sent, if set.
  std::function<void(std::uint32_t, const MembershipMessage&)> onSent;

  void run(Duration span) {
    const Instant end = now_ + span;
    while (now_ < end) {
      now_ += kTick;
      deliver();
      for (std::uint32_t number = 1; number <= nodes_.size(); ++number) {
        if (at(number).running) {
          service(number).onTick(now_);
        }
        dispatchCommands(number);
      }
    }
  }

  /// Runs until `done` returns true, at most for `limit`.
  /// \return the elapsed time; nothing on timeout.
  std::optional<Duration> runUntil(const std::function<bool()>& done, Duration limit) {
    const Instant begin = now_;
    while (now_ - begin < limit) {
      if (done()) {
        return now_ - begin;
      }
      run(kTick);
    }
    return done() ? std::optional<Duration>(now_ - begin) : std::nullopt;
  }

  /// \return whether every running node except `subject` sees it in this state.
  bool allSee(std::uint32_t subject, MemberState state) {
    for (std::uint32_t number = 1; number <= nodes_.size(); ++number) {
      const bool counts = number != subject && at(number).running;
      if (counts && service(number).stateOf(NodeId(subject)) != state) {
        return false;
      }
    }
    return true;
  }
  bool allAlive() {
    for (std::uint32_t number = 1; number <= nodes_.size(); ++number) {
      if (!allSee(number, MemberState::Alive)) {
        return false;
      }
    }
    return true;
  }

 private:
  struct Delivery {
    Instant at;
    std::uint64_t order;
    std::uint32_t from;
    std::uint32_t to;
    MembershipMessage message;
    bool operator<(const Delivery& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  static constexpr Duration kTick = milliseconds(10);
  static constexpr Duration kDelay = milliseconds(2);

  void deliver() {
    while (!inFlight_.empty() && inFlight_.top().at <= now_) {
      const Delivery delivery = inFlight_.top();
      inFlight_.pop();
      if (at(delivery.to).running && !isLost(delivery.from, delivery.to)) {
        service(delivery.to).onMembershipMessage(NodeId(delivery.from), delivery.message, now_);
        dispatchCommands(delivery.to);
      }
    }
  }

  void dispatchCommands(std::uint32_t number) {
    Node& node = at(number);
    if (!node.service) {
      return;
    }
    for (MembershipCommand& command : node.service->takeCommands()) {
      if (auto* sent = std::get_if<SendMembershipMessage>(&command)) {
        ++node.messagesSent;
        if (onSent) {
          onSent(number, sent->message);
        }
        inFlight_.push({now_ + kDelay, order_++, number, sent->to.value(), sent->message});
      } else if (auto* changed = std::get_if<MemberChanged>(&command)) {
        node.changes.push_back(changed->update);
      } else if (auto* notice = std::get_if<BackendChanged>(&command)) {
        node.notices.push_back(notice->notice);
      } else {
        node.newerBundles.push_back(std::get<NewerBundleSeen>(command));
      }
    }
  }

  std::uint64_t seed_;
  std::vector<Member> members_;
  std::vector<Node> nodes_;
  std::priority_queue<Delivery> inFlight_;
  std::uint64_t order_ = 0;
  Instant now_{seconds(1)};
};

}  // namespace gorsetrail::membership
