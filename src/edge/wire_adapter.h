/// \file Interfaces to external formats: HTTP headers, directory queries, stored documents.
/// Implemented outside the core, without any policy.
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

/// A client's query for node addresses.
struct DirectoryQuery {
  std::string host;
  std::string region;
  std::string zone;
};

/// Converts between HTTP messages and the edge's request types.
class WireAdapter {
 public:
  virtual ~WireAdapter() = default;
  /// \return the id that names the request in logs; empty if it has none.
  [[nodiscard]] virtual std::string requestIdOf(const http::ServerRequest& request) const = 0;
  [[nodiscard]] virtual CallRequest readRequest(http::ServerRequest request) const = 0;
  [[nodiscard]] virtual http::Request makeReplicaRequest(const CallRequest& request,
                                                         const Dispatch& dispatch) const = 0;
  [[nodiscard]] virtual ReplicaHead readReplicaHead(
      unsigned status, const std::vector<http::Header>& headers) const = 0;
  /// \return those of the replica's headers that are passed to the client.
  [[nodiscard]] virtual std::vector<http::Header> clientHeaders(
      const std::vector<http::Header>& headers) const = 0;
  [[nodiscard]] virtual http::WholeResponse makeRefusal(const CallRequest& request,
                                                        const Refusal& refusal) const = 0;
  /// \return the query, or nothing if the request is not a directory query.
  [[nodiscard]] virtual std::optional<DirectoryQuery> readDirectoryQuery(
      const http::ServerRequest& request) const = 0;
  /// \param ttlSeconds how long the client may cache the answer.
  [[nodiscard]] virtual http::WholeResponse makeDirectoryAnswer(
      const std::vector<std::string>& addresses, double ttlSeconds) const = 0;
};

/// Decodes documents that operators and replicas store, and names their topics and keys.
class DocumentAdapter {
 public:
  virtual ~DocumentAdapter() = default;
  /// Errors: `InvalidBundle` with the invalid field.
  [[nodiscard]] virtual Result<routing::Configuration> readConfiguration(
      std::string_view document) const = 0;
  /// Errors: `InvalidField`.
  [[nodiscard]] virtual Result<routing::ReplicaEntry> readReplicaEntry(
      std::string_view id, std::string_view document) const = 0;
  /// \return whether two registrations of a replica are equivalent.
  [[nodiscard]] virtual bool sameRegistration(std::string_view left,
                                              std::string_view right) const = 0;
  [[nodiscard]] virtual std::string configurationTopic() const = 0;
  [[nodiscard]] virtual std::string configurationKey() const = 0;
  [[nodiscard]] virtual std::string replicaTopic() const = 0;
  /// \return the zone that a record with this key in the configuration topic evacuates; nothing for
  /// other keys. The zone stays evacuated while the key has a record, whatever its value.
  [[nodiscard]] virtual std::optional<std::string> evacuatedZoneOf(std::string_view key) const = 0;
};

}  // namespace gorsetrail::edge
