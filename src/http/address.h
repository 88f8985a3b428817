/// \file Validation of `ip:port` addresses; does not include Asio.
#pragma once

#include <string_view>

namespace gorsetrail::http {

/// \return whether `address` is `ipv4:port` or `[ipv6]:port` with a port from 1 to 65535.
bool isUsableAddress(std::string_view address);

}  // namespace gorsetrail::http
