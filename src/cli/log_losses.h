/// \file Why programs were late, refused or failed, from the nodes' log lines.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cli/log_story.h"

namespace gorsetrail::cli {

/// Programs that were lost for the same first cause on the same route.
struct LossGroup {
  std::string cause;  ///< Stable snake_case name, see `docs/OPERATIONS.md`.
  std::string route;
  std::uint64_t programs = 0;
  std::uint64_t goingOn = 0;           ///< Of these, lost with a request that goes on from a turn.
  std::uint64_t requests = 0;          ///< Their requests with this cause.
  std::uint64_t tookMilliseconds = 0;  ///< Of those requests, together.
};

/// Losses whose first cause fell into one second.
struct LossSecond {
  std::uint64_t second = 0;  ///< Time of day.
  std::string cause;
  std::uint64_t programs = 0;
};

/// Joins the `request_ended` lines of all nodes by program. A program counts as lost when one of
/// its requests was not answered, or when it went on after the time at which it should have been
/// over. Its cause is that of its first request that was not answered; for one that was only late,
/// the step that took its requests the most time.
class LogLosses {
 public:
  /// Reads lines; what is no line of an ended request is passed over.
  void read(std::istream& lines, const std::string& source);

  /// \return groups with the most programs first.
  [[nodiscard]] std::vector<LossGroup> groups() const;
  /// \return by second, then by cause.
  [[nodiscard]] std::vector<LossSecond> seconds() const;
  [[nodiscard]] std::uint64_t programsSeen() const { return programs_.size(); }
  [[nodiscard]] std::uint64_t programsLost() const;

 private:
  /// Time that a program's requests spent in each step, by name.
  using StepTimes = std::map<std::string, std::uint64_t>;
  struct Unanswered {
    LogLine line;
    std::string cause;
  };
  struct Program {
    std::vector<Unanswered> unanswered;
    StepTimes steps;
    std::string route;  ///< Of its first line.
    bool late = false;
    std::uint64_t lateAt = 0;
  };
  struct Loss {
    std::string cause;
    std::string route;
    std::uint64_t at = 0;  ///< Milliseconds, time of day.
    std::uint64_t requests = 0;
    std::uint64_t tookMilliseconds = 0;
    bool goesOn = false;  ///< Its first request that was not answered goes on from a turn.
  };

  void take(LogLine line);
  /// \return the request's cause, by the line of its refusal where there is one.
  [[nodiscard]] std::string takeCause(const LogLine& line);
  [[nodiscard]] std::vector<Loss> losses() const;
  static Loss lossOf(const Program& program);

  std::map<std::string, Program> programs_;
  /// Causes of refusals whose end was not read yet, by source and request.
  std::map<std::pair<std::string, std::string>, std::string_view> refused_;
};

}  // namespace gorsetrail::cli
