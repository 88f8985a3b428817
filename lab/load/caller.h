/// \file Makes one call whatever happens: follows redirects, waits as told, repeats with its key.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "base/random.h"
#include "http/http_client.h"
#include "lab/load/answer_reader.h"
#include "lab/load/http_exchange.h"
#include "lab/load/load_config.h"
#include "lab/load/load_figures.h"
#include "lab/load/promise_checker.h"

namespace gorsetrail::load {

/// One call of a program.
struct Call {
  CallStarted started;
  std::string work;
  std::string parent;       ///< `Gorsetrail-Parent`; empty for the root.
  std::string programName;  ///< `Gorsetrail-Program`.
  std::string messages;     ///< JSON array.
  bool stream = false;
};

/// How a call ended for the program.
struct CallResult {
  std::optional<CallAnswered> answer;
  std::string refusedKind;  ///< Kind of the last refusal when there is no answer.
};

/// What all programs of one site share.
struct SiteRun {
  const SiteLoad& site;
  http::HttpClient& client;
  PromiseChecker& checker;
  LoadFigures& figures;
  RandomSource& random;
};

/// Makes the calls of one program. A program keeps to the node that answered it last.
class Caller {
 public:
  /// \param run outlives the caller.
  Caller(SiteRun& run, std::size_t firstNode) : run_(run), node_(firstNode) {}

  /// Attempts the call until it has an answer, a lasting refusal, or no attempts left.
  boost::asio::awaitable<CallResult> make(const Call& call);
  /// Asks once more with the same key; the answer goes to the checker.
  boost::asio::awaitable<void> repeat(const Call& call);
  /// Shows the history of a program to the checker, if a node tells it.
  boost::asio::awaitable<void> showHistory(const ProgramIdentity& program);
  /// \return whether a node confirmed that the program is closed.
  boost::asio::awaitable<bool> close(const ProgramIdentity& program);

 private:
  /// What one attempt came to; nothing when the connection broke.
  boost::asio::awaitable<std::optional<ReadAnswer>> attempt(const Call& call);
  boost::asio::awaitable<http::Response> ask(const char* method, const ProgramIdentity& program);
  [[nodiscard]] http::Request requestFor(const Call& call, const std::string& address) const;
  void noteEnd(const Call& call, const std::string& address, const HttpOutcome& outcome);
  [[nodiscard]] const NodeAddress* nodeAt(const std::string& address) const;
  void goTo(const std::string& address);
  void goToNextNode();
  [[nodiscard]] const std::string& address() const { return run_.site.nodes[node_].callers; }

  SiteRun& run_;
  std::size_t node_;
};

}  // namespace gorsetrail::load
