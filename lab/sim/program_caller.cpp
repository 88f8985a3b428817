// The course of a program; program_requests.cpp sends its requests and reads the answers.
#include "lab/sim/program_caller.h"

#include <utility>

namespace gorsetrail::sim {
namespace {

constexpr std::uint32_t kCloseTries = 40;
constexpr Duration kCloseRetry = seconds(1);

}  // namespace

ProgramCaller::ProgramCaller(SimContext& context, NodeHost& host, CallerFront& front,
                             const ToolService& tools, ProgramStatePtr program, NodeId node)
    : context_(context),
      host_(host),
      front_(front),
      tools_(tools),
      program_(std::move(program)),
      node_(node) {}

void ProgramCaller::start() {
  const auto root = std::make_shared<Walk>();
  root->done = [this] { finishProgram(); };
  if (!program_->firstCallAt) {
    program_->firstCallAt = context_.now();
  }
  advance(root);
}

void ProgramCaller::kill() {
  alive_ = false;
  held_.clear();
  for (const AskPtr& ask : open_) {
    if (ask->open) {
      front_.abandon(ask->handle);
      context_.checker.onAbandoned(ask->tag);
    }
  }
  open_.clear();
}

void ProgramCaller::resume() {
  paused_ = false;
  const auto held = std::exchange(held_, {});
  for (const Action& action : held) {
    run(action);
  }
}

void ProgramCaller::after(Duration delay, Action action) {
  context_.events.scheduleAfter(
      delay, [self = shared_from_this(), action = std::move(action)] { self->run(action); });
}

void ProgramCaller::run(const Action& action) {
  if (!alive_) {
    return;
  }
  if (paused_) {
    held_.push_back(action);
    return;
  }
  action();
}

const Step& ProgramCaller::stepOf(const Walk& walk) const {
  const std::vector<Step>& steps = program_->plan.branches.at(walk.branch);
  return steps[walk.step % steps.size()];
}

bool ProgramCaller::isOver(const Walk& walk) const {
  const bool loops = program_->plan.looping && walk.branch.empty();
  return !loops && walk.step >= program_->plan.branches.at(walk.branch).size();
}

void ProgramCaller::advance(const WalkPtr& walk) {
  if (isOver(*walk)) {
    walk->done();
    return;
  }
  const Step& step = stepOf(*walk);
  const bool firstRound = walk->step < program_->plan.branches.at(walk->branch).size();
  switch (step.kind) {
    case StepKind::Tool:
      runTool(walk, step);
      return;
    case StepKind::SubAgent:
      if (firstRound) {
        startChild(walk, step);
      } else {
        stepDone(walk);
      }
      return;
    case StepKind::EngineCall:
    case StepKind::ApplicationRequest:
      startAsk(walk, step);
      return;
  }
}

void ProgramCaller::stepDone(const WalkPtr& walk) {
  ++walk->step;
  after(context_.exponential(context_.scenario.workload.thinkTime),
        [this, walk] { advance(walk); });
}

void ProgramCaller::runTool(const WalkPtr& walk, const Step& step) {
  const bool hangs = tools_.hanging && context_.happens(tools_.hangPerMille);
  context_.figures.count(hangs ? "tools_hung" : "tools_run");
  after(hangs ? context_.scenario.workload.toolTimeout : step.toolTime,
        [this, walk] { stepDone(walk); });
}

void ProgramCaller::startChild(const WalkPtr& walk, const Step& step) {
  const auto child = std::make_shared<Walk>();
  child->branch = step.child;
  child->done = [this, walk] { stepDone(walk); };
  advance(child);
}

void ProgramCaller::finishProgram() {
  if (program_->ended) {
    return;
  }
  program_->ended = true;
  program_->completed = true;
  context_.figures.count("programs_completed");
  context_.programLatenciesMs.push_back(toMilliseconds(context_.now() - *program_->firstCallAt));
  if (!context_.scenario.workload.keepProgramsOpen) {
    sendClose(node_, 0);
  }
}

void ProgramCaller::sendClose(NodeId target, std::uint32_t tries) {
  if (tries >= kCloseTries) {
    context_.figures.count("closes_given_up");
    return;
  }
  front_.submitClose(target, program_->plan.key,
                     [this, self = shared_from_this(), target, tries](const CallerReply& reply) {
                       run([this, target, tries, reply] { onCloseReply(target, tries, reply); });
                     });
}

void ProgramCaller::onCloseReply(NodeId target, std::uint32_t tries, const CallerReply& reply) {
  const bool closed =
      reply.kind == CallerReply::Kind::Closed || reply.error.kind == ErrorKind::ProgramClosed;
  if (closed) {
    program_->closed = true;
    context_.figures.count("programs_closed");
    context_.checker.onProgramGone(program_->plan.key.name, context_.now());
    return;
  }
  const std::optional<NodeId> redirect = nodeAtCallerAddress(reply.error.location);
  const std::vector<NodeId> zone = host_.nodesIn(host_.node(node_).zone);
  const NodeId next = redirect ? *redirect : zone[context_.random.below(zone.size())];
  after(redirect && tries < kCloseTries / 2 ? milliseconds(10) : kCloseRetry,
        [this, next, tries] { sendClose(next, tries + 1); });
  static_cast<void>(target);
}

void ProgramCaller::giveUp(const std::string& figure) {
  if (!program_->ended) {
    program_->ended = true;
    context_.figures.count(figure);
    context_.checker.onProgramGone(program_->plan.key.name, context_.now());
  }
  kill();
}

}  // namespace gorsetrail::sim
