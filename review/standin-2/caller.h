/// \file Stand-in of a client: asks the directory where to go, sends tries, reads answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "nodes.h"
#include "record.h"
#include "wire.h"

namespace review {

/// One try of a request, with an id of its own.
struct Try {
  std::string id;
  std::string method = "POST";
  std::string target;
  std::string headerLines;  ///< Besides those of the host, the id and the deadline.
  std::string body;
  Milliseconds deadline{4000};
};

struct Answer {
  int status = 0;  ///< 0: no head of an answer came.
  Head head;
  std::string body;
  bool isWhole = false;

  [[nodiscard]] bool isSuccess() const { return isWhole && status >= 200 && status < 300; }
  [[nodiscard]] bool hasSeal() const { return !head.header("Gorsetrail-Response-Seal").empty(); }
  /// \return how many whole events the body holds.
  [[nodiscard]] int events() const;
};

class Caller {
 public:
  /// \param directories addresses of nodes that serve the directory, the nearest first.
  Caller(std::string host, std::string region, std::string zone,
         std::vector<std::string> directories, Record& record, unsigned seed);

  /// Asks the directory and picks one of the addresses at random.
  /// \param excluded an address that has failed; empty: none.
  std::string chooseAddress(const std::string& excluded = {});
  /// Sends a try on a kept connection or a new one. \param onPart called with each part of the
  /// body as it comes.
  Answer send(const std::string& address, const Try& sent,
              const std::function<void(const Answer&)>& onPart = {});
  /// \return the seconds of `Retry-After`, at most a third of the time left.
  static Milliseconds pauseAfter(const Answer& answer, Milliseconds left);

 private:
  std::vector<std::string> resolve();

  std::string host_;
  std::string region_;
  std::string zone_;
  std::vector<std::string> directories_;
  Record& record_;
  std::mt19937 random_;
  std::map<std::string, std::unique_ptr<Connection>> kept_;
};

}  // namespace review
