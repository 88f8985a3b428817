#include "node/front/text_digest.h"

#include <xxhash.h>

namespace gorsetrail::node {

void TextDigest::FreeState::operator()(XXH64_state_s* state) const { XXH64_freeState(state); }

TextDigest::TextDigest() : state_(XXH64_createState()) { XXH64_reset(state_.get(), 0); }

void TextDigest::add(std::string_view part) {
  bytes_ += part.size();
  XXH64_update(state_.get(), part.data(), part.size());
}

bool TextDigest::isBeginningOf(std::string_view text) const {
  return text.size() >= bytes_ && XXH64(text.data(), bytes_, 0) == XXH64_digest(state_.get());
}

}  // namespace gorsetrail::node
