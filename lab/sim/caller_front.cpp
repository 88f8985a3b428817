#include "lab/sim/caller_front.h"

#include <utility>
#include <variant>
#include <vector>

namespace gorsetrail::sim {

CallHandle CallerFront::open(NodeId node, ReplyHandler handler) {
  const CallHandle handle(nextHandle_++);
  Exchange exchange;
  exchange.node = node;
  exchange.life = host_.node(node).incarnation;
  exchange.handler = std::move(handler);
  exchanges_[handle] = std::move(exchange);
  return handle;
}

/// Carries a request to its node; a node that is down by then refuses the connection.
void CallerFront::connect(CallHandle handle, const NodeHost::Event& event) {
  context_.events.scheduleAfter(context_.scenario.delays.caller, [this, handle, event] {
    const auto found = exchanges_.find(handle);
    if (found == exchanges_.end()) {
      return;
    }
    const NodeId node = found->second.node;
    if (!host_.node(node).core) {
      end(handle, CallerReply{});
      return;
    }
    found->second.life = host_.node(node).incarnation;
    host_.post(node, event);
  });
}

CallHandle CallerFront::submit(NodeId node, engine::CallRequest request, ReplyHandler handler) {
  const CallHandle handle = open(node, std::move(handler));
  exchanges_[handle].streamed = request.mode == engine::AnswerMode::Stream;
  request.handle = handle;
  connect(handle, [request = std::move(request)](node::NodeCore& core, Instant now) {
    core.onCall(request, now);
  });
  return handle;
}

CallHandle CallerFront::submitClose(NodeId node, const ProgramKey& key, ReplyHandler handler) {
  const CallHandle handle = open(node, std::move(handler));
  connect(handle, [handle, key](node::NodeCore& core, Instant now) {
    core.onCloseProgram(handle, key, now);
  });
  return handle;
}

void CallerFront::abandon(CallHandle handle) {
  const auto found = exchanges_.find(handle);
  if (found == exchanges_.end()) {
    return;
  }
  const Exchange exchange = std::move(found->second);
  exchanges_.erase(found);
  context_.events.scheduleAfter(context_.scenario.delays.caller, [this, handle, exchange] {
    host_.post(exchange.node, exchange.life,
               [handle](node::NodeCore& core, Instant now) { core.onCallerGone(handle, now); });
  });
}

bool CallerFront::onCommand(const SimNode& /*node*/, node::NodeCommand& command) {
  if (auto* chunk = std::get_if<engine::AnswerChunk>(&command)) {
    const auto found = exchanges_.find(chunk->handle);
    if (found != exchanges_.end()) {
      found->second.chunks += chunk->text;
    }
    return true;
  }
  if (auto* completed = std::get_if<engine::AnswerCompleted>(&command)) {
    CallerReply reply;
    reply.kind = CallerReply::Kind::Completed;
    reply.answer = std::move(completed->answer);
    reply.replayed = completed->replayed;
    end(completed->handle, std::move(reply));
    return true;
  }
  if (auto* refused = std::get_if<engine::AnswerRefused>(&command)) {
    refuse(refused->handle, refused->error);
    return true;
  }
  if (auto* closed = std::get_if<node::CloseCompleted>(&command)) {
    CallerReply reply;
    reply.kind = CallerReply::Kind::Closed;
    end(closed->handle, std::move(reply));
    return true;
  }
  return false;
}

void CallerFront::refuse(CallHandle handle, const Error& error) {
  const auto found = exchanges_.find(handle);
  if (found != exchanges_.end() && found->second.inFlightAtStop && found->second.dispatched &&
      error.kind == ErrorKind::NodeStopping) {
    ++cutOff_[found->second.node];
  }
  CallerReply reply;
  reply.kind = CallerReply::Kind::Refused;
  reply.error = error;
  end(handle, std::move(reply));
}

void CallerFront::end(CallHandle handle, CallerReply reply) {
  const auto found = exchanges_.find(handle);
  if (found == exchanges_.end()) {
    return;  // The caller is gone, or a second end: the first one counts.
  }
  reply.chunks = std::move(found->second.chunks);
  reply.saidAt = context_.now();
  const ReplyHandler handler = std::move(found->second.handler);
  exchanges_.erase(found);
  context_.events.scheduleAfter(context_.scenario.delays.caller,
                                [handler, reply = std::move(reply)] { handler(reply); });
}

void CallerFront::onNodeDown(const SimNode& node) {
  std::vector<CallHandle> broken;
  for (const auto& [handle, exchange] : exchanges_) {
    if (exchange.node == node.id && exchange.life == node.incarnation) {
      broken.push_back(handle);
    }
  }
  for (const CallHandle handle : broken) {
    const auto watched = cutOff_.find(node.id);
    if (watched != cutOff_.end() && exchanges_[handle].inFlightAtStop) {
      ++watched->second;
    }
    end(handle, CallerReply{});
  }
}

void CallerFront::markDispatched(CallHandle handle) {
  const auto found = exchanges_.find(handle);
  if (found != exchanges_.end()) {
    found->second.dispatched = true;
  }
}

void CallerFront::beginStopWatch(NodeId node) {
  cutOff_[node] = 0;
  for (auto& [handle, exchange] : exchanges_) {
    if (exchange.node == node) {
      exchange.inFlightAtStop = true;
    }
  }
}

std::size_t CallerFront::endStopWatch(NodeId node) {
  const std::size_t count = cutOff_[node];
  cutOff_.erase(node);
  return count;
}

}  // namespace gorsetrail::sim
