/// \file The node as a process: drives the core with sockets, timers and clocks. No decisions here.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/result.h"
#include "http/http_server.h"
#include "node/backend_dispatcher.h"
#include "node/core/node_core.h"
#include "node/front/caller_front.h"
#include "node/hold_client.h"
#include "node/load_poller.h"
#include "node/metrics.h"
#include "node/peer_transport.h"
#include "node/settings/settings.h"
#include "services/log_client.h"
#include "services/machine_list_client.h"
#include "services/timer_service.h"

namespace gorsetrail::node {

/// \return the core's options as the settings have them.
NodeOptions nodeOptionsOf(const Settings& settings);

/// Everything runs on the I/O context's thread: an event goes to the core, then the core's commands
/// are carried out until none is left.
class Daemon {
 public:
  /// How a planned stop ended.
  enum class StopVerdict : std::uint8_t {
    Whole,   ///< Every accepted request was answered and every program handed over.
    CutOff,  ///< The settings' stop limit passed before that.
  };
  using OnStopped = std::function<void(StopVerdict)>;

  /// \param context outlives the daemon.
  Daemon(boost::asio::io_context& context, Settings settings, NodeCorePtr core);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens both listeners and starts the loops. Errors: `InvalidSettings`.
  Result<Success> start();
  /// Planned stop: new calls are refused, accepted ones finish whole, programs are handed over.
  void beginStop(OnStopped onStopped);
  [[nodiscard]] std::uint16_t callerPort() const { return server_->listeningPort(); }
  [[nodiscard]] std::uint16_t peerPort() const { return peers_->listeningPort(); }

 private:
  Result<Success> openPeers();
  Result<Success> openCallers();
  void startLoops();
  void tick();
  void everySecond();
  void logBundleChange();
  void carryOutCommands();
  void onMachines(const std::vector<services::Machine>& machines);
  void onBundleRecord(const services::LogRecord& record);

  void perform(SendPeerMessage& command);
  void perform(AppendLogRecord& command);
  void perform(CloseCompleted& command);
  void perform(engine::StartDispatch& command);
  void perform(engine::CancelDispatch& command);
  void perform(engine::AnswerChunk& command);
  void perform(engine::AnswerCompleted& command);
  void perform(engine::AnswerRefused& command);
  void perform(engine::PlaceHold& command) { holds_.place(command); }
  void perform(engine::ReleaseHold& command) { holds_.release(command); }
  void perform(engine::ReadHolds& command) { holds_.read(command); }

  void advanceStop();
  void beginCoreStop();
  [[nodiscard]] bool isDrained() const;
  void finishStop(StopVerdict verdict);

  boost::asio::io_context& context_;
  Settings settings_;
  NodeCorePtr core_;
  NodeMetrics metrics_;
  http::HttpClientPtr client_;
  services::TimerServicePtr timers_;
  BackendDispatcher dispatcher_;
  LoadPoller loads_;
  HoldClient holds_;
  services::LogClient log_;
  services::LogFollower bundles_;
  services::MachineListClient machines_;
  services::MachineListPoller machinePoller_;
  CallerFront front_;
  PeerTransportPtr peers_;
  http::HttpServerPtr server_;

  bool carryingOut_ = false;
  std::uint32_t ticks_ = 0;
  std::uint64_t bundleVersion_ = 0;
  std::uint64_t bundlesRefused_ = 0;

  bool stopping_ = false;
  bool coreStopping_ = false;
  bool drained_ = false;
  bool stopped_ = false;
  Instant stopBegan_{};
  Instant drainedAt_{};
  OnStopped onStopped_;
};

}  // namespace gorsetrail::node
