#include "lab/standin/standin_command.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "base/log.h"
#include "lab/standin/standin_host.h"

namespace gorsetrail::standin {
namespace {

int fail(const Error& error) {
  std::cerr << "gorsetrail-lab standin: " << error.toText() << "\n";
  return lab::kExitUsage;
}

int runStandIns(const lab::CommandArguments& arguments) {
  Result<StandInProcessConfig> config = readStandInConfig(arguments.configPath);
  if (!succeeded(config)) {
    return fail(errorOf(config));
  }
  if (arguments.seed != 0) {
    valueOf(config).seed = arguments.seed;
  }
  configureLogging(valueOf(config).logLevel);
  // The context outlives the host, whose sockets belong to it; handlers that the context drops at
  // its end only let go of their exchanges and never call a stand-in.
  boost::asio::io_context context(1);
  const Result<std::unique_ptr<StandInHost>> host = startStandIns(context, valueOf(config));
  if (!succeeded(host)) {
    return fail(errorOf(host));
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
  logEvent(LogLevel::Info, "stand_ins_listening",
           {{"count", static_cast<std::uint64_t>(valueOf(config).standIns.size())}});
  context.run();
  logEvent(LogLevel::Info, "stand_ins_stopped", {});
  return lab::kExitSuccess;
}

}  // namespace

void addCommands(lab::CommandRegistry& registry) {
  registry.add({"standin", "host stand-ins of the platform and back ends", runStandIns});
}

}  // namespace gorsetrail::standin
