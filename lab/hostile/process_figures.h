/// \file What the kernel tells of another process and of the sockets of an address.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace gorsetrail::lab {

/// \return the greatest resident memory of the process so far; 0 if it has ended.
[[nodiscard]] std::size_t peakMemoryOf(pid_t process);
/// \return its open descriptors; 0 if it has ended.
[[nodiscard]] std::size_t openDescriptorsOf(pid_t process);
/// \return the bytes that have arrived at TCP sockets of the IPv4 address and are not read yet.
[[nodiscard]] std::size_t unreadBytesAt(const std::string& ip);

}  // namespace gorsetrail::lab
