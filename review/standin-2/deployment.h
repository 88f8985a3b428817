/// \file What the cases share: the start of a small deployment, and its configuration.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "nodes.h"
#include "record.h"
#include "replica.h"
#include "store.h"

namespace review {

/// Words of the command line, see `run.sh` of the cases.
struct CaseOptions {
  std::string command;  ///< Of a node.
  std::string folder;   ///< Temporary.
  std::string recordFile;
  bool isTroubled = true;
};

/// \return nothing when the words are not right.
std::optional<CaseOptions> parseCaseOptions(int argc, char** argv);

/// A store, replicas and nodes. The nodes end with it.
struct SmallDeployment {
  SmallDeployment(const CaseOptions& options, std::size_t nodeCount, Record& record);

  /// Starts the nodes and waits until all are ready. \return whether they are.
  bool start();
  /// Waits until the node is ready again. \return whether it is.
  bool waitReady(const Node& node) const;
  [[nodiscard]] std::vector<std::string> directories() const;

  Deployment plan;
  Record& record;
  Store store;
  RunLog runs;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::unique_ptr<Node>> nodes;
};

/// \return a route as the operator writes it.
std::string routeText(const std::string& name, const std::string& prefix, const std::string& type,
                      const std::string& service, const std::string& more);

constexpr char kHost[] = "ficu95.example";

}  // namespace review
