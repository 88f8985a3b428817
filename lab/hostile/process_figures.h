/// \file What the kernel tells of another process and of the sockets of an address.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace gorsetrail::lab {

/// \return the greatest resident memory of the process so far; 0 if it has ended.
[[nodiscard]] std::size_t peakMemoryOf(pid_t process);
/// \return its open descriptors; 0 if it has ended.
[[nodiscard]] std::size_t openDescriptorsOf(pid_t process);
/// \return the bytes that have arrived at connections of each IPv4 address and are not read yet.
[[nodiscard]] std::map<std::string, std::size_t> unreadBytesAt(const std::vector<std::string>& ips);

}  // namespace gorsetrail::lab
