#include "cli/files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

namespace gorsetrail::cli {
namespace {

constexpr std::uintmax_t kMaximumFileBytes = std::uintmax_t{8} * 1024 * 1024;
constexpr mode_t kOwnerMode = 0600;
constexpr mode_t kEverybodyMode = 0644;

Error fileError(const std::string& path, const std::string& reason, const std::string& remedy) {
  return Error{ErrorKind::InvalidField, path, reason, remedy};
}

Error systemError(const std::string& path) {
  return fileError(path, std::strerror(errno), "check the path and its permissions");
}

bool writeAll(int file, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(file, bytes.data() + written, bytes.size() - written);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

/// Fails when the file exists, so that two commands never write to the same file.
Result<Success> writeNewFile(const std::string& path, const std::string& bytes, mode_t mode) {
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (file < 0) {
    return errno == EEXIST ? fileError(path, "the file exists", "name another, or give --force")
                           : systemError(path);
  }
  const bool isWritten = writeAll(file, bytes);
  const bool isClosed = ::close(file) == 0;
  if (!isWritten || !isClosed) {
    const Error error = systemError(path);
    ::unlink(path.c_str());
    return error;
  }
  return Success{};
}

}  // namespace

Result<std::string> readFile(const std::string& path) {
  struct stat fileStatus {};
  if (::stat(path.c_str(), &fileStatus) != 0) {
    return systemError(path);
  }
  if (!S_ISREG(fileStatus.st_mode) ||
      static_cast<std::uintmax_t>(fileStatus.st_size) > kMaximumFileBytes) {
    return fileError(path, "this is not a regular file of at most 8 MiB", "name another file");
  }
  std::ifstream file(path, std::ios::binary);
  std::stringstream bytes;
  if (!file || !(bytes << file.rdbuf())) {
    return fileError(path, "the file is empty or cannot be read", "check it and its permissions");
  }
  return bytes.str();
}

Result<Success> writeFile(const std::string& path, const std::string& bytes, FileAccess access,
                          Existing existing) {
  const mode_t mode = access == FileAccess::OwnerOnly ? kOwnerMode : kEverybodyMode;
  if (existing == Existing::Keep) {
    return writeNewFile(path, bytes, mode);
  }
  const std::string temporary = path + ".new." + std::to_string(::getpid());
  Result<Success> written = writeNewFile(temporary, bytes, mode);
  if (succeeded(written) && std::rename(temporary.c_str(), path.c_str()) != 0) {
    const Error error = systemError(path);
    ::unlink(temporary.c_str());
    return error;
  }
  return written;
}

}  // namespace gorsetrail::cli
