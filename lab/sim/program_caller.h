/// \file The process that runs one program: it may die, be paused, and be replaced by another.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/sim/caller_front.h"
#include "lab/sim/program_plan.h"

namespace gorsetrail::sim {

/// What stays of a program when its caller dies: the plan, and what a customer's own durable
/// notes would hold.
struct ProgramState {
  ProgramPlan plan;
  /// Request ids used so far, by request; the last one counts.
  std::map<RequestTag, std::uint32_t> requestIdVersions;
  /// Requests that were acknowledged, as they were sent; an auditor asks for them again.
  std::map<RequestTag, engine::CallRequest> acknowledgedRequests;
  std::map<RequestTag, NodeId> answeredBy;
  std::optional<Instant> firstCallAt;
  bool ended = false;  ///< By completion, or because a caller gave it up.
  bool completed = false;
  bool closed = false;
};
using ProgramStatePtr = std::shared_ptr<ProgramState>;

/// Tools that all callers use.
struct ToolService {
  bool hanging = false;
  std::uint32_t hangPerMille = 1000;
};

/// Runs the steps in order, sub-agents beside them. Repeats a request under the same request id
/// until it is answered: at the node that a redirect names, else at the next node of its zone.
class ProgramCaller : public std::enable_shared_from_this<ProgramCaller> {
 public:
  /// \param context, host, front, tools outlive the caller.
  ProgramCaller(SimContext& context, NodeHost& host, CallerFront& front, const ToolService& tools,
                ProgramStatePtr program, NodeId node);

  void start();
  void kill();
  void pause() { paused_ = alive_; }
  void resume();
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] bool paused() const { return paused_; }
  [[nodiscard]] NodeId node() const { return node_; }
  [[nodiscard]] const ProgramStatePtr& program() const { return program_; }

 private:
  using Action = std::function<void()>;
  /// One branch on its way.
  struct Walk {
    std::string branch;
    std::uint32_t step = 0;
    std::vector<std::string> history;  ///< Messages, as JSON texts.
    Action done;
  };
  using WalkPtr = std::shared_ptr<Walk>;
  /// One request on its way.
  struct Ask {
    WalkPtr walk;
    RequestTag tag;
    RequestMeaning meaning;
    engine::CallRequest request;
    std::string userMessage;
    Instant giveUpAt;
    NodeId target;
    CallHandle handle;
    bool open = false;
    std::uint32_t requestIdVersion = 0;
    std::uint32_t redirects = 0;
    std::uint32_t unknowns = 0;
  };
  using AskPtr = std::shared_ptr<Ask>;

  void after(Duration delay, Action action);
  void run(const Action& action);

  void advance(const WalkPtr& walk);
  void stepDone(const WalkPtr& walk);
  void runTool(const WalkPtr& walk, const Step& step);
  void startChild(const WalkPtr& walk, const Step& step);
  void startAsk(const WalkPtr& walk, const Step& step);
  [[nodiscard]] const Step& stepOf(const Walk& walk) const;
  [[nodiscard]] bool isOver(const Walk& walk) const;

  void fillRequest(Ask& ask, const Step& step) const;
  void send(const AskPtr& ask);
  void onTimeout(const AskPtr& ask, CallHandle handle);
  void onReply(const AskPtr& ask, CallHandle handle, const CallerReply& reply);
  void onCompleted(const AskPtr& ask, const CallerReply& reply);
  void onRefused(const AskPtr& ask, const CallerReply& reply);
  void onUnknown(const AskPtr& ask, const Error& error);
  void sendAgain(const AskPtr& ask, Duration delay);
  void useNextNode(const AskPtr& ask) const;
  void settle(const AskPtr& ask);

  void finishProgram();
  void sendClose(NodeId target, std::uint32_t tries);
  void onCloseReply(NodeId target, std::uint32_t tries, const CallerReply& reply);
  void giveUp(const std::string& figure);

  SimContext& context_;
  NodeHost& host_;
  CallerFront& front_;
  const ToolService& tools_;
  ProgramStatePtr program_;
  NodeId node_;
  bool alive_ = true;
  bool paused_ = false;
  std::deque<Action> held_;
  std::vector<AskPtr> open_;
};

/// Writes the request of one step.
std::string userMessageJson(const RequestTag& tag);
std::string assistantMessageJson(const std::string& answer);

}  // namespace gorsetrail::sim
