/// \file The platform's append-only log service with offsets, in memory.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/standin/fault_switches.h"

namespace gorsetrail::standin {

/// Largest record taken.
inline constexpr std::size_t kMaximumRecordBytes = std::size_t{1024} * 1024;
/// Most records and bytes of one read, whatever `max` says.
inline constexpr std::uint64_t kMaximumRecordsPerRead = 1000;
inline constexpr std::size_t kMaximumBytesPerRead = std::size_t{4} * 1024 * 1024;

/// Streams by name, made by their first append; a record's offset counts from 0.
class LogStandIn final : public StandIn {
 public:
  void handle(const HttpRequest& request, HttpExchangePtr exchange) override;

 private:
  using Records = std::vector<std::string>;

  HttpResponse append(const std::string& stream, const HttpRequest& request);
  [[nodiscard]] HttpResponse read(const std::string& stream, const HttpRequest& request) const;

  std::map<std::string, Records, std::less<>> streams_;
};

}  // namespace gorsetrail::standin
