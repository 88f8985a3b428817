/// \file Wire format of store calls that one node relays for another that cannot reach the store.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "logstore/log_store.h"

namespace gorsetrail::logstore {

using StoreCallRequest = std::variant<AppendRequest, ReadRequest, NewestRequest>;
using StoreCallReply = std::variant<AppendReply, ReadReply, NewestReply, StoreError>;

std::string encodeStoreCall(const StoreCallRequest& request);
/// Errors: `InvalidFrame`.
Result<StoreCallRequest> decodeStoreCall(std::string_view bytes);

std::string encodeStoreReply(const StoreCallReply& reply);
/// Decode the reply to an append, a read or a listing. A malformed reply yields `NoAnswer`, because
/// the call may have been executed.
StoreResult<AppendReply> decodeAppendReply(std::string_view bytes);
StoreResult<ReadReply> decodeReadReply(std::string_view bytes);
StoreResult<NewestReply> decodeNewestReply(std::string_view bytes);

}  // namespace gorsetrail::logstore
