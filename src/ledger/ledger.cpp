#include "ledger/ledger.h"

#include <utility>

namespace gorsetrail::ledger {

History extendHistory(History base, const std::string& baseRequest, const std::string& piece) {
  base.baseBytes = base.text.size();
  base.base = baseRequest;
  base.text += piece;
  return base;
}

CompletedTurn makeCompletedTurn(TurnToStore turn, std::size_t maximumInlineHistoryBytes) {
  const std::size_t pieceBytes = turn.before.text.size() - turn.before.baseBytes;
  if (pieceBytes + turn.addition.size() > maximumInlineHistoryBytes && !turn.previous.empty()) {
    return {std::move(turn.request), std::move(turn.previous), std::move(turn.addition)};
  }
  std::string piece = turn.before.text.substr(turn.before.baseBytes);
  piece += turn.addition;
  return {std::move(turn.request), std::move(turn.before.base), std::move(piece)};
}

}  // namespace gorsetrail::ledger
