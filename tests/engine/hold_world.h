/// \file Ledgers of several nodes and engines that take their orders, under virtual time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "engine/hold_ledger.h"

namespace gorsetrail::engine {

inline ProgramId programOf(std::uint8_t number) {
  ProgramId id;
  id.bytes.fill(number);
  return id;
}

/// Engines that carry out orders after a delay, each in order, and end holds at their deadline.
class HoldWorld {
 public:
  struct EngineHold {
    ProgramId program;
    Epoch epoch;
    scheduling::PrefixHash prefix;
    Instant endsAt{};
  };

  Instant now{seconds(1000)};
  Duration delay = milliseconds(5);  ///< Of an order, and again of its answer.
  std::size_t loseAnswers = 0;       ///< So many next orders take effect without an answer.
  std::size_t maximumHoldsOfEngine = 1000;
  bool cut = false;  ///< Nothing reaches an engine.
  std::map<std::string, std::map<std::string, EngineHold>> engines;
  std::size_t orders = 0;

  /// Takes the commands of a ledger, then runs on tick by tick.
  void run(std::vector<HoldLedger*> ledgers, Duration span) {
    for (const Instant end = now + span; now < end;) {
      for (HoldLedger* const ledger : ledgers) {
        ledger->onTick(now);
        take(*ledger);
      }
      now += milliseconds(10);
      deliver();
      endHolds();
    }
  }
  void run(HoldLedger& ledger, Duration span) { run({&ledger}, span); }

  void take(HoldLedger& ledger) {
    for (HoldCommand& command : ledger.takeCommands()) {
      ++orders;
      if (const auto* const place = std::get_if<PlaceHold>(&command)) {
        lastPlace = *place;
      }
      underWay_.push_back({&ledger, std::move(command), now + delay, std::nullopt});
    }
  }
  std::size_t holds() const {
    std::size_t sum = 0;
    for (const auto& [name, engine] : engines) {
      sum += engine.size();
    }
    return sum;
  }
  bool holdsAt(const std::string& engine, std::uint8_t program, std::uint64_t epoch) const {
    const auto found = engines.find(engine);
    return found != engines.end() &&
           found->second.contains(holdNameOf(programOf(program), Epoch(epoch)));
  }
  /// Takes an order to the engine now, whoever gave it.
  HoldOutcome place(const PlaceHold& order) {
    auto& engine = engines[order.backendName];
    const std::string name = holdNameOf(order.program, order.epoch);
    if (!engine.contains(name) && engine.size() >= maximumHoldsOfEngine) {
      return HoldOutcome::LimitExceeded;
    }
    engine[name] = {order.program, order.epoch, order.prefix, now + order.deadline};
    return HoldOutcome::Done;
  }

  PlaceHold lastPlace;

 private:
  using Answer = std::variant<HoldResult, HoldInventory>;
  struct Order {
    HoldLedger* ledger;
    HoldCommand command;
    Instant at{};
    std::optional<Answer> answer;  ///< Set once it was carried out.
  };

  void deliver() {
    std::vector<Order> later;
    for (Order& order : std::exchange(underWay_, {})) {
      if (order.at > now) {
        later.push_back(std::move(order));
      } else if (order.answer) {
        std::visit([&](const auto& answer) { tell(*order.ledger, answer); }, *order.answer);
      } else {
        order.answer =
            std::visit([this](const auto& command) { return carryOut(command); }, order.command);
        order.at = now + delay;
        later.push_back(std::move(order));
      }
    }
    underWay_.insert(underWay_.end(), later.begin(), later.end());
  }
  void tell(HoldLedger& ledger, const HoldResult& result) { ledger.onResult(result, now); }
  void tell(HoldLedger& ledger, const HoldInventory& inventory) {
    ledger.onInventory(inventory, now);
  }
  HoldOutcome heard(HoldOutcome outcome) {
    if (loseAnswers == 0) {
      return outcome;
    }
    --loseAnswers;
    return HoldOutcome::Failed;
  }
  Answer carryOut(const PlaceHold& command) {
    const HoldOutcome outcome = cut ? HoldOutcome::Failed : place(command);
    return HoldResult{command.order, command.backendName, heard(outcome)};
  }
  Answer carryOut(const ReleaseHold& command) {
    if (!cut) {
      engines[command.backendName].erase(holdNameOf(command.program, command.epoch));
    }
    return HoldResult{command.order, command.backendName,
                      heard(cut ? HoldOutcome::Failed : HoldOutcome::Done)};
  }
  Answer carryOut(const ReadHolds& command) {
    HoldInventory inventory{command.backendName, {}};
    for (const auto& [name, hold] : engines[command.backendName]) {
      inventory.holds.push_back({name, hold.program.toHex(), hold.epoch});
    }
    return inventory;
  }
  void endHolds() {
    for (auto& [name, engine] : engines) {
      std::erase_if(engine, [this](const auto& hold) { return hold.second.endsAt <= now; });
    }
  }

  std::vector<Order> underWay_;
};

}  // namespace gorsetrail::engine
