/// \file `gorsetraild`: reads settings, runs one node, stops it on SIGTERM.

#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>

#include "base/log.h"
#include "node/daemon.h"
#include "node/settings/settings.h"

DEFINE_string(settings, "", "settings file (JSON); see docs/operators/settings.md");
DEFINE_uint32(node, 0, "this node's number; overrides the file");
DEFINE_string(zone, "", "this node's zone; overrides the file");
DEFINE_string(listen_callers, "", "ip:port for callers; overrides the file");
DEFINE_string(listen_peers, "", "ip:port for other nodes; overrides the file");
DEFINE_uint64(incarnation, 0, "number of this life of the node; overrides the file");
DEFINE_string(log_level, "", "debug, info, warning or error; overrides the file");

namespace {

using namespace gorsetrail;

constexpr int kExitWhole = 0;
constexpr int kExitCutOff = 1;
constexpr int kExitSettings = 2;

bool given(const char* flag) { return !gflags::GetCommandLineFlagInfoOrDie(flag).is_default; }

template <class Value>
std::optional<Value> valueIfGiven(const char* flag, const Value& value) {
  return given(flag) ? std::optional<Value>(value) : std::nullopt;
}

node::SettingsOverrides overridesFromFlags() {
  node::SettingsOverrides overrides;
  overrides.node = valueIfGiven("node", FLAGS_node);
  overrides.zone = valueIfGiven("zone", FLAGS_zone);
  overrides.listenCallers = valueIfGiven("listen_callers", FLAGS_listen_callers);
  overrides.listenPeers = valueIfGiven("listen_peers", FLAGS_listen_peers);
  overrides.incarnation = valueIfGiven<std::uint64_t>("incarnation", FLAGS_incarnation);
  overrides.logLevel = valueIfGiven("log_level", FLAGS_log_level);
  return overrides;
}

std::uint64_t microsecondsSince1970() {
  const auto since1970 = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since1970).count());
}

int printErrors(const std::vector<Error>& errors) {
  for (const Error& error : errors) {
    std::cerr << error.toText() << '\n';
  }
  return kExitSettings;
}

/// Waits for SIGTERM or SIGINT; a second one ends the process at once.
void awaitStopSignal(boost::asio::signal_set& signals, std::function<void()> onFirst,
                     std::function<void()> onSecond) {
  signals.async_wait([&signals, onFirst = std::move(onFirst), onSecond = std::move(onSecond)](
                         const boost::system::error_code& error, int) {
    if (error) {
      return;
    }
    onFirst();
    signals.async_wait([onSecond](const boost::system::error_code& secondError, int) {
      if (!secondError) {
        onSecond();
      }
    });
  });
}

int runNode(node::Settings settings) {
  boost::asio::io_context context(1);
  node::NodeCorePtr core = node::makeNodeCore(node::nodeOptionsOf(settings));
  node::Daemon daemon(context, std::move(settings), std::move(core));
  if (const auto started = daemon.start(); !succeeded(started)) {
    return printErrors({errorOf(started)});
  }
  int exitCode = kExitCutOff;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  const auto onStopped = [&](node::Daemon::StopVerdict verdict) {
    exitCode = verdict == node::Daemon::StopVerdict::Whole ? kExitWhole : kExitCutOff;
    context.stop();
  };
  const auto onSecond = [&] {
    logEvent(LogLevel::Error, "stop_forced", {{"reason", "second signal"}});
    context.stop();
  };
  awaitStopSignal(
      signals, [&] { daemon.beginStop(onStopped); }, onSecond);
  context.run();
  return exitCode;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("gorsetraild --settings FILE [flags]: runs one node of gorsetrail");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto loaded = node::loadSettings(FLAGS_settings, overridesFromFlags(), microsecondsSince1970());
  if (const auto* const errors = std::get_if<std::vector<Error>>(&loaded)) {
    return printErrors(*errors);
  }
  node::Settings& settings = std::get<node::Settings>(loaded);
  configureLogging(settings.logLevel);
  return runNode(std::move(settings));
}
