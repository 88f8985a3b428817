/// \file Counts late, refused and failed programs by cause, from the nodes' log lines.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cli/log_story.h"

namespace gorsetrail::cli {

/// Number of programs lost for the same first cause on the same route.
struct LossGroup {
  std::string cause;  ///< Stable snake_case name, see `docs/OPERATIONS.md`.
  std::string route;
  std::uint64_t programs = 0;
  std::uint64_t continuedPrograms = 0;  ///< Of these, lost while continuing a turn.
  std::uint64_t requests = 0;           ///< Requests of these programs with this cause.
  std::uint64_t tookMilliseconds = 0;   ///< Total duration of those requests.
};

/// Number of programs lost for one cause within one second.
struct LossSecond {
  std::uint64_t second = 0;  ///< Wall-clock time, seconds since the epoch.
  std::string cause;
  std::uint64_t programs = 0;
};

/// Joins the `request_ended` lines of all nodes by program. A program counts as lost when one of
/// its requests was not answered, or when it ran past its deadline. Its cause is that of its first
/// request that was not answered; for one that was only late, the step that took its requests the
/// most time.
class LogLosses {
 public:
  /// Reads log lines and ignores lines about anything but ended or refused requests.
  void read(std::istream& lines, const std::string& source);

  /// \return groups with the most programs first.
  [[nodiscard]] std::vector<LossGroup> groups() const;
  /// \return by second, then by cause.
  [[nodiscard]] std::vector<LossSecond> seconds() const;
  [[nodiscard]] std::uint64_t programCount() const { return programs_.size(); }
  [[nodiscard]] std::uint64_t lostProgramCount() const;

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
    std::uint64_t lateAtMilliseconds = 0;
  };
  struct Loss {
    std::string cause;
    std::string route;
    std::uint64_t at = 0;  ///< Wall-clock time, milliseconds since the epoch.
    std::uint64_t requests = 0;
    std::uint64_t tookMilliseconds = 0;
    bool isContinuation = false;  ///< Its first unanswered request continues a previous turn.
  };

  void addEndedRequest(LogLine line);
  /// \return the cause from the request's refusal line if one was read, else from its end line.
  /// Removes the refusal.
  [[nodiscard]] std::string resolveCause(const LogLine& line);
  [[nodiscard]] std::vector<Loss> losses() const;
  static Loss classifyLoss(const Program& program);

  std::map<std::string, Program> programs_;
  /// Causes of refusals whose `request_ended` line was not read yet, by source and request.
  std::map<std::pair<std::string, std::string>, std::string_view> refusalCauses_;
};

}  // namespace gorsetrail::cli
