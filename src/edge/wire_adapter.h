/// \file What the edge needs of the formats around it. Implemented outside the product's core:
/// names, formats and calls, nothing that decides.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "edge/call_request.h"
#include "http/http_server.h"
#include "routing/configuration.h"
#include "routing/replica_table.h"

namespace gorsetrail::edge {

/// A client asks which addresses to use.
struct DirectoryQuery {
  std::string host;
  std::string region;
  std::string zone;
};

/// Heads of requests and answers.
class WireAdapter {
 public:
  virtual ~WireAdapter() = default;
  [[nodiscard]] virtual CallRequest readRequest(http::ServerRequest request) const = 0;
  [[nodiscard]] virtual http::Request makeReplicaRequest(const CallRequest& request,
                                                         const Dispatch& dispatch) const = 0;
  [[nodiscard]] virtual ReplicaHead readReplicaHead(
      unsigned status, const std::vector<http::Header>& headers) const = 0;
  /// \return the replica's headers that the client gets.
  [[nodiscard]] virtual std::vector<http::Header> clientHeaders(
      const std::vector<http::Header>& headers) const = 0;
  [[nodiscard]] virtual http::WholeResponse makeRefusal(const CallRequest& request,
                                                        const Refusal& refusal) const = 0;
  /// \return the question, or nothing when the request is no such question.
  [[nodiscard]] virtual std::optional<DirectoryQuery> readDirectoryQuery(
      const http::ServerRequest& request) const = 0;
  [[nodiscard]] virtual http::WholeResponse makeDirectoryAnswer(
      const std::vector<std::string>& addresses, double ttlSeconds) const = 0;
};

/// Documents that operators and replicas keep in the store, and where they stand.
class DocumentAdapter {
 public:
  virtual ~DocumentAdapter() = default;
  /// Errors: `InvalidBundle` with the field at fault.
  [[nodiscard]] virtual Result<routing::Configuration> readConfiguration(
      std::string_view document) const = 0;
  /// Errors: `InvalidField`.
  [[nodiscard]] virtual Result<routing::ReplicaEntry> readReplicaEntry(
      std::string_view id, std::string_view document) const = 0;
  /// \return whether two registrations of one replica differ in nothing that matters.
  [[nodiscard]] virtual bool sameRegistration(std::string_view left,
                                              std::string_view right) const = 0;
  [[nodiscard]] virtual std::string configurationTopic() const = 0;
  [[nodiscard]] virtual std::string configurationKey() const = 0;
  [[nodiscard]] virtual std::string replicaTopic() const = 0;
  /// \return the zone that a record under this key of the configuration's topic evacuates; nothing
  /// for other keys. The zone stays evacuated while the key has a record, whatever its value.
  [[nodiscard]] virtual std::optional<std::string> evacuatedZoneOf(std::string_view key) const = 0;
};

}  // namespace gorsetrail::edge
