/// \file Carries out the node's orders about holds at engines.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "engine/hold_interface.h"
#include "http/http_client.h"

namespace gorsetrail::node {

struct HoldClientCounters {
  std::uint64_t orders = 0;          ///< Sent to engines.
  std::uint64_t failed = 0;          ///< Without a readable answer.
  std::uint64_t dropped = 0;         ///< Not sent: too many orders waited.
  std::uint64_t readingsFailed = 0;  ///< Inventories that could not be read.
};

/// One request an engine is under way at a time, so that the orders about one hold take effect in
/// the order in which they were given. What fails is reported, not repeated: the ledger decides,
/// and the deadline ends what is lost. Single-threaded.
class HoldClient {
 public:
  /// Orders that may wait for one engine, and for all.
  static constexpr std::size_t kMaximumQueuedPerEngine = 64;
  static constexpr std::size_t kMaximumQueued = 512;
  /// Of an inventory only so many holds are taken.
  static constexpr std::size_t kMaximumListed = 4096;

  using OnResult = std::function<void(const engine::HoldResult&)>;
  using OnInventory = std::function<void(const engine::HoldInventory&)>;

  /// \param client outlives this object.
  HoldClient(http::HttpClient& client, OnResult onResult, OnInventory onInventory);
  ~HoldClient();
  HoldClient(const HoldClient&) = delete;
  HoldClient& operator=(const HoldClient&) = delete;

  void place(const engine::PlaceHold& command);
  void release(const engine::ReleaseHold& command);
  void read(const engine::ReadHolds& command);

  [[nodiscard]] const HoldClientCounters& counters() const { return counters_; }

 private:
  /// The orders for one engine; marked when the client is gone.
  struct Lane {
    std::string backendName;
    std::deque<engine::HoldCommand> waiting;
    http::RequestHandlePtr underWay;
    bool busy = false;
    bool abandoned = false;
  };
  using LanePtr = std::shared_ptr<Lane>;

  void enqueue(const std::string& backendName, engine::HoldCommand command);
  void sendNext(const LanePtr& lane);
  void onAnswer(const LanePtr& lane, const engine::HoldCommand& command,
                const http::Response* response);
  void report(const engine::HoldCommand& command, const http::Response* response);
  void reportResult(engine::HoldOrder order, const std::string& backendName,
                    engine::HoldOutcome outcome);
  void reportInventory(const std::string& backendName, const http::Response* response);

  http::HttpClient& client_;
  OnResult onResult_;
  OnInventory onInventory_;
  std::map<std::string, LanePtr> lanes_;
  std::size_t queued_ = 0;
  HoldClientCounters counters_;
};

}  // namespace gorsetrail::node
