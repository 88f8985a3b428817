/// \file Runs one program: turns with growing history, tools, sub-agents, application requests.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "lab/load/caller.h"

namespace gorsetrail::load {

/// One program of a site; lives as long as its coroutine.
class ProgramRunner {
 public:
  /// \param number of the program in its site's run; names it. \param runName makes names of two
  /// runs against the same nodes differ.
  ProgramRunner(SiteRun& run, const std::string& runName, std::uint32_t number, bool looping);

  /// Runs the program from its first call to its close.
  boost::asio::awaitable<void> run();

 private:
  /// One line of dependent calls: the root or a sub-agent.
  struct Branch {
    std::string name;      ///< Empty for the root.
    std::string messages;  ///< JSON array of the history so far.
    std::string work;
    std::uint32_t calls = 0;
  };

  Branch makeBranch(const std::string& name);
  boost::asio::awaitable<bool> turn(Branch& branch);
  boost::asio::awaitable<bool> turnWithCompany(Branch& root, std::uint32_t turnNumber);
  boost::asio::awaitable<bool> runSubAgent(std::string name);
  boost::asio::awaitable<bool> requestApplication(Branch& branch);
  boost::asio::awaitable<void> useTool();
  boost::asio::awaitable<bool> finishCall(const Call& call, CallResult result);
  Call nextCall(Branch& branch);
  [[nodiscard]] bool chance(std::uint32_t perMille);
  std::uint32_t within(const Range& range);
  std::string text(std::uint32_t bytes);

  SiteRun& run_;
  ProgramIdentity identity_;
  bool looping_;
  bool stoppedByBudget_ = false;
  Caller caller_;
  Instant lastAnswer_{};
};

}  // namespace gorsetrail::load
