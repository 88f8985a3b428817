#include "base/json_pointer.h"

namespace gorsetrail {

std::string childPath(const std::string& path, std::string_view key) {
  std::string result = path + "/";
  for (const char character : key) {
    if (character == '~') {
      result += "~0";
    } else if (character == '/') {
      result += "~1";
    } else {
      result += character;
    }
  }
  return result;
}

std::string childPath(const std::string& path, std::size_t index) {
  return path + "/" + std::to_string(index);
}

}  // namespace gorsetrail
