#include "engine/prefix_cursor.h"

#include <algorithm>

namespace gorsetrail::engine {

void PrefixCursor::append(std::string_view text) {
  while (!text.empty()) {
    const std::size_t taken = std::min(blockCharacters_ - tail_.size(), text.size());
    tail_ += text.substr(0, taken);
    text.remove_prefix(taken);
    if (tail_.size() == blockCharacters_) {
      last_ = scheduling::extendPrefix(last_, tail_);
      tail_.clear();
    }
  }
}

}  // namespace gorsetrail::engine
