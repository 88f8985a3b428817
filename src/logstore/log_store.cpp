#include "logstore/log_store.h"

#include <algorithm>
#include <limits>

namespace gorsetrail::logstore {

std::string textOf(const PartitionAddress& address) {
  return address.topic + "/" + std::to_string(address.partition);
}

std::string_view storeFaultName(StoreFault fault) {
  switch (fault) {
    case StoreFault::NoAnswer:
      return "no_answer";
    case StoreFault::Busy:
      return "busy";
    case StoreFault::Throttled:
      return "throttled";
    case StoreFault::Compacted:
      return "compacted";
    case StoreFault::NotKept:
      return "not_kept";
    case StoreFault::Rejected:
      break;
  }
  return "rejected";
}

std::string encodeKeyedRecord(std::string_view key, std::string_view value) {
  const std::size_t keyLength =
      std::min<std::size_t>(key.size(), std::numeric_limits<std::uint8_t>::max());
  std::string record;
  record.reserve(1 + keyLength + value.size());
  record.push_back(static_cast<char>(keyLength));
  record += key.substr(0, keyLength);
  record += value;
  return record;
}

std::pair<std::string, std::string> decodeKeyedRecord(std::string_view record) {
  if (record.empty()) {
    return {};
  }
  const std::size_t keyLength = static_cast<std::uint8_t>(record.front());
  if (record.size() < 1 + keyLength) {
    return {};
  }
  return {std::string(record.substr(1, keyLength)), std::string(record.substr(1 + keyLength))};
}

}  // namespace gorsetrail::logstore
