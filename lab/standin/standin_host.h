/// \file All stand-ins of one process on one I/O context.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "lab/standin/standin_config.h"

namespace boost::asio {
class io_context;
}

namespace gorsetrail::standin {

/// Serves until it is destroyed; destroy it after its context has stopped running.
class StandInHost {
 public:
  virtual ~StandInHost() = default;
  /// \return the port of the n-th stand-in of the configuration.
  [[nodiscard]] virtual std::uint16_t port(std::size_t index) const = 0;
};

/// \param context outlives the host and runs on one thread.
Result<std::unique_ptr<StandInHost>> startStandIns(boost::asio::io_context& context,
                                                   const StandInProcessConfig& config);

}  // namespace gorsetrail::standin
